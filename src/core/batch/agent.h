#pragma once

#include "core/batch/fencing_tokens.h"
#include "core/batch/lease_extensions.h"
#include "core/batch/messages.h"
#include "core/batch/orders.h"
#include "core/batch/start_times.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bergamotwick::batch {

/// Length of each lease that the agent grants its executor; covers a restart or a short pause of the agent.
constexpr milliseconds leaseDuration{5'000};

/// What the executor's heartbeats show, and for how long.
struct HeartbeatLimits
{
    milliseconds maxCapacityAge_{3'500}; ///< how long after a heartbeat starts may still rest on the capacity in it
    milliseconds maxGap_{2'500}; ///< longest time between two heartbeats of an executor that lives
};

/// What is known of a call to the executor that returned no result.
enum class CallFailure : std::uint8_t {
    Unanswered, ///< it may have been carried out, or may be seconds later
    NotSent, ///< no connection was established
    Rejected, ///< the executor answered that it hasn't carried it out
};

// Inputs

struct HeartbeatReceived
{
    ExecutorInfo executor_;
    std::int64_t sequence_ = 0;
    ExecutorTime clock_{0}; ///< the executor's clock when it sent the heartbeat; 0 if unknown
};

/// An executor's announcement that it ends. It may run on for some seconds if the announcement wasn't acknowledged.
struct ExecutorLeft
{
    ExecutorId executor_;
    std::int64_t startTimeMs_ = 0; ///< start time of the incarnation that ends; 0 if unknown
};

/// The executor's answer to a poll.
struct PollAnswered
{
    Instant sentAt_{};
    milliseconds wait_{0}; ///< how long the executor was allowed to wait for a run to end
    std::int64_t fencingToken_ = 0; ///< fencing token of the poll
    std::int64_t acknowledged_ = 0; ///< number up to which the poll acknowledged ends
    std::int64_t startTimeMs_ = 0;
    ExecutorTime clock_{0};
    std::vector<RunningTask> running_;
    std::vector<EndedRun> ended_;
};

struct PollFailed
{
    bool refused_ = false; ///< the connection was refused: the executor's process isn't running
    bool fenced_ = false; ///< the executor has seen a higher fencing token
    std::int64_t fencingToken_ = 0; ///< fencing token of the poll
    std::int64_t acknowledged_ = 0; ///< number up to which the poll acknowledged ends
    CallFailure failure_ = CallFailure::Unanswered;
    ExtensionId extension_ = ExtensionId::None; ///< as in the poll
};

struct StartAnswered
{
    RunId run_;
    OrderAnswer answer_ = OrderAnswer::Unknown;
    std::string reason_;
    bool connectionRefused_ = false; ///< the executor's process isn't running
    bool wasSent_ = true; ///< false if no connection was established, or the call came too late to be sent
    ExtensionId extension_ = ExtensionId::None; ///< as in the call
};

/// A connection to a leader was established; no report has been sent over it yet.
struct LeaderConnected
{
};

struct StopAnswered
{
    RunId run_;
    OrderAnswer answer_ = OrderAnswer::Unknown;
    std::string reason_;
};

using AgentInput = std::variant<Directive, HeartbeatReceived, ExecutorLeft, PollAnswered, PollFailed, LeaderConnected, StartAnswered, StopAnswered>;

// Outputs

struct CallStart
{
    Incarnation incarnation_;
    StartOrder order_;
    ExecutorTime leaseEnd_{0};
    std::int64_t fencingToken_ = 0;
    Instant sendBefore_{}; ///< a call that hasn't been sent by then is not sent at all, and answered as refused
    ExtensionId extension_ = ExtensionId::None; ///< returned with the answer
};

struct CallStop
{
    Incarnation incarnation_;
    RunId run_;
    std::int64_t fencingToken_ = 0;
};

/// Polls the executor for its lists of running tasks and ended runs, and renews its lease.
struct PollCall
{
    Incarnation incarnation_; ///< executor to poll; none while its name is empty
    std::int64_t fencingToken_ = 0;
    std::int64_t acknowledged_ = 0;
    std::optional<ExecutorTime> leaseEnd_; ///< unset while no permit is valid
    milliseconds wait_{0}; ///< how long the executor may wait for a run to end before it answers
    ExtensionId extension_ = ExtensionId::None; ///< returned with a failure
};

using AgentOutput = std::variant<CallStart, CallStop, PollCall, Report, LogEvent>;

/// Decision logic of the agent process that accompanies an executor: accepts directives of the newest leader, forwards orders, grants
/// leases and reports to the leader.
///
/// Thread safety: none; the caller serialises calls.
class AgentCore
{
public:
    /// \p stopLimit is the longest time that a run takes to end once its stop has been carried out; \p maxLeaseDuration is what the executor shortens
    /// longer leases to.
    AgentCore(std::string name, milliseconds stopLimit, HeartbeatLimits heartbeatLimits = {}, milliseconds maxLeaseDuration = defaultMaxLeaseDuration);

    /// Processes \p inputs and returns the resulting actions.
    [[nodiscard]] std::vector<AgentOutput> step(Instant now, const std::vector<AgentInput> &inputs);

    /// Returns the next poll of the continuous polling loop and records the lease that it grants. Additionally, step() emits polls without
    /// a wait when lists are missing.
    [[nodiscard]] PollCall nextPoll(Instant now);

    /// Returns how long the polling loop waits after a poll without an answer; \p connectionRefused tells that the executor's process wasn't
    /// running. While a start may still be carried out by the executor's next incarnation, the time until that sees its first fencing token is
    /// kept short.
    [[nodiscard]] milliseconds pollRetryDelay(Instant now, bool connectionRefused) const noexcept;

    /// Returns how long the polling loop waits after a poll that returned ends: the executor answers at once until they are acknowledged.
    [[nodiscard]] milliseconds pollDelayAfterEnds() const;

private:
    /// Consecutive polls without an answer after which the executor is reported as unresponsive and gets no new work.
    static constexpr int failedPollsUntilUnresponsive = 2;

    void handle(const Directive &directive);
    void handle(const HeartbeatReceived &heartbeat);
    void handle(const ExecutorLeft &left);
    void handle(const PollAnswered &answer);
    void handle(const PollFailed &failure);
    void handle(const LeaderConnected &connected);
    void handle(const StartAnswered &answer);
    void handle(const StopAnswered &answer);

    /// A lease that a call grants.
    struct LeaseGrant
    {
        ExecutorTime end_{0};
        ExtensionId extension_ = ExtensionId::None;
    };

    bool refuseOrStart(const StartOrder &start);
    [[nodiscard]] bool knowsCapacity() const;
    [[nodiscard]] bool isReplaced() const;
    void callDueOrders();
    void raiseTokenForStarts(const std::vector<RunId> &due);
    void raiseToken(const char *reason);
    [[nodiscard]] bool isGone() const;
    [[nodiscard]] bool isSilent() const;
    [[nodiscard]] bool hasJustAnswered() const;
    void noteSilence(const PollFailed &failure);
    [[nodiscard]] Instant sentAt(const HeartbeatReceived &heartbeat) const;
    [[nodiscard]] std::int64_t startTimeOf(const PollAnswered &answer);
    [[nodiscard]] Duration longestLeaseOfNewIncarnation() const;
    void noteReplacement(std::int64_t startTimeMs);
    void noteFenced(std::int64_t startTimeMs);
    void adoptFormerIfGone();
    void assumeNothingRuns(const char *reason);
    void pollNow();
    void hurryFencing();
    [[nodiscard]] PollCall pollCall(milliseconds wait);
    [[nodiscard]] bool mayStartAgain(const EndedRun &end) const;
    [[nodiscard]] std::int64_t acknowledgement() const;
    [[nodiscard]] Instant emptyAt() const;
    [[nodiscard]] Instant knownAt() const;
    [[nodiscard]] const Incarnation &polledIncarnation() const;
    [[nodiscard]] std::int64_t presentStartTimeMs() const;
    [[nodiscard]] std::int64_t fencingToken();
    [[nodiscard]] bool isOfPresentTerm(std::int64_t fencingToken);
    [[nodiscard]] milliseconds executorUptime() const;
    void log(std::string event, std::vector<std::pair<std::string, std::string>> fields);
    [[nodiscard]] ExecutorTime executorClock(Instant at) const;
    [[nodiscard]] std::optional<LeaseGrant> grantLease();
    [[nodiscard]] Report report();
    void addEndsTo(Report &report) const;
    [[nodiscard]] std::optional<Instant> echoedReport(const Directive &directive) const;

    std::string name_;
    HeartbeatLimits heartbeatLimits_;
    milliseconds maxLeaseDuration_;
    Instant now_{};
    bool begun_ = false; ///< step() has been called
    std::int64_t epoch_ = 0;
    Instant permitEnd_{};
    ExecutorInfo executor_;
    Incarnation formerIncarnation_; ///< the host's last one that the leader knows of, while this process has heard of none
    bool isFormerAdopted_ = false; ///< executor_ is the former incarnation, of which this process has heard nothing but that it is gone or silent
    std::int64_t heartbeatSequence_ = 0;
    Instant heartbeatAt_{}; ///< when the executor sent its last heartbeat
    ExecutorTime heartbeatClock_{0}; ///< the executor's clock at heartbeatAt_; 0 if unknown
    Instant capacityShrankAt_{}; ///< when the executor last said that its capacity is smaller than before
    bool incarnationConfirmed_ = false; ///< executor_.incarnation_ answered the last call; ends of another incarnation must not be acknowledged
    std::int64_t answeringStartTimeMs_ = 0; ///< start time of the incarnation that answered the last poll
    StartTimes startTimes_; ///< corrects all start times that the executor tells
    std::int64_t fencedStartTimeMs_ = 0; ///< start time of the last incarnation that has answered a poll under its own fencing token
    Instant polledAt_{}; ///< when step() last emitted a poll
    Instant hurriedAt_{}; ///< when hurryFencing() last polled
    bool clockKnown_ = false;
    ExecutorTime clock_{0}; ///< the executor's clock at clockAt_
    Instant clockAt_{};
    LeaseExtensions leases_; ///< when all leases granted so far have expired, even on a slow executor clock
    std::optional<Instant> rebornAt_; ///< when the present incarnation was first heard of, if the former one had the same name
    Instant heardAt_{}; ///< when the present incarnation last sent a heartbeat or answered a poll
    Instant refusedAt_{}; ///< when the last poll met a refused connection
    std::optional<Instant> refusedSince_; ///< since when all polls have met a refused connection
    Instant answeredAt_{}; ///< when the present incarnation last answered a poll
    std::optional<Instant> unansweredSince_; ///< since when no poll has been answered
    Instant unansweredAt_{}; ///< when a poll last wasn't answered
    int failedPolls_ = 0; ///< consecutive polls without a usable answer
    bool listsValid_ = false;
    Instant listsSentAt_{}; ///< when the poll that returned the lists was sent
    Duration listedAt_{}; ///< when the executor made the lists
    std::vector<RunningTask> running_;
    std::vector<EndedRun> ended_; ///< as listed, with those that are acknowledged but not yet forgotten
    Orders orders_;
    FencingTokens fencingTokens_;
    std::int64_t acknowledged_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, Instant> sentReports_; ///< recent reports of this process by sequence number, with the time of each
    Instant reportedAt_{};
    bool reportDue_ = true;
    std::vector<AgentOutput> outputs_;
};

}
