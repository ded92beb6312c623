#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Lifecycle of runs: reports, ends, losses and stops. Thread safety of all functions: none; one thread owns the cluster state.

/// Reconciles the cluster state with an agent's report. Ignores outdated reports.
void applyReport(ClusterState &cluster, const Report &report);

/// Stops \p run and the other members of its gang.
void stopRun(ClusterState &cluster, const RunId &run, const char *reason);

/// Stops all runs of \p job and releases its reservations.
void stopJob(ClusterState &cluster, Job &job, const char *reason);

/// Sets the job's final state; stops its remaining runs unless it has completed. Does nothing if its state is already final.
void finishJob(ClusterState &cluster, Job &job, JobState state, const char *reason);

/// Removes the runs of executors that have been silent for so long that all their leases have expired.
void expireSilentLeases(ClusterState &cluster);

}
