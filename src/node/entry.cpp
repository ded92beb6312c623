#include "node.h"

#include "agent_link.h"
#include "callers_server.h"
#include "clock.h"
#include "config_replica.h"
#include "daemon/log.h"
#include "election.h"
#include "forwarding.h"
#include "http_status.h"
#include "job_service.h"
#include "leader_host.h"
#include "membership.h"

#include <algorithm>
#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

/// The store's shortest lease is lengthened by this, so that one lost renewal doesn't end it.
constexpr milliseconds leaseMargin{500};

/// A view of the operators' keys may be this share of the revocation limit old; the rest covers calls under way.
constexpr int keyLimitPercent = 70;

/// After SIGTERM the balancer needs two missed questions, a second apart, to send connections elsewhere.
constexpr milliseconds balancerLag{2'300};

batch::LeaderLimits limitsOf(const platform::NodeSettings &settings)
{
    batch::LeaderLimits limits;
    limits.leaseTtl_ = settings.minLeaseTtl_ + leaseMargin;
    limits.stopLimit_ = settings.stopLimit_;
    limits.statusKept_ = settings.statusRetention_;
    limits.spreadFactor_ = settings.spreadFactor_;
    return limits;
}

/// A host that leads hundreds of executors needs this much of a core and of a link; where entries differ, others may have it.
constexpr double processorOfLeader = 0.2;
constexpr double linkOfLeaderMbps = 50;

/// How long an entry on a lesser host leaves the leader's key to others: they hear of a free key from the same watch, in milliseconds.
constexpr milliseconds standBackOfLesser{300};

milliseconds standBackOf(const platform::NodeSettings &settings)
{
    const bool able = settings.cpuShare_ >= processorOfLeader && settings.linkMbps_ >= linkOfLeaderMbps;
    return able ? milliseconds(0) : standBackOfLesser;
}

/// Everything that an entry runs.
class Entry
{
public:
    explicit Entry(const platform::NodeSettings &settings)
        : settings_(settings)
        , store_(settings.storeAddress_)
        , config_(store_, [this] { configChanged(); })
        , membership_(store_, [this](const Members &) { election_.wake(); })
        , registration_(store_, settings.nodeName_, agentAddress(settings).str())
        , listener_(
              agentAddress(settings),
              [this](batch::Report report) { leader_.input(std::move(report)); },
              [this] { return membership_.connected() ? membership_.members().leader_ : std::nullopt; })
        , leader_(store_,
                  metrics_,
                  limitsOf(settings),
                  config_,
                  settings.adviceAddress_,
                  [this](const std::string &agent, const batch::Directive &directive) { listener_.send(agent, directive); })
        , election_(store_, membership_, agentAddress(settings).str(), limitsOf(settings).leaseTtl_, standBackOf(settings), electionEvents())
        , forwarder_(settings.nodeName_, [this] { return membership_.members(); })
        , service_(
              store_,
              config_,
              forwarder_,
              [this](const std::string &queue) { return leader_.waitingJobs(queue); },
              metrics_,
              Duration(settings.maxRevocationDelay_) * keyLimitPercent / 100)
        , forwarded_(forwardAddress(agentAddress(settings)), [this](const platform::Call &call) { return service_.answer(call); })
        , callers_(settings.callersAddress_, [this](const platform::Call &call) { return service_.answer(call); })
        , readiness_(settings.readinessAddress_, platform::readinessPath, [this] {
            return platform::Answer{!stopping_ && service_.ready() ? platform::statusOk : platform::statusUnavailable, ""};
        })
    {
    }

    int run()
    {
        const bool listening = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(listener_.start());
                BOOST_LEAF_CHECK(forwarded_.start());
                return true;
            },
            [](const SocketError &error) {
                logEvent(LogLevel::Error, "cannot-listen", {{"errno", error.errno_}});
                return false;
            },
            [] { return false; });
        if (!listening) {
            return 1;
        }
        serveMetrics(settings_.ip_, metrics_);
        std::thread([this] { config_.run(); }).detach();
        std::thread([this] { membership_.run(); }).detach();
        std::thread registration([this] { registration_.run(); });
        std::thread election([this] { election_.run(); });
        std::thread callers([this] { serve(callers_.run(), "callers"); });
        std::thread readiness([this] { serve(readiness_.run(), "readiness"); });
        waitForStop();
        stopping_ = true;
        election_.stop();
        registration_.stop();
        std::this_thread::sleep_for(balancerLag);
        callers_.stop();
        callers.join();
        readiness_.stop();
        readiness.join();
        logEvent(LogLevel::Info, "stopped", {});
        election.detach(); // these may wait for the store for longer than the grace period
        registration.detach();
        return 0;
    }

private:
    static Address agentAddress(const platform::NodeSettings &settings)
    {
        return Address::parse(settings.ip_ + ":" + std::to_string(settings.firstInternalPort_)).value_or(Address());
    }

    Election::Events electionEvents()
    {
        return {[this](std::int64_t epoch, Instant since) {
                    leader_.start(epoch, since);
                    listener_.welcome(true);
                },
                [this](Instant seen) { leader_.input(batch::StoreSeen{seen}); },
                [this](const char *) {
                    leader_.stop();
                    listener_.welcome(false);
                }};
    }

    void configChanged()
    {
        const auto view = config_.view();
        leader_.input(batch::ConfigChanged{view->config_});
        leader_.input(batch::EvacuationsChanged{view->evacuated_});
    }

    static void serve(bool served, const char *what)
    {
        if (!served) {
            logEvent(LogLevel::Error, "cannot-listen", {{"for", what}});
        }
    }

    platform::NodeSettings settings_;
    Metrics metrics_;
    platform::StoreClient store_;
    ConfigReplica config_;
    Membership membership_;
    Registration registration_;
    AgentListener listener_;
    LeaderHost leader_;
    Election election_;
    Forwarder forwarder_;
    JobService service_;
    ForwardListener forwarded_;
    platform::CallersServer callers_;
    platform::PageServer readiness_;
    std::atomic<bool> stopping_{false};
};

}

int runEntry(const platform::NodeSettings &settings)
{
    Entry entry(settings);
    const int code = entry.run();
    std::fflush(stdout);
    std::_Exit(code); // threads that wait for the store are left where they are
}

}
