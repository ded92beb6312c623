#pragma once

#include "core/batch/board.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// Checks the starts and ends that executors observe against the scheduler's guarantees, and collects the violations.
///
/// Thread safety: none.
class Judge
{
public:
    void submitted(const batch::Submission &job, std::int32_t maxAttempts);
    void cancelled(const JobId &job, Instant now);
    void executorUp(const batch::ExecutorInfo &info);
    void executorDown(const batch::Incarnation &incarnation);

    /// The executor said at \p now that its capacity is \p capacity. A smaller one counts a grace period later.
    void capacityChanged(const batch::Incarnation &incarnation, const batch::ResourceVector &capacity, Instant now);

    /// The executor crashed with all that runs on it.
    void executorCrashed(const batch::Incarnation &incarnation);

    /// The tasks of \p job with \p index in their step, or all if it is unset, crash each executor on which they start.
    void setCrashing(const JobId &job, std::optional<std::uint32_t> index);
    void began(const batch::Incarnation &incarnation, const batch::RunId &run, const std::string &checkpoint, Instant now, bool delayedOrder);
    void ended(const batch::Incarnation &incarnation, const batch::RunId &run, batch::EndKind kind);
    void acknowledged(const batch::EndedRun &end);
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

    void addViolation(const std::string &rule, const batch::RunId &run, const batch::Incarnation &incarnation);
    [[nodiscard]] bool isDone(const SubmittedJob &job, std::uint32_t occurrence, std::uint32_t step) const;

    std::map<JobId, SubmittedJob> jobs_;
    /// Former capacity of an executor that may still be used until graceEnd_.
    struct FormerCapacity
    {
        batch::ResourceVector capacity_;
        Instant graceEnd_{};
    };

    std::map<batch::Incarnation, batch::ExecutorInfo> executors_;
    std::map<batch::Incarnation, FormerCapacity> formerCapacities_;
    std::map<batch::Incarnation, std::set<batch::RunId>> running_;
    std::set<batch::TaskId> completedTasks_;
    std::set<batch::TaskId> acknowledgedCompletions_;
    std::map<batch::TaskId, std::int32_t> acknowledgedFailures_;
    std::map<JobId, std::optional<std::uint32_t>> crashingJobs_; ///< with the index of the crashing tasks
    std::map<batch::TaskId, std::uint32_t> crashes_; ///< executors that crashed while the task ran on them
    std::map<batch::TaskId, std::uint32_t> allCrashes_; ///< likewise, also those while crashing tasks aren't judged
    std::map<batch::TaskId, std::uint32_t> startsAfterCrashes_; ///< starts of a task after its crashes reached maxCrashes
    bool judgesCrashingTasks_ = true;
    std::vector<std::string> violations_;
};

}
