#include "core/batch/pace.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// The pace of a run is known after this much progress over at least this time. Executors list their runs every half second.
constexpr std::int32_t minPacePercent = 3;
constexpr milliseconds minPaceTime{400};

/// Progress at which the pace of a run is compared with its peers'.
constexpr std::int32_t comparisonPercent = 50;

/// Weight of the prior assumption that executors are equally fast, in comparisons.
constexpr double priorComparisons = 1;

/// Limits the effect of one comparison: a task may be larger than its peers, or its executor slow only temporarily.
constexpr double maxPaceRatio = 2;

/// Urgent work avoids executors on which tasks take longer by more than this factor. The excess uses up a part of the slack in its latency
/// objectives.
constexpr double slowRatio = 1.15;

/// Returns the estimated ratio of a task's run time on \p executor to that on a median one; 1 without comparisons.
double slownessOf(const Executor &executor)
{
    return std::exp(executor.logSlowness_ / (executor.comparisons_ + priorComparisons));
}

}

std::optional<Duration> paceOf(const Run &run)
{
    const std::int32_t progress = run.percent_ - run.initialPercent_;
    const Duration elapsed = run.progressAt_ - run.initialAt_;
    if (run.phase_ != RunPhase::Running || progress < minPacePercent || elapsed < minPaceTime) {
        return std::nullopt;
    }
    return elapsed / progress;
}

std::optional<Duration> slowestPaceOf(const Run &run)
{
    if (!paceOf(run)) {
        return std::nullopt;
    }
    return (run.progressAt_ - run.initialAt_) / (run.percent_ - run.initialPercent_ - 1); // the first percent may have been nearly complete
}

std::optional<Duration> medianPeerPace(const ClusterState &cluster, const Run &run)
{
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const Group group = groupOf(job.submission_, run.id_.task_);
    std::vector<Duration> paces;
    for (std::size_t index = group.first_; index < group.end_; ++index) {
        const RunId id{taskOf(job.submission_, group, index), job.progress_.tasks_[index].run_};
        const auto peer = cluster.runs_.find(id);
        const auto pace = peer != cluster.runs_.end() && id != run.id_ ? paceOf(peer->second) : std::nullopt;
        if (pace) {
            paces.push_back(*pace);
        }
    }
    if (paces.empty()) {
        return std::nullopt;
    }
    const auto median = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), median, paces.end());
    return *median;
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
        const auto ownPace = paceOf(run);
        const auto peerPace = step.affinity_.empty() ? medianPeerPace(cluster, run) : std::nullopt; // data locality would be taken for speed
        if (ownPace && peerPace && peerPace->count() > 0) {
            const double ratio = static_cast<double>(ownPace->count()) / static_cast<double>(peerPace->count());
            executor.logSlowness_ += std::log(std::clamp(ratio, 1 / maxPaceRatio, maxPaceRatio));
            executor.comparisons_ += 1;
        }
    }
}

bool isSlowForUrgent(const Executor &executor)
{
    return slownessOf(executor) > slowRatio;
}

}
