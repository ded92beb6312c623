#include "core/batch/crashes.h"

#include "core/batch/agent.h"

namespace bergamotwick::batch {

namespace {

const char *toString(LossKind kind)
{
    return kind == LossKind::Crashed ? "crashed" : "unreachable";
}

std::string survivalText(const LostRun &run)
{
    return run.survival_ ? std::to_string(std::chrono::duration_cast<milliseconds>(*run.survival_).count()) : "unlisted";
}

}

bool reportsLoss(const Report &report) noexcept
{
    return report.listsValid_ && !report.responsive_ && report.running_.empty() && report.ended_.empty();
}

LossKind lossKindOf(const Executor &executor, const Report &report) noexcept
{
    const bool leasesExpired = executor.listed_ && report.listedAt_ - executor.listedAt_ >= leaseDuration;
    return leasesExpired ? LossKind::Unreachable : LossKind::Crashed;
}

ExecutorLoss lossOf(const ClusterState &cluster, const Executor &executor, LossKind kind, const std::set<RunId> &notStarted)
{
    ExecutorLoss loss{executor.info_.incarnation_, kind, {}};
    for (const RunId &id : executor.runs_) {
        const Run &run = cluster.runs_.at(id);
        if (run.phase_ == RunPhase::Committing || run.placement_ != loss.incarnation_ || notStarted.contains(id)) {
            continue;
        }
        const bool listed = run.listedAt_ != Duration(0);
        loss.runs_.push_back({id, listed ? std::optional(executor.listedAt_ - run.listedAt_) : std::nullopt});
    }
    return loss;
}

void recordLoss(ClusterState &cluster, Executor &executor, const ExecutorLoss &loss)
{
    executor.lost_ = true;
    std::string runs;
    for (const LostRun &run : loss.runs_) {
        runs += (runs.empty() ? "" : ",") + batch::toString(run.id_) + ":" + survivalText(run);
    }
    cluster.logEvent("executor-lost",
                     {{"executor", loss.incarnation_.executor_.str()},
                      {"born", std::to_string(loss.incarnation_.startTimeMs_)},
                      {"agent", loss.incarnation_.host_},
                      {"how", toString(loss.kind_)},
                      {"runs", std::to_string(loss.runs_.size())},
                      {"survived_ms", runs}});
}

}
