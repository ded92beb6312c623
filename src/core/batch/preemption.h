#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Preempts work of lower priority on some of \p executors for a group of priority 0 that could not be placed. Reclaims guaranteed resources
/// that others have borrowed: chooses the victims that lose the least work, and reserves the resources for the group until the victims have
/// ended.
///
/// Does nothing while preemption for the group is in progress, or if no set of victims would free enough. Returns whether resources are reserved for the group.
/// Thread safety: none; one thread owns the cluster state.
bool preemptFor(ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &executors);

}
