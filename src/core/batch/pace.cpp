#include "core/batch/pace.h"

#include "core/batch/host_speeds.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// The pace of a run is known after this much progress over at least this time. Executors list their runs every half second.
constexpr std::int32_t minPacePercent = 3;
constexpr milliseconds minPaceTime{400};

/// Urgent work avoids hosts on which tasks take longer by more than this factor. The excess uses up a part of the slack in its latency objectives.
constexpr double slowRatio = 1.15;

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

bool isSlowForUrgent(const ClusterState &cluster, const Executor &executor)
{
    return slownessOf(cluster, executor.info_.incarnation_) > slowRatio;
}

}
