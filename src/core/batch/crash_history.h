#pragma once

#include "core/batch/job.h"

#include <cstdint>
#include <vector>

namespace bergamotwick::batch {

/// It isn't known how long a run was alive: a former leader started it, or its executor had not answered for some time.
constexpr milliseconds unknownSurvival{-1};

/// Executors that were lost while a task ran on them. A task that has survived long enough on another executor has none.
struct TaskCrashes
{
    std::uint32_t task_ = 0; ///< index into Progress::tasks_
    std::uint32_t crashes_ = 0; ///< executors that crashed while it ran on them
    std::uint32_t suspected_ = 0; ///< those crashes of which it was a likely cause
    milliseconds shortestSurvival_{0}; ///< shortest time that a run was alive before such a crash; unknownSurvival if it isn't known of each
    milliseconds longestSurvival_{0}; ///< longest time that a run was alive, or may have been, before such a crash
    Incarnation lastLost_; ///< last executor that was lost with the task; empty if none is known
    bool lastCounted_ = false; ///< lastLost_ is included in crashes_; its next incarnation will show whether it crashed
    bool lastSuspected_ = false; ///< the task was a likely cause of the loss of lastLost_
    bool lastResolved_ = false; ///< it is certain whether lastLost_ crashed

    /// Returns whether it is known of all crashes how long after its start the task's run was lost.
    [[nodiscard]] bool knowsSurvivals() const noexcept
    {
        return shortestSurvival_ >= milliseconds(0);
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task_, crashes_, suspected_, shortestSurvival_, longestSurvival_, lastLost_, lastCounted_, lastSuspected_, lastResolved_);
    }
};

/// Stored crash history of a job's tasks; written only by the leader, in one transaction with the job's progress. It has a key of its own:
/// releases before 0.2 know no crash history, and leave that key alone when they rewrite a job's progress.
struct CrashHistory
{
    JobId id_;
    std::vector<TaskCrashes> tasks_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, tasks_);
    }
};

}
