#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Changes of a job's state together with the accounts that depend on it. Every other module goes through these.
///
/// Thread safety: none; all work on the owner's board.

/// Marks \p job as changed: it is written to the store, and workers hear of it afterwards.
void markChanged(SchedulerBoard &board, JobEntry &job, Instant now);

/// Places the queued \p job on \p block. Precondition: the job is queued.
void placeJob(SchedulerBoard &board, JobEntry &job, const GangPlacement &block, Tenure tenure, Instant now);

/// Tells every member of a live job to stop. The job is queued again once all have.
void stopJob(SchedulerBoard &board, JobEntry &job, JobReason reason, Instant now);

/// Moves what a live job uses from one right to another, for instance when its guarantee is withdrawn.
void changeTenure(SchedulerBoard &board, JobEntry &job, Tenure tenure);

/// Gives back the room of one member.
void releaseMember(SchedulerBoard &board, JobEntry &job, MemberState &member);

/// Ends \p job for good. Room still held is given back.
void finishJob(SchedulerBoard &board, JobEntry &job, JobState state, Instant now);

/// Puts a stopped job back into the queue. Precondition: no member holds room.
void requeueJob(SchedulerBoard &board, JobEntry &job, Instant now);

/// Adds a job read from the store, with the room its members hold.
void adoptJob(SchedulerBoard &board, JobRecord record, std::size_t shard, Instant now);

/// Returns the contact of \p worker, made on first use.
Contact &contactOf(SchedulerBoard &board, WorkerIndex worker);

}
