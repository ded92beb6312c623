#include "core/placement.h"

#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr int maxRackProbes = 12;
constexpr int maxWorkerProbes = 16;

/// Collects members until the whole gang is placed.
class PlacementBuilder
{
public:
    PlacementBuilder(const Fleet &fleet, const PlacementRequest &request)
        : fleet_(fleet)
        , request_(request)
        , remainingTasks_(request.tasks_)
    {
    }

    void add(WorkerIndex worker)
    {
        if (request_.excludes(worker)) {
            return;
        }
        const std::int32_t fits = fleet_.worker(worker).available(request_.capacityView_).timesFits(request_.each_, remainingTasks_);
        if (fits > 0) {
            placement_.push_back({worker, fits});
            remainingTasks_ -= fits;
        }
    }

    [[nodiscard]] bool isComplete() const noexcept
    {
        return remainingTasks_ == 0;
    }

    [[nodiscard]] std::optional<GangPlacement> build()
    {
        if (!isComplete()) {
            return std::nullopt;
        }
        return std::move(placement_);
    }

private:
    const Fleet &fleet_;
    const PlacementRequest &request_;
    std::int32_t remainingTasks_;
    GangPlacement placement_;
};

/// Searches one data centre through its indexes.
class DataCentreSearch
{
public:
    DataCentreSearch(const Fleet &fleet, const PlacementRequest &request, DataCentreIndex dataCentre)
        : fleet_(fleet)
        , request_(request)
        , workersByAvailable_(fleet.workersByAvailable(request.capacityView_, dataCentre))
        , racks_(fleet.racksByAvailable(request.capacityView_, dataCentre))
    {
    }

    /// Returns the worker with the least available capacity that covers \p amount; prefers one without reservations.
    [[nodiscard]] std::optional<WorkerIndex> bestFitWorker(const Resources &amount) const
    {
        std::optional<WorkerIndex> best;
        int probes = 0;
        auto at = workersByAvailable_.lower_bound({amount.accelerators_, amount.cores_, 0});
        while (at != workersByAvailable_.end() && probes < maxWorkerProbes) {
            const auto [accelerators, cores, worker] = *at;
            if (cores < amount.cores_) {
                at = workersByAvailable_.lower_bound({accelerators, amount.cores_, 0});
                continue;
            }
            ++probes;
            if (fleet_.worker(worker).available(request_.capacityView_).covers(amount) && !request_.excludes(worker)) {
                if (fleet_.worker(worker).reserved_ == Resources{}) {
                    return worker;
                }
                best = best.value_or(worker);
            }
            ++at;
        }
        return best;
    }

    [[nodiscard]] std::optional<GangPlacement> onSingleWorker() const
    {
        if (const auto worker = bestFitWorker(request_.each_ * request_.tasks_)) {
            return GangPlacement{{*worker, request_.tasks_}};
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<GangPlacement> inSingleRack() const
    {
        const std::int32_t accelerators = request_.each_.accelerators_ * request_.tasks_;
        int probes = 0;
        for (auto at = racks_.lower_bound({accelerators, 0}); at != racks_.end() && probes < maxRackProbes; ++at, ++probes) {
            std::vector<WorkerIndex> workers = fleet_.rackWorkers(at->second);
            std::erase_if(workers, [this](WorkerIndex worker) { return !isIndexed(worker); });
            if (auto placement = mostTasksFirst(std::move(workers))) {
                return placement;
            }
        }
        return std::nullopt;
    }

    /// Spreads the gang over the data centre.
    ///
    /// Uses the racks with the most available accelerators, or, if the gang needs none, the workers with the least available capacity.
    [[nodiscard]] std::optional<GangPlacement> acrossDataCentre() const
    {
        return request_.each_.accelerators_ > 0 ? mostAvailableRacksFirst() : leastAvailableWorkersFirst();
    }

    [[nodiscard]] bool isIndexed(WorkerIndex worker) const
    {
        const Resources available = fleet_.worker(worker).available(request_.capacityView_);
        return workersByAvailable_.contains({available.accelerators_, available.cores_, worker});
    }

private:
    [[nodiscard]] std::optional<GangPlacement> mostTasksFirst(std::vector<WorkerIndex> workers) const
    {
        const auto fits
            = [this](WorkerIndex worker) { return fleet_.worker(worker).available(request_.capacityView_).timesFits(request_.each_, request_.tasks_); };
        std::stable_sort(workers.begin(), workers.end(), [&](WorkerIndex left, WorkerIndex right) { return fits(left) > fits(right); });
        PlacementBuilder builder(fleet_, request_);
        for (const WorkerIndex worker : workers) {
            builder.add(worker);
        }
        return builder.build();
    }

    [[nodiscard]] std::optional<GangPlacement> mostAvailableRacksFirst() const
    {
        PlacementBuilder builder(fleet_, request_);
        int probes = 4 * request_.tasks_ + maxWorkerProbes;
        for (auto at = racks_.rbegin(); at != racks_.rend() && !builder.isComplete() && at->first >= request_.each_.accelerators_; ++at) {
            for (const WorkerIndex worker : fleet_.rackWorkers(at->second)) {
                if (!builder.isComplete() && --probes > 0 && isIndexed(worker)) {
                    builder.add(worker);
                }
            }
        }
        return builder.build();
    }

    [[nodiscard]] std::optional<GangPlacement> leastAvailableWorkersFirst() const
    {
        PlacementBuilder builder(fleet_, request_);
        int probes = 4 * request_.tasks_ + maxWorkerProbes;
        for (auto at = workersByAvailable_.begin(); at != workersByAvailable_.end() && !builder.isComplete() && --probes > 0; ++at) {
            if (std::get<1>(*at) < request_.each_.cores_) {
                at = workersByAvailable_.lower_bound({std::get<0>(*at), request_.each_.cores_, 0});
                if (at == workersByAvailable_.end()) {
                    break;
                }
            }
            builder.add(std::get<2>(*at));
        }
        return builder.build();
    }

    const Fleet &fleet_;
    const PlacementRequest &request_;
    const std::set<Fleet::WorkerKey> &workersByAvailable_;
    const std::set<Fleet::RackKey> &racks_;
};

std::optional<GangPlacement> findInDataCentre(const Fleet &fleet, const PlacementRequest &request, DataCentreIndex dataCentre)
{
    const DataCentreSearch search(fleet, request, dataCentre);
    if (auto placement = search.onSingleWorker(); placement || request.within_ == Adjacency::Worker) {
        return placement;
    }
    if (request.each_.accelerators_ > 0 || request.within_ == Adjacency::Rack) {
        if (auto placement = search.inSingleRack(); placement || request.within_ == Adjacency::Rack) {
            return placement;
        }
    }
    return search.acrossDataCentre();
}

/// Returns the cost of \p placement; lower is better.
///
/// Compares the number of workers, then the accelerators left over on them plus those reserved there, then the number of schedulable
/// workers in the data centre, which keeps the largest data centre for wide gangs.
std::tuple<std::size_t, std::int32_t, std::size_t> placementCost(const Fleet &fleet, const PlacementRequest &request, const GangPlacement &placement)
{
    std::int32_t leftOver = 0;
    for (const MemberPlacement &member : placement) {
        const Worker &worker = fleet.worker(member.worker_);
        leftOver += worker.available(request.capacityView_).accelerators_ - request.each_.accelerators_ * member.tasks_ + worker.reserved_.accelerators_;
    }
    const DataCentreIndex dataCentre = fleet.worker(placement.front().worker_).dataCentre_;
    return {placement.size(), leftOver, fleet.workersByAvailable(request.capacityView_, dataCentre).size()};
}

std::optional<GangPlacement> topologyAwareFit(const Fleet &fleet, const PlacementRequest &request)
{
    std::optional<GangPlacement> best;
    for (DataCentreIndex at = 0; at < fleet.dataCentreCount(); ++at) {
        auto placement = findInDataCentre(fleet, request, at);
        if (placement && (!best || placementCost(fleet, request, *placement) < placementCost(fleet, request, *best))) {
            best = std::move(placement);
        }
    }
    return best;
}

/// Builds one placement per adjacency group until one of them holds the whole gang.
class GroupedBuilders
{
public:
    GroupedBuilders(const Fleet &fleet, const PlacementRequest &request)
        : fleet_(fleet)
        , request_(request)
    {
    }

    /// Adds \p worker to its group. Returns the group's placement once it holds the whole gang.
    std::optional<GangPlacement> add(WorkerIndex worker)
    {
        PlacementBuilder &builder = builders_.try_emplace(fleet_.adjacencyGroup(worker, request_.within_), fleet_, request_).first->second;
        builder.add(worker);
        return builder.build();
    }

private:
    const Fleet &fleet_;
    const PlacementRequest &request_;
    std::map<std::uint64_t, PlacementBuilder> builders_;
};

/// Returns the accelerators and cores that must be taken from borrowing jobs to make \p placement possible.
std::pair<std::int32_t, std::int32_t> resourcesToPreempt(const Fleet &fleet, const PlacementRequest &request, const GangPlacement &placement)
{
    std::pair<std::int32_t, std::int32_t> preempted{0, 0};
    for (const MemberPlacement &member : placement) {
        const Resources free = fleet.worker(member.worker_).free();
        preempted.first += std::max(0, request.each_.accelerators_ * member.tasks_ - free.accelerators_);
        preempted.second += std::max(0, request.each_.cores_ * member.tasks_ - free.cores_);
    }
    return preempted;
}

// Baseline policies

std::vector<std::vector<WorkerIndex>> candidateGroups(const Fleet &fleet, Adjacency within)
{
    std::map<std::uint64_t, std::vector<WorkerIndex>> groups;
    for (WorkerIndex at = 0; at < fleet.workers().size(); ++at) {
        if (fleet.isSchedulable(at)) {
            groups[fleet.adjacencyGroup(at, within)].push_back(at);
        }
    }
    std::vector<std::vector<WorkerIndex>> out;
    out.reserve(groups.size());
    for (auto &[group, workers] : groups) {
        out.push_back(std::move(workers));
    }
    return out;
}

template<class Order>
std::optional<GangPlacement> fitWithinGroups(const Fleet &fleet, const PlacementRequest &request, Order sortWorkers)
{
    for (auto &workers : candidateGroups(fleet, request.within_)) {
        sortWorkers(workers);
        PlacementBuilder builder(fleet, request);
        for (const WorkerIndex worker : workers) {
            builder.add(worker);
        }
        if (auto placement = builder.build()) {
            return placement;
        }
    }
    return std::nullopt;
}

std::optional<GangPlacement> firstFit(const Fleet &fleet, const PlacementRequest &request)
{
    return fitWithinGroups(fleet, request, [](std::vector<WorkerIndex> &) {});
}

std::optional<GangPlacement> bestFit(const Fleet &fleet, const PlacementRequest &request)
{
    const auto available = [&](WorkerIndex worker) { return fleet.worker(worker).available(request.capacityView_).accelerators_; };
    const auto leastFirst = [&](std::vector<WorkerIndex> &workers) {
        std::stable_sort(workers.begin(), workers.end(), [&](WorkerIndex left, WorkerIndex right) { return available(left) < available(right); });
    };
    return fitWithinGroups(fleet, request, leastFirst);
}

}

std::optional<GangPlacement> findPreemptingPlacement(const Fleet &fleet, const PlacementRequest &request)
{
    const int maxProbes = 4 * request.tasks_ + maxWorkerProbes;
    std::optional<GangPlacement> best;
    for (DataCentreIndex at = 0; at < fleet.dataCentreCount(); ++at) {
        GroupedBuilders groups(fleet, request);
        int probes = 0;
        const auto &workersByFree = fleet.workersByAvailable(CapacityView::Free, at);
        for (auto key = workersByFree.rbegin(); key != workersByFree.rend() && probes < maxProbes; ++key, ++probes) {
            const auto placement = groups.add(std::get<2>(*key));
            if (!placement) {
                continue;
            }
            if (!best || resourcesToPreempt(fleet, request, *placement) < resourcesToPreempt(fleet, request, *best)) {
                best = placement;
            }
            if (request.within_ == Adjacency::DataCentre) {
                break;
            }
        }
    }
    return best;
}

std::optional<GangPlacement> findPlacement(const Fleet &fleet, const PlacementRequest &request, const PlacementPolicy &policy)
{
    return std::visit(Overloaded{
                          [&](const FirstFit &) { return firstFit(fleet, request); },
                          [&](const BestFit &) { return bestFit(fleet, request); },
                          [&](const TopologyAwareFit &) { return topologyAwareFit(fleet, request); },
                      },
                      policy);
}

}
