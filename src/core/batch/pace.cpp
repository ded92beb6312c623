#include "core/batch/pace.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// A pace is known once a task has shown this many percent of progress over at least this time: lists are half a second apart.
constexpr std::int32_t minPacePercent = 3;
constexpr milliseconds minPaceTime{400};

/// A run is compared once it has done this much.
constexpr std::int32_t comparisonPercent = 50;

/// That executors are alike weighs as much as this many comparisons.
constexpr double priorComparisons = 1;

/// A single comparison says no more than this: a task may be larger than its fellows, or an executor sick for a moment.
constexpr double maxRatio = 2;

/// Urgent work keeps off executors on which tasks take this much longer: a part of what its objectives leave.
constexpr double slowRatio = 1.15;

/// Returns how much longer a task takes on \p executor than on the middle one, as far as is known; 1 if nothing is.
double slownessOf(const Executor &executor)
{
    return std::exp(executor.logSlowness_ / (executor.comparisons_ + priorComparisons));
}

}

std::optional<Duration> paceOf(const Run &run)
{
    const std::int32_t gained = run.percent_ - run.initialPercent_;
    const Duration took = run.progressAt_ - run.listedAt_;
    if (run.phase_ != RunPhase::Running || gained < minPacePercent || took < minPaceTime) {
        return std::nullopt;
    }
    return took / gained;
}

std::optional<Duration> medianPeerPace(const ClusterState &cluster, const Run &run)
{
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const Group group = groupOf(job.submission_, run.id_.task_);
    std::vector<Duration> paces;
    for (std::size_t index = group.first_; index < group.end_; ++index) {
        const RunId id{taskOf(job.submission_, group, index), job.progress_.tasks_[index].run_};
        const auto fellow = cluster.runs_.find(id);
        const auto pace = fellow != cluster.runs_.end() && id != run.id_ ? paceOf(fellow->second) : std::nullopt;
        if (pace) {
            paces.push_back(*pace);
        }
    }
    if (paces.empty()) {
        return std::nullopt;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

milliseconds remainingTimeAtPace(const ClusterState &cluster, const Run &run)
{
    return std::chrono::duration_cast<milliseconds>(cluster.now_ - run.startedAt_) * (100 - run.percent_) / run.percent_;
}

void updateSlowness(ClusterState &cluster, Executor &executor)
{
    for (const RunId &id : executor.runs_) {
        Run &run = cluster.runs_.at(id);
        if (run.paceCompared_ || run.percent_ < comparisonPercent) {
            continue;
        }
        run.paceCompared_ = true;
        const Step &step = cluster.jobs_.at(id.task_.job_).submission_.steps_[id.task_.step_];
        const auto own = paceOf(run);
        const auto fellows = step.affinity_.empty() ? medianPeerPace(cluster, run) : std::nullopt; // nearness to data would be taken for speed
        if (own && fellows && fellows->count() > 0) {
            const double ratio = static_cast<double>(own->count()) / static_cast<double>(fellows->count());
            executor.logSlowness_ += std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
            executor.comparisons_ += 1;
        }
    }
}

bool isSlowForUrgent(const Executor &executor)
{
    return slownessOf(executor) > slowRatio;
}

}
