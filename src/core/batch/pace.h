#pragma once

#include "core/batch/board.h"

#include <optional>

namespace bergamotwick::batch {

/// Pace of runs, in time per percent of progress. Thread safety of all functions: none; one thread owns the cluster state.

/// Returns the time that \p run takes for one percent, or std::nullopt if it has progressed too little to tell.
[[nodiscard]] std::optional<Duration> paceOf(const Run &run);

/// Returns the slowest pace that fits what \p run has shown, as its percentage is rounded; std::nullopt if its pace isn't known.
[[nodiscard]] std::optional<Duration> slowestPaceOf(const Run &run);

/// Returns the median pace of the other tasks of the same step and occurrence, or std::nullopt if no pace is known.
[[nodiscard]] std::optional<Duration> medianPeerPace(const ClusterState &cluster, const Run &run);

/// Returns the remaining time of \p run, extrapolated from its progress since its start. Precondition: its percentage is above 0.
[[nodiscard]] milliseconds remainingTimeAtPace(const ClusterState &cluster, const Run &run);

/// Returns whether the host of \p executor is so slow that urgent work should use others first.
[[nodiscard]] bool isSlowForUrgent(const ClusterState &cluster, const Executor &executor);

}
