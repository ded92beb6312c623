#include "crash_counts.h"

#include "core/batch/board.h"
#include "core/batch/codec.h"
#include "keys.h"
#include "soak_clock.h"

#include <algorithm>
#include <set>

namespace bergamotwick::soak {

namespace {

/// A run that lives for twice the longest survival before a crash and this long is not taken for the cause of crashes any more.
constexpr milliseconds leastLifeOfCleared{1'000};

}

CrashCounts::CrashCounts(StoreStandIn &store, const RunLives &lives)
    : store_(store)
    , lives_(lives)
{
    store_.observeWrites(node::keys::crashes, [this](const std::string &bytes) { check(bytes); });
}

CrashCounts::~CrashCounts()
{
    store_.observeWrites({}, {});
}

void CrashCounts::addCrashingJob(const batch::Submission &job)
{
    const std::lock_guard lock(mutex_);
    crashingJobs_[job.id_] = job;
}

std::vector<std::string> CrashCounts::violations() const
{
    const std::lock_guard lock(mutex_);
    return violations_;
}

std::size_t CrashCounts::counted() const
{
    const std::lock_guard lock(mutex_);
    std::set<JobId> jobs;
    for (const auto &[task, crashes] : lastStored_) {
        jobs.insert(task.first);
    }
    return jobs.size();
}

bool CrashCounts::hasOutlasted(const batch::Submission &job, const batch::TaskCrashes &before) const
{
    const auto lives = lives_.longest(job.id_, soakNow());
    const Duration leastLife = 2 * before.longestSurvival_ + leastLifeOfCleared;
    return std::any_of(
        lives.begin(), lives.end(), [&](const auto &life) { return batch::indexOf(job, life.first) == before.task_ && life.second >= leastLife; });
}

void CrashCounts::check(const std::string &bytes)
{
    const std::lock_guard lock(mutex_);
    const auto history = batch::decodeCrashHistory(bytes);
    if (!history) {
        violations_.emplace_back("UNREADABLE: a crash history in the store");
        return;
    }
    const auto job = crashingJobs_.find(history->id_);
    if (job == crashingJobs_.end()) {
        return;
    }
    for (const batch::TaskCrashes &task : history->tasks_) {
        batch::TaskCrashes &before = lastStored_.try_emplace({history->id_, task.task_}, task).first->second;
        // The last loss doesn't count any more if its executor turned out to be alive.
        const bool isCorrected = before.lastSuspected_ && !before.lastResolved_ && task.crashes_ + 1 == before.crashes_;
        if (task.crashes_ < before.crashes_ && !isCorrected && !hasOutlasted(job->second, before)) {
            violations_.push_back("DROPPED: crashes of task " + std::to_string(task.task_) + " of " + history->id_.str() + " fell from "
                                  + std::to_string(before.crashes_) + " to " + std::to_string(task.crashes_));
        }
        before = task;
    }
}

}
