#include "core/batch/late_gangs.h"

#include "core/batch/host_choice.h"
#include "core/batch/host_speeds.h"
#include "core/batch/ledger.h"
#include "core/batch/placing.h"
#include "core/batch/runs.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Progress of the slowest member from which the end of its gang can be told.
constexpr std::int32_t minPercent = 8;

/// From this progress on, a gang is left alone.
constexpr std::int32_t maxPercent = 70;

/// Time from the decision to stop a gang to its next start, besides the executors' own time for a stop.
constexpr milliseconds moveDelay{300};

/// What the members of a running gang show.
struct GangProgress
{
    std::int32_t slowestPercent_ = 100;
    Duration usualTime_{}; ///< its run time on the median host
    Instant endsAt_{}; ///< where it runs
};

/// Returns the progress of the gang that is \p group, or std::nullopt if not all of its members show theirs.
std::optional<GangProgress> progressOf(const ClusterState &cluster, const Job &job, const Group &group)
{
    GangProgress gang;
    std::vector<Duration> usualTimes;
    for (std::size_t index = group.first_; index < group.end_; ++index) {
        const auto found = cluster.runs_.find({taskOf(job.submission_, group, index), job.progress_.tasks_[index].run_});
        const bool isShown = found != cluster.runs_.end() && found->second.phase_ == RunPhase::Running && !found->second.inherited_
            && found->second.initialPercent_ <= maxUnrestoredPercent && found->second.percent_ >= minPercent;
        if (!isShown) {
            return std::nullopt;
        }
        const Run &run = found->second;
        const Duration time = (run.percentAt_ - run.startedAt_) * 100 / run.percent_;
        usualTimes.push_back(std::chrono::duration_cast<Duration>(time / slownessOf(cluster, run.placement_)));
        gang.slowestPercent_ = std::min(gang.slowestPercent_, run.percent_);
        gang.endsAt_ = std::max(gang.endsAt_, run.startedAt_ + time);
    }
    const auto median = usualTimes.begin() + static_cast<std::ptrdiff_t>(usualTimes.size() / 2);
    std::nth_element(usualTimes.begin(), median, usualTimes.end());
    gang.usualTime_ = *median;
    return gang;
}

/// Returns the gang as a group that waits, with what its run has shown of its time: the objective of \p job if its only step takes that long.
WaitingGroup asWaiting(const ClusterState &cluster, Job &job, const Group &group, const GangProgress &gang)
{
    WaitingGroup waiting;
    waiting.job_ = &job;
    waiting.group_ = group;
    for (std::size_t index = group.first_; index < group.end_; ++index) {
        waiting.tasks_.push_back(index);
    }
    waiting.guaranteed_ = job.guaranteed_;
    waiting.isRunning_ = true;
    const auto objective = std::chrono::duration_cast<Duration>(gang.usualTime_ * job.settings_.stretch_) + job.settings_.targetLatency_;
    waiting.latestStart_ = job.acceptedAt_ + objective - gang.usualTime_;
    waiting.late_ = waiting.latestStart_ < cluster.now_;
    return waiting;
}

/// Returns whether \p job is a gang that may be moved at all.
bool isMovable(const Job &job)
{
    const Step &step = job.submission_.steps_.front();
    return step.gang_ && !step.longRunning_ && !step.cpuBackfill_ && job.submission_.steps_.size() == 1 && job.submission_.repeats_ == 0
        && job.settings_.priority_ == 0 && !isFinal(job.progress_.state_) && job.lateMoves_ == 0;
}

/// Returns the slowness of the slowest host of \p placements, as slownessOf().
double slowestOf(const ClusterState &cluster, const std::vector<Incarnation> &placements)
{
    double slowest = 0;
    for (const Incarnation &placement : placements) {
        slowest = std::max(slowest, slownessOf(cluster, placement));
    }
    return slowest;
}

/// Returns whether guaranteed work waits for room, which a gang that moves could take.
bool isGuaranteedWorkWaiting(const ClusterState &cluster)
{
    return std::any_of(cluster.jobs_.begin(), cluster.jobs_.end(), [](const auto &entry) {
        const Job &job = entry.second;
        return job.guaranteed_ && !isFinal(job.progress_.state_) && !job.waitingSince_.empty();
    });
}

/// Releases the room of gangs whose stop has taken longer than expected.
void releaseExpiredMoves(ClusterState &cluster)
{
    for (auto &[id, job] : cluster.jobs_) {
        const auto reserved = job.lateMoves_ > 0 ? job.reservations_.find(0) : job.reservations_.end();
        if (reserved != job.reservations_.end() && reserved->second.until_ < cluster.now_) {
            release(cluster, job, 0);
        }
    }
}

void moveIfLate(ClusterState &cluster, Job &job, const Group &group)
{
    const auto gang = progressOf(cluster, job, group);
    if (!gang || gang->slowestPercent_ > maxPercent) {
        return;
    }
    const WaitingGroup waiting = asWaiting(cluster, job, group, *gang);
    const Instant deadline = waiting.latestStart_ + gang->usualTime_;
    const Instant restart = cluster.now_ + cluster.limits_.stopLimit_ + moveDelay;
    if (gang->endsAt_ <= deadline || restart > waiting.latestStart_) {
        return;
    }
    const std::vector<Incarnation> placements = findFasterPlacement(cluster, waiting);
    if (placements.empty()) {
        return;
    }
    const double slowness = slowestOf(cluster, placements);
    const Instant newEnd = restart + std::chrono::duration_cast<Duration>(gang->usualTime_ * slowness);
    if (slowness >= slownessOfPlacement(cluster, job, group) || newEnd > deadline) {
        return; // its hosts aren't what makes it late, or others wouldn't help
    }
    ++job.lateMoves_;
    cluster.logEvent("gang-moved",
                     {{"job", job.submission_.id_.str()},
                      {"members", std::to_string(placements.size())},
                      {"percent", std::to_string(gang->slowestPercent_)},
                      {"late_by_ms", std::to_string(std::chrono::duration_cast<milliseconds>(gang->endsAt_ - deadline).count())},
                      {"time_ms", std::to_string(std::chrono::duration_cast<milliseconds>(gang->usualTime_).count())}});
    reserve(cluster, job, group, {placements, restart + moveDelay});
    stopRun(cluster, {taskOf(job.submission_, group, group.first_), job.progress_.tasks_[group.first_].run_}, "slow-member");
}

}

void moveLateGangs(ClusterState &cluster)
{
    releaseExpiredMoves(cluster);
    if (!cluster.mayIssueOrders() || isGuaranteedWorkWaiting(cluster)) {
        return;
    }
    std::set<JobId> reported;
    for (const auto &[name, executor] : cluster.executors_) {
        if (executor.lastReport_ == cluster.now_) {
            for (const RunId &run : executor.runs_) {
                if (isMovable(cluster.jobs_.at(run.task_.job_))) {
                    reported.insert(run.task_.job_);
                }
            }
        }
    }
    for (const JobId &id : reported) {
        Job &job = cluster.jobs_.at(id);
        moveIfLate(cluster, job, groupsOf(job.submission_).front());
    }
}

}
