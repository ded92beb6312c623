#include "node.h"

#include "agent_link.h"
#include "clock.h"
#include "control_server.h"
#include "core/batch/agent.h"
#include "core/batch/codec.h"
#include "core/overloaded.h"
#include "daemon/log.h"
#include "executor_client.h"
#include "mailbox.h"
#include "membership.h"
#include "net/socket.h"
#include "store_client.h"

#include <condition_variable>
#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds connectTimeout{400};
constexpr milliseconds retryPause{200};
constexpr milliseconds tick{100};
constexpr milliseconds holdPause{200};

/// Calls to the executor that may be under way at once; one that isn't answered must not hold the others up.
constexpr int orderThreads = 2;

/// The leader answers each report.
constexpr SocketTimeouts silence{2s, 200ms, 2s};

/// Everything that runs beside an executor.
class AgentHost
{
public:
    explicit AgentHost(const platform::NodeSettings &settings)
        : settings_(settings)
        , store_(settings.storeAddress_)
        , core_(settings.nodeName_, settings.stopLimit_)
        , control_(settings.controlAddress_, news())
        , membership_(store_, [this](const Members &members) { membersChanged(members); })
    {
    }

    int run()
    {
        serveMetrics(settings_.ip_, metrics_);
        std::thread([this] { step(); }).detach();
        std::thread([this] { hold(); }).detach();
        std::thread([this] { membership_.run(); }).detach();
        std::thread([this] { followLeader(); }).detach();
        for (int thread = 0; thread < orderThreads; ++thread) {
            std::thread([this] { callExecutor(); }).detach();
        }
        std::thread([this] {
            if (!control_.run()) {
                logEvent(LogLevel::Error, "cannot-listen", {{"for", "heartbeats"}});
            }
        }).detach();
        waitForStop();
        return 0;
    }

private:
    platform::ExecutorCallbacks news()
    {
        return {[this](const platform::Heartbeat &beat) {
                    inputs_.put(batch::HeartbeatSeen{beat.executor_, beat.sequence_});
                },
                [this](const ExecutorId &id) { inputs_.put(batch::ExecutorLeft{id}); },
                [](const std::string &id) {
                    logEvent(LogLevel::Warning, "heartbeat-unreadable", {{"executor", id}});
                }};
    }

    void step()
    {
        for (;;) {
            const auto inputs = inputs_.takeAll(tick);
            std::vector<batch::AgentOutput> outputs;
            {
                const std::lock_guard lock(coreMutex_);
                outputs = core_.step(bootNow(), inputs);
            }
            for (batch::AgentOutput &output : outputs) {
                std::visit([this](auto &&any) { carryOut(std::forward<decltype(any)>(any)); }, std::move(output));
            }
        }
    }

    void carryOut(batch::CallStart &&call)
    {
        calls_.put(std::move(call));
    }

    void carryOut(batch::CallStop &&call)
    {
        calls_.put(std::move(call));
    }

    void carryOut(batch::HoldCall &&call)
    {
        calls_.put(std::move(call));
    }

    void carryOut(batch::Report &&report)
    {
        std::shared_ptr<Socket> leader;
        {
            const std::lock_guard lock(leaderMutex_);
            leader = leader_;
        }
        if (leader && writeFrame(*leader, batch::encode(report)) != FrameWriteResult::Complete) {
            leader->shutdown();
        }
    }

    void carryOut(batch::Decision &&line)
    {
        tell(line, metrics_);
    }

    void hold()
    {
        platform::ExecutorClient client(settings_.executorAddress_);
        for (;;) {
            const Instant sent = bootNow();
            batch::HoldCall call;
            {
                const std::lock_guard lock(coreMutex_);
                call = core_.nextHold(sent);
            }
            if (call.life_.executor_.empty()) {
                std::this_thread::sleep_for(holdPause / 4); // its first heartbeat will name it
                continue;
            }
            const AskedLists asked = askForLists(client, call, sent);
            if (asked == AskedLists::None) {
                std::this_thread::sleep_for(holdPause);
            } else if (asked == AskedLists::WithEnds) {
                std::this_thread::sleep_for(holdPause / 4); // until the leader has acknowledged them, the call doesn't wait
            }
        }
    }

    enum class AskedLists : std::uint8_t {
        None, ///< no answer
        WithoutEnds,
        WithEnds,
    };

    AskedLists askForLists(platform::ExecutorClient &client, const batch::HoldCall &call, Instant sent)
    {
        return leaf::try_handle_all(
            [&]() -> Result<AskedLists> {
                BOOST_LEAF_AUTO(result, client.hold(call.life_, call.epoch_, call.acknowledged_, call.leaseEnd_, call.wait_));
                const bool ended = !result.ended_.empty();
                inputs_.put(
                    batch::HoldAnswered{sent, call.wait_, call.epoch_, result.born_, result.clock_, std::move(result.running_), std::move(result.ended_)});
                return ended ? AskedLists::WithEnds : AskedLists::WithoutEnds;
            },
            [&](const platform::HoldError &error) {
                inputs_.put(batch::HoldFailed{error.code_ == platform::HoldErrc::ConnectionRefused});
                return AskedLists::None;
            },
            [] { return AskedLists::None; });
    }

    void callExecutor()
    {
        platform::ExecutorClient client(settings_.executorAddress_);
        for (;;) {
            const auto call = calls_.takeOne();
            const Instant began = bootNow();
            std::visit(Overloaded{
                           [&](const batch::CallStart &start) {
                               const auto result = client.start(start.life_, start.order_, start.leaseEnd_, start.epoch_);
                               inputs_.put(batch::StartAnswered{start.order_.run_, result.answer_, result.reason_});
                           },
                           [&](const batch::CallStop &stop) {
                               inputs_.put(batch::StopAnswered{stop.run_, client.stop(stop.life_, stop.run_, stop.epoch_).answer_});
                           },
                           [&](const batch::HoldCall &hold) { (void)askForLists(client, hold, began); },
                       },
                       call);
            metrics_.observe("order_seconds", bootNow() - began);
        }
    }

    /// Finds the leader, and reads its directives until the connection ends.
    void followLeader()
    {
        std::size_t turn = 0;
        for (;;) {
            if (const auto address = nextAddress(turn++)) {
                leaf::try_handle_all([&]() -> Result<void> { return talkTo(*address); },
                                     [&](const SocketError &error) {
                                         logEvent(LogLevel::Warning, "leader-unreachable", {{"address", address->str()}, {"errno", error.errno_}});
                                     },
                                     [] {});
            }
            std::unique_lock lock(leaderMutex_);
            leaderNews_.wait_for(lock, retryPause, [this] { return std::exchange(leaderChanged_, false); });
        }
    }

    /// Returns whom to ask: the leader by the store's word or by an entry's, in turn with the entries, which know who leads even when the
    /// store turns this host away.
    std::optional<Address> nextAddress(std::size_t turn)
    {
        const Members members = membership_.members();
        const auto hint = std::exchange(redirected_, std::nullopt);
        if (hint) {
            return hint;
        }
        if (membership_.connected() || members.entries_.empty() || turn % 2 == 0) {
            return members.leader_;
        }
        return std::next(members.entries_.begin(), static_cast<std::ptrdiff_t>(turn / 2 % members.entries_.size()))->second;
    }

    /// Leaves a leader that has been replaced.
    void membersChanged(const Members &members)
    {
        const std::lock_guard lock(leaderMutex_);
        if (!members.leader_ || *members.leader_ == leaderAddress_) {
            return;
        }
        leaderChanged_ = true;
        leaderNews_.notify_all();
        if (leader_) {
            leader_->shutdown();
        }
    }

    Result<void> talkTo(const Address &address)
    {
        BOOST_LEAF_AUTO(connection, connectTcp(address, connectTimeout));
        const auto socket = std::make_shared<Socket>(std::move(connection));
        setSocketTimeouts(*socket, silence);
        logEvent(LogLevel::Info, "leader-connected", {{"address", address.str()}});
        {
            const std::lock_guard lock(leaderMutex_);
            leader_ = socket;
            leaderAddress_ = address;
        }
        inputs_.put(batch::LeaderConnected());
        for (auto frame = readFrame(*socket, maxAgentFrame); frame; frame = readFrame(*socket, maxAgentFrame)) {
            leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(directive, batch::decodeDirective(*frame));
                    if (directive.epoch_ == 0) {
                        redirected_ = Address::parse(directive.leaderAddress_);
                        return {};
                    }
                    inputs_.put(std::move(directive));
                    return {};
                },
                [](const WireError &error) {
                    logEvent(LogLevel::Warning, "directive-unreadable", {{"error", toString(error.code_)}});
                },
                [] {});
        }
        logEvent(LogLevel::Info, "leader-disconnected", {{"address", address.str()}});
        const std::lock_guard lock(leaderMutex_);
        leader_ = nullptr;
        return {};
    }

    platform::NodeSettings settings_;
    Metrics metrics_;
    platform::StoreClient store_;
    std::mutex coreMutex_;
    batch::AgentCore core_;
    platform::ControlServer control_;
    Mailbox<batch::AgentInput> inputs_;
    Mailbox<std::variant<batch::CallStart, batch::CallStop, batch::HoldCall>> calls_;
    std::mutex leaderMutex_;
    std::shared_ptr<Socket> leader_;
    Address leaderAddress_;
    std::condition_variable leaderNews_;
    bool leaderChanged_ = false; ///< the store has named a leader whom this agent hasn't followed yet
    std::optional<Address> redirected_; ///< the leader by an entry's word; of followLeader()'s thread
    Membership membership_;
};

}

int runAgent(const platform::NodeSettings &settings)
{
    AgentHost host(settings);
    const int code = host.run();
    logEvent(LogLevel::Info, "stopped", {});
    std::fflush(stdout);
    std::_Exit(code);
}

}
