#include "core/batch/stalls.h"

#include "core/batch/health.h"
#include "core/batch/pace.h"
#include "core/batch/runs.h"
#include "core/batch/stall_limits.h"

#include <algorithm>
#include <optional>

namespace bergamotwick::batch {

namespace {

/// A run can't be a straggler before it has run for this long.
constexpr milliseconds minStragglerTime{1'500};

/// A straggler is relocated if it would end elsewhere in less than its remaining time divided by this. The restart itself takes restartTime.
constexpr int minRelocationGain = 2;
constexpr milliseconds restartTime{1'000};

/// A run is a straggler if its pace exceeds that of its peers by the factor spreadFactor_ plus this. A run away from its data may be slower
/// by spreadFactor_.
constexpr double stragglerMargin = 0.5;

/// Limits the straggler relocations of a job, as its tasks may really differ in length.
constexpr std::uint32_t maxStragglerMovesPerJob = 3;

/// Percentage from which the remaining time of a draining executor's runs is extrapolated from their progress instead of the estimate.
constexpr std::int32_t minProgressPercent = 4;

/// Percentage of a gang member that has finished its part and waits for the others.
constexpr std::int32_t finishedPercent = 99;

enum class StuckReason : std::uint8_t {
    Stalled,
    Straggling,
    Draining,
};

const char *toString(StuckReason reason)
{
    switch (reason) {
    case StuckReason::Stalled:
        return "standstill";
    case StuckReason::Straggling:
        return "crawl";
    case StuckReason::Draining:
        break;
    }
    return "draining";
}

/// Returns whether \p run has made no progress for too long.
bool isStalled(const ClusterState &cluster, const Run &run, const Executor &executor)
{
    const Duration sinceProgress = executor.listedAt_ - lastProgressOf(run);
    return sinceProgress > minStallTime && sinceProgress > stallLimit(cluster, run);
}

/// Returns whether \p run is a straggler that should be restarted elsewhere.
bool isStraggler(const ClusterState &cluster, const Run &run, const Executor &executor)
{
    const Duration elapsed = executor.listedAt_ - run.initialAt_;
    if (elapsed <= minStragglerTime || cluster.jobs_.at(run.id_.task_.job_).stragglerMoves_ >= maxStragglerMovesPerJob) {
        return false;
    }
    const auto peerPace = medianPeerPace(cluster, run);
    if (!peerPace) {
        return false;
    }
    const Duration pace = paceOf(run).value_or(elapsed / std::max(1, run.percent_ - run.initialPercent_));
    const Duration remaining = pace * (100 - run.percent_);
    const bool isSlow = static_cast<double>(pace.count()) > static_cast<double>(peerPace->count()) * (cluster.limits_.spreadFactor_ + stragglerMargin);
    return isSlow && remaining > minRelocationGain * (*peerPace * 100 + restartTime);
}

/// Returns whether \p run can't end before its draining executor leaves.
bool outlastsDrain(const ClusterState &cluster, const Run &run, const Executor &executor, const Step &step)
{
    if (!executor.info_.draining_ || step.longRunning_) {
        return false;
    }
    const milliseconds remaining = run.percent_ >= minProgressPercent ? remainingTimeAtPace(cluster, run) : step.estimate_;
    return remaining > executor.info_.remaining_;
}

/// Returns the reason to relocate \p run, or std::nullopt if there is none.
std::optional<StuckReason> findStuckReason(const ClusterState &cluster, const Run &run, const Executor &executor)
{
    if (run.phase_ != RunPhase::Running) {
        return std::nullopt;
    }
    const Step &step = cluster.jobs_.at(run.id_.task_.job_).submission_.steps_[run.id_.task_.step_];
    const bool mustProgress = run.percent_ < finishedPercent && !step.longRunning_ && !step.cpuBackfill_;
    if (mustProgress && isStalled(cluster, run, executor)) {
        return StuckReason::Stalled;
    }
    if (mustProgress && isStraggler(cluster, run, executor)) {
        return StuckReason::Straggling;
    }
    return outlastsDrain(cluster, run, executor, step) ? std::optional(StuckReason::Draining) : std::nullopt;
}

/// Excludes the executor of \p run for its task and quarantines it.
void excludeAndQuarantine(ClusterState &cluster, const Run &run, StuckReason reason)
{
    Job &job = cluster.jobs_.at(run.id_.task_.job_);
    excludeExecutor(cluster, job, groupOf(job.submission_, run.id_.task_), *indexOf(job.submission_, run.id_.task_), run.placement_.executor_);
    quarantine(cluster, cluster.executors_.at(run.placement_.executor_), toString(reason));
    job.stragglerMoves_ += reason == StuckReason::Straggling ? 1 : 0;
    if (reason == StuckReason::Stalled) {
        noteStall(cluster, run);
    }
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
            if (const auto reason = findStuckReason(cluster, cluster.runs_.at(id), executor)) {
                stuck.emplace_back(id, *reason);
            }
        }
    }
    for (const auto &[id, reason] : stuck) {
        const auto found = cluster.runs_.find(id);
        if (found == cluster.runs_.end() || found->second.phase_ != RunPhase::Running) {
            continue; // already stopped with another member of its gang
        }
        if (reason != StuckReason::Draining) {
            excludeAndQuarantine(cluster, found->second, reason);
        }
        stopRun(cluster, id, toString(reason));
    }
}

}
