#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Executor health: excludes executors for tasks that failed or stalled on them, and quarantines executors temporarily from all work. Handles
/// faulty workers that still report as healthy. Thread safety of all functions: none; one thread owns the cluster state.

/// Excludes \p executor for the task at \p index and, if it belongs to a gang, for all members of the gang.
void excludeExecutor(const ClusterState &cluster, Job &job, const Group &group, std::size_t index, const ExecutorId &executor);

/// Returns whether the task at \p index of \p group may run on \p executor. Excluded executors are never allowed. A task that has failed
/// before waits for a proven executor, longer with each attempt, then for one that isn't suspect; after that it accepts any. A cautious gang avoids
/// suspect executors with its first attempt as well.
[[nodiscard]] bool mayRunOn(const ClusterState &cluster, const WaitingGroup &group, std::size_t index, const Executor &executor);

/// Returns whether a task failed on \p executor recently and none that started there since has shown progress.
[[nodiscard]] bool isSuspect(const ClusterState &cluster, const Executor &executor);

/// Returns whether a task that started on \p executor recently, after its last failure, has shown progress or success.
[[nodiscard]] bool isProven(const ClusterState &cluster, const Executor &executor);

/// Returns whether \p group prefers proven executors: one of its waiting tasks has failed before, or it is cautious.
[[nodiscard]] bool prefersProven(const WaitingGroup &group);

/// Drops the exclusions of a group's tasks if the other \p candidates could not hold them even when empty.
void relaxExclusionsIfNeeded(ClusterState &cluster, Job &job, const Group &group, const std::vector<Executor *> &candidates);

/// Sets whether \p group is cautious and may expect proven executors, by the executors of its service.
void assessHealth(const ClusterState &cluster, WaitingGroup &group);

/// Records that a task of \p job, whose run was assigned at \p startedAt, failed on \p executor. Quarantines the executor after failures of several jobs
/// without a proof in between, or as condemnFailing() does. Precondition: the run is no longer tracked.
void recordFailure(ClusterState &cluster, Executor &executor, const Job &job, Instant startedAt);

/// Records that a run assigned to \p executor at \p startedAt has shown progress or success. Proves nothing if the executor has failed a task since then.
void recordProof(Executor &executor, Instant startedAt);

/// Quarantines the executors on which several runs of \p job failed soon after their start, and nothing that started there since is running, while the
/// job progresses on others.
void condemnFailing(ClusterState &cluster, const Job &job);

/// Quarantines \p executor temporarily. Does nothing if so many executors are in quarantine that the executors are unlikely to be the cause.
void quarantine(ClusterState &cluster, Executor &executor, const char *reason);

}
