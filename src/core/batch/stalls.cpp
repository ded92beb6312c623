#include "core/batch/stalls.h"

#include "core/batch/health.h"
#include "core/batch/pace.h"
#include "core/batch/runs.h"

#include <algorithm>
#include <optional>

namespace bergamotwick::batch {

namespace {

/// A task that shows no progress for this long stands still. Its percent rises every 0.3 s even when it is slowed threefold.
constexpr milliseconds maxStallTime{2'500};

/// Where the pace of a task is known, no progress in the time of this many of its steps is enough, but never less than minStallTime.
constexpr int stallSteps = 10;
constexpr milliseconds minStallTime{1'000};

/// A task has worked for this long before it can be said to crawl.
constexpr milliseconds minCrawlTime{1'500};

/// A task that crawls is moved if that ends it in less than half of the time that it has left; a restart itself takes this long.
constexpr int minMoveGain = 2;
constexpr milliseconds restartTime{1'000};

/// How much slower than its fellows a task must be beyond what lying away from its data explains.
constexpr double crawlMargin = 0.5;

/// A job's tasks are moved for crawling at most this often, in case they do differ.
constexpr std::uint32_t maxMovesPerJob = 3;

/// From this percent on a draining executor's runs are judged by their own progress.
constexpr std::int32_t minPercent = 4;

/// Percent of a gang's member that has done its part and waits for the others.
constexpr std::int32_t finishedPercent = 99;

enum class StuckReason : std::uint8_t {
    Standstill,
    Crawl,
    Draining,
};

const char *toString(StuckReason reason)
{
    switch (reason) {
    case StuckReason::Standstill:
        return "standstill";
    case StuckReason::Crawl:
        return "crawl";
    case StuckReason::Draining:
        break;
    }
    return "draining";
}

bool standsStill(const ClusterState &cluster, const Run &run, const Executor &executor)
{
    const Duration still = executor.listedAt_ - run.progressAt_;
    if (still <= minStallTime) {
        return false;
    }
    const auto own = paceOf(run);
    const auto pace = own ? own : medianPeerPace(cluster, run);
    const Duration limit = pace ? std::clamp<Duration>(*pace * stallSteps, minStallTime, maxStallTime) : Duration(maxStallTime);
    return still > limit;
}

bool crawls(const ClusterState &cluster, const Run &run, const Executor &executor)
{
    const Duration worked = executor.listedAt_ - run.listedAt_;
    if (worked <= minCrawlTime || cluster.jobs_.at(run.id_.task_.job_).stragglerMoves_ >= maxMovesPerJob) {
        return false;
    }
    const auto fellows = medianPeerPace(cluster, run);
    if (!fellows) {
        return false;
    }
    const Duration pace = paceOf(run).value_or(worked / std::max(1, run.percent_ - run.initialPercent_));
    const Duration left = pace * (100 - run.percent_);
    const bool slow = static_cast<double>(pace.count()) > static_cast<double>(fellows->count()) * (cluster.limits_.spreadFactor_ + crawlMargin);
    return slow && left > minMoveGain * (*fellows * 100 + restartTime);
}

/// Returns whether \p run can't end before its executor leaves.
bool outstays(const ClusterState &cluster, const Run &run, const Executor &executor, const Step &step)
{
    if (!executor.info_.draining_ || step.longRunning_) {
        return false;
    }
    const milliseconds left = run.percent_ >= minPercent ? remainingTimeAtPace(cluster, run) : step.estimate_;
    return left > executor.info_.remaining_;
}

std::optional<StuckReason> whyStuck(const ClusterState &cluster, const Run &run, const Executor &executor)
{
    if (run.phase_ != RunPhase::Running) {
        return std::nullopt;
    }
    const Step &step = cluster.jobs_.at(run.id_.task_.job_).submission_.steps_[run.id_.task_.step_];
    const bool progresses = run.percent_ < finishedPercent && !step.longRunning_ && !step.cpuBackfill_;
    if (progresses && standsStill(cluster, run, executor)) {
        return StuckReason::Standstill;
    }
    if (progresses && crawls(cluster, run, executor)) {
        return StuckReason::Crawl;
    }
    return outstays(cluster, run, executor, step) ? std::optional(StuckReason::Draining) : std::nullopt;
}

/// Blames the executor of \p run for it.
void blame(ClusterState &cluster, const Run &run, StuckReason reason)
{
    Job &job = cluster.jobs_.at(run.id_.task_.job_);
    excludeExecutor(cluster, job, groupOf(job.submission_, run.id_.task_), *indexOf(job.submission_, run.id_.task_), run.placement_.executor_);
    quarantine(cluster, cluster.executors_.at(run.placement_.executor_), toString(reason));
    job.stragglerMoves_ += reason == StuckReason::Crawl ? 1 : 0;
}

}

void relocateStuckRuns(ClusterState &cluster)
{
    std::vector<std::pair<RunId, StuckReason>> stuck;
    for (const auto &[name, executor] : cluster.executors_) {
        if (executor.lastReport_ != cluster.now_) {
            continue;
        }
        for (const RunId &id : executor.runs_) {
            if (const auto reason = whyStuck(cluster, cluster.runs_.at(id), executor)) {
                stuck.emplace_back(id, *reason);
            }
        }
    }
    for (const auto &[id, reason] : stuck) {
        const auto found = cluster.runs_.find(id);
        if (found == cluster.runs_.end() || found->second.phase_ != RunPhase::Running) {
            continue; // went with another member of its gang
        }
        if (reason != StuckReason::Draining) {
            blame(cluster, found->second, reason);
        }
        stopRun(cluster, id, toString(reason));
    }
}

}
