#pragma once

#include "core/batch/crash_history.h"
#include "run_lives.h"
#include "store_stand_in.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bergamotwick::soak {

/// Reads every crash history that is written to the store and checks that the counts of crashing jobs fall only where one of these happened,
/// whichever release leads: a run of the task has outlasted its earlier ones, or an executor that was taken for lost turned out to be alive.
///
/// Thread safety: all methods may be called from several threads at once.
class CrashCounts
{
public:
    CrashCounts(StoreStandIn &store, const RunLives &lives);
    ~CrashCounts();
    CrashCounts(const CrashCounts &) = delete;
    CrashCounts &operator=(const CrashCounts &) = delete;

    /// The first task of each step of \p job crashes each executor on which it starts.
    void addCrashingJob(const batch::Submission &job);

    /// Returns the violations so far, one description each.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// Returns how many crashing jobs have had a stored count.
    [[nodiscard]] std::size_t counted() const;

private:
    void check(const std::string &bytes);

    /// Returns whether a run of the task has lived so long that the crashes in \p before don't count any more. Precondition: mutex_ is locked.
    [[nodiscard]] bool hasOutlasted(const batch::Submission &job, const batch::TaskCrashes &before) const;

    StoreStandIn &store_;
    const RunLives &lives_;
    mutable std::mutex mutex_;
    std::map<JobId, batch::Submission> crashingJobs_;
    std::map<std::pair<JobId, std::uint32_t>, batch::TaskCrashes> lastStored_; ///< by job and task
    std::vector<std::string> violations_;
};

}
