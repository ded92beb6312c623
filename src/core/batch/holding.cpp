#include "core/batch/holding.h"

#include "core/batch/ledger.h"
#include "core/batch/placing.h"
#include "core/batch/racks.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// At most one in this many of the executors that get work is held, so that work of lower priority continues as well.
constexpr std::size_t executorsPerHeld = 2;

/// At most one accelerator in this many is held for expected urgent work.
constexpr std::int64_t acceleratorsPerReserved = 8;

/// Half-life of the exponential decay of the peak of urgent use.
constexpr milliseconds peakHalfLife{10'000};

/// Returns the peak of \p demand, decayed by its age at \p now.
double decayedPeak(const UrgentDemand &demand, Instant now)
{
    const std::chrono::duration<double, std::milli> age = now - demand.peakAt_;
    return static_cast<double>(demand.peak_) * std::exp2(-age.count() / static_cast<double>(peakHalfLife.count()));
}

/// Returns how many more accelerators should be free for urgent work of \p service: the decayed peak of its use minus its present use.
std::int64_t urgentReserve(const ClusterState &cluster, const ServiceId &service)
{
    const auto demand = cluster.urgent_.find(service);
    if (demand == cluster.urgent_.end()) {
        return 0;
    }
    return static_cast<std::int64_t>(decayedPeak(demand->second, cluster.now_)) - demand->second.used_;
}

std::int64_t freeAccelerators(const ClusterState &cluster, const Executor &executor, const WaitingGroup &group)
{
    return freeResources(cluster, executor, group).accelerators_;
}

/// An executor that may be held.
struct Candidate
{
    std::int64_t freeAccelerators_ = 0;
    const Executor *executor_ = nullptr;
};

void sortByFreeAccelerators(std::vector<Candidate> &candidates)
{
    std::stable_sort(
        candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.freeAccelerators_ > right.freeAccelerators_; });
}

/// Returns the rack of \p candidates that would fit \p missing tasks when empty and has the most free accelerators now, or an empty string if
/// none would.
std::string rackToHold(const ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &candidates, std::size_t missing)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    struct RackTotals
    {
        std::int64_t taskCapacity_ = 0; ///< number of tasks that fit when the rack is empty
        std::int64_t freeAccelerators_ = 0;
    };
    std::map<std::string, RackTotals> racks;
    for (const Executor *executor : candidates) {
        RackTotals &totals = racks[executor->rack()];
        totals.taskCapacity_ += executor->info_.capacity_.countFitting(step.countedDemand(), step.count_);
        totals.freeAccelerators_ += freeAccelerators(cluster, *executor, group);
    }
    std::string best;
    std::int64_t free = -1;
    for (const auto &[rack, totals] : racks) {
        const bool allowed = step.affinity_.empty() || rack == step.affinity_;
        if (allowed && totals.taskCapacity_ >= static_cast<std::int64_t>(missing) && totals.freeAccelerators_ > free) {
            best = rack;
            free = totals.freeAccelerators_;
        }
    }
    return best;
}

}

ExecutorHolds::ExecutorHolds(const ClusterState &cluster)
    : cluster_(cluster)
    , schedulableExecutors_(static_cast<std::size_t>(std::count_if(cluster.executors_.begin(), cluster.executors_.end(), [&cluster](const auto &entry) {
        return isSchedulable(cluster, entry.second, entry.second.info_.service_);
    })))
{
}

bool ExecutorHolds::mayUse(const Executor &executor, std::int32_t rank) const
{
    const auto held = held_.find(executor.info_.incarnation_.executor_);
    return held == held_.end() || rank <= held->second;
}

bool ExecutorHolds::isLimitReached() const
{
    return (held_.size() + 1) * executorsPerHeld > schedulableExecutors_;
}

void ExecutorHolds::hold(const Executor &executor, std::int32_t rank)
{
    held_.try_emplace(executor.info_.incarnation_.executor_, rank);
}

std::size_t ExecutorHolds::holdFor(const WaitingGroup &group, const std::vector<Executor *> &candidates, std::size_t missing)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const std::string rack = prefersRack(step) ? rackToHold(cluster_, group, candidates, missing) : std::string();
    std::vector<Candidate> sorted;
    for (const Executor *executor : candidates) {
        if (rack.empty() || executor->rack() == rack) {
            sorted.push_back({freeAccelerators(cluster_, *executor, group), executor});
        }
    }
    sortByFreeAccelerators(sorted);
    const std::size_t heldBefore = held_.size();
    auto missingTasks = static_cast<std::int64_t>(missing);
    for (const auto &[free, executor] : sorted) {
        if (missingTasks <= 0 || isLimitReached()) {
            break;
        }
        if (held_.contains(executor->info_.incarnation_.executor_)) {
            continue; // already held, for a group that is more urgent
        }
        const std::int64_t fittingTasks
            = std::min<std::int64_t>(antiAffinityHeadroom(*executor, group), executor->info_.capacity_.countFitting(step.countedDemand(), step.count_));
        if (fittingTasks > 0) {
            hold(*executor, group.rank());
            missingTasks -= fittingTasks;
        }
    }
    return held_.size() - heldBefore;
}

void ExecutorHolds::holdUrgentReserve(const ServiceId &service)
{
    std::int64_t neededAccelerators = urgentReserve(cluster_, service);
    if (!reservedServices_.insert(service).second || neededAccelerators <= 0) {
        return;
    }
    std::vector<Candidate> sorted;
    std::int64_t capacity = 0;
    for (const auto &[id, executor] : cluster_.executors_) {
        if (!isSchedulable(cluster_, executor, service) || cluster_.slowHosts_.contains(executor.info_.incarnation_.host_)) {
            continue;
        }
        capacity += executor.info_.capacity_.accelerators_;
        const std::int64_t free = freeResources(executor).accelerators_;
        if (free > 0 && !held_.contains(id)) {
            sorted.push_back({free, &executor});
        }
    }
    neededAccelerators = std::min(neededAccelerators, capacity / acceleratorsPerReserved);
    sortByFreeAccelerators(sorted);
    for (const auto &[free, executor] : sorted) {
        if (neededAccelerators <= 0 || isLimitReached()) {
            return;
        }
        hold(*executor, 0);
        neededAccelerators -= free;
    }
}

void recordUrgentUse(ClusterState &cluster, const ServiceId &service, std::int64_t accelerators)
{
    UrgentDemand &demand = cluster.urgent_[service];
    demand.used_ += accelerators;
    if (static_cast<double>(demand.used_) >= decayedPeak(demand, cluster.now_)) {
        demand.peak_ = demand.used_;
        demand.peakAt_ = cluster.now_;
    }
}

}
