#pragma once

#include "core/batch/board.h"

#include <optional>

namespace bergamotwick::batch {

/// Learns the speed of hosts from the progress of runs. Thread safety of all functions: none; one thread owns the cluster state.

/// Records the paces of the runs on \p executor in ClusterState::hosts_. Precondition: the lists of a report of \p executor have just been applied.
void observeSpeeds(ClusterState &cluster, const Executor &executor);

/// Updates the estimates of ClusterState::hosts_ and ClusterState::slowHosts_ from the recorded paces.
void refreshSpeeds(ClusterState &cluster);

/// Returns the slowness of the host of \p placement; an unknown one counts as the median one.
[[nodiscard]] double slownessOf(const ClusterState &cluster, const Incarnation &placement);

/// Returns the slowness of the slowest host on which \p group of \p job is placed, as slownessOf(). Precondition: its tasks have placements.
[[nodiscard]] double slownessOfPlacement(const ClusterState &cluster, const Job &job, const Group &group);

}
