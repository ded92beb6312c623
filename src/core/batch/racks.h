#pragma once

#include "core/batch/queueing.h"

#include <string>
#include <vector>

namespace bergamotwick::batch {

/// Rack locality, for work that is slower away from its data or with its gang spread over racks: which racks it prefers, and how long it
/// waits for one while they are full. Thread safety of all functions: none; one thread owns the cluster state.

/// Returns whether the speed of \p step depends on the rack it runs on.
[[nodiscard]] bool prefersRack(const Step &step) noexcept;

/// Returns the racks on which \p group would run at full speed, those with the fewest free accelerators first, to limit fragmentation of the
/// others. Precondition: prefersRack().
[[nodiscard]] std::vector<std::string> preferredRacks(const ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &candidates);

/// Returns whether all tasks of \p group are placed on a rack where they run at full speed. Precondition: all have been assigned.
[[nodiscard]] bool isRackLocal(const ClusterState &cluster, const Job &job, const Group &group);

/// Returns how many times as long tasks of \p step take on \p executors as near their data or on one rack; 1 if they aren't slowed. Precondition for a
/// gang: \p executors are those of all of its tasks.
[[nodiscard]] double rackSlowdown(const ClusterState &cluster, const Step &step, const std::vector<Incarnation> &executors);

/// Returns whether \p group has waited for its rack for as long as the lost speed is worth. The wait is longer in a busy fleet, as slowed
/// work occupies resources that other waiting work needs.
[[nodiscard]] bool hasWaitedForRack(const ClusterState &cluster, const WaitingGroup &group);

/// Returns whether less than half of each resource of the executors that may be assigned work of \p service is in use.
[[nodiscard]] bool isMostlyIdle(const ClusterState &cluster, const ServiceId &service);

/// Returns whether \p group may now use other racks: it has waited long enough, or its reservation for preempted resources isn't rack-local.
[[nodiscard]] bool mayUseOtherRacks(const ClusterState &cluster, const WaitingGroup &group);

}
