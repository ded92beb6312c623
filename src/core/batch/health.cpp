#include "core/batch/health.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// An executor is quarantined after failures of tasks of this many jobs without a proof in between.
constexpr std::size_t failedJobsBeforeQuarantine = 2;
constexpr milliseconds quarantineDuration{6'000};

/// An executor is condemned by this many runs of a job that failed there soon after their start.
constexpr std::size_t soonFailedRunsToCondemn = 2;

/// A run that ends within this time of its assignment has ended soon: an order, its start and a report take part of it.
constexpr milliseconds maxSoonEnd{1'000};

/// How long an executor is suspect after a failure, and proven after the start that proves it.
constexpr milliseconds suspectDuration{6'000};
constexpr milliseconds provenDuration{10'000};

/// How long a task waits for a proven executor from its failure: before its second attempt, a later one, and its last one if it can still end in time.
constexpr milliseconds maxWaitOfSecondAttempt{300};
constexpr milliseconds maxWaitForProven{700};
constexpr milliseconds maxWaitOfLastAttempt{1'500};

/// How long a task pauses after its failure before its third or last attempt: failures of what started with it become known meanwhile.
constexpr milliseconds evidencePause{200};

/// How long a task waits for an executor that isn't suspect, from its failure.
constexpr milliseconds maxWaitForUnsuspected{1'400};
constexpr milliseconds maxWaitOfLastForUnsuspected{2'000};

/// Gangs with at most this many attempts are cautious with the first one while executors are in quarantine: any member's failure is that of all.
constexpr std::int32_t fewAttempts = 2;

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

bool hasFewAttempts(const Job &job, const Step &step)
{
    return step.gang_ && !step.longRunning_ && job.settings_.maxAttempts_ <= fewAttempts;
}

/// Returns how long the task at \p index of \p group has waited since it could be placed again: a wait of its group for room doesn't count.
Duration waitedSinceFailure(const ClusterState &cluster, const WaitingGroup &group, std::size_t index)
{
    const Job &job = *group.job_;
    const auto since = job.waitingSince_.find(group.group_.first_);
    const auto failed = job.failedAt_.find(index);
    const Instant waitingSince = since == job.waitingSince_.end() ? cluster.now_ : since->second;
    return cluster.now_ - (failed == job.failedAt_.end() ? waitingSince : std::max(waitingSince, failed->second));
}

/// Returns how long a task with \p failures waits for a proven executor. Without one to expect, only its last attempt waits.
milliseconds waitForProven(std::size_t failures, bool isLast, bool canEndInTime, bool mayExpectProven)
{
    if (isLast) {
        return mayExpectProven && canEndInTime ? maxWaitOfLastAttempt : maxWaitForProven;
    }
    if (!mayExpectProven) {
        return milliseconds(0);
    }
    return failures == 1 ? maxWaitOfSecondAttempt : maxWaitForProven;
}

/// Returns whether the task at \p index may make its next attempt on \p executor after \p failures.
bool mayRetryOn(const ClusterState &cluster, const WaitingGroup &group, std::size_t index, const Executor &executor, std::size_t failures)
{
    const Job &job = *group.job_;
    const bool limitsAttempts = !job.submission_.steps_[group.group_.step_].longRunning_;
    const bool isLast = limitsAttempts && failures + 1 >= static_cast<std::size_t>(job.settings_.maxAttempts_);
    const Duration waited = waitedSinceFailure(cluster, group, index);
    if ((isLast || failures > 1) && waited < evidencePause) {
        return false;
    }
    if (waited > (isLast ? maxWaitOfLastForUnsuspected : maxWaitForUnsuspected) || isProven(cluster, executor)) {
        return true;
    }
    const bool canEndInTime = cluster.now_ + maxWaitOfLastAttempt - waited < group.latestStart_;
    return waited >= waitForProven(failures, isLast, canEndInTime, group.mayExpectProven_) && !isSuspect(cluster, executor);
}

/// Returns whether a run of \p job has progressed on another executor than \p executor.
bool progressesElsewhere(const ClusterState &cluster, const Job &job, const Executor &executor)
{
    const JobId &id = job.submission_.id_;
    for (auto run = cluster.runs_.lower_bound(RunId{TaskId{id, 0, 0, 0}, 0}); run != cluster.runs_.end() && run->first.task_.job_ == id; ++run) {
        if (run->second.percent_ > run->second.initialPercent_ && run->second.placement_ != executor.info_.incarnation_) {
            return true;
        }
    }
    return false;
}

/// Returns whether \p executor runs something that was assigned after the last failure there, or shortly before: it may still prove it.
bool isOnProbation(const ClusterState &cluster, const Executor &executor)
{
    return std::any_of(executor.runs_.begin(), executor.runs_.end(), [&](const RunId &id) {
        const Run &run = cluster.runs_.at(id);
        return run.phase_ == RunPhase::Running && executor.failedAt_ - run.startedAt_ < maxSoonEnd;
    });
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

bool isProven(const ClusterState &cluster, const Executor &executor)
{
    return executor.provenBy_ > executor.failedAt_ && cluster.now_ - executor.provenBy_ < provenDuration;
}

bool prefersProven(const WaitingGroup &group)
{
    const Job &job = *group.job_;
    const auto hasFailed = [&job](std::size_t task) { return !job.progress_.tasks_[task].failedRuns_.empty(); };
    return group.isCautious_ || std::any_of(group.tasks_.begin(), group.tasks_.end(), hasFailed);
}

void assessHealth(const ClusterState &cluster, WaitingGroup &group)
{
    const Job &job = *group.job_;
    const auto hasExecutor = [&](const auto &predicate) {
        return std::any_of(cluster.executors_.begin(), cluster.executors_.end(), [&](const auto &entry) {
            return entry.second.info_.service_ == job.submission_.service_ && predicate(entry.second);
        });
    };
    group.isCautious_ = hasFewAttempts(job, job.submission_.steps_[group.group_.step_])
        && hasExecutor([&](const Executor &executor) { return executor.quarantinedUntil_ > cluster.now_; });
    group.mayExpectProven_ = prefersProven(group) && hasExecutor([&](const Executor &executor) { return isProven(cluster, executor); });
}

bool isSuspect(const ClusterState &cluster, const Executor &executor)
{
    return executor.failedAt_ > executor.provenBy_ && cluster.now_ - executor.failedAt_ < suspectDuration;
}

bool mayRunOn(const ClusterState &cluster, const WaitingGroup &group, std::size_t index, const Executor &executor)
{
    const Job &job = *group.job_;
    if (isExcluded(job, index, executor.info_.incarnation_.executor_)) {
        return false;
    }
    const std::size_t failures = job.progress_.tasks_[index].failedRuns_.size();
    if (failures > 0) {
        return mayRetryOn(cluster, group, index, executor, failures);
    }
    return !group.isCautious_ || !isSuspect(cluster, executor) || waitedSinceFailure(cluster, group, index) > maxWaitForProven;
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

void recordFailure(ClusterState &cluster, Executor &executor, const Job &job, Instant startedAt)
{
    executor.failedAt_ = cluster.now_;
    executor.failedJobs_[job.submission_.id_] += cluster.now_ - startedAt < maxSoonEnd ? 1 : 0;
    if (executor.failedJobs_.size() >= failedJobsBeforeQuarantine) {
        executor.failedJobs_.clear();
        quarantine(cluster, executor, "failures");
    } else {
        condemnFailing(cluster, job);
    }
}

void recordProof(Executor &executor, Instant startedAt)
{
    if (startedAt > executor.failedAt_) {
        executor.provenBy_ = std::max(executor.provenBy_, startedAt);
        executor.failedJobs_.clear();
    }
}

void condemnFailing(ClusterState &cluster, const Job &job)
{
    if (job.failedAt_.empty()) {
        return; // the usual case
    }
    for (auto &[id, executor] : cluster.executors_) {
        const auto failures = executor.failedJobs_.find(job.submission_.id_);
        const bool isFailing = failures != executor.failedJobs_.end() && failures->second >= soonFailedRunsToCondemn;
        if (isFailing && !isOnProbation(cluster, executor) && progressesElsewhere(cluster, job, executor)) {
            executor.failedJobs_.clear();
            quarantine(cluster, executor, "failures-at-start");
        }
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
