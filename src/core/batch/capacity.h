#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Executors whose capacity shrinks while starts for them are on their way. Thread safety of all functions: none; one thread owns the cluster
/// state.

/// Returns whether the runs of \p executor, including those that are starting or stopping, need more than its capacity. Thread-safe on a const
/// object.
[[nodiscard]] bool isOverCapacity(const Executor &executor) noexcept;

/// Withdraws runs that \p executor can no longer hold and whose start its agent doesn't know yet according to \p report: their record isn't
/// stored, or the order is on its way.
void withdrawUnstartedRuns(ClusterState &cluster, const Executor &executor, const Report &report);

}
