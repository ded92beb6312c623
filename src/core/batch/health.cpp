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
    return executor.facts_.capacity_.timesFits(step.counted(), most);
}

bool isShunned(const Job &job, std::size_t index, const ExecutorId &executor)
{
    const auto avoided = job.avoid_.find(index);
    return avoided != job.avoid_.end() && avoided->second.contains(executor);
}

bool isProven(const Board &board, const Executor &executor)
{
    return executor.doneAt_ > executor.failedAt_ && board.now_ - executor.doneAt_ < proofTime;
}

}

void shun(const Board &board, Job &job, const Group &group, std::size_t index, const ExecutorId &executor)
{
    const auto [first, last] = boundTo(job.submission_, group, index);
    for (std::size_t at = first; at < last; ++at) {
        auto &avoided = job.avoid_[at];
        if (2 * (avoided.size() + 1) > board.executors_.size()) {
            avoided.clear();
        }
        avoided.insert(executor);
    }
}

bool isSuspect(const Board &board, const Executor &executor)
{
    return executor.failedAt_ > executor.doneAt_ && board.now_ - executor.failedAt_ < suspicionTime;
}

bool mayTake(const Board &board, const WaitingGroup &group, std::size_t index, const Executor &executor)
{
    const Job &job = *group.job_;
    if (isShunned(job, index, executor.facts_.life_.executor_)) {
        return false;
    }
    const std::size_t failures = job.progress_.tasks_[index].failedRuns_.size();
    if (failures == 0) {
        return true;
    }
    const auto since = job.waitingSince_.find(group.group_.first_);
    const Duration waited = since == job.waitingSince_.end() ? Duration(0) : board.now_ - since->second;
    if (waited > trustPatience) {
        return true;
    }
    const bool last = failures + 1 >= static_cast<std::size_t>(job.maxAttempts_);
    return last && waited <= provenPatience ? isProven(board, executor) : !isSuspect(board, executor);
}

void forgetShunnedIfNeeded(Board &board, Job &job, const Group &group, const std::vector<Executor *> &candidates)
{
    const Step &step = job.submission_.steps_[group.step_];
    const std::int64_t needed = step.gang_ ? step.count_ : 1;
    for (auto at = job.avoid_.lower_bound(group.first_); at != job.avoid_.end() && at->first < group.last_;) {
        std::int64_t room = 0;
        for (const Executor *executor : candidates) {
            room += at->second.contains(executor->facts_.life_.executor_) ? 0 : held(*executor, step);
        }
        // The members of a gang shun the same executors.
        const auto next = job.avoid_.lower_bound(boundTo(job.submission_, group, at->first).second);
        if (room < needed) {
            board.decide("shunned-allowed", {{"job", job.submission_.id_.str()}, {"task", std::to_string(at->first)}});
            job.avoid_.erase(at, next);
        }
        at = next;
    }
}

void noteFailure(Board &board, Executor &executor, const JobId &job)
{
    executor.failedAt_ = board.now_;
    executor.failedJobs_.insert(job);
    if (executor.failedJobs_.size() >= failedJobsToSetAside) {
        executor.failedJobs_.clear();
        setAside(board, executor, "failures");
    }
}

void setAside(Board &board, Executor &executor, const char *reason)
{
    const auto aside = static_cast<std::size_t>(
        std::count_if(board.executors_.begin(), board.executors_.end(), [&board](const auto &entry) { return entry.second.asideUntil_ > board.now_; }));
    if ((aside + 1) * executorsPerSetAside > board.executors_.size()) {
        return;
    }
    executor.asideUntil_ = board.now_ + quarantineTime;
    board.decide("executor-aside", {{"executor", executor.facts_.life_.executor_.str()}, {"reason", reason}});
}

}
