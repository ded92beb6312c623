#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Sets Job::guaranteed_ of all jobs. Of a workspace's unfinished jobs of priority 0, the earliest accepted ones that together need no more
/// than the workspace's guarantee are guaranteed: they get their resources at once, also from unguaranteed work of priority 0, and keep them.
/// A guaranteed job stays so until it ends or the configuration changes, since only earlier jobs count against it. A job that alone needs more
/// than the guarantee is never guaranteed and doesn't count against others.
///
/// Thread safety: none; one thread owns the cluster state.
void updateGuarantees(ClusterState &cluster);

}
