#include "core/batch/racks.h"

#include "core/batch/ledger.h"

#include <algorithm>
#include <map>

namespace bergamotwick::batch {

namespace {

/// Maximum time that guaranteed work waits for its rack. A guarantee must be reclaimed within a time limit, and stops take as long again.
constexpr milliseconds maxGuaranteedRackWait{600};

/// Maximum time that a group waits for its rack in a fleet that is mostly idle. The loss on other racks is computed from an estimate that may be
/// far too long, while the executors that it waits for stay unused.
constexpr milliseconds maxIdleRackWait{2'000};

/// Share of used resources from which a fleet counts as busy, and below which it counts as idle, in percent.
constexpr std::int64_t busyThresholdPercent = 75;
constexpr std::int64_t idleThresholdPercent = 50;

/// Resources of the executors of a service that may be assigned work, and how much of them runs occupy.
struct Utilization
{
    ResourceVector capacity_;
    ResourceVector used_;

    /// Returns whether at least busyThresholdPercent of the accelerators are in use.
    [[nodiscard]] bool isBusy() const noexcept
    {
        return used_.accelerators_ * 100 >= capacity_.accelerators_ * busyThresholdPercent;
    }

    /// Returns whether less than idleThresholdPercent of each resource is in use.
    [[nodiscard]] bool isIdle() const noexcept
    {
        const auto isBelow = [](std::int64_t used, std::int64_t capacity) { return used * 100 < capacity * idleThresholdPercent || capacity == 0; };
        return isBelow(used_.cpuMilli_, capacity_.cpuMilli_) && isBelow(used_.memoryMb_, capacity_.memoryMb_)
            && isBelow(used_.accelerators_, capacity_.accelerators_);
    }
};

Utilization utilizationOf(const ClusterState &cluster, const ServiceId &service)
{
    Utilization utilization;
    for (const auto &[id, executor] : cluster.executors_) {
        if (isSchedulable(cluster, executor, service)) {
            utilization.capacity_ += executor.info_.capacity_;
            utilization.used_ += executor.used_;
        }
    }
    return utilization;
}

/// Returns how long \p group waits for its rack before it accepts any: half of the time that it would lose on another rack, or twice
/// that time in a busy fleet, where it would delay other work by as much. In an idle fleet, maxIdleRackWait at most.
milliseconds maxRackWait(const ClusterState &cluster, const WaitingGroup &group)
{
    const Job &job = *group.job_;
    const auto expectedMs = static_cast<double>(cluster.expectedTime(job, job.submission_.steps_[group.group_.step_]).count());
    const milliseconds loss(static_cast<std::int64_t>(expectedMs * (cluster.limits_.spreadFactor_ - 1)));
    if (group.guaranteed_) {
        return std::min(loss / 2, maxGuaranteedRackWait);
    }
    const Utilization utilization = utilizationOf(cluster, job.submission_.service_);
    if (utilization.isIdle()) {
        return std::min(loss / 2, maxIdleRackWait);
    }
    return utilization.isBusy() ? loss * 2 : loss / 2;
}

std::string rackOf(const ClusterState &cluster, const Incarnation &incarnation)
{
    const auto executor = cluster.executors_.find(incarnation.executor_);
    return executor == cluster.executors_.end() ? std::string() : executor->second.rack();
}

/// Returns whether all \p executors are on the one rack where a group of \p step runs at full speed. Precondition: there are any.
bool areRackLocal(const ClusterState &cluster, const Step &step, const std::vector<Incarnation> &executors)
{
    const std::string expectedRack = step.sameRack_ ? rackOf(cluster, executors.front()) : step.affinity_;
    return std::all_of(executors.begin(), executors.end(), [&](const Incarnation &incarnation) { return rackOf(cluster, incarnation) == expectedRack; });
}

}

bool isMostlyIdle(const ClusterState &cluster, const ServiceId &service)
{
    return utilizationOf(cluster, service).isIdle();
}

bool prefersRack(const Step &step) noexcept
{
    return step.sameRack_ || !step.affinity_.empty();
}

std::vector<std::string> preferredRacks(const ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &candidates)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    if (!step.sameRack_) {
        return {step.affinity_};
    }
    std::map<std::string, std::int64_t> free;
    for (const Executor *executor : candidates) {
        free[executor->rack()] += freeResources(cluster, *executor, group).accelerators_;
    }
    std::vector<std::string> racks;
    racks.reserve(free.size());
    for (const auto &[rack, accelerators] : free) {
        racks.push_back(rack);
    }
    std::stable_sort(racks.begin(), racks.end(), [&free](const std::string &left, const std::string &right) { return free.at(left) < free.at(right); });
    return racks;
}

bool isRackLocal(const ClusterState &cluster, const Job &job, const Group &group)
{
    const Step &step = job.submission_.steps_[group.step_];
    const std::vector<TaskProgress> &tasks = job.progress_.tasks_;
    const std::string expectedRack = step.sameRack_ ? rackOf(cluster, tasks[group.first_].placement_) : step.affinity_;
    return std::all_of(tasks.begin() + static_cast<std::ptrdiff_t>(group.first_),
                       tasks.begin() + static_cast<std::ptrdiff_t>(group.end_),
                       [&](const TaskProgress &task) { return rackOf(cluster, task.placement_) == expectedRack; });
}

double rackSlowdown(const ClusterState &cluster, const Step &step, const std::vector<Incarnation> &executors)
{
    const bool isSlowed = prefersRack(step) && !executors.empty() && !areRackLocal(cluster, step, executors);
    return isSlowed ? cluster.limits_.spreadFactor_ : 1;
}

bool mayUseOtherRacks(const ClusterState &cluster, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const auto reserved = group.job_->reservations_.find(group.group_.first_);
    if (reserved != group.job_->reservations_.end() && reserved->second.until_ > cluster.now_) {
        return !areRackLocal(cluster, step, reserved->second.placements_);
    }
    return hasWaitedForRack(cluster, group);
}

bool hasWaitedForRack(const ClusterState &cluster, const WaitingGroup &group)
{
    const auto waiting = group.job_->waitingSince_.find(group.group_.first_);
    return cluster.hasDiscoveredAgents() && waiting != group.job_->waitingSince_.end() && cluster.now_ - waiting->second > maxRackWait(cluster, group);
}

}
