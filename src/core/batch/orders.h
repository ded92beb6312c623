#pragma once

#include "core/batch/messages.h"
#include "core/batch/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamotwick::batch {

/// Starts are called, and repeated, only if the leader has ordered them within this time; it repeats its orders with each report.
constexpr milliseconds maxStartOrderAge{2'000};

/// The leader's orders to start and stop runs on one incarnation of an executor, from the first call until their outcome has been reported.
/// Decides which of these runs have certainly ended.
///
/// Thread safety: none; the caller serialises calls.
class Orders
{
public:
    /// What follows from the answer to a start.
    enum class StartOutcome : std::uint8_t {
        NotAwaited, ///< the order has gone on in the meantime, for example because a stop overtook the answer
        Unanswered, ///< it is called again, or stopped after the last attempt
        Started,
        Refused, ///< never started
        Stopped, ///< not by this call, but an earlier one may have started it; it is stopped, or has ended
    };

    /// \p stopLimit is the longest time that a run takes to end once its stop has been carried out.
    explicit Orders(milliseconds stopLimit) noexcept;

    /// Records that this process has begun at \p now. A former process of the agent may have made calls that it doesn't know.
    void begin(Instant now) noexcept;

    /// Records that another incarnation has taken the executor's place. Starts that weren't called are refused. If it has the \p sameName, it carries out
    /// calls to the former one until it has seen its own fencing token: the starts of which a call may have been carried out after \p knownAt, up to when it
    /// is known what ran on the executor, stay open. Runs that had just been started after an answer of the former one have ended with it. All other orders
    /// are forgotten.
    void executorReplaced(Instant now, bool sameName, Instant knownAt);

    /// Adds the order to start \p start. It is called once the executor has answered a poll that was sent after the order: a call that isn't answered
    /// keeps its run waiting, so that none is made to an executor that hangs. A task's first start is called at once if it \p mayBeCalledAtOnce.
    /// After a later one, if the executor crashes without an answer, the task is the likely cause. If there is an order for its run, records only that the
    /// leader still wants it. Returns whether such a poll is needed.
    bool start(Instant now, const StartOrder &start, bool mayBeCalledAtOnce);

    /// Refuses the starts for which the executor has answered no poll in time, or stops them if a former process may have called them. Returns their runs.
    std::vector<RunId> giveUpUnanswered(Instant now);

    /// Records that the present incarnation has answered a poll that was sent at \p sentAt: the starts that waited for that are called.
    void executorAnswered(Instant now, Instant sentAt);

    /// Records that \p run isn't started, or stops it if a former process may have started it. Does nothing if there is an order for it. Returns
    /// whether it was recorded as refused.
    bool refuse(Instant now, const RunId &run);

    /// Begins to stop \p run, known or not, unless it is being stopped or has ended.
    void stop(Instant now, const RunId &run);

    /// Stops the starts that haven't been answered, instead of repeating them, and refuses those that haven't been called: the executor drains, or its
    /// capacity has shrunk.
    void stopPendingStarts(Instant now);

    /// Returns the runs whose start or stop is to be called now. Before that, stops the starts that would be repeated but that the leader hasn't
    /// ordered for some time: it may have given their runs up.
    [[nodiscard]] std::vector<RunId> takeDue(Instant now);

    /// Returns the start to call for \p run, or a null pointer if its stop is to be called. Precondition: takeDue() returned \p run.
    [[nodiscard]] const StartOrder *startOf(const RunId &run) const;

    /// Counts a call of the start of \p run. Precondition: startOf() returns it.
    void recordStartCall(const RunId &run);

    /// Gives up the order to start \p run, which can't be called now. If it has been called before, the run is stopped. Otherwise it is refused if
    /// the executor \p isAway, or forgotten, so that the leader repeats it. Precondition: startOf() returns it.
    void giveUpStart(Instant now, const RunId &run, bool isAway);

    /// Processes the answer to a start. \p connectionRefused tells that the executor's process wasn't running.
    [[nodiscard]] StartOutcome startAnswered(Instant now, const RunId &run, OrderAnswer answer, bool connectionRefused);

    /// Processes the answer to a stop, which is called again unless it was carried out. Returns whether the last call got another answer, or there was none.
    bool stopAnswered(Instant now, const RunId &run, OrderAnswer answer);

    /// Returns for how long the stop of \p run has been called without being carried out, if that is longer than stops may take; else zero.
    [[nodiscard]] Duration stopOverdue(Instant now, const RunId &run) const;

    /// Returns whether stopOverdue() isn't zero for some run.
    [[nodiscard]] bool isAnyStopOverdue(Instant now) const;

    /// Returns whether nothing but runs with overdue stops may be running, if the executor has listed \p running: no lease is needed then.
    [[nodiscard]] bool areAllStopsOverdue(Instant now, const std::vector<RunningTask> &running) const;

    /// The runs in the lists of an executor.
    struct ListedRuns
    {
        Instant sentAt_{}; ///< when the poll was sent that the executor made the lists for
        std::set<RunId> running_;
        std::set<RunId> ended_;
        bool complete_ = false; ///< it has no other runs
    };

    /// Processes the lists of the executor. Returns whether outcomes have changed.
    [[nodiscard]] bool applyLists(Instant now, const ListedRuns &lists);

    /// Records that the incarnation which was called runs nothing any longer. A start of which a call could be carried out after \p emptyAt, when nothing
    /// ran on any incarnation, stays open; so does any that a former process may have called, if this one has never heard of the incarnation.
    void executorEnded(Instant now, Instant emptyAt, bool isHeardOf);

    /// Settles the starts on an executor that has ended if none of their calls could be carried out after \p emptyAt, when nothing ran on it. Returns
    /// whether outcomes have changed.
    [[nodiscard]] bool settleLostStarts(Instant now, Instant emptyAt);

    /// Removes orders whose outcome has been reported for long enough, but none of which a call may have been carried out after \p knownAt, up to when it is
    /// known what runs on the executor.
    void prune(Instant now, Instant knownAt);

    /// Returns whether calls of a former process of the agent can't be carried out after \p now.
    [[nodiscard]] bool knowsAllCalls(Instant now) const noexcept;

    /// Returns whether a start called before \p now, by this process or a former one, may still be carried out late.
    [[nodiscard]] bool mayStartLate(Instant now) const noexcept;

    /// Returns the number of runs with a start that may still be carried out after \p now although its call was given up, or is in progress.
    [[nodiscard]] std::size_t lateStarts(Instant now) const;

    /// Returns whether a start of \p run may be carried out after \p now: a call of it is in progress, or was given up shortly before.
    [[nodiscard]] bool mayStartLate(Instant now, const RunId &run) const;

    /// Returns whether the incarnation on which \p run was called has ended, but a call of its start may still reach the next one.
    [[nodiscard]] bool isLost(const RunId &run) const;

    /// Returns how often the start of \p run has been called.
    [[nodiscard]] int attempts(const RunId &run) const;

    /// Returns whether there is a start that is called once the executor has answered a poll.
    [[nodiscard]] bool isAnyAwaitingAnswer() const;

    /// Returns whether there is an order whose run may be running on the present incarnation.
    [[nodiscard]] bool isAnyOpen() const;

    /// Adds the orders to \p report, which is made at \p now. Precondition: it holds the ends that are reported.
    void addTo(Report &report, Instant now) const;

private:
    enum class Phase : std::uint8_t {
        Starting,
        Started,
        Refused,
        Stopping,
        Stopped, ///< the stop was answered; the run may take up to the stop limit to end
        Lost, ///< the incarnation that was called has ended, but a call of the start may still reach the next one
        Ended, ///< no longer listed after an answered stop, or the executor crashed or its leases expired
    };

    struct Order
    {
        Phase phase_ = Phase::Starting;
        StartOrder start_;
        Instant phaseSince_{};
        Instant wantedAt_{}; ///< when the leader last ordered its start
        int attempts_ = 0; ///< calls of the start
        int callsInProgress_ = 0; ///< calls of the start that haven't been answered or given up
        int unansweredCalls_ = 0; ///< calls of the start that were given up without an answer
        bool wasAccepted_ = false; ///< a call of the start was answered as accepted
        bool isOfUnknownExecutor_ = false; ///< its executor ended without having been heard of: what a former process has called is unknown
        bool mayHaveFormerCalls_ = false; ///< a former process of the agent may have called its start
        std::optional<OrderAnswer> stopAnswer_; ///< to the last call of its stop
        bool wasStopRefused_ = false; ///< an answer to its stop said that it wasn't carried out
        std::optional<Instant> callAt_; ///< when it is called, or called again
        std::optional<Instant> unansweredAt_; ///< when a call of the start was last given up without an answer; it may still be carried out
        bool hasStarted_ = false; ///< its start was accepted, or the executor has listed it
        bool hasEnded_ = false; ///< it has been stopped or has ended on this incarnation, although a call of its start may still be carried out by the next one
        bool listed_ = false; ///< lists requested after the start was accepted show whether it runs
        bool awaitsAnswer_ = false; ///< its start is called once the executor has answered a poll
        bool isOfFormerName_ = false; ///< its calls were made to an executor of another name, which has ended
        bool calledAfterAnswer_ = false; ///< it is a later start of its task, first called when the executor had just answered
    };

    static void enter(Order &order, Phase phase, Instant now);
    static void beginStop(Order &order, Instant now);
    [[nodiscard]] static bool isUncalled(const Order &order) noexcept;
    [[nodiscard]] static bool isInDoubt(const Order &order) noexcept;
    [[nodiscard]] bool mayHaveStarted(const Order &order, Instant now) const;
    [[nodiscard]] static bool isUnanswered(const Order &order, Instant now);
    [[nodiscard]] static int callsNotCarriedOut(const Order &order) noexcept;
    [[nodiscard]] static bool mayStartLate(const Order &order, Instant now);
    [[nodiscard]] bool mayStartAfter(const Order &order, Instant emptyAt) const;
    [[nodiscard]] bool hasEndedUnstopped(const RunId &run, const Order &order, const ListedRuns &lists) const;
    [[nodiscard]] static std::set<RunId> endedRuns(const Report &report);
    void stopUnwantedStarts(Instant now);
    static void lostStartAnswered(Order &order, OrderAnswer answer, Instant now);
    [[nodiscard]] static Duration stopOverdue(const Order &order, Instant now);

    milliseconds stopLimit_;
    Instant formerCallsUntil_{}; ///< until then, calls of a former process may be carried out, or its runs may be unlisted
    Instant lateStartsUntil_{}; ///< until then, starts may be carried out late, also those for former incarnations and of a former process
    std::map<RunId, Order> orders_;
};

}
