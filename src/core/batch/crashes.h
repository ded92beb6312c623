#pragma once

#include "core/batch/board.h"

#include <optional>
#include <vector>

namespace bergamotwick::batch {

/// Losses of executors: which runs were on them and what is known of the cause. Thread safety of all functions: none; one thread owns the
/// cluster state.

/// How an executor was lost.
enum class LossKind : std::uint8_t {
    Crashed, ///< its process is gone, or a later incarnation answers in its place
    Unreachable, ///< nothing was heard of it until all leases had expired; only its next incarnation can show whether it crashed
};

/// A run on an executor when it was lost.
struct LostRun
{
    RunId id_;
    std::optional<Duration> survival_; ///< from its first to its last listing; unset if this leader never saw it listed
};

/// An executor that was lost with runs on it.
struct ExecutorLoss
{
    Incarnation incarnation_;
    LossKind kind_ = LossKind::Crashed;
    std::vector<LostRun> runs_;
};

/// Returns whether \p report says that nothing runs on the executor because its process is gone or its leases have expired.
[[nodiscard]] bool reportsLoss(const Report &report) noexcept;

/// Returns how the executor of \p report was lost. Precondition: reportsLoss(). \p executor is its record before the report's lists are applied.
[[nodiscard]] LossKind lossKindOf(const Executor &executor, const Report &report) noexcept;

/// Returns the loss of \p executor with the runs that its current incarnation held, without those in \p notStarted.
[[nodiscard]] ExecutorLoss lossOf(const ClusterState &cluster, const Executor &executor, LossKind kind, const std::set<RunId> &notStarted = {});

/// Logs \p loss.
void recordLoss(ClusterState &cluster, Executor &executor, const ExecutorLoss &loss);

}
