#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Assigns executors to waiting tasks. Uses best fit against fragmentation: the fullest executor with enough free resources is chosen, so
/// that large blocks of accelerators stay free for tasks that need them.
///
/// Thread safety: none; one thread owns the cluster state.
void placeWaiting(ClusterState &cluster);

/// Returns executors for all tasks of \p group, which runs, on hosts where it would end in time, one for each task in order; or nothing if there is no room.
/// What the group uses itself counts as free.
[[nodiscard]] std::vector<Incarnation> findFasterPlacement(ClusterState &cluster, const WaitingGroup &group);

/// Returns how many more tasks of the group's step may run on \p executor under the step's anti-affinity limit.
[[nodiscard]] std::uint32_t antiAffinityHeadroom(const Executor &executor, const WaitingGroup &group);

}
