#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// State transitions of jobs, which also update the resource usage. Every other module uses these functions.
///
/// Thread safety: none; all modify the owner's SchedulerState.

/// Marks \p job as changed: the new version is written to the store, and workers get a directive once it is durable.
void markChanged(SchedulerState &state, TrackedJob &job, Instant now);

/// Places \p job on \p placement. Precondition: the job is queued.
void placeJob(SchedulerState &state, TrackedJob &job, const GangPlacement &placement, Tenure tenure, Instant now);

/// Starts to stop all members of a placed or running job, which is requeued or ended once all have stopped.
void stopJob(SchedulerState &state, TrackedJob &job, JobReason reason, Instant now);

/// Changes the tenure under which a live job holds resources, for instance when its guarantee is withdrawn.
void changeTenure(SchedulerState &state, TrackedJob &job, Tenure tenure);

/// Releases the resources of one member.
void releaseMember(SchedulerState &state, TrackedJob &job, MemberState &member);

/// Moves \p job to \p finalState and releases all resources that it holds.
void finishJob(SchedulerState &state, TrackedJob &job, JobState finalState, Instant now);

/// Returns a stopped job to the queue. Precondition: no member holds resources.
void requeueJob(SchedulerState &state, TrackedJob &job, Instant now);

/// Adds a job read from the store and allocates the resources of its members.
void adoptJob(SchedulerState &state, JobRecord record, std::size_t shard, Instant now);

/// Returns the status of \p worker; creates it on first use.
WorkerStatus &workerStatusOf(SchedulerState &state, WorkerIndex worker);

}
