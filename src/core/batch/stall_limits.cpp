#include "core/batch/stall_limits.h"

#include "core/batch/pace.h"

#include <algorithm>
#include <optional>

namespace bergamotwick::batch {

namespace {

/// A short run whose pace is known is stalled after no progress for the usual time of this many percent, but not before minStallTime.
constexpr int shortStallPercent = 10;

/// Other runs aren't stalled before they have shown no progress for this long.
constexpr milliseconds maxShortStallTime{2'500};

/// A task of up to this length is short: at its pace, shortStallPercent take at most maxShortStallTime.
constexpr milliseconds maxShortTime = maxShortStallTime * 100 / shortStallPercent;

/// A short run whose pace isn't known is stalled after its expected time divided by this, but not before maxShortStallTime: long enough for its
/// first percent on an executor that is slowed by maxSlowdown.
constexpr int shortTimeDivisor = 4;

/// A task is stopped as a stalled short one at most this many times. From then on it may be one that takes longer than it shows.
constexpr std::size_t maxShortStalls = 2;

/// Greatest factors that are allowed for: of a slowed executor, of an estimate that is too low, and of the work of a task compared with that of
/// its peers.
constexpr int maxSlowdown = 20;
constexpr int maxEstimateError = 10;
constexpr double maxWorkRatio = 1.25;

/// Greatest ratio of a run's pace to the median shown by its peers, which may be based on as few as three percent, two of them complete.
constexpr double maxPeerPaceError = 1.5;

/// Time that lists may be late in showing progress: two periods of an executor's lists.
constexpr milliseconds maxListingDelay{1'000};

/// Each further stall of a task multiplies its limit by this, as its estimate may be off by more than maxEstimateError.
constexpr int stallGrowth = 4;
constexpr std::chrono::hours maxStallLimit{24 * 60};

/// A checkpointing run shows its checkpoint interval after this many new checkpoints.
constexpr std::uint32_t minCheckpoints = 4;

/// Returns the greatest time between two new checkpoints of \p run at its speed so far, or std::nullopt if it has shown too few.
std::optional<Duration> checkpointInterval(const Run &run)
{
    if (run.checkpoints_ < minCheckpoints) {
        return std::nullopt;
    }
    return (run.checkpointAt_ - run.listedAt_) / static_cast<int>(run.checkpoints_ - 1);
}

/// Returns the time in which a sound run makes progress that takes \p usual at most at its speed so far.
Duration slowedTime(Duration usual)
{
    return std::chrono::duration_cast<Duration>(usual * (maxSlowdown * maxWorkRatio)) + maxListingDelay;
}

/// What \p run and its peers show of its pace.
struct Paces
{
    std::optional<Duration> usual_; ///< its own, or else its peers'
    std::optional<Duration> slowest_; ///< the slowest one that fits the rounding of the percentages
};

Paces pacesFor(const ClusterState &cluster, const Run &run)
{
    if (const auto own = paceOf(run)) {
        return {own, slowestPaceOf(run)};
    }
    const auto peers = medianPeerPace(cluster, run);
    return {peers, peers ? std::optional(std::chrono::duration_cast<Duration>(*peers * maxPeerPaceError)) : std::nullopt};
}

/// Returns the time after which a short run is stalled, or std::nullopt if the run isn't short.
std::optional<Duration> shortStallLimit(const Paces &paces, milliseconds expected)
{
    if ((paces.usual_ ? *paces.usual_ * 100 : Duration(expected)) > maxShortTime) {
        return std::nullopt;
    }
    return paces.usual_ ? std::max<Duration>(minStallTime, *paces.usual_ * shortStallPercent)
                        : std::max<Duration>(maxShortStallTime, expected / shortTimeDivisor);
}

std::size_t stallsOf(const Job &job, const Run &run)
{
    const auto [first, end] = coScheduledRange(job.submission_, groupOf(job.submission_, run.id_.task_), *indexOf(job.submission_, run.id_.task_));
    const auto stalls = job.stalls_.find(first);
    return stalls == job.stalls_.end() ? 0 : stalls->second;
}

}

Duration lastProgressOf(const Run &run)
{
    return std::max(run.progressAt_, run.checkpointAt_);
}

Duration stallLimit(const ClusterState &cluster, const Run &run)
{
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const Step &step = job.submission_.steps_[run.id_.task_.step_];
    const milliseconds expected = std::min<milliseconds>(cluster.expectedTime(job, step), maxStallLimit);
    const Paces paces = pacesFor(cluster, run);
    const std::size_t stalls = stallsOf(job, run);
    if (stalls < maxShortStalls) {
        if (const auto limit = shortStallLimit(paces, expected)) {
            return *limit;
        }
    }
    // Other tasks of the queue may be shorter than their estimates and this one longer.
    const milliseconds longest = std::min<milliseconds>(std::max(expected, step.estimate_), maxStallLimit);
    const Duration firstPercent = Duration(longest) * (maxEstimateError * maxSlowdown) / 100 + maxListingDelay;
    Duration limit = std::max<Duration>(maxShortStallTime, paces.slowest_ ? slowedTime(*paces.slowest_) : firstPercent);
    if (const auto interval = checkpointInterval(run)) {
        limit = std::min(limit, slowedTime(*interval));
    }
    for (std::size_t count = maxShortStalls; count < stalls && limit < maxStallLimit; ++count) {
        limit *= stallGrowth;
    }
    return limit;
}

void noteStall(ClusterState &cluster, const Run &run)
{
    Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const auto [first, end] = coScheduledRange(job.submission_, groupOf(job.submission_, run.id_.task_), *indexOf(job.submission_, run.id_.task_));
    ++job.stalls_[first];
}

}
