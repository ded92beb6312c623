#include "core/batch/holding.h"

#include "core/batch/ledger.h"
#include "core/batch/placing.h"
#include "core/batch/racks.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// At most one executor in this many of those that report is held, so that less pressing work goes on too.
constexpr std::size_t executorsPerHeld = 2;

/// At most one accelerator in this many is kept free for urgent work that may come.
constexpr std::int64_t acceleratorsPerReserved = 8;

/// The peak of urgent use counts half after this long.
constexpr milliseconds peakHalfLife{10'000};

double fadedPeak(const UrgentDemand &demand, Instant now)
{
    const std::chrono::duration<double, std::milli> age = now - demand.peakAt_;
    return static_cast<double>(demand.peak_) * std::exp2(-age.count() / static_cast<double>(peakHalfLife.count()));
}

/// Returns how many accelerators of \p service should be free for urgent work: what it took at its latest peak, which fades, less what it
/// has now.
std::int64_t urgentReserve(const ClusterState &cluster, const ServiceId &service)
{
    const auto demand = cluster.urgent_.find(service);
    if (demand == cluster.urgent_.end()) {
        return 0;
    }
    return static_cast<std::int64_t>(fadedPeak(demand->second, cluster.now_)) - demand->second.used_;
}

std::int64_t freeAccelerators(const Executor &executor, const WaitingGroup &group)
{
    return freeResources(executor, group.job_->submission_.id_, group.group_.first_).accelerators_;
}

/// An executor while what to hold is chosen.
struct Site
{
    std::int64_t free_ = 0; ///< accelerators
    const Executor *executor_ = nullptr;
};

void sortEmptiestFirst(std::vector<Site> &sites)
{
    std::stable_sort(sites.begin(), sites.end(), [](const Site &left, const Site &right) { return left.free_ > right.free_; });
}

/// Returns the rack of \p candidates that holds \p missing tasks when it is empty and has most free now; an empty text if none does.
std::string rackToHold(const WaitingGroup &group, const std::vector<Executor *> &candidates, std::size_t missing)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    struct Total
    {
        std::int64_t holds_ = 0;
        std::int64_t free_ = 0;
    };
    std::map<std::string, Total> racks;
    for (const Executor *executor : candidates) {
        Total &total = racks[executor->rack()];
        total.holds_ += executor->info_.capacity_.countFitting(step.countedDemand(), step.count_);
        total.free_ += freeAccelerators(*executor, group);
    }
    std::string best;
    std::int64_t free = -1;
    for (const auto &[rack, total] : racks) {
        const bool wanted = step.affinity_.empty() || rack == step.affinity_;
        if (wanted && total.holds_ >= static_cast<std::int64_t>(missing) && total.free_ > free) {
            best = rack;
            free = total.free_;
        }
    }
    return best;
}

}

ExecutorHolds::ExecutorHolds(const ClusterState &cluster)
    : cluster_(cluster)
    , reportingExecutors_(static_cast<std::size_t>(std::count_if(cluster.executors_.begin(), cluster.executors_.end(), [&cluster](const auto &entry) {
        return cluster.now_ - entry.second.lastReport_ < reportTimeout;
    })))
{
}

bool ExecutorHolds::mayUse(const Executor &executor, std::int32_t priority) const
{
    const auto held = held_.find(executor.info_.incarnation_.executor_);
    return held == held_.end() || priority <= held->second;
}

bool ExecutorHolds::isFull() const
{
    return (held_.size() + 1) * executorsPerHeld > reportingExecutors_;
}

void ExecutorHolds::hold(const Executor &executor, std::int32_t priority)
{
    held_.try_emplace(executor.info_.incarnation_.executor_, priority);
}

std::size_t ExecutorHolds::holdFor(const WaitingGroup &group, const std::vector<Executor *> &candidates, std::size_t missing)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const std::string rack = prefersRack(step) ? rackToHold(group, candidates, missing) : std::string();
    std::vector<Site> sites;
    for (const Executor *executor : candidates) {
        if (rack.empty() || executor->rack() == rack) {
            sites.push_back({freeAccelerators(*executor, group), executor});
        }
    }
    sortEmptiestFirst(sites);
    const std::size_t before = held_.size();
    auto wanted = static_cast<std::int64_t>(missing);
    for (const auto &[free, site] : sites) {
        if (wanted <= 0 || isFull()) {
            break;
        }
        if (held_.contains(site->info_.incarnation_.executor_)) {
            continue; // for a group that comes first
        }
        const std::int64_t fits
            = std::min<std::int64_t>(antiAffinityHeadroom(*site, group), site->info_.capacity_.countFitting(step.countedDemand(), step.count_));
        if (fits > 0) {
            hold(*site, group.job_->priority_);
            wanted -= fits;
        }
    }
    return held_.size() - before;
}

void ExecutorHolds::holdUrgentReserve(const ServiceId &service)
{
    std::int64_t wanted = urgentReserve(cluster_, service);
    if (!reservedServices_.insert(service).second || wanted <= 0) {
        return;
    }
    std::vector<Site> sites;
    std::int64_t capacity = 0;
    for (const auto &[id, executor] : cluster_.executors_) {
        if (!isSchedulable(cluster_, executor, service)) {
            continue;
        }
        capacity += executor.info_.capacity_.accelerators_;
        const std::int64_t free = freeResources(executor, JobId(), 0).accelerators_;
        if (free > 0 && !held_.contains(id)) {
            sites.push_back({free, &executor});
        }
    }
    wanted = std::min(wanted, capacity / acceleratorsPerReserved);
    sortEmptiestFirst(sites);
    for (const auto &[free, site] : sites) {
        if (wanted <= 0 || isFull()) {
            return;
        }
        hold(*site, 0);
        wanted -= free;
    }
}

void recordUrgentUse(ClusterState &cluster, const ServiceId &service, std::int64_t accelerators)
{
    UrgentDemand &demand = cluster.urgent_[service];
    demand.used_ += accelerators;
    if (static_cast<double>(demand.used_) >= fadedPeak(demand, cluster.now_)) {
        demand.peak_ = demand.used_;
        demand.peakAt_ = cluster.now_;
    }
}

}
