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
#include <functional>
#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds connectTimeout{400};
constexpr milliseconds retryDelay{200};

/// Longest time between two steps of the agent's core.
constexpr milliseconds tickInterval{100};

/// Delay before the next poll while no executor is known, and after a poll that returned ended runs.
constexpr milliseconds shortPollDelay{50};

/// Number of concurrent calls to the executor. A call without an answer must not delay the others.
constexpr int executorCallThreads = 2;

/// Time without a directive after which the connection to the store may be silent, so that this agent doesn't hear of the leader. The agents of a fleet add up
/// to maxSearchSpread each, so that they don't call the store at the same moment.
constexpr milliseconds maxTimeWithoutLeader{2'000};
constexpr milliseconds maxSearchSpread{2'000};

/// Timeouts of the connection to the leader, which answers each report.
constexpr SocketTimeouts connectionTimeouts{2s, 200ms, 2s};

/// A heartbeat that takes longer is sent again.
constexpr milliseconds longestHeartbeatDelay{1'000};

batch::HeartbeatLimits heartbeatLimitsOf(const platform::NodeSettings &settings)
{
    return {settings.contactTime_ + settings.heartbeatPeriod_ - longestHeartbeatDelay, settings.heartbeatPeriod_ + longestHeartbeatDelay};
}

batch::CallFailure toCallFailure(platform::PollErrc error)
{
    switch (error) {
    case platform::PollErrc::ConnectionRefused:
    case platform::PollErrc::NotSent:
        return batch::CallFailure::NotSent;
    case platform::PollErrc::Fenced:
    case platform::PollErrc::Rejected:
        return batch::CallFailure::Rejected;
    case platform::PollErrc::NoReply:
    case platform::PollErrc::BadReply:
        break;
    }
    return batch::CallFailure::Unanswered;
}

/// The agent process, which runs next to an executor and connects it to the leader.
class AgentHost
{
public:
    explicit AgentHost(const platform::NodeSettings &settings)
        : settings_(settings)
        , store_(settings.storeAddress_)
        , core_(settings.nodeName_, settings.stopLimit_, heartbeatLimitsOf(settings), settings.maxLeaseDuration_)
        , control_(settings.controlAddress_, executorCallbacks(), receiveLimitsOf(settings.memoryMb_, settings.maxDescriptors_))
        , membership_(store_, [this](const Members &members) { membersChanged(members); })
    {
    }

    int run()
    {
        serveMetrics(settings_.ip_, metrics_);
        std::thread([this] { step(); }).detach();
        std::thread([this] { pollExecutor(); }).detach();
        std::thread([this] { membership_.run(); }).detach();
        std::thread([this] { followLeader(); }).detach();
        for (int thread = 0; thread < executorCallThreads; ++thread) {
            std::thread([this] { callExecutor(); }).detach();
        }
        std::thread([this] {
            if (!control_.run()) {
                logEvent(LogLevel::Error, "cannot-listen", {{"for", "heartbeats"}});
            }
        }).detach();
        waitForStopSignal();
        return 0;
    }

private:
    platform::ExecutorCallbacks executorCallbacks()
    {
        return {[this](const platform::Heartbeat &heartbeat) {
                    inputs_.put(batch::HeartbeatReceived{heartbeat.executor_, heartbeat.sequence_, heartbeat.clock_});
                },
                [this](const batch::ExecutorLeft &left) { inputs_.put(left); },
                [](const std::string &id) {
                    logEvent(LogLevel::Warning, "heartbeat-unreadable", {{"executor", id}});
                }};
    }

    void step()
    {
        for (;;) {
            const auto inputs = inputs_.takeAll(tickInterval);
            std::vector<batch::AgentOutput> outputs;
            {
                const std::lock_guard lock(coreMutex_);
                outputs = core_.step(bootNow(), inputs);
            }
            for (batch::AgentOutput &output : outputs) {
                std::visit([this](auto &&any) { handleOutput(std::forward<decltype(any)>(any)); }, std::move(output));
            }
        }
    }

    void handleOutput(batch::CallStart &&call)
    {
        calls_.put(std::move(call));
    }

    void handleOutput(batch::CallStop &&call)
    {
        calls_.put(std::move(call));
    }

    void handleOutput(batch::PollCall &&call)
    {
        calls_.put(std::move(call));
    }

    void handleOutput(batch::Report &&report)
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

    void handleOutput(batch::LogEvent &&event)
    {
        recordDecision(event, metrics_);
    }

    /// Reads the executor's running and ended runs and extends its leases, in a loop of long polls.
    void pollExecutor()
    {
        platform::ExecutorClient client(settings_.executorAddress_, executorConnections_);
        for (;;) {
            const Instant sentAt = bootNow();
            batch::PollCall call;
            {
                const std::lock_guard lock(coreMutex_);
                call = core_.nextPoll(sentAt);
            }
            if (call.incarnation_.executor_.empty()) {
                std::this_thread::sleep_for(shortPollDelay); // the executor is known from its first heartbeat on
                continue;
            }
            const PollResult pollResult = pollOnce(client, call, sentAt);
            if (pollResult == PollResult::EndedRuns) {
                std::this_thread::sleep_for(delayAfterEnds());
            } else if (pollResult != PollResult::NoEndedRuns) {
                std::this_thread::sleep_for(retryDelayAfter(pollResult));
            }
        }
    }

    enum class PollResult : std::uint8_t {
        Failed, ///< the call returned no result
        ConnectionRefused,
        NoEndedRuns,
        EndedRuns,
    };

    milliseconds retryDelayAfter(PollResult failure)
    {
        const std::lock_guard lock(coreMutex_);
        return core_.pollRetryDelay(bootNow(), failure == PollResult::ConnectionRefused);
    }

    milliseconds delayAfterEnds()
    {
        const std::lock_guard lock(coreMutex_);
        return core_.pollDelayAfterEnds();
    }

    PollResult pollOnce(platform::ExecutorClient &client, const batch::PollCall &call, Instant sentAt)
    {
        return leaf::try_handle_all(
            [&]() -> Result<PollResult> {
                BOOST_LEAF_AUTO(result, client.poll(call.incarnation_, call.fencingToken_, call.acknowledged_, call.leaseEnd_, call.wait_));
                const bool ended = !result.ended_.empty();
                inputs_.put(batch::PollAnswered{sentAt,
                                                call.wait_,
                                                call.fencingToken_,
                                                call.acknowledged_,
                                                result.startTimeMs_,
                                                result.clock_,
                                                std::move(result.running_),
                                                std::move(result.ended_)});
                return ended ? PollResult::EndedRuns : PollResult::NoEndedRuns;
            },
            [&](const platform::PollError &error) {
                const bool refused = error.code_ == platform::PollErrc::ConnectionRefused;
                inputs_.put(batch::PollFailed{
                    refused, error.code_ == platform::PollErrc::Fenced, call.fencingToken_, call.acknowledged_, toCallFailure(error.code_), call.extension_});
                return refused ? PollResult::ConnectionRefused : PollResult::Failed;
            },
            [] { return PollResult::Failed; });
    }

    void callExecutor()
    {
        platform::ExecutorClient client(settings_.executorAddress_, executorConnections_);
        for (;;) {
            const auto call = calls_.takeOne();
            const Instant startedAt = bootNow();
            std::visit(Overloaded{
                           [&](const batch::CallStart &start) { callStart(client, start); },
                           [&](const batch::CallStop &stop) {
                               const auto result = client.stop(stop.incarnation_, stop.run_, stop.fencingToken_);
                               inputs_.put(batch::StopAnswered{stop.run_, result.answer_, result.reason_});
                           },
                           [&](const batch::PollCall &poll) { (void)pollOnce(client, poll, startedAt); },
                       },
                       call);
            metrics_.observe("order_seconds", bootNow() - startedAt);
        }
    }

    void callStart(platform::ExecutorClient &client, const batch::CallStart &start)
    {
        if (bootNow() > start.sendBefore_) {
            inputs_.put(batch::StartAnswered{start.order_.run_, batch::OrderAnswer::Refused, "not-sent-in-time", false, false, start.extension_});
            return;
        }
        const auto result = client.start(start.incarnation_, start.order_, start.leaseEnd_, start.fencingToken_);
        inputs_.put(batch::StartAnswered{start.order_.run_, result.answer_, result.reason_, result.connectionRefused_, result.wasSent_, start.extension_});
    }

    /// Connects to the leader and reads its directives. Looks for the leader again when the connection ends.
    void followLeader()
    {
        std::size_t attempt = 0;
        const milliseconds searchInterval = maxTimeWithoutLeader + milliseconds(std::hash<std::string>()(settings_.nodeName_) % maxSearchSpread.count());
        for (;;) {
            if (bootNow() - leaderHeardAt_ > searchInterval) {
                store_.suspectOpenConnections();
                leaderHeardAt_ = bootNow();
            }
            if (const auto address = nextLeaderAddress(attempt++)) {
                leaf::try_handle_all([&]() -> Result<void> { return runLeaderConnection(*address); },
                                     [&](const SocketError &error) {
                                         logEvent(LogLevel::Warning, "leader-unreachable", {{"address", address->str()}, {"errno", error.errno_}});
                                     },
                                     [] {});
            }
            std::unique_lock lock(leaderMutex_);
            leaderCondition_.wait_for(lock, retryDelay, [this] { return std::exchange(leaderChanged_, false); });
        }
    }

    /// Returns the next address to try: the target of a redirect, else the leader from the store. Without a connection to the store, every
    /// second attempt goes to an entry, which may still know the leader and redirects the agent to it.
    std::optional<Address> nextLeaderAddress(std::size_t attempt)
    {
        const Members members = membership_.members();
        const auto redirect = std::exchange(redirectAddress_, std::nullopt);
        if (redirect) {
            return redirect;
        }
        if (membership_.connected() || members.entries_.empty() || attempt % 2 == 0) {
            return members.leader_;
        }
        return std::next(members.entries_.begin(), static_cast<std::ptrdiff_t>(attempt / 2 % members.entries_.size()))->second;
    }

    /// Closes the connection to a leader that has been replaced.
    void membersChanged(const Members &members)
    {
        const std::lock_guard lock(leaderMutex_);
        if (!members.leader_ || *members.leader_ == leaderAddress_) {
            return;
        }
        leaderChanged_ = true;
        leaderCondition_.notify_all();
        if (leader_) {
            leader_->shutdown();
        }
    }

    Result<void> runLeaderConnection(const Address &address)
    {
        BOOST_LEAF_AUTO(connection, connectTcp(address, connectTimeout));
        const auto socket = std::make_shared<Socket>(std::move(connection));
        setSocketTimeouts(*socket, connectionTimeouts);
        logEvent(LogLevel::Info, "leader-connected", {{"address", address.str()}});
        {
            const std::lock_guard lock(leaderMutex_);
            leader_ = socket;
            leaderAddress_ = address;
        }
        inputs_.put(batch::LeaderConnected());
        for (auto frame = readFrame(*socket, batch::maxAgentFrameBytes); frame; frame = readFrame(*socket, batch::maxAgentFrameBytes)) {
            leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(directive, batch::decodeDirective(*frame));
                    if (directive.epoch_ == 0) {
                        redirectAddress_ = Address::parse(directive.leaderAddress_);
                        return {};
                    }
                    leaderHeardAt_ = bootNow();
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
    platform::ConnectionSuspicion executorConnections_;
    platform::ControlServer control_;
    Mailbox<batch::AgentInput> inputs_;
    Mailbox<std::variant<batch::CallStart, batch::CallStop, batch::PollCall>> calls_;
    std::mutex leaderMutex_;
    std::shared_ptr<Socket> leader_;
    Address leaderAddress_;
    std::condition_variable leaderCondition_;
    bool leaderChanged_ = false; ///< the store names a leader that this agent hasn't connected to yet
    Instant leaderHeardAt_ = bootNow(); ///< when a directive last arrived, or the leader was last looked for; used only by followLeader()'s thread
    std::optional<Address> redirectAddress_; ///< the leader named by an entry; used only by followLeader()'s thread
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
