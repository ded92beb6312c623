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

/// Added to the store's shortest lease, so that the lease survives one lost renewal.
constexpr milliseconds leaseMargin{500};

/// Maximum age of the configuration, as a share of the revocation limit. The rest of the limit covers calls in progress.
constexpr int maxConfigAgePercent = 70;

/// After SIGTERM the load balancer needs two failed readiness probes, one second apart, to route connections to other hosts.
constexpr milliseconds balancerDrainTime{2'300};

batch::LeaderLimits leaderLimitsOf(const platform::NodeSettings &settings)
{
    batch::LeaderLimits limits;
    limits.leaseTtl_ = settings.minLeaseTtl_ + leaseMargin;
    limits.stopLimit_ = settings.stopLimit_;
    limits.maxLeaseDuration_ = settings.maxLeaseDuration_;
    limits.reclaimLimit_ = settings.reclaimLimit_;
    limits.statusRetention_ = settings.statusRetention_;
    limits.maxRecordBytes_ = settings.maxValueBytes_;
    limits.spreadFactor_ = settings.spreadFactor_;
    limits.callerWeight_ = settings.callerWeight_;
    return limits;
}

/// CPU share and bandwidth that a leader of hundreds of executors needs. Entries on smaller hosts give precedence to others.
constexpr double leaderCpuShare = 0.2;
constexpr double leaderLinkMbps = 50;

/// How long an entry on a smaller host waits before it campaigns. Other entries learn of a free key from the same watch within milliseconds.
constexpr milliseconds smallHostCandidacyDelay{300};

milliseconds candidacyDelayOf(const platform::NodeSettings &settings)
{
    const bool meetsLeaderNeeds = settings.cpuShare_ >= leaderCpuShare && settings.linkMbps_ >= leaderLinkMbps;
    return meetsLeaderNeeds ? milliseconds(0) : smallHostCandidacyDelay;
}

Duration maxConfigAgeOf(const platform::NodeSettings &settings)
{
    return Duration(settings.maxRevocationDelay_) * maxConfigAgePercent / 100;
}

/// The entry process with its servers, watches and election.
class Entry
{
public:
    Entry(const platform::NodeSettings &settings, SettingsReloader &reloader)
        : settings_(settings)
        , store_(settings.storeAddress_)
        , config_(store_, [this] { configChanged(); })
        , membership_(store_, [this](const Members &) { election_.wake(); })
        , registration_(store_, settings.nodeName_, agentAddress(settings).str())
        , listener_(
              agentAddress(settings),
              [this](batch::Report report) { leader_.addInput(std::move(report)); },
              [this] { return membership_.connected() ? membership_.members().leader_ : std::nullopt; })
        , leader_(
              store_,
              metrics_,
              leaderLimitsOf(settings),
              config_,
              settings.adviceAddress_,
              [this](const std::string &agent, const batch::Directive &directive) { listener_.send(agent, directive); },
              [this](std::int64_t revision) { return membership_.ageOf(revision); })
        , election_(store_, membership_, agentAddress(settings).str(), leaderLimitsOf(settings).leaseTtl_, candidacyDelayOf(settings), electionCallbacks())
        , forwarder_(settings.nodeName_, [this] { return membership_.members(); })
        , service_(
              store_,
              config_,
              forwarder_,
              [this](const std::string &queue) { return leader_.waitingJobs(queue); },
              metrics_,
              maxConfigAgeOf(settings),
              settings.maxValueBytes_)
        , forwardListener_(forwardAddress(agentAddress(settings)), [this](const platform::Call &call) { return service_.answer(call); })
        , callersServer_(
              settings.callersAddress_,
              [this](const platform::Call &call) { return service_.answer(call); },
              receiveLimitsOf(settings.memoryMb_, settings.maxDescriptors_))
        , readinessServer_(settings.readinessAddress_, platform::readinessPath, [this] {
            return platform::Answer{!stopping_ && service_.ready() ? platform::statusOk : platform::statusUnavailable, ""};
        })
    {
        reloader.setReloadable({"bounds.revoke_ms", "limits.cpu_share", "limits.link_mbps"}, [this](const platform::NodeSettings &changed) {
            service_.setMaxConfigAge(maxConfigAgeOf(changed));
            election_.setCandidacyDelay(candidacyDelayOf(changed));
        });
    }

    int run()
    {
        const bool listening = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(listener_.start());
                BOOST_LEAF_CHECK(forwardListener_.start());
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
        std::thread callers([this] { logListenFailure(callersServer_.run(), "callers"); });
        std::thread readiness([this] { logListenFailure(readinessServer_.run(), "readiness"); });
        waitForStopSignal();
        stopping_ = true;
        election_.stop();
        registration_.stop();
        std::this_thread::sleep_for(balancerDrainTime);
        callersServer_.stop();
        callers.join();
        readinessServer_.stop();
        readiness.join();
        logEvent(LogLevel::Info, "stopped", {});
        election.detach(); // these threads may wait for the store longer than the grace period
        registration.detach();
        return 0;
    }

private:
    static Address agentAddress(const platform::NodeSettings &settings)
    {
        return Address::parse(settings.ip_ + ":" + std::to_string(settings.firstInternalPort_)).value_or(Address());
    }

    Election::Callbacks electionCallbacks()
    {
        return {[this](std::int64_t epoch, Instant since) {
                    leader_.start(epoch, since);
                    listener_.setLeading(true);
                },
                [this](Instant sentAt) { leader_.addInput(batch::LeaderLeaseRenewed{sentAt}); },
                [this](const char *) {
                    leader_.stop();
                    listener_.setLeading(false);
                }};
    }

    void configChanged()
    {
        const auto snapshot = config_.snapshot();
        leader_.addInput(batch::ConfigChanged{snapshot->config_});
        leader_.addInput(batch::EvacuationsChanged{snapshot->evacuated_});
    }

    static void logListenFailure(bool listened, const char *server)
    {
        if (!listened) {
            logEvent(LogLevel::Error, "cannot-listen", {{"for", server}});
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
    ForwardListener forwardListener_;
    platform::CallersServer callersServer_;
    platform::PageServer readinessServer_;
    std::atomic<bool> stopping_{false};
};

}

int runEntry(const platform::NodeSettings &settings, SettingsReloader &reloader)
{
    Entry entry(settings, reloader);
    const int code = entry.run();
    std::fflush(stdout);
    std::_Exit(code); // skips destructors, as threads may still wait for the store
}

}
