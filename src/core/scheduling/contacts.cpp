#include "core/scheduling/contacts.h"

#include "core/scheduling/ledger.h"

#include <algorithm>

namespace bergamotwick {

namespace {

MemberPhase reportedPhase(const std::vector<MemberReport> &reported, const TrackedJob &job)
{
    const auto same = [&job](const MemberReport &report) { return report.job_ == job.record_.spec_.id_ && report.generation_ == job.record_.generation_; };
    const auto found = std::find_if(reported.begin(), reported.end(), same);
    return found == reported.end() ? MemberPhase::Absent : found->phase_;
}

void updateMemberPhases(SchedulerState &state, WorkerIndex worker)
{
    WorkerStatus &status = state.workerStatuses_[worker];
    for (const JobId &id : status.assignedJobs_) {
        TrackedJob &job = state.jobs_.at(id);
        const MemberPhase phase = reportedPhase(status.reported_, job);
        for (MemberState &member : job.members_) {
            if (member.worker_ == worker && member.phase_ != phase) {
                member.phase_ = phase;
                state.jobsToAdvance_.insert(id);
            }
        }
        if (job.record_.state_ == JobState::Stopping) {
            state.jobsToAdvance_.insert(id);
        }
    }
}

void setAlive(SchedulerState &state, WorkerIndex worker, bool alive)
{
    if (state.fleet_.worker(worker).alive_ == alive) {
        return;
    }
    state.fleet_.setAlive(worker, alive);
    const std::set<JobId> &assignedJobs = state.workerStatuses_[worker].assignedJobs_;
    state.jobsToAdvance_.insert(assignedJobs.begin(), assignedJobs.end());
    state.placementPending_ = true;
}

MemberAction actionFor(const TrackedJob &job)
{
    switch (job.record_.state_) {
    case JobState::Placed:
        return MemberAction::Prepare;
    case JobState::Running:
        return MemberAction::Run;
    default:
        return MemberAction::Stop;
    }
}

bool isInTargetPhase(MemberAction action, MemberPhase phase)
{
    switch (action) {
    case MemberAction::Prepare:
        return phase == MemberPhase::Prepared;
    case MemberAction::Run:
        return phase == MemberPhase::Running || phase == MemberPhase::Finished;
    case MemberAction::Stop:
        break;
    }
    return phase == MemberPhase::Absent;
}

bool isAssigned(const SchedulerState &state, const WorkerStatus &status, const MemberReport &report)
{
    return status.assignedJobs_.contains(report.job_) && state.jobs_.at(report.job_).record_.generation_ == report.generation_;
}

/// Appends the orders for \p worker. Returns whether all of its members are already in their target phase.
bool writeOrders(const SchedulerState &state, WorkerIndex worker, std::vector<MemberOrder> &orders)
{
    const WorkerStatus &status = state.workerStatuses_[worker];
    bool converged = true;
    for (const JobId &id : status.assignedJobs_) {
        const TrackedJob &job = state.jobs_.at(id);
        if (job.record_.state_ == JobState::Placed && !job.durable()) {
            continue;
        }
        for (const MemberState &member : job.members_) {
            if (member.worker_ == worker) {
                const MemberAction action = actionFor(job);
                converged = converged && isInTargetPhase(action, member.phase_);
                const bool starts = action == MemberAction::Run && member.phase_ != MemberPhase::Running;
                orders.push_back(
                    {id, job.record_.generation_, member.tasks_, job.record_.spec_.each_, action, starts ? job.record_.spec_.payload_ : std::string()});
            }
        }
    }
    for (const MemberReport &report : status.reported_) {
        if (!isAssigned(state, status, report)) {
            converged = false;
            orders.push_back({report.job_, report.generation_, report.tasks_, Resources(), MemberAction::Stop, {}});
        }
    }
    return converged;
}

}

WorkerIndex applyReport(SchedulerState &state, const AgentReport &report, Instant now)
{
    const WorkerIndex worker = state.fleet_.upsert(WorkerId(report.name_), report.dataCentre_, report.rack_, report.capacity_);
    WorkerStatus &status = workerStatusOf(state, worker);
    const bool restarted = status.incarnation_ != report.incarnation_;
    if (!restarted && report.sequence_ <= status.sequence_) {
        return worker;
    }
    status.incarnation_ = report.incarnation_;
    status.sequence_ = report.sequence_;
    status.lastReportAt_ = now;
    const bool adoptedEpoch = report.epoch_ == state.epoch_ && state.stage_ == OwnerStage::Active;
    if (adoptedEpoch && !status.adoptedEpoch_) {
        status.leaseUntil_ = now + leaseDuration(state); // former owners can no longer renew
    }
    status.adoptedEpoch_ = adoptedEpoch;
    const bool complete = report.membersIncluded_ || report.digest_ == membersDigest({});
    status.stale_ = !complete && (restarted || report.digest_ != status.digest_);
    if (complete) {
        status.reported_ = report.members_;
        status.digest_ = report.digest_;
        updateMemberPhases(state, worker);
    }
    setAlive(state, worker, !report.leaving_);
    return worker;
}

void detectSilentWorkers(SchedulerState &state, Instant now)
{
    const Duration reportTimeout = reportPeriod(state) * state.limits_.maxMissedReports_ + state.limits_.minReportPeriod_ / 2;
    for (WorkerIndex worker = 0; worker < state.workerStatuses_.size(); ++worker) {
        if (now - state.workerStatuses_[worker].lastReportAt_ > reportTimeout) {
            setAlive(state, worker, false);
        }
    }
}

Directive directiveFor(SchedulerState &state, WorkerIndex worker, Instant now)
{
    const Worker &record = state.fleet_.worker(worker);
    WorkerStatus &status = workerStatusOf(state, worker);
    Directive directive;
    directive.agent_ = record.id_.str();
    directive.agentIncarnation_ = status.incarnation_;
    directive.sentAt_ = now;
    directive.lease_ = leaseDuration(state);
    directive.period_ = reportPeriod(state);
    const DataCentreId &dataCentre = state.fleet_.dataCentreId(record.dataCentre_);
    directive.permit_ = {state.control_.revision_, !state.control_.outOfService_.contains(dataCentre), state.control_.readStartedAt_};
    if (state.stage_ != OwnerStage::Active || !mayRenewLeases(state, now)) {
        return directive;
    }
    directive.epoch_ = state.epoch_;
    directive.digest_ = status.digest_;
    directive.membersRequested_ = status.stale_;
    directive.digestConfirmed_ = writeOrders(state, worker, directive.orders_) && !status.stale_;
    if (directive.digestConfirmed_) {
        directive.orders_.clear();
    }
    if (status.adoptedEpoch_) {
        status.leaseUntil_ = std::max(status.leaseUntil_, now + directive.lease_);
    }
    return directive;
}

Duration reportPeriod(const SchedulerState &state)
{
    const auto workers = static_cast<std::int64_t>(state.fleet_.workers().size());
    const std::int64_t budgeted = workers * state.limits_.bytesPerReport_ * std::micro::den / state.limits_.maxBytesPerSecond_;
    return std::max(state.limits_.minReportPeriod_, Duration(budgeted));
}

Duration leaseDuration(const SchedulerState &state)
{
    return std::max(state.limits_.minLease_, reportPeriod(state) * (state.limits_.maxMissedReports_ + 1));
}

bool mayRenewLeases(const SchedulerState &state, Instant now)
{
    return now - state.control_.readStartedAt_ <= state.limits_.maxStoreReadAge_;
}

}
