#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Rank of guaranteed work; other work ranks by its priority.
constexpr std::int32_t guaranteedRank = -1;

/// The tasks of one group that wait for an executor.
struct WaitingGroup
{
    Job *job_ = nullptr;
    Group group_;
    std::vector<std::size_t> tasks_; ///< indexes into Progress::tasks_; all members of a gang or none
    bool guaranteed_ = false; ///< Job::guaranteed_
    Instant latestStart_{}; ///< a later start is expected to miss the objective
    bool late_ = false; ///< expected to miss its objective
    bool zeroValue_ = false; ///< expected to end too late to be of any value
    bool isCautious_ = false; ///< a gang with few attempts while executors are in quarantine: its first attempt avoids suspect executors
    bool mayExpectProven_ = false; ///< some executor is proven, so that it pays to wait for such ones
    bool isRunning_ = false; ///< its tasks run, and it is considered whether to move them

    /// Returns the group's rank in the use of executors that are held; guaranteed work comes before all priorities.
    [[nodiscard]] std::int32_t rank() const noexcept
    {
        return guaranteed_ ? guaranteedRank : job_->settings_.priority_;
    }
};

/// Returns the time in which \p job should end, from its acceptance. Thread-safe on const objects.
[[nodiscard]] Duration objectiveOf(const ClusterState &cluster, const Job &job);

/// Returns the groups that may start now, most urgent first: guaranteed groups, then by priority, then groups that can still end in time to be
/// of value, then groups that can still meet their objective, then by latest start time. During bursts, late work never delays work of the same priority that
/// is still in time.
[[nodiscard]] std::vector<WaitingGroup> waitingGroups(ClusterState &cluster);

/// Returns the expected length of the critical path from \p step to the end of its job; for step 0, of the whole job.
[[nodiscard]] milliseconds remainingCriticalPath(const ClusterState &cluster, const Job &job, std::uint32_t step);

}
