#include "config/guarantee_check.h"

#include <algorithm>
#include <vector>

namespace bergamotwick {

namespace {

struct DeclaredWorker
{
    std::size_t dataCentre_;
    std::size_t rack_;
    Resources free_;
};

using WorkerGroup = std::vector<DeclaredWorker *>;

std::vector<DeclaredWorker> declaredWorkers(const Config &config)
{
    std::vector<DeclaredWorker> workers;
    std::size_t index = 0;
    for (const auto &[region, regionConfig] : config.regions_) {
        for (const auto &[name, dataCentre] : regionConfig.dataCentres_) {
            for (std::int32_t i = 0; i < dataCentre.workers_; ++i) {
                workers.push_back({index, static_cast<std::size_t>(i % dataCentre.racks_), dataCentre.worker_});
            }
            ++index;
        }
    }
    return workers;
}

bool inSameDomain(const DeclaredWorker &left, const DeclaredWorker &right, Adjacency within)
{
    if (within == Adjacency::Worker) {
        return &left == &right;
    }
    return left.dataCentre_ == right.dataCentre_ && (within == Adjacency::DataCentre || left.rack_ == right.rack_);
}

/// Takes the resources of \p guarantee from the first group of workers that can hold it. Returns false if there is none.
bool reserve(std::vector<DeclaredWorker> &workers, const GuaranteeConfig &guarantee)
{
    for (const DeclaredWorker &first : workers) {
        std::int32_t fitting = 0;
        WorkerGroup group;
        for (DeclaredWorker &worker : workers) {
            if (inSameDomain(first, worker, guarantee.within_) && fitting < guarantee.tasks_) {
                group.push_back(&worker);
                fitting += worker.free_.timesFits(guarantee.each_, guarantee.tasks_ - fitting);
            }
        }
        if (fitting < guarantee.tasks_) {
            continue;
        }
        std::int32_t remaining = guarantee.tasks_;
        for (DeclaredWorker *worker : group) {
            const std::int32_t placed = worker->free_.timesFits(guarantee.each_, remaining);
            worker->free_ -= guarantee.each_ * placed;
            remaining -= placed;
        }
        return true;
    }
    return false;
}

}

Result<void> checkGuaranteesFit(const Config &config)
{
    std::vector<DeclaredWorker> workers = declaredWorkers(config);
    std::vector<std::pair<std::string, const GuaranteeConfig *>> guarantees;
    for (const auto &[workspace, workspaceConfig] : config.workspaces_) {
        for (const auto &[name, guarantee] : workspaceConfig.guarantees_) {
            guarantees.emplace_back("workspaces." + workspace.str() + ".guarantees." + name.str(), &guarantee);
        }
    }
    const auto needsMoreAccelerators = [](const auto &left, const auto &right) {
        return left.second->each_.accelerators_ * left.second->tasks_ > right.second->each_.accelerators_ * right.second->tasks_;
    };
    std::stable_sort(guarantees.begin(), guarantees.end(), needsMoreAccelerators);
    for (const auto &[path, guarantee] : guarantees) {
        if (!reserve(workers, *guarantee)) {
            return leaf::new_error(
                ConfigError{ConfigErrc::GuaranteesDoNotFit, guarantee->source_, path, "does not fit on the declared workers beside the other guarantees"});
        }
    }
    return {};
}

}
