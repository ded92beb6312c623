#pragma once

#include "core/batch/board.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// When a run started. By default, its order was carried out in time.
struct StartTiming
{
    Instant at_{};
    std::optional<Instant> calledAt_ = std::nullopt; ///< when the start was called, if the executor carried it out late
    bool inTouch_ = true; ///< its agent is in touch with the executor, the leader and the store; if not, time bounds don't apply
};

/// Checks the starts and ends that executors observe against the scheduler's guarantees, and collects the violations.
///
/// Thread safety: none.
class Judge
{
public:
    void submitted(const batch::Submission &job, std::int32_t maxAttempts);
    void cancelled(const JobId &job, Instant now);
    void executorUp(const batch::ExecutorInfo &info, Instant now);
    void executorDown(const batch::Incarnation &incarnation);

    /// The executor said at \p now that its capacity is \p capacity. A smaller one counts a grace period later.
    void capacityChanged(const batch::Incarnation &incarnation, const batch::ResourceVector &capacity, Instant now);

    /// The leases that the executor was granted have expired. Its ends that aren't acknowledged yet never count as acknowledged.
    void leaseLapsed(const batch::Incarnation &incarnation);

    /// The executor crashed with all that runs on it.
    void executorCrashed(const batch::Incarnation &incarnation);

    /// The tasks of \p job with \p index in their step, or all if it is unset, crash each executor on which they start.
    void setCrashing(const JobId &job, std::optional<std::uint32_t> index);

    void began(const batch::Incarnation &incarnation, const batch::RunId &run, const std::string &checkpoint, const StartTiming &timing);
    void ended(const batch::Incarnation &incarnation, const batch::RunId &run, batch::EndKind kind);
    void acknowledged(const batch::Incarnation &incarnation, const batch::EndedRun &end);
    void stored(const batch::Progress &progress);

    /// The job is shown to callers as failed.
    void shownAsFailed(const JobId &job);

    /// Sets whether the starts of crashing tasks are judged. While they aren't, a release may lead that doesn't count crashes; crashes and
    /// starts are then counted anew.
    void judgeCrashingTasks(bool judged);

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return violations_;
    }

    [[nodiscard]] std::size_t starts(const JobId &job) const;
    [[nodiscard]] Instant firstStart(const JobId &job) const;
    [[nodiscard]] std::size_t allStarts() const noexcept; ///< of all jobs

    /// Returns how many orders that executors carried out late brought them over their capacity of then, but not over that of the call.
    [[nodiscard]] std::size_t lateStartsOverCapacity() const noexcept
    {
        return lateStartsOverCapacity_;
    }

    std::size_t wastedRuns_ = 0;

private:
    struct SubmittedJob
    {
        batch::Submission submission_;
        std::int32_t maxAttempts_ = 1;
        Instant cancelledAt_ = Instant::max();
        std::size_t starts_ = 0;
        Instant firstStart_ = Instant::max();
    };

    /// The end of a run, whether it succeeded or failed.
    struct PastEnd
    {
        batch::Incarnation incarnation_;
        batch::RunId run_;
        batch::EndKind kind_ = batch::EndKind::Done;
        bool acknowledged_ = false;
        bool lapsed_ = false; ///< the executor's lease expired before the acknowledgement
    };

    /// A start after ends that may be acknowledged later.
    struct LaterStart
    {
        batch::Incarnation incarnation_;
        batch::RunId run_;
        std::size_t endsBefore_ = 0; ///< how many of the task's ends came before it
        bool violatesTwice_ = false;
        bool violatesBudget_ = false;
    };

    struct TaskHistory
    {
        std::vector<PastEnd> ends_;
        std::vector<LaterStart> starts_;
    };

    /// A capacity from since_ until the next one's.
    struct CapacityPeriod
    {
        batch::ResourceVector capacity_;
        Instant since_{};
    };

    void addViolation(const std::string &rule, const batch::RunId &run, const batch::Incarnation &incarnation);
    [[nodiscard]] bool isDone(const SubmittedJob &job, std::uint32_t occurrence, std::uint32_t step) const;

    /// Checks the starts of \p task against the ends before them that have been acknowledged so far.
    void judgeStartsAfterEnds(const batch::TaskId &task);
    void judgeCapacity(const batch::Incarnation &incarnation, const batch::RunId &run, const batch::ResourceVector &used, const StartTiming &timing);

    /// Returns whether a capacity that the executor had in the grace period before \p at covers \p used.
    [[nodiscard]] bool coveredAt(const batch::Incarnation &incarnation, const batch::ResourceVector &used, Instant at) const;

    std::map<JobId, SubmittedJob> jobs_;
    std::map<batch::Incarnation, std::vector<CapacityPeriod>> capacities_; ///< oldest first
    std::map<batch::Incarnation, std::set<batch::RunId>> running_;
    std::set<batch::TaskId> completedTasks_;
    std::map<batch::TaskId, TaskHistory> histories_;
    std::size_t lateStartsOverCapacity_ = 0;
    std::map<batch::TaskId, std::int32_t> acknowledgedFailures_;
    std::map<JobId, std::optional<std::uint32_t>> crashingJobs_; ///< with the index of the crashing tasks
    std::map<batch::TaskId, std::uint32_t> crashes_; ///< executors that crashed while the task ran on them
    std::map<batch::TaskId, std::uint32_t> allCrashes_; ///< likewise, also those while crashing tasks aren't judged
    std::map<batch::TaskId, std::uint32_t> startsAfterCrashes_; ///< starts of a task after its crashes reached maxCrashes
    bool judgesCrashingTasks_ = true;
    std::vector<std::string> violations_;
};

}
