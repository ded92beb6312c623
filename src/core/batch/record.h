#pragma once

#include "core/batch/job.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bergamotwick::batch {

/// What is stored of a job's progress. Thread safety of all functions: thread-safe on const objects.

/// Returns \p progress without what no later start depends on: where tasks ran that aren't assigned, and the checkpoints and failed runs of tasks that
/// are done. So the record of a job that has begun doesn't grow with the tasks that are done.
[[nodiscard]] Progress recordOf(Progress progress);

/// What makes a job too large to be stored.
enum class ExcessKind : std::uint8_t {
    Submission, ///< its submission, in bytes
    Tasks, ///< its tasks, counted over all occurrences
    TasksAtOnce, ///< those of its tasks that must run at the same time: lasting ones, and the largest gang beside them
};

struct RecordExcess
{
    ExcessKind kind_{};
    std::size_t found_ = 0;
    std::size_t limit_ = 0;
};

/// Returns why a record of \p job may become larger than \p maxBytes, or std::nullopt if none ever does.
[[nodiscard]] std::optional<RecordExcess> recordExcess(const Submission &job, std::size_t maxBytes);

/// Returns as many of the waiting \p tasks of \p job as may be assigned while its record stays within \p maxBytes, whatever becomes of them; all
/// or none if they start \p together. Those of a job without recordExcess() may all be assigned sooner or later.
[[nodiscard]] std::vector<std::size_t>
tasksWithinRecord(const Submission &job, const Progress &progress, std::vector<std::size_t> tasks, bool together, std::size_t maxBytes);

/// Returns the name of \p kind in logs.
[[nodiscard]] constexpr const char *toString(ExcessKind kind) noexcept
{
    switch (kind) {
    case ExcessKind::Submission:
        return "submission-too-large";
    case ExcessKind::Tasks:
        return "too-many-tasks";
    case ExcessKind::TasksAtOnce:
        break;
    }
    return "too-many-tasks-at-once";
}

}
