#pragma once

#include "core/batch/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bergamotwick::batch {

/// How long a lease is that the agent gives its executor at a time; bridges a restart or a short freeze of the agent.
constexpr milliseconds leaseLength{5'000};

/// A start is passed on only if the leader had heard from this agent this recently: a directive held up on the way is void.
constexpr milliseconds startFreshness{2'000};

/// How long the executor may wait for an end before it answers; bounds how old its lists get.
constexpr milliseconds holdWait{500};

// Inputs

struct HeartbeatSeen
{
    ExecutorFacts executor_;
    std::int64_t sequence_ = 0;
};

struct ExecutorLeft
{
    ExecutorId executor_;
};

/// An answer to AgentCore::nextHold().
struct HoldAnswered
{
    Instant sentAt_{};
    milliseconds wait_{0}; ///< for which the executor was to wait for an end
    std::int64_t epoch_ = 0; ///< fencing token of the call
    std::int64_t born_ = 0;
    ExecutorTime clock_{0};
    std::vector<RunningTask> running_;
    std::vector<EndedRun> ended_;
};

struct HoldFailed
{
    bool refused_ = false; ///< nothing listens at the executor's address: its process is gone
};

struct StartAnswered
{
    RunId run_;
    OrderAnswer answer_ = OrderAnswer::Unknown;
    std::string reason_;
};

/// A connection to a leader stands; it has heard nothing over it yet.
struct LeaderConnected
{
};

struct StopAnswered
{
    RunId run_;
    OrderAnswer answer_ = OrderAnswer::Unknown;
};

using AgentInput = std::variant<Directive, HeartbeatSeen, ExecutorLeft, HoldAnswered, HoldFailed, LeaderConnected, StartAnswered, StopAnswered>;

// Outputs

struct CallStart
{
    Incarnation life_;
    StartOrder order_;
    ExecutorTime leaseEnd_{0};
    std::int64_t epoch_ = 0;
};

struct CallStop
{
    Incarnation life_;
    RunId run_;
    std::int64_t epoch_ = 0;
};

/// Asks the executor for its lists.
struct HoldCall
{
    Incarnation life_; ///< whom to ask; nobody while its name is empty
    std::int64_t epoch_ = 0;
    std::int64_t acknowledged_ = 0;
    std::optional<ExecutorTime> leaseEnd_; ///< nothing while no leader's word is fresh enough
    milliseconds wait_{0}; ///< for an end, before the lists are given
};

using AgentOutput = std::variant<CallStart, CallStop, HoldCall, Report, Decision>;

/// Decides what the process beside an executor does: whom it obeys, which orders it passes on, how long leases last, what it reports.
///
/// Thread safety: none; calls are serialised by the caller.
class AgentCore
{
public:
    AgentCore(std::string name, milliseconds stopLimit);

    /// Takes \p inputs in and returns what is to be done.
    [[nodiscard]] std::vector<AgentOutput> step(Instant now, const std::vector<AgentInput> &inputs);

    /// Returns the next of the calls for the executor's lists that follow each other, and notes the lease that it gives. Beside them, step()
    /// asks for a call that doesn't wait where lists are missing.
    [[nodiscard]] HoldCall nextHold(Instant now);

private:
    enum class OrderPhase : std::uint8_t {
        Starting,
        Started,
        Refused,
        Stopping,
        Stopped, ///< the stop was answered; the run may take the stop limit to end
        Gone, ///< a stop was answered and the run isn't at work
    };

    struct Order
    {
        OrderPhase phase_ = OrderPhase::Starting;
        Incarnation life_;
        StartOrder start_;
        Instant since_{};
        int tries_ = 0;
        std::optional<Instant> repeatAt_; ///< when a call that had no answer is made again
        bool listed_ = false; ///< lists read since the start speak for it
    };

    void take(const Directive &directive);
    void take(const HeartbeatSeen &beat);
    void take(const ExecutorLeft &left);
    void take(const HoldAnswered &answer);
    void take(const HoldFailed &failure);
    void take(const LeaderConnected &connected);
    void take(const StartAnswered &answer);
    void take(const StopAnswered &answer);

    void beginStart(const StartOrder &start);
    void beginStop(const RunId &run);
    void callStart(const RunId &run, Order &order);
    void callStop(const RunId &run, const Order &order);
    void repeatOrders();
    void settleOrders(const HoldAnswered &answer);
    void declareEmpty(const char *reason);
    void forgetOldOrders();
    void askForListsNow();
    [[nodiscard]] HoldCall holdCall(milliseconds wait);
    [[nodiscard]] std::int64_t fence() const;
    void log(std::string event, std::vector<std::pair<std::string, std::string>> fields);
    [[nodiscard]] ExecutorTime executorClock(Instant at) const;
    [[nodiscard]] std::optional<ExecutorTime> leaseEnd();
    [[nodiscard]] Report report();

    std::string name_;
    milliseconds stopLimit_;
    Instant now_{};
    std::int64_t epoch_ = 0;
    Instant permitEnd_{};
    ExecutorFacts executor_;
    std::int64_t beatSequence_ = 0;
    bool lifeConfirmed_ = false; ///< the last call was answered by executor_.life_; ends of another life must not be acknowledged
    bool clockKnown_ = false;
    ExecutorTime clock_{0}; ///< at clockAt_
    Instant clockAt_{};
    Instant lastLeaseEnd_{}; ///< by when every lease given so far has ended, whatever the executor's clock
    int refusals_ = 0; ///< calls in a row that found nobody listening
    int failures_ = 0; ///< calls in a row without a usable answer
    bool listsValid_ = false;
    Instant listsSentAt_{}; ///< when the call was sent that the lists answer
    Duration listedAt_{}; ///< when the executor made the lists
    std::vector<RunningTask> running_;
    std::vector<EndedRun> ended_;
    std::map<RunId, Order> orders_;
    std::int64_t acknowledged_ = 0;
    std::uint64_t sequence_ = 0;
    Instant reportedAt_{};
    bool reportDue_ = true;
    std::vector<AgentOutput> outputs_;
};

}
