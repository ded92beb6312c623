#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Resource accounting for executors. A run occupies resources from the decision to start it until its executor lists its end, or its end is certain; runs
/// that are starting, stopping or of unknown state all count. Thread safety of all functions: none; one thread owns the cluster state.

/// Returns the resources of \p executor that are neither used by runs nor reserved for a group.
[[nodiscard]] ResourceVector freeResources(const Executor &executor);

/// Returns the resources of \p executor that \p group may use: those that are neither used by runs nor reserved for other groups. Reservations
/// of unguaranteed groups don't bind a guaranteed one.
[[nodiscard]] ResourceVector freeResources(const ClusterState &cluster, const Executor &executor, const WaitingGroup &group);

/// Adds \p run and its resource use. Precondition: its job and executor are known and the run hasn't been added yet.
void addRun(ClusterState &cluster, Run run);

/// Records whether the executor of \p run \p hasEnded it although a call of its start may still be carried out. Its resources are free while it has ended
/// there: that incarnation doesn't start it again.
void setEnded(ClusterState &cluster, Run &run, bool hasEnded);

/// Removes a run whose end is certain, and allows its task to be started again.
void removeRun(ClusterState &cluster, const RunId &id);

/// Reserves resources for a group of \p job. Precondition: all executors of the reservation are known.
void reserve(ClusterState &cluster, Job &job, const Group &group, Reservation reservation);

/// Removes \p used from a group's reservation and keeps the rest for its \p remaining tasks.
void useReservation(ClusterState &cluster, Job &job, const Group &group, const std::vector<Incarnation> &used, std::size_t remaining);

/// Releases the reservation of the group whose first task is \p group, if it has one.
void release(ClusterState &cluster, Job &job, std::size_t group);

/// Returns whether \p executor may currently be assigned new work of \p service.
[[nodiscard]] bool isSchedulable(const ClusterState &cluster, const Executor &executor, const ServiceId &service);

}
