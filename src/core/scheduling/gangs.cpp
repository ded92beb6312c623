#include "core/scheduling/gangs.h"

#include "core/scheduling/contacts.h"
#include "core/scheduling/health.h"
#include "core/scheduling/ledger.h"
#include "core/scheduling/queue.h"

#include <algorithm>
#include <utility>

namespace bergamotwick {

namespace {

constexpr std::int32_t maxRetryDoublings = 10;

template<class Test>
bool allMembers(const TrackedJob &job, Test test)
{
    return std::all_of(job.members_.begin(), job.members_.end(), test);
}

template<class Test>
bool anyMember(const TrackedJob &job, Test test)
{
    return std::any_of(job.members_.begin(), job.members_.end(), test);
}

/// Returns whether one lease has passed since the takeover, so that missing reports count as losses.
bool isTakeoverSettled(const SchedulerState &state, Instant now)
{
    return now - state.activeSince_ >= leaseDuration(state);
}

bool hasLostMember(const SchedulerState &state, const TrackedJob &job, Instant now)
{
    return isTakeoverSettled(state, now) && anyMember(job, [&state](const MemberState &member) {
               return member.phase_ != MemberPhase::Finished && !state.fleet_.worker(member.worker_).alive_;
           });
}

void advancePlaced(SchedulerState &state, TrackedJob &job, Instant now)
{
    if (hasLostMember(state, job, now) || now - job.changedAt_ >= state.limits_.prepareTimeout_) {
        stopJob(state, job, JobReason::WorkerLost, now);
        return;
    }
    const auto prepared = [](const MemberState &member) { return member.phase_ >= MemberPhase::Prepared; };
    if (!job.durable() || !allMembers(job, prepared)) {
        return;
    }
    job.record_.state_ = JobState::Running;
    job.record_.reason_ = JobReason::None;
    job.startedAt_ = now;
    markChanged(state, job, now);
    for (const MemberState &member : job.members_) {
        state.changedWorkers_.insert(member.worker_);
    }
}

void failRunning(SchedulerState &state, TrackedJob &job, Instant now)
{
    ++job.record_.failures_;
    job.notBefore_
        = now + std::min<Duration>(state.limits_.retryBaseDelay_ * (1 << std::min(job.record_.failures_, maxRetryDoublings)), state.limits_.maxRetryDelay_);
    for (const MemberState &member : job.members_) {
        if (member.phase_ == MemberPhase::Failed) {
            job.failedWorkers_.insert(member.worker_);
            recordFailure(state, member.worker_, job.record_.spec_.id_, now);
        }
    }
    stopJob(state, job, JobReason::TaskFailed, now);
}

void advanceRunning(SchedulerState &state, TrackedJob &job, Instant now)
{
    if (anyMember(job, [](const MemberState &member) { return member.phase_ == MemberPhase::Failed; })) {
        failRunning(state, job, now);
        return;
    }
    const auto missing = [](const MemberState &member) { return member.phase_ == MemberPhase::Absent || member.phase_ == MemberPhase::Waiting; };
    if (hasLostMember(state, job, now) || (isTakeoverSettled(state, now) && anyMember(job, missing))) {
        stopJob(state, job, JobReason::WorkerLost, now);
        return;
    }
    if (!allMembers(job, [](const MemberState &member) { return member.phase_ == MemberPhase::Finished; })) {
        return;
    }
    for (const MemberState &member : job.members_) {
        recordSuccess(state, member.worker_);
    }
    learnRunTime(state, job, job.previousRunTime_ + (now - job.startedAt_));
    finishJob(state, job, JobState::Done, now);
}

/// Returns whether \p job has failed on so many workers, or so often, that it is not retried.
bool hasFailedPermanently(const SchedulerLimits &limits, const TrackedJob &job)
{
    return static_cast<std::int32_t>(job.failedWorkers_.size()) >= limits.maxFailedWorkers_ || job.record_.failures_ >= limits.maxFailures_;
}

void advanceStopping(SchedulerState &state, TrackedJob &job, Instant now)
{
    for (MemberState &member : job.members_) {
        const WorkerStatus &status = workerStatusOf(state, member.worker_);
        const bool reportedAbsent = status.adoptedEpoch_ && member.phase_ == MemberPhase::Absent;
        if (reportedAbsent || now >= status.leaseUntil_) {
            releaseMember(state, job, member);
        }
    }
    if (anyMember(job, [](const MemberState &member) { return member.holdsResources_; })) {
        return;
    }
    if (job.record_.cancelRequested_) {
        finishJob(state, job, JobState::Cancelled, now);
    } else if (hasFailedPermanently(state.limits_, job)) {
        finishJob(state, job, JobState::Failed, now);
    } else {
        requeueJob(state, job, now);
    }
}

}

void advanceGangs(SchedulerState &state, Instant now)
{
    const std::set<JobId> due = std::exchange(state.jobsToAdvance_, {});
    for (const JobId &id : due) {
        TrackedJob &job = state.jobs_.at(id);
        switch (job.record_.state_) {
        case JobState::Placed:
            advancePlaced(state, job, now);
            break;
        case JobState::Running:
            advanceRunning(state, job, now);
            break;
        case JobState::Stopping:
            advanceStopping(state, job, now);
            break;
        default:
            break;
        }
    }
}

void evacuateDataCentres(SchedulerState &state, Instant now)
{
    if (state.control_.outOfService_.empty()) {
        return;
    }
    const std::vector<JobId> live(state.live_.begin(), state.live_.end());
    for (const JobId &id : live) {
        TrackedJob &job = state.jobs_.at(id);
        if (state.control_.outOfService_.contains(job.record_.dataCentre_)) {
            stopJob(state, job, JobReason::DataCentreOut, now);
        }
    }
}

void cancelJobs(SchedulerState &state, Instant now)
{
    const std::set<JobId> changedJobs = state.changedJobs_;
    for (const JobId &id : changedJobs) {
        TrackedJob &job = state.jobs_.at(id);
        if (!job.record_.cancelRequested_) {
            continue;
        }
        if (job.record_.state_ == JobState::Queued) {
            finishJob(state, job, JobState::Cancelled, now);
        } else {
            stopJob(state, job, JobReason::Cancelled, now);
        }
    }
}

}
