#include "core/placement.h"

#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr int maxRackProbes = 12;
constexpr int maxWorkerProbes = 16;

/// Collects members until the gang is whole.
class BlockBuilder
{
public:
    BlockBuilder(const Fleet &fleet, const Demand &demand)
        : fleet_(fleet)
        , demand_(demand)
        , left_(demand.tasks_)
    {
    }

    void add(WorkerIndex worker)
    {
        if (demand_.avoids(worker)) {
            return;
        }
        const std::int32_t fits = fleet_.worker(worker).room(demand_.lane_).timesFits(demand_.each_, left_);
        if (fits > 0) {
            block_.push_back({worker, fits});
            left_ -= fits;
        }
    }

    [[nodiscard]] bool whole() const noexcept
    {
        return left_ == 0;
    }

    [[nodiscard]] std::optional<Block> take()
    {
        if (!whole()) {
            return std::nullopt;
        }
        return std::move(block_);
    }

private:
    const Fleet &fleet_;
    const Demand &demand_;
    std::int32_t left_;
    Block block_;
};

/// Searches one data centre by its indexes.
class Search
{
public:
    Search(const Fleet &fleet, const Demand &demand, DataCentreIndex dataCentre)
        : fleet_(fleet)
        , demand_(demand)
        , byRoom_(fleet.byRoom(demand.lane_, dataCentre))
        , racks_(fleet.racksByRoom(demand.lane_, dataCentre))
    {
    }

    /// Returns the tightest worker that holds \p amount; prefers one that no guarantee has reserved.
    [[nodiscard]] std::optional<WorkerIndex> tightestWorker(const Resources &amount) const
    {
        std::optional<WorkerIndex> best;
        int probes = 0;
        auto at = byRoom_.lower_bound({amount.accelerators_, amount.cores_, 0});
        while (at != byRoom_.end() && probes < maxWorkerProbes) {
            const auto [accelerators, cores, worker] = *at;
            if (cores < amount.cores_) {
                at = byRoom_.lower_bound({accelerators, amount.cores_, 0});
                continue;
            }
            ++probes;
            if (fleet_.worker(worker).room(demand_.lane_).covers(amount) && !demand_.avoids(worker)) {
                if (fleet_.worker(worker).reserved_ == Resources{}) {
                    return worker;
                }
                best = best.value_or(worker);
            }
            ++at;
        }
        return best;
    }

    [[nodiscard]] std::optional<Block> onOneWorker() const
    {
        if (const auto worker = tightestWorker(demand_.each_ * demand_.tasks_)) {
            return Block{{*worker, demand_.tasks_}};
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<Block> inOneRack() const
    {
        const std::int32_t accelerators = demand_.each_.accelerators_ * demand_.tasks_;
        int probes = 0;
        for (auto at = racks_.lower_bound({accelerators, 0}); at != racks_.end() && probes < maxRackProbes; ++at, ++probes) {
            std::vector<WorkerIndex> workers = fleet_.rackWorkers(at->second);
            std::erase_if(workers, [this](WorkerIndex worker) { return !usable(worker); });
            if (auto block = fullestFirst(std::move(workers))) {
                return block;
            }
        }
        return std::nullopt;
    }

    /// Spreads over the data centre: whole workers for accelerators, leftovers for work that needs none.
    [[nodiscard]] std::optional<Block> anywhere() const
    {
        return demand_.each_.accelerators_ > 0 ? emptiestFirst() : leftoversFirst();
    }

    [[nodiscard]] bool usable(WorkerIndex worker) const
    {
        const Resources room = fleet_.worker(worker).room(demand_.lane_);
        return byRoom_.contains({room.accelerators_, room.cores_, worker});
    }

private:
    [[nodiscard]] std::optional<Block> fullestFirst(std::vector<WorkerIndex> workers) const
    {
        const auto fits = [this](WorkerIndex worker) { return fleet_.worker(worker).room(demand_.lane_).timesFits(demand_.each_, demand_.tasks_); };
        std::stable_sort(workers.begin(), workers.end(), [&](WorkerIndex left, WorkerIndex right) { return fits(left) > fits(right); });
        BlockBuilder builder(fleet_, demand_);
        for (const WorkerIndex worker : workers) {
            builder.add(worker);
        }
        return builder.take();
    }

    [[nodiscard]] std::optional<Block> emptiestFirst() const
    {
        BlockBuilder builder(fleet_, demand_);
        int probes = 4 * demand_.tasks_ + maxWorkerProbes;
        for (auto at = racks_.rbegin(); at != racks_.rend() && !builder.whole() && at->first >= demand_.each_.accelerators_; ++at) {
            for (const WorkerIndex worker : fleet_.rackWorkers(at->second)) {
                if (!builder.whole() && --probes > 0 && usable(worker)) {
                    builder.add(worker);
                }
            }
        }
        return builder.take();
    }

    [[nodiscard]] std::optional<Block> leftoversFirst() const
    {
        BlockBuilder builder(fleet_, demand_);
        int probes = 4 * demand_.tasks_ + maxWorkerProbes;
        for (auto at = byRoom_.begin(); at != byRoom_.end() && !builder.whole() && --probes > 0; ++at) {
            if (std::get<1>(*at) < demand_.each_.cores_) {
                at = byRoom_.lower_bound({std::get<0>(*at), demand_.each_.cores_, 0});
                if (at == byRoom_.end()) {
                    break;
                }
            }
            builder.add(std::get<2>(*at));
        }
        return builder.take();
    }

    const Fleet &fleet_;
    const Demand &demand_;
    const std::set<Fleet::RoomKey> &byRoom_;
    const std::set<Fleet::RackKey> &racks_;
};

std::optional<Block> smallestBlock(const Fleet &fleet, const Demand &demand, DataCentreIndex dataCentre)
{
    const Search search(fleet, demand, dataCentre);
    if (auto block = search.onOneWorker(); block || demand.within_ == Adjacency::Worker) {
        return block;
    }
    if (demand.each_.accelerators_ > 0 || demand.within_ == Adjacency::Rack) {
        if (auto block = search.inOneRack(); block || demand.within_ == Adjacency::Rack) {
            return block;
        }
    }
    return search.anywhere();
}

/// Less is better: fewer workers, then less room left beside the gang, then fewer open workers in its data centre: the largest is the last
/// that holds wide gangs.
std::tuple<std::size_t, std::int32_t, std::size_t> cost(const Fleet &fleet, const Demand &demand, const Block &block)
{
    std::int32_t left = 0;
    for (const Member &member : block) {
        const Worker &worker = fleet.worker(member.worker_);
        left += worker.room(demand.lane_).accelerators_ - demand.each_.accelerators_ * member.tasks_ + worker.reserved_.accelerators_;
    }
    const DataCentreIndex dataCentre = fleet.worker(block.front().worker_).dataCentre_;
    return {block.size(), left, fleet.byRoom(demand.lane_, dataCentre).size()};
}

std::optional<Block> blockFit(const Fleet &fleet, const Demand &demand)
{
    std::optional<Block> best;
    for (DataCentreIndex at = 0; at < fleet.dataCentreCount(); ++at) {
        auto block = smallestBlock(fleet, demand, at);
        if (block && (!best || cost(fleet, demand, *block) < cost(fleet, demand, *best))) {
            best = std::move(block);
        }
    }
    return best;
}

/// Collects the members of each group, as close together as the gang asks, until one is whole.
class GroupedBuilders
{
public:
    GroupedBuilders(const Fleet &fleet, const Demand &demand)
        : fleet_(fleet)
        , demand_(demand)
    {
    }

    /// Adds \p worker to its group. Returns the group's block once it is whole.
    std::optional<Block> add(WorkerIndex worker)
    {
        BlockBuilder &builder = builders_.try_emplace(fleet_.groupOf(worker, demand_.within_), fleet_, demand_).first->second;
        builder.add(worker);
        return builder.take();
    }

private:
    const Fleet &fleet_;
    const Demand &demand_;
    std::map<std::uint64_t, BlockBuilder> builders_;
};

/// What the borrowers on \p block hold beyond its free room, in accelerators and then cores.
std::pair<std::int32_t, std::int32_t> toClear(const Fleet &fleet, const Demand &demand, const Block &block)
{
    std::pair<std::int32_t, std::int32_t> held{0, 0};
    for (const Member &member : block) {
        const Resources free = fleet.worker(member.worker_).free();
        held.first += std::max(0, demand.each_.accelerators_ * member.tasks_ - free.accelerators_);
        held.second += std::max(0, demand.each_.cores_ * member.tasks_ - free.cores_);
    }
    return held;
}

// Baselines

std::vector<std::vector<WorkerIndex>> candidateGroups(const Fleet &fleet, Adjacency within)
{
    std::map<std::uint64_t, std::vector<WorkerIndex>> groups;
    for (WorkerIndex at = 0; at < fleet.workers().size(); ++at) {
        if (fleet.open(at)) {
            groups[fleet.groupOf(at, within)].push_back(at);
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
std::optional<Block> fitInGroups(const Fleet &fleet, const Demand &demand, Order order)
{
    for (auto &workers : candidateGroups(fleet, demand.within_)) {
        order(workers);
        BlockBuilder builder(fleet, demand);
        for (const WorkerIndex worker : workers) {
            builder.add(worker);
        }
        if (auto block = builder.take()) {
            return block;
        }
    }
    return std::nullopt;
}

std::optional<Block> firstFit(const Fleet &fleet, const Demand &demand)
{
    return fitInGroups(fleet, demand, [](std::vector<WorkerIndex> &) {});
}

std::optional<Block> bestFit(const Fleet &fleet, const Demand &demand)
{
    const auto room = [&](WorkerIndex worker) { return fleet.worker(worker).room(demand.lane_).accelerators_; };
    const auto leastFirst = [&](std::vector<WorkerIndex> &workers) {
        std::stable_sort(workers.begin(), workers.end(), [&](WorkerIndex left, WorkerIndex right) { return room(left) < room(right); });
    };
    return fitInGroups(fleet, demand, leastFirst);
}

}

std::optional<Block> findBlockToClear(const Fleet &fleet, const Demand &demand)
{
    const int mostProbes = 4 * demand.tasks_ + maxWorkerProbes;
    std::optional<Block> best;
    for (DataCentreIndex at = 0; at < fleet.dataCentreCount(); ++at) {
        GroupedBuilders groups(fleet, demand);
        int probes = 0;
        const auto &emptiest = fleet.byRoom(Lane::Free, at);
        for (auto key = emptiest.rbegin(); key != emptiest.rend() && probes < mostProbes; ++key, ++probes) {
            const auto block = groups.add(std::get<2>(*key));
            if (!block) {
                continue;
            }
            if (!best || toClear(fleet, demand, *block) < toClear(fleet, demand, *best)) {
                best = block;
            }
            if (demand.within_ == Adjacency::DataCentre) {
                break;
            }
        }
    }
    return best;
}

std::optional<Block> findBlock(const Fleet &fleet, const Demand &demand, const PlacementPolicy &policy)
{
    return std::visit(Overloaded{
                          [&](const FirstFit &) { return firstFit(fleet, demand); },
                          [&](const BestFit &) { return bestFit(fleet, demand); },
                          [&](const BlockFit &) { return blockFit(fleet, demand); },
                      },
                      policy);
}

}
