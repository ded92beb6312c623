#include "core/scheduling/ledger.h"

namespace bergamotwick {

namespace {

void account(SchedulerBoard &board, const JobEntry &job, std::int32_t sign)
{
    board.inUse_[job.record_.spec_.workspace_] += job.record_.spec_.each_ * (job.record_.spec_.tasks_ * sign);
}

void takeSlots(SchedulerBoard &board, const JobEntry &job)
{
    for (Reservation &reservation : board.reservations_) {
        if (reservation.workspace_ != job.record_.spec_.workspace_ || reservation.id_ != job.record_.guarantee_) {
            continue;
        }
        for (const MemberState &member : job.members_) {
            std::int32_t left = member.tasks_;
            for (ReservedSlot &slot : reservation.slots_) {
                if (left > 0 && slot.user_.empty() && slot.worker_ == member.worker_) {
                    slot.user_ = job.record_.spec_.id_;
                    --left;
                }
            }
        }
    }
}

void dropSlots(SchedulerBoard &board, const JobEntry &job)
{
    for (Reservation &reservation : board.reservations_) {
        if (reservation.workspace_ != job.record_.spec_.workspace_) {
            continue;
        }
        for (ReservedSlot &slot : reservation.slots_) {
            if (slot.user_ == job.record_.spec_.id_) {
                slot.user_ = JobId();
            }
        }
    }
}

void forgetMembers(SchedulerBoard &board, JobEntry &job)
{
    for (MemberState &member : job.members_) {
        releaseMember(board, job, member);
        contactOf(board, member.worker_).residents_.erase(job.record_.spec_.id_);
        board.touched_.insert(member.worker_);
    }
    job.members_.clear();
    job.record_.members_.clear();
    board.live_.erase(job.record_.spec_.id_);
    board.placeAgain_ = true;
}

}

Contact &contactOf(SchedulerBoard &board, WorkerIndex worker)
{
    if (board.contacts_.size() <= worker) {
        board.contacts_.resize(worker + 1);
    }
    return board.contacts_[worker];
}

void markChanged(SchedulerBoard &board, JobEntry &job, Instant now)
{
    ++job.version_;
    job.changedAt_ = now;
    board.shards_[job.shard_].dirty_ = true;
    board.moved_.insert(job.record_.spec_.id_);
    board.attention_.insert(job.record_.spec_.id_);
}

void placeJob(SchedulerBoard &board, JobEntry &job, const GangPlacement &block, Tenure tenure, Instant now)
{
    JobRecord &record = job.record_;
    record.state_ = JobState::Placed;
    record.tenure_ = tenure;
    ++record.generation_;
    record.members_.clear();
    job.members_.clear();
    for (const MemberPlacement &member : block) {
        job.members_.push_back({member.worker_, member.tasks_, MemberPhase::Absent, true});
        record.members_.push_back({board.fleet_.worker(member.worker_).id_, member.tasks_});
        board.fleet_.allocate(member.worker_, tenure, record.spec_.each_ * member.tasks_);
        contactOf(board, member.worker_).residents_.insert(record.spec_.id_);
        board.touched_.insert(member.worker_);
    }
    record.dataCentre_ = board.fleet_.dataCentreId(board.fleet_.worker(block.front().worker_).dataCentre_);
    board.queued_.erase(record.spec_.id_);
    board.live_.insert(record.spec_.id_);
    account(board, job, 1);
    takeSlots(board, job);
    markChanged(board, job, now);
}

void changeTenure(SchedulerBoard &board, JobEntry &job, Tenure tenure)
{
    const Tenure before = job.record_.tenure_;
    if (before == tenure) {
        return;
    }
    job.record_.tenure_ = tenure;
    for (const MemberState &member : job.members_) {
        if (member.holdsRoom_) {
            const Resources amount = job.record_.spec_.each_ * member.tasks_;
            board.fleet_.release(member.worker_, before, amount);
            board.fleet_.allocate(member.worker_, tenure, amount);
            board.touched_.insert(member.worker_);
        }
    }
}

void stopJob(SchedulerBoard &board, JobEntry &job, JobReason reason, Instant now)
{
    if (job.record_.state_ != JobState::Placed && job.record_.state_ != JobState::Running) {
        return;
    }
    if (job.record_.state_ == JobState::Running) {
        job.ranFor_ += now - job.startedAt_;
    }
    job.record_.state_ = JobState::Stopping;
    job.record_.reason_ = reason;
    changeTenure(board, job, Tenure::Borrowed); // from here on a borrower that has been told to leave
    dropSlots(board, job);
    account(board, job, -1);
    for (const MemberState &member : job.members_) {
        board.touched_.insert(member.worker_);
    }
    markChanged(board, job, now);
}

void releaseMember(SchedulerBoard &board, JobEntry &job, MemberState &member)
{
    if (!member.holdsRoom_) {
        return;
    }
    member.holdsRoom_ = false;
    board.fleet_.release(member.worker_, job.record_.tenure_, job.record_.spec_.each_ * member.tasks_);
    board.touched_.insert(member.worker_);
    board.placeAgain_ = true;
}

void finishJob(SchedulerBoard &board, JobEntry &job, JobState state, Instant now)
{
    if (job.record_.state_ == JobState::Placed || job.record_.state_ == JobState::Running) {
        account(board, job, -1);
    }
    dropSlots(board, job);
    forgetMembers(board, job);
    board.queued_.erase(job.record_.spec_.id_);
    job.record_.state_ = state;
    job.record_.finished_ = board.wall_;
    markChanged(board, job, now);
}

void requeueJob(SchedulerBoard &board, JobEntry &job, Instant now)
{
    forgetMembers(board, job);
    job.record_.state_ = JobState::Queued;
    job.record_.guarantee_ = GuaranteeId();
    board.queued_.insert(job.record_.spec_.id_);
    markChanged(board, job, now);
}

void adoptJob(SchedulerBoard &board, JobRecord record, std::size_t shard, Instant now)
{
    const JobId id = record.spec_.id_;
    JobEntry &job = board.jobs_[id];
    job.record_ = std::move(record);
    job.shard_ = shard;
    job.written_ = job.version_;
    job.queuedAt_ = now;
    job.changedAt_ = now;
    job.startedAt_ = now;
    if (job.record_.state_ == JobState::Queued) {
        board.queued_.insert(id);
        board.placeAgain_ = true;
        return;
    }
    if (!job.live()) {
        return;
    }
    for (const MemberRecord &member : job.record_.members_) {
        WorkerIndex worker = 0;
        if (!board.fleet_.find(member.worker_, worker)) {
            worker = board.fleet_.upsert(member.worker_, job.record_.dataCentre_, RackId(), Resources());
        }
        job.members_.push_back({worker, member.tasks_, MemberPhase::Absent, true});
        board.fleet_.allocate(worker, job.record_.tenure_, job.record_.spec_.each_ * member.tasks_);
        contactOf(board, worker).residents_.insert(id);
    }
    board.live_.insert(id);
    if (job.record_.state_ != JobState::Stopping) {
        account(board, job, 1);
        takeSlots(board, job);
    }
}

}
