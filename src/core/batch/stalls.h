#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Stops stalled runs, stragglers and runs that can't end before their draining executor leaves, so that they restart elsewhere. Checks only
/// executors that have reported in this step, as only these have new data. Thread safety: none; one thread owns the cluster state.
void relocateStuckRuns(ClusterState &cluster);

}
