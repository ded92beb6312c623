#pragma once

#include "core/batch/queueing.h"

#include <set>

namespace bergamotwick::batch {

/// Isolated starts: a task that may have crashed an executor starts again where nothing else has started recently, and nothing else starts
/// beside it until it has survived. So the next crash has one likely cause only, and costs as little other work as possible. Thread safety of
/// all functions: none; one thread owns the cluster state.

/// Returns whether the task at \p index must start in isolation.
[[nodiscard]] bool needsIsolation(const Job &job, std::size_t index);

/// Returns the executors that isolated runs keep other tasks off: a share of the reporting ones at most, those whose isolated runs began last.
[[nodiscard]] std::set<ExecutorId> executorsReservedForIsolation(const ClusterState &cluster);

/// Ends the isolation of all runs on \p executor, beside which another task is to start.
void endIsolationOn(ClusterState &cluster, const Executor &executor);

/// Returns whether an isolated run that was seen alive for \p survival no longer keeps others off its executor: it has outlasted runs of its task
/// that ended with a crash, the longest after \p longest, or has had an executor of its own for long enough. Thread-safe.
[[nodiscard]] bool isIsolationOver(Duration survival, milliseconds longest) noexcept;

/// Returns whether all runs on \p executor have been listed for so long that none of them would be the likely cause of its crash.
[[nodiscard]] bool isSettled(const ClusterState &cluster, const Executor &executor);

/// Returns how many executors have crashed recently on the host of \p executor.
[[nodiscard]] std::size_t recentCrashesOnHost(const ClusterState &cluster, const Executor &executor);

/// Returns whether \p group has waited so long that its suspected tasks may start beside others.
[[nodiscard]] bool mayStartUnisolated(const ClusterState &cluster, const WaitingGroup &group);

/// Removes from \p group the suspected tasks that have to wait: for a decision on a task of their job, or for suspected tasks of their job that are running.
/// Puts the others first. A gang waits as a whole.
void limitIsolatedStarts(const ClusterState &cluster, WaitingGroup &group);

/// Returns whether a run that was seen alive for \p survival has outlasted runs of its task that ended with a crash, the longest after
/// \p longest. Thread-safe.
[[nodiscard]] bool hasOutlasted(Duration survival, milliseconds longest) noexcept;

/// Isolates the runs of \p job that were started by an earlier leader and whose tasks are suspected.
void isolateRecoveredRuns(ClusterState &cluster, const Job &job);

}
