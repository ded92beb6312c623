#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// How long runs may show no progress before they count as stalled. A run shows progress by a higher percentage, and a checkpointing one also by
/// a new checkpoint. Thread safety of all functions: none; one thread owns the cluster state.

/// No run is stalled before it has shown no progress for this long.
constexpr milliseconds minStallTime{1'000};

/// Returns when \p run last showed progress, on the agent's clock.
[[nodiscard]] Duration lastProgressOf(const Run &run);

/// Returns the time without progress after which \p run is stalled. Precondition: it is running.
[[nodiscard]] Duration stallLimit(const ClusterState &cluster, const Run &run);

/// Records that \p run is being stopped as stalled, so that its task gets more time from then on. Precondition: its job is known.
void noteStall(ClusterState &cluster, const Run &run);

}
