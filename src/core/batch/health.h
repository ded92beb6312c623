#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Executor health: excludes executors for tasks that failed or stalled on them, and quarantines executors temporarily from all work. Handles
/// faulty workers that still report as healthy. Thread safety of all functions: none; one thread owns the cluster state.

/// Excludes \p executor for the task at \p index and, if it belongs to a gang, for all members of the gang.
void excludeExecutor(const ClusterState &cluster, Job &job, const Group &group, std::size_t index, const ExecutorId &executor);

/// Returns whether the task at \p index of \p group may run on \p executor. Excluded executors are never allowed. A task that has failed
/// before avoids suspect executors, and its last attempt requires an executor with a recent success. Groups that have waited long enough
/// accept any executor that isn't excluded.
[[nodiscard]] bool mayRunOn(const ClusterState &cluster, const WaitingGroup &group, std::size_t index, const Executor &executor);

/// Returns whether a task failed on \p executor recently and none has succeeded there since.
[[nodiscard]] bool isSuspect(const ClusterState &cluster, const Executor &executor);

/// Drops the exclusions of a group's tasks if the other \p candidates could not hold them even when empty.
void relaxExclusionsIfNeeded(ClusterState &cluster, Job &job, const Group &group, const std::vector<Executor *> &candidates);

/// Records that a task of \p job failed on \p executor; quarantines it after failures of several jobs without a success in between.
void recordFailure(ClusterState &cluster, Executor &executor, const JobId &job);

/// Quarantines \p executor temporarily. Does nothing if so many executors are in quarantine that the executors are unlikely to be the cause.
void quarantine(ClusterState &cluster, Executor &executor, const char *reason);

}
