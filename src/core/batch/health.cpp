#include "core/batch/health.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// An executor is quarantined after failures of tasks of this many jobs without a success in between.
constexpr std::size_t failedJobsBeforeQuarantine = 2;
constexpr milliseconds quarantineDuration{6'000};

/// How long an executor is suspect after a failure, and proven after a success.
constexpr milliseconds suspectDuration{6'000};
constexpr milliseconds provenDuration{10'000};

/// How long a task waits for a proven executor on its last attempt.
constexpr milliseconds maxWaitForProven{700};

/// How long a task that has failed before waits for an executor that isn't suspect.
constexpr milliseconds maxWaitForUnsuspected{1'400};

/// At most one executor in this many is in quarantine.
constexpr std::size_t executorsPerQuarantined = 3;

/// Returns how many tasks of \p step fit on \p executor when it is empty, limited by the step's task count and anti-affinity.
std::int64_t countFittingWhenEmpty(const Executor &executor, const Step &step)
{
    const std::uint32_t maxCount = step.antiAffinity_ > 0 ? std::min(step.antiAffinity_, step.count_) : step.count_;
    return executor.info_.capacity_.countFitting(step.countedDemand(), maxCount);
}

bool isExcluded(const Job &job, std::size_t index, const ExecutorId &executor)
{
    const auto excluded = job.excludedExecutors_.find(index);
    return excluded != job.excludedExecutors_.end() && excluded->second.contains(executor);
}

/// Returns whether a task succeeded on \p executor recently and none has failed there since.
bool isProven(const ClusterState &cluster, const Executor &executor)
{
    return executor.succeededAt_ > executor.failedAt_ && cluster.now_ - executor.succeededAt_ < provenDuration;
}

}

void excludeExecutor(const ClusterState &cluster, Job &job, const Group &group, std::size_t index, const ExecutorId &executor)
{
    const auto [first, end] = coScheduledRange(job.submission_, group, index);
    for (std::size_t member = first; member < end; ++member) {
        auto &excluded = job.excludedExecutors_[member];
        if (2 * (excluded.size() + 1) > cluster.executors_.size()) {
            excluded.clear();
        }
        excluded.insert(executor);
    }
}

bool isSuspect(const ClusterState &cluster, const Executor &executor)
{
    return executor.failedAt_ > executor.succeededAt_ && cluster.now_ - executor.failedAt_ < suspectDuration;
}

bool mayRunOn(const ClusterState &cluster, const WaitingGroup &group, std::size_t index, const Executor &executor)
{
    const Job &job = *group.job_;
    if (isExcluded(job, index, executor.info_.incarnation_.executor_)) {
        return false;
    }
    const std::size_t failures = job.progress_.tasks_[index].failedRuns_.size();
    if (failures == 0) {
        return true;
    }
    const auto since = job.waitingSince_.find(group.group_.first_);
    const Duration waited = since == job.waitingSince_.end() ? Duration(0) : cluster.now_ - since->second;
    if (waited > maxWaitForUnsuspected) {
        return true;
    }
    const bool isLastAttempt = failures + 1 >= static_cast<std::size_t>(job.settings_.maxAttempts_);
    return isLastAttempt && waited <= maxWaitForProven ? isProven(cluster, executor) : !isSuspect(cluster, executor);
}

void relaxExclusionsIfNeeded(ClusterState &cluster, Job &job, const Group &group, const std::vector<Executor *> &candidates)
{
    const Step &step = job.submission_.steps_[group.step_];
    const std::int64_t needed = step.gang_ ? step.count_ : 1;
    for (auto exclusion = job.excludedExecutors_.lower_bound(group.first_); exclusion != job.excludedExecutors_.end() && exclusion->first < group.end_;) {
        std::int64_t fitting = 0;
        for (const Executor *executor : candidates) {
            fitting += exclusion->second.contains(executor->info_.incarnation_.executor_) ? 0 : countFittingWhenEmpty(*executor, step);
        }
        // The members of a gang have the same excluded executors.
        const auto next = job.excludedExecutors_.lower_bound(coScheduledRange(job.submission_, group, exclusion->first).second);
        if (fitting < needed) {
            cluster.logEvent("shunned-allowed", {{"job", job.submission_.id_.str()}, {"task", std::to_string(exclusion->first)}});
            job.excludedExecutors_.erase(exclusion, next);
        }
        exclusion = next;
    }
}

void recordFailure(ClusterState &cluster, Executor &executor, const JobId &job)
{
    executor.failedAt_ = cluster.now_;
    executor.failedJobs_.insert(job);
    if (executor.failedJobs_.size() >= failedJobsBeforeQuarantine) {
        executor.failedJobs_.clear();
        quarantine(cluster, executor, "failures");
    }
}

void quarantine(ClusterState &cluster, Executor &executor, const char *reason)
{
    const auto quarantined = static_cast<std::size_t>(std::count_if(
        cluster.executors_.begin(), cluster.executors_.end(), [&cluster](const auto &entry) { return entry.second.quarantinedUntil_ > cluster.now_; }));
    if ((quarantined + 1) * executorsPerQuarantined > cluster.executors_.size()) {
        return;
    }
    executor.quarantinedUntil_ = cluster.now_ + quarantineDuration;
    cluster.logEvent("executor-aside", {{"executor", executor.info_.incarnation_.executor_.str()}, {"reason", reason}});
}

}
