#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Lifecycle of runs: reports, ends, losses and stops. Thread safety of all functions: none; one thread owns the cluster state.

/// Reconciles the cluster state with an agent's report. Ignores outdated reports.
void applyReport(ClusterState &cluster, const Report &report);

/// Stops \p run and the other members of its gang.
void stopRun(ClusterState &cluster, const RunId &run, const char *reason);

/// Stops the other members of the gang of \p run, as a gang can't run without one of its members. Does nothing if the run belongs to no gang or
/// its task is done.
void stopRestOfGang(ClusterState &cluster, const RunId &run, const char *reason);

/// Stops all runs of \p job and releases its reservations. Lasting tasks that may be at work go on if the job has failed, until it is cancelled: a
/// task that fails doesn't make others of its step unavailable.
void stopJob(ClusterState &cluster, Job &job, const char *reason);

/// Sets the job's final state; stops its remaining runs unless it has completed. If its state is already final, only a cancellation has an effect: it
/// stops what still runs.
void finishJob(ClusterState &cluster, Job &job, JobState state, const char *reason);

}
