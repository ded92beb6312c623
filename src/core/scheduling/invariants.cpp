#include "core/scheduling/invariants.h"

#include <algorithm>

namespace bergamotwick {

namespace {

void reportViolation(SchedulerOutputs &outputs, Invariant invariant, const std::string &subject)
{
    outputs.emplace_back(InvariantViolated{invariant, subject});
}

void checkWorker(const SchedulerState &state, WorkerIndex index, SchedulerOutputs &outputs)
{
    if (!state.fleet_.isSchedulable(index)) {
        return;
    }
    const Worker &worker = state.fleet_.worker(index);
    if (!worker.unreserved().covers(Resources())) {
        reportViolation(outputs, Invariant::ReservedFits, worker.id_.str());
    }
    if (!worker.reserved_.covers(worker.usedBy(Tenure::Guaranteed))) {
        reportViolation(outputs, Invariant::GuaranteedInsideReserved, worker.id_.str());
    }
}

void checkJob(const SchedulerState &state, const TrackedJob &job, SchedulerOutputs &outputs)
{
    if (job.record_.state_ != JobState::Placed && job.record_.state_ != JobState::Running) {
        return;
    }
    const std::string &id = job.record_.spec_.id_.str();
    std::int32_t tasks = 0;
    for (const MemberState &member : job.members_) {
        const Worker &worker = state.fleet_.worker(member.worker_);
        tasks += member.tasks_;
        if (state.fleet_.dataCentreId(worker.dataCentre_) != job.record_.dataCentre_) {
            reportViolation(outputs, Invariant::GangInOneDataCentre, id);
        }
        if (member.phase_ == MemberPhase::Running && job.record_.state_ == JobState::Placed && job.changedAt_ > state.activeSince_ + state.limits_.minLease_) {
            reportViolation(outputs, Invariant::RunsOnlyPrepared, id);
        }
    }
    if (tasks != job.record_.spec_.tasks_) {
        reportViolation(outputs, Invariant::MembersWhole, id);
    }
}

}

const char *toString(Invariant invariant) noexcept
{
    constexpr const char *names[] = {"reserved_fits", "guaranteed_inside_reserved", "gang_in_one_datacentre", "runs_only_prepared", "members_whole"};
    return names[static_cast<std::size_t>(invariant)];
}

void checkInvariants(const SchedulerState &state, SchedulerOutputs &outputs)
{
    for (const WorkerIndex worker : state.changedWorkers_) {
        checkWorker(state, worker, outputs);
    }
    for (const JobId &id : state.changedJobs_) {
        if (const auto job = state.jobs_.find(id); job != state.jobs_.end()) {
            checkJob(state, job->second, outputs);
        }
    }
}

}
