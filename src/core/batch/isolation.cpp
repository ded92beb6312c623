#include "core/batch/isolation.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// A run that has been listed for this long is unlikely to crash its executor by its start.
constexpr milliseconds startupTime{1'000};

/// How long suspected tasks wait for an executor of their own.
constexpr milliseconds maxWaitForIsolation{1'500};

/// Longest time from a run's first listing in which it keeps others off its executor.
constexpr milliseconds maxIsolation{10'000};

/// At most one in this many of the reporting executors is reserved, rounded up.
constexpr std::size_t executorsPerReserved = 2;

/// Number of crashes from which a task is suspected, even if it was never a likely cause, if all came about equally long after its start.
constexpr std::uint32_t suspectedCrashes = 2;

/// Such crashes come at most this much, and this part of the shortest time, apart.
constexpr milliseconds similarTime{1'000};
constexpr int similarPart = 4;

/// Number of suspected tasks from which the other tasks of their job are suspected as well.
constexpr std::size_t suspectsOfSuspectedJob = 2;

/// Returns whether executors crashed about equally long after the start of the task with \p crashes, or it isn't known how long.
bool areSimilar(const TaskCrashes &crashes)
{
    return !crashes.knowsSurvivals() || crashes.longestSurvival_ - crashes.shortestSurvival_ <= similarTime + crashes.shortestSurvival_ / similarPart;
}

/// Returns how many suspected tasks of \p job run and haven't survived for long enough to end their isolation.
std::size_t countSuspectedRuns(const ClusterState &cluster, const Job &job)
{
    std::size_t running = 0;
    for (const Group &group : groupsOf(job.submission_)) {
        for (std::size_t index = group.first_; index < group.end_; ++index) {
            const TaskProgress &task = job.progress_.tasks_[index];
            if (!task.assigned_ || !needsIsolation(job, index)) {
                continue;
            }
            const auto run = cluster.runs_.find({taskOf(job.submission_, group, index), task.run_});
            running += run == cluster.runs_.end() || run->second.isolated_ || run->second.listedAt_ == Duration(0) ? 1 : 0;
        }
    }
    return running;
}

}

bool needsIsolation(const Job &job, std::size_t index)
{
    const auto crashes = job.crashes_.find(index);
    if (crashes != job.crashes_.end()) {
        return crashes->second.suspected_ > 0 || (crashes->second.crashes_ >= suspectedCrashes && areSimilar(crashes->second));
    }
    const auto suspects = std::count_if(job.crashes_.begin(), job.crashes_.end(), [](const auto &entry) { return entry.second.suspected_ > 0; });
    return static_cast<std::size_t>(suspects) >= suspectsOfSuspectedJob && job.progress_.tasks_[index].run_ == 0;
}

std::set<ExecutorId> executorsReservedForIsolation(const ClusterState &cluster)
{
    if (cluster.jobsWithCrashes_.empty()) {
        return {}; // the usual case
    }
    std::vector<std::pair<Instant, ExecutorId>> isolating; // with the start of the last isolated run
    std::size_t reporting = 0;
    for (const auto &[id, executor] : cluster.executors_) {
        if (cluster.now_ - executor.lastReport_ >= reportTimeout) {
            continue;
        }
        ++reporting;
        std::optional<Instant> last;
        for (const RunId &run : executor.runs_) {
            const Run &known = cluster.runs_.at(run);
            if (known.isolated_) {
                last = std::max(last.value_or(known.startedAt_), known.startedAt_);
            }
        }
        if (last) {
            isolating.emplace_back(*last, id);
        }
    }
    std::sort(isolating.rbegin(), isolating.rend());
    isolating.resize(std::min(isolating.size(), (reporting + executorsPerReserved - 1) / executorsPerReserved));
    std::set<ExecutorId> reserved;
    for (const auto &[start, id] : isolating) {
        reserved.insert(id);
    }
    return reserved;
}

void endIsolationOn(ClusterState &cluster, const Executor &executor)
{
    for (const RunId &run : executor.runs_) {
        cluster.runs_.at(run).isolated_ = false;
    }
}

bool isIsolationOver(Duration survival, milliseconds longest) noexcept
{
    return survival >= maxIsolation || hasOutlasted(survival, longest);
}

bool isSettled(const ClusterState &cluster, const Executor &executor)
{
    return std::all_of(executor.runs_.begin(), executor.runs_.end(), [&](const RunId &id) {
        const Run &run = cluster.runs_.at(id);
        return run.listedAt_ != Duration(0) && executor.listedAt_ - run.listedAt_ >= startupTime;
    });
}

std::size_t recentCrashesOnHost(const ClusterState &cluster, const Executor &executor)
{
    return static_cast<std::size_t>(std::count_if(cluster.recentCrashes_.begin(), cluster.recentCrashes_.end(), [&executor](const ObservedCrash &crash) {
        return crash.host_ == executor.info_.incarnation_.host_;
    }));
}

bool mayStartUnisolated(const ClusterState &cluster, const WaitingGroup &group)
{
    const auto since = group.job_->waitingSince_.find(group.group_.first_);
    return since != group.job_->waitingSince_.end() && cluster.now_ - since->second > maxWaitForIsolation;
}

void limitIsolatedStarts(const ClusterState &cluster, WaitingGroup &group)
{
    const Job &job = *group.job_;
    if (job.crashes_.empty()) {
        return;
    }
    const bool isUndecided = !job.verdictsDue_.empty();
    const auto isSuspected = [&job](std::size_t task) { return needsIsolation(job, task); };
    std::stable_partition(group.tasks_.begin(), group.tasks_.end(), isSuspected);
    if (job.submission_.steps_[group.group_.step_].gang_) {
        if (isUndecided) {
            group.tasks_.clear();
        }
        return;
    }
    std::size_t running = countSuspectedRuns(cluster, job);
    std::erase_if(group.tasks_, [&](std::size_t task) {
        if (!isSuspected(task)) {
            return false;
        }
        const bool waits = isUndecided || running >= job.isolatedStarts_;
        running += waits ? 0 : 1;
        return waits;
    });
}

bool hasOutlasted(Duration survival, milliseconds longest) noexcept
{
    return survival >= 2 * longest + startupTime;
}

void isolateRecoveredRuns(ClusterState &cluster, const Job &job)
{
    for (const Group &group : groupsOf(job.submission_)) {
        for (std::size_t index = group.first_; index < group.end_; ++index) {
            const TaskProgress &task = job.progress_.tasks_[index];
            const auto run = cluster.runs_.find({taskOf(job.submission_, group, index), task.run_});
            if (task.assigned_ && run != cluster.runs_.end() && needsIsolation(job, index)) {
                run->second.isolated_ = true;
            }
        }
    }
}

}
