#include "core/batch/racks.h"

#include "core/batch/guarantees.h"
#include "core/batch/ledger.h"

#include <algorithm>
#include <map>

namespace bergamotwick::batch {

namespace {

/// Guaranteed work waits at most this long for its rack: the guarantee has to be had back, and stops take as long again.
constexpr milliseconds urgentPatience{600};

/// A busy fleet has this share of its accelerators taken, in percent.
constexpr std::int64_t busyPercent = 75;

bool isBusy(const ClusterState &cluster, const ServiceId &service)
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const auto &[id, executor] : cluster.executors_) {
        if (isSchedulable(cluster, executor, service)) {
            capacity += executor.info_.capacity_.accelerators_;
            used += executor.used_.accelerators_;
        }
    }
    return used * 100 >= capacity * busyPercent;
}

/// How long a group waits for the right rack before it takes any: half of the time that it would lose there, and in a busy fleet, where
/// others would lose as much by it, twice that time.
milliseconds patienceOf(const ClusterState &cluster, const WaitingGroup &group)
{
    const Job &job = *group.job_;
    const auto likely = static_cast<double>(cluster.expectedTime(job, job.submission_.steps_[group.group_.step_]).count());
    const milliseconds loss(static_cast<std::int64_t>(likely * (cluster.limits_.spreadFactor_ - 1)));
    if (job.priority_ == 0 && isGuaranteed(cluster, job)) {
        return std::min(loss / 2, urgentPatience);
    }
    return isBusy(cluster, job.submission_.service_) ? loss * 2 : loss / 2;
}

std::string rackOf(const ClusterState &cluster, const Incarnation &place)
{
    const auto executor = cluster.executors_.find(place.executor_);
    return executor == cluster.executors_.end() ? std::string() : executor->second.rack();
}

/// Returns whether \p reservation holds room where the group runs at full speed.
bool isNear(const ClusterState &cluster, const Reservation &reservation, const Step &step)
{
    const std::string wanted = step.sameRack_ ? rackOf(cluster, reservation.placements_.front()) : step.affinity_;
    return std::all_of(
        reservation.placements_.begin(), reservation.placements_.end(), [&](const Incarnation &place) { return rackOf(cluster, place) == wanted; });
}

}

bool prefersRack(const Step &step) noexcept
{
    return step.sameRack_ || !step.affinity_.empty();
}

std::vector<std::string> preferredRacks(const WaitingGroup &group, const std::vector<Executor *> &candidates)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    if (!step.sameRack_) {
        return {step.affinity_};
    }
    std::map<std::string, std::int64_t> free;
    for (const Executor *executor : candidates) {
        free[executor->rack()] += freeResources(*executor, group.job_->submission_.id_, group.group_.first_).accelerators_;
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
    const std::string wanted = step.sameRack_ ? rackOf(cluster, tasks[group.first_].placement_) : step.affinity_;
    return std::all_of(tasks.begin() + static_cast<std::ptrdiff_t>(group.first_),
                       tasks.begin() + static_cast<std::ptrdiff_t>(group.end_),
                       [&](const TaskProgress &task) { return rackOf(cluster, task.placement_) == wanted; });
}

bool mayUseOtherRacks(const ClusterState &cluster, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const auto reserved = group.job_->reservations_.find(group.group_.first_);
    if (reserved != group.job_->reservations_.end() && reserved->second.until_ > cluster.now_) {
        return !isNear(cluster, reserved->second, step);
    }
    return hasWaitedForRack(cluster, group);
}

bool hasWaitedForRack(const ClusterState &cluster, const WaitingGroup &group)
{
    const auto waiting = group.job_->waitingSince_.find(group.group_.first_);
    return cluster.hasDiscoveredAgents() && waiting != group.job_->waitingSince_.end() && cluster.now_ - waiting->second > patienceOf(cluster, group);
}

}
