#include "core/scheduling/ledger.h"

namespace bergamotwick {

namespace {

void adjustWorkspaceUsage(SchedulerState &state, const TrackedJob &job, std::int32_t sign)
{
    state.workspaceUsage_[job.record_.spec_.workspace_] += job.record_.spec_.each_ * (job.record_.spec_.tasks_ * sign);
}

void occupySlots(SchedulerState &state, const TrackedJob &job)
{
    for (Reservation &reservation : state.reservations_) {
        if (reservation.workspace_ != job.record_.spec_.workspace_ || reservation.id_ != job.record_.guarantee_) {
            continue;
        }
        for (const MemberState &member : job.members_) {
            std::int32_t left = member.tasks_;
            for (ReservedSlot &slot : reservation.slots_) {
                if (left > 0 && slot.jobId_.empty() && slot.worker_ == member.worker_) {
                    slot.jobId_ = job.record_.spec_.id_;
                    --left;
                }
            }
        }
    }
}

void releaseSlots(SchedulerState &state, const TrackedJob &job)
{
    for (Reservation &reservation : state.reservations_) {
        if (reservation.workspace_ != job.record_.spec_.workspace_) {
            continue;
        }
        for (ReservedSlot &slot : reservation.slots_) {
            if (slot.jobId_ == job.record_.spec_.id_) {
                slot.jobId_ = JobId();
            }
        }
    }
}

void clearMembers(SchedulerState &state, TrackedJob &job)
{
    for (MemberState &member : job.members_) {
        releaseMember(state, job, member);
        workerStatusOf(state, member.worker_).assignedJobs_.erase(job.record_.spec_.id_);
        state.changedWorkers_.insert(member.worker_);
    }
    job.members_.clear();
    job.record_.members_.clear();
    state.live_.erase(job.record_.spec_.id_);
    state.placementPending_ = true;
}

}

WorkerStatus &workerStatusOf(SchedulerState &state, WorkerIndex worker)
{
    if (state.workerStatuses_.size() <= worker) {
        state.workerStatuses_.resize(worker + 1);
    }
    return state.workerStatuses_[worker];
}

void markChanged(SchedulerState &state, TrackedJob &job, Instant now)
{
    ++job.version_;
    job.changedAt_ = now;
    state.shards_[job.shard_].dirty_ = true;
    state.changedJobs_.insert(job.record_.spec_.id_);
    state.jobsToAdvance_.insert(job.record_.spec_.id_);
}

void placeJob(SchedulerState &state, TrackedJob &job, const GangPlacement &placement, Tenure tenure, Instant now)
{
    JobRecord &record = job.record_;
    record.state_ = JobState::Placed;
    record.tenure_ = tenure;
    ++record.generation_;
    record.members_.clear();
    job.members_.clear();
    for (const MemberPlacement &member : placement) {
        job.members_.push_back({member.worker_, member.tasks_, MemberPhase::Absent, true});
        record.members_.push_back({state.fleet_.worker(member.worker_).id_, member.tasks_});
        state.fleet_.allocate(member.worker_, tenure, record.spec_.each_ * member.tasks_);
        workerStatusOf(state, member.worker_).assignedJobs_.insert(record.spec_.id_);
        state.changedWorkers_.insert(member.worker_);
    }
    record.dataCentre_ = state.fleet_.dataCentreId(state.fleet_.worker(placement.front().worker_).dataCentre_);
    state.queued_.erase(record.spec_.id_);
    state.live_.insert(record.spec_.id_);
    adjustWorkspaceUsage(state, job, 1);
    occupySlots(state, job);
    markChanged(state, job, now);
}

void changeTenure(SchedulerState &state, TrackedJob &job, Tenure tenure)
{
    const Tenure before = job.record_.tenure_;
    if (before == tenure) {
        return;
    }
    job.record_.tenure_ = tenure;
    for (const MemberState &member : job.members_) {
        if (member.holdsResources_) {
            const Resources amount = job.record_.spec_.each_ * member.tasks_;
            state.fleet_.release(member.worker_, before, amount);
            state.fleet_.allocate(member.worker_, tenure, amount);
            state.changedWorkers_.insert(member.worker_);
        }
    }
}

void stopJob(SchedulerState &state, TrackedJob &job, JobReason reason, Instant now)
{
    if (job.record_.state_ != JobState::Placed && job.record_.state_ != JobState::Running) {
        return;
    }
    if (job.record_.state_ == JobState::Running) {
        job.previousRunTime_ += now - job.startedAt_;
    }
    job.record_.state_ = JobState::Stopping;
    job.record_.reason_ = reason;
    changeTenure(state, job, Tenure::Borrowed); // a stopping job uses no reserved slots
    releaseSlots(state, job);
    adjustWorkspaceUsage(state, job, -1);
    for (const MemberState &member : job.members_) {
        state.changedWorkers_.insert(member.worker_);
    }
    markChanged(state, job, now);
}

void releaseMember(SchedulerState &state, TrackedJob &job, MemberState &member)
{
    if (!member.holdsResources_) {
        return;
    }
    member.holdsResources_ = false;
    state.fleet_.release(member.worker_, job.record_.tenure_, job.record_.spec_.each_ * member.tasks_);
    state.changedWorkers_.insert(member.worker_);
    state.placementPending_ = true;
}

void finishJob(SchedulerState &state, TrackedJob &job, JobState finalState, Instant now)
{
    if (job.record_.state_ == JobState::Placed || job.record_.state_ == JobState::Running) {
        adjustWorkspaceUsage(state, job, -1);
    }
    releaseSlots(state, job);
    clearMembers(state, job);
    state.queued_.erase(job.record_.spec_.id_);
    job.record_.state_ = finalState;
    job.record_.finished_ = state.wallTime_;
    markChanged(state, job, now);
}

void requeueJob(SchedulerState &state, TrackedJob &job, Instant now)
{
    clearMembers(state, job);
    job.record_.state_ = JobState::Queued;
    job.record_.guarantee_ = GuaranteeId();
    state.queued_.insert(job.record_.spec_.id_);
    markChanged(state, job, now);
}

void adoptJob(SchedulerState &state, JobRecord record, std::size_t shard, Instant now)
{
    const JobId id = record.spec_.id_;
    TrackedJob &job = state.jobs_[id];
    job.record_ = std::move(record);
    job.shard_ = shard;
    job.durableVersion_ = job.version_;
    job.queuedAt_ = now;
    job.changedAt_ = now;
    job.startedAt_ = now;
    if (job.record_.state_ == JobState::Queued) {
        state.queued_.insert(id);
        state.placementPending_ = true;
        return;
    }
    if (!job.live()) {
        return;
    }
    for (const MemberRecord &member : job.record_.members_) {
        WorkerIndex worker = 0;
        if (!state.fleet_.find(member.worker_, worker)) {
            worker = state.fleet_.upsert(member.worker_, job.record_.dataCentre_, RackId(), Resources());
        }
        job.members_.push_back({worker, member.tasks_, MemberPhase::Absent, true});
        state.fleet_.allocate(worker, job.record_.tenure_, job.record_.spec_.each_ * member.tasks_);
        workerStatusOf(state, worker).assignedJobs_.insert(id);
    }
    state.live_.insert(id);
    if (job.record_.state_ != JobState::Stopping) {
        adjustWorkspaceUsage(state, job, 1);
        occupySlots(state, job);
    }
}

}
