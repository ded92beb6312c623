#pragma once

#include "core/batch/job.h"

#include <cstddef>

namespace bergamotwick::batch {

/// Sizes of the parts of a job's record, with allowances for what isn't known at hand-in. A record that outgrows them all the same is rejected by the
/// store, which Leader handles.

constexpr std::size_t fixedRecordBytes = 256; ///< header, id, state and times
constexpr std::size_t emptyTaskBytes = 30; ///< a task that hasn't begun, or is done
constexpr std::size_t placeBytes = 128; ///< names of executor and host, while a task is assigned

/// Tasks that a job of more may have assigned at a time, whatever has become of the others.
constexpr std::size_t minAssignable = 1'000;

/// Returns what a task of \p job that isn't done takes while it isn't assigned. Thread-safe on const objects.
[[nodiscard]] std::size_t waitingTaskBytes(const Submission &job);

/// Returns what \p task takes at present, without its place. Thread-safe on const objects.
[[nodiscard]] std::size_t taskBytes(const TaskProgress &task);

/// Returns the number of tasks of \p job over all occurrences. Thread-safe on const objects.
[[nodiscard]] std::size_t countTasks(const Submission &job);

/// Returns how many tasks of \p job must run at the same time, sooner or later. Thread-safe on const objects.
[[nodiscard]] std::size_t countTasksAtOnce(const Submission &job);

}
