#include "core/batch/health.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// An executor on which tasks of this many jobs have failed in a row is set aside.
constexpr std::size_t failedJobsToSetAside = 2;
constexpr milliseconds quarantineTime{6'000};

/// For how long a failure makes an executor suspect, and a good end vouches for it.
constexpr milliseconds suspicionTime{6'000};
constexpr milliseconds proofTime{10'000};

/// How long a task waits for a proven executor, and then for one that isn't suspect.
constexpr milliseconds provenPatience{700};
constexpr milliseconds trustPatience{1'400};

/// At most one executor in this many is set aside.
constexpr std::size_t executorsPerSetAside = 3;

/// Returns how many tasks of \p step an empty \p executor holds, up to the step's own number.
std::int64_t held(const Executor &executor, const Step &step)
{
    const std::uint32_t most = step.antiAffinity_ > 0 ? std::min(step.antiAffinity_, step.count_) : step.count_;
    return executor.info_.capacity_.countFitting(step.countedDemand(), most);
}

bool isShunned(const Job &job, std::size_t index, const ExecutorId &executor)
{
    const auto avoided = job.excludedExecutors_.find(index);
    return avoided != job.excludedExecutors_.end() && avoided->second.contains(executor);
}

bool isProven(const ClusterState &cluster, const Executor &executor)
{
    return executor.succeededAt_ > executor.failedAt_ && cluster.now_ - executor.succeededAt_ < proofTime;
}

}

void excludeExecutor(const ClusterState &cluster, Job &job, const Group &group, std::size_t index, const ExecutorId &executor)
{
    const auto [first, last] = coScheduledRange(job.submission_, group, index);
    for (std::size_t at = first; at < last; ++at) {
        auto &avoided = job.excludedExecutors_[at];
        if (2 * (avoided.size() + 1) > cluster.executors_.size()) {
            avoided.clear();
        }
        avoided.insert(executor);
    }
}

bool isSuspect(const ClusterState &cluster, const Executor &executor)
{
    return executor.failedAt_ > executor.succeededAt_ && cluster.now_ - executor.failedAt_ < suspicionTime;
}

bool mayRunOn(const ClusterState &cluster, const WaitingGroup &group, std::size_t index, const Executor &executor)
{
    const Job &job = *group.job_;
    if (isShunned(job, index, executor.info_.incarnation_.executor_)) {
        return false;
    }
    const std::size_t failures = job.progress_.tasks_[index].failedRuns_.size();
    if (failures == 0) {
        return true;
    }
    const auto since = job.waitingSince_.find(group.group_.first_);
    const Duration waited = since == job.waitingSince_.end() ? Duration(0) : cluster.now_ - since->second;
    if (waited > trustPatience) {
        return true;
    }
    const bool last = failures + 1 >= static_cast<std::size_t>(job.maxAttempts_);
    return last && waited <= provenPatience ? isProven(cluster, executor) : !isSuspect(cluster, executor);
}

void relaxExclusionsIfNeeded(ClusterState &cluster, Job &job, const Group &group, const std::vector<Executor *> &candidates)
{
    const Step &step = job.submission_.steps_[group.step_];
    const std::int64_t needed = step.gang_ ? step.count_ : 1;
    for (auto at = job.excludedExecutors_.lower_bound(group.first_); at != job.excludedExecutors_.end() && at->first < group.end_;) {
        std::int64_t room = 0;
        for (const Executor *executor : candidates) {
            room += at->second.contains(executor->info_.incarnation_.executor_) ? 0 : held(*executor, step);
        }
        // The members of a gang shun the same executors.
        const auto next = job.excludedExecutors_.lower_bound(coScheduledRange(job.submission_, group, at->first).second);
        if (room < needed) {
            cluster.logEvent("shunned-allowed", {{"job", job.submission_.id_.str()}, {"task", std::to_string(at->first)}});
            job.excludedExecutors_.erase(at, next);
        }
        at = next;
    }
}

void recordFailure(ClusterState &cluster, Executor &executor, const JobId &job)
{
    executor.failedAt_ = cluster.now_;
    executor.failedJobs_.insert(job);
    if (executor.failedJobs_.size() >= failedJobsToSetAside) {
        executor.failedJobs_.clear();
        quarantine(cluster, executor, "failures");
    }
}

void quarantine(ClusterState &cluster, Executor &executor, const char *reason)
{
    const auto aside = static_cast<std::size_t>(std::count_if(
        cluster.executors_.begin(), cluster.executors_.end(), [&cluster](const auto &entry) { return entry.second.quarantinedUntil_ > cluster.now_; }));
    if ((aside + 1) * executorsPerSetAside > cluster.executors_.size()) {
        return;
    }
    executor.quarantinedUntil_ = cluster.now_ + quarantineTime;
    cluster.logEvent("executor-aside", {{"executor", executor.info_.incarnation_.executor_.str()}, {"reason", reason}});
}

}
