#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Returns whether all unfinished priority 0 work of the workspace of \p job fits the workspace's guarantee and must therefore get its
/// resources at once. Thread safety: none; one thread owns the cluster state.
[[nodiscard]] bool isGuaranteed(const ClusterState &cluster, const Job &job);

}
