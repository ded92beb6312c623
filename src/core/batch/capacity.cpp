#include "core/batch/capacity.h"

#include "core/batch/inferred_ends.h"
#include "core/batch/runs.h"

#include <algorithm>

namespace bergamotwick::batch {

bool isOverCapacity(const Executor &executor) noexcept
{
    return !executor.info_.capacity_.covers(executor.used_);
}

void withdrawUnstartedRuns(ClusterState &cluster, const Executor &executor, const Report &report)
{
    if (!isOverCapacity(executor)) {
        return;
    }
    const std::set<RunId> runs = executor.runs_;
    for (const RunId &id : runs) {
        const auto run = cluster.runs_.find(id);
        if (run == cluster.runs_.end() || run->second.recovered_ || !isOverCapacity(executor)) {
            continue;
        }
        const RunPhase phase = run->second.phase_;
        if (phase == RunPhase::Committing || (phase == RunPhase::Starting && !isKnownToAgent(run->second, report))) {
            stopRun(cluster, id, "capacity-shrunk");
        }
    }
}

}
