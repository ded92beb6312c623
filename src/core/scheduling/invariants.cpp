#include "core/scheduling/invariants.h"

#include <algorithm>

namespace bergamotwick {

namespace {

void breach(SchedulerOutputs &outputs, Invariant invariant, const std::string &subject)
{
    outputs.emplace_back(InvariantBroken{invariant, subject});
}

void checkWorker(const SchedulerBoard &board, WorkerIndex index, SchedulerOutputs &outputs)
{
    if (!board.fleet_.isSchedulable(index)) {
        return;
    }
    const Worker &worker = board.fleet_.worker(index);
    if (!worker.unreserved().covers(Resources())) {
        breach(outputs, Invariant::ReservedFits, worker.id_.str());
    }
    if (!worker.reserved_.covers(worker.usedBy(Tenure::Guaranteed))) {
        breach(outputs, Invariant::GuaranteedInsideReserved, worker.id_.str());
    }
}

void checkJob(const SchedulerBoard &board, const JobEntry &job, SchedulerOutputs &outputs)
{
    if (job.record_.state_ != JobState::Placed && job.record_.state_ != JobState::Running) {
        return;
    }
    const std::string &id = job.record_.spec_.id_.str();
    std::int32_t tasks = 0;
    for (const MemberState &member : job.members_) {
        const Worker &worker = board.fleet_.worker(member.worker_);
        tasks += member.tasks_;
        if (board.fleet_.dataCentreId(worker.dataCentre_) != job.record_.dataCentre_) {
            breach(outputs, Invariant::GangInOneDataCentre, id);
        }
        if (member.phase_ == MemberPhase::Running && job.record_.state_ == JobState::Placed && job.changedAt_ > board.activeSince_ + board.limits_.minLease_) {
            breach(outputs, Invariant::RunsOnlyPrepared, id);
        }
    }
    if (tasks != job.record_.spec_.tasks_) {
        breach(outputs, Invariant::MembersWhole, id);
    }
}

}

const char *toString(Invariant invariant) noexcept
{
    constexpr const char *words[] = {"reserved_fits", "guaranteed_inside_reserved", "gang_in_one_datacentre", "runs_only_prepared", "members_whole"};
    return words[static_cast<std::size_t>(invariant)];
}

void checkTouched(const SchedulerBoard &board, SchedulerOutputs &outputs)
{
    for (const WorkerIndex worker : board.touched_) {
        checkWorker(board, worker, outputs);
    }
    for (const JobId &id : board.moved_) {
        if (const auto job = board.jobs_.find(id); job != board.jobs_.end()) {
            checkJob(board, job->second, outputs);
        }
    }
}

}
