#include "core/batch/ledger.h"

#include "core/batch/holding.h"

#include <algorithm>

namespace bergamotwick::batch {

ResourceVector freeResources(const Executor &executor, const JobId &job, std::size_t group)
{
    ResourceVector room = executor.info_.capacity_;
    room -= executor.used_;
    for (const auto &[owner, reserved] : executor.reserved_) {
        if (owner.first != job || owner.second != group) {
            room -= reserved;
        }
    }
    return room;
}

void addRun(ClusterState &cluster, Run run)
{
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    if (job.priority_ == 0) {
        run.urgentService_ = job.submission_.service_;
        recordUrgentUse(cluster, run.urgentService_, run.resources_.accelerators_);
    }
    Executor &executor = cluster.executors_[run.placement_.executor_];
    executor.runs_.insert(run.id_);
    executor.used_ += run.resources_;
    const RunId id = run.id_;
    cluster.runs_.emplace(id, std::move(run));
}

void removeRun(ClusterState &cluster, const RunId &id)
{
    const auto found = cluster.runs_.find(id);
    if (found == cluster.runs_.end()) {
        return;
    }
    const Run &run = found->second;
    Executor &executor = cluster.executors_[run.placement_.executor_];
    if (executor.runs_.erase(id) > 0) {
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
    const ResourceVector each = job.submission_.steps_[group.step_].countedDemand();
    for (const Incarnation &place : reservation.placements_) {
        cluster.executors_[place.executor_].reserved_[{job.submission_.id_, group.first_}] += each;
    }
    job.reservations_[group.first_] = std::move(reservation);
}

void useReservation(ClusterState &cluster, Job &job, const Group &group, const std::vector<Incarnation> &used, std::size_t remaining)
{
    const auto found = job.reservations_.find(group.first_);
    if (found == job.reservations_.end()) {
        return;
    }
    Reservation rest = found->second;
    for (const Incarnation &place : used) {
        const auto at = std::find(rest.placements_.begin(), rest.placements_.end(), place);
        if (at != rest.placements_.end()) {
            rest.placements_.erase(at);
        }
    }
    rest.placements_.resize(std::min(rest.placements_.size(), remaining));
    if (rest.placements_.empty()) {
        release(cluster, job, group.first_);
    } else {
        reserve(cluster, job, group, std::move(rest));
    }
}

void release(ClusterState &cluster, Job &job, std::size_t group)
{
    const auto found = job.reservations_.find(group);
    if (found == job.reservations_.end()) {
        return;
    }
    for (const Incarnation &place : found->second.placements_) {
        cluster.executors_[place.executor_].reserved_.erase({job.submission_.id_, group});
    }
    job.reservations_.erase(found);
}

bool isSchedulable(const ClusterState &cluster, const Executor &executor, const ServiceId &service)
{
    const ExecutorInfo &facts = executor.info_;
    return executor.listed_ && executor.responsive_ && executor.orphans_.empty() && facts.service_ == service && !facts.draining_ && !facts.hasLeft_
        && cluster.now_ - executor.lastReport_ < reportTimeout && executor.quarantinedUntil_ <= cluster.now_ && !cluster.evacuated_.contains(facts.dataCentre_);
}

}
