#include "core/batch/ledger.h"

#include "core/batch/holding.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// Returns whether \p group must leave alone what is reserved for the group of \p holder that starts with task \p first.
bool isBoundBy(const ClusterState &cluster, const WaitingGroup &group, const JobId &holder, std::size_t first)
{
    if (holder == group.job_->submission_.id_ && first == group.group_.first_) {
        return false;
    }
    const auto job = cluster.jobs_.find(holder);
    return !group.guaranteed_ || (job != cluster.jobs_.end() && job->second.guaranteed_);
}

/// Returns the resources of \p executor without those in use and those reserved for groups for which \p isBinding returns true.
template<class Predicate>
ResourceVector subtractReserved(const Executor &executor, Predicate isBinding)
{
    ResourceVector available = executor.info_.capacity_;
    available -= executor.used_;
    for (const auto &[holder, reserved] : executor.reserved_) {
        if (isBinding(holder.first, holder.second)) {
            available -= reserved;
        }
    }
    return available;
}

}

ResourceVector freeResources(const Executor &executor)
{
    return subtractReserved(executor, [](const JobId &, std::size_t) { return true; });
}

ResourceVector freeResources(const ClusterState &cluster, const Executor &executor, const WaitingGroup &group)
{
    return subtractReserved(executor, [&](const JobId &holder, std::size_t first) { return isBoundBy(cluster, group, holder, first); });
}

void addRun(ClusterState &cluster, Run run)
{
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    if (job.settings_.priority_ == 0) {
        run.urgentService_ = job.submission_.service_;
        recordUrgentUse(cluster, run.urgentService_, run.resources_.accelerators_);
    }
    Executor &executor = cluster.executors_[run.placement_.executor_];
    executor.runs_.insert(run.id_);
    executor.used_ += run.resources_;
    const RunId id = run.id_;
    cluster.runs_.emplace(id, std::move(run));
}

void setEnded(ClusterState &cluster, Run &run, bool hasEnded)
{
    if (run.hasEnded_ == hasEnded) {
        return;
    }
    run.hasEnded_ = hasEnded;
    ResourceVector &used = cluster.executors_.at(run.placement_.executor_).used_;
    if (hasEnded) {
        used -= run.resources_;
    } else {
        used += run.resources_;
    }
}

void removeRun(ClusterState &cluster, const RunId &id)
{
    const auto found = cluster.runs_.find(id);
    if (found == cluster.runs_.end()) {
        return;
    }
    const Run &run = found->second;
    Executor &executor = cluster.executors_[run.placement_.executor_];
    if (executor.runs_.erase(id) > 0 && !run.hasEnded_) {
        executor.used_ -= run.resources_;
    }
    if (!run.urgentService_.empty()) {
        recordUrgentUse(cluster, run.urgentService_, -run.resources_.accelerators_);
    }
    const auto job = cluster.jobs_.find(id.task_.job_);
    if (job != cluster.jobs_.end()) {
        const auto index = indexOf(job->second.submission_, id.task_);
        TaskProgress &task = job->second.progress_.tasks_[*index];
        if (task.run_ == id.run_) {
            task.assigned_ = false;
            job->second.markChanged();
        }
    }
    cluster.runs_.erase(found);
}

void reserve(ClusterState &cluster, Job &job, const Group &group, Reservation reservation)
{
    release(cluster, job, group.first_);
    const ResourceVector taskDemand = job.submission_.steps_[group.step_].countedDemand();
    for (const Incarnation &placement : reservation.placements_) {
        cluster.executors_[placement.executor_].reserved_[{job.submission_.id_, group.first_}] += taskDemand;
    }
    job.reservations_[group.first_] = std::move(reservation);
}

void useReservation(ClusterState &cluster, Job &job, const Group &group, const std::vector<Incarnation> &used, std::size_t remaining)
{
    const auto found = job.reservations_.find(group.first_);
    if (found == job.reservations_.end()) {
        return;
    }
    Reservation remainder = found->second;
    for (const Incarnation &placement : used) {
        const auto match = std::find(remainder.placements_.begin(), remainder.placements_.end(), placement);
        if (match != remainder.placements_.end()) {
            remainder.placements_.erase(match);
        }
    }
    remainder.placements_.resize(std::min(remainder.placements_.size(), remaining));
    if (remainder.placements_.empty()) {
        release(cluster, job, group.first_);
    } else {
        reserve(cluster, job, group, std::move(remainder));
    }
}

void release(ClusterState &cluster, Job &job, std::size_t group)
{
    const auto found = job.reservations_.find(group);
    if (found == job.reservations_.end()) {
        return;
    }
    for (const Incarnation &placement : found->second.placements_) {
        cluster.executors_[placement.executor_].reserved_.erase({job.submission_.id_, group});
    }
    job.reservations_.erase(found);
}

bool isSchedulable(const ClusterState &cluster, const Executor &executor, const ServiceId &service)
{
    const ExecutorInfo &info = executor.info_;
    return executor.listed_ && executor.responsive_ && executor.orphans_.empty() && info.service_ == service && !info.draining_ && !info.hasLeft_
        && cluster.now_ - executor.lastReport_ < reportTimeout && executor.quarantinedUntil_ <= cluster.now_ && !cluster.evacuated_.contains(info.dataCentre_);
}

}
