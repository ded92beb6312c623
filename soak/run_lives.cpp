#include "run_lives.h"

#include <algorithm>

namespace bergamotwick::soak {

void RunLives::began(const batch::Incarnation &incarnation, const batch::RunId &run, Instant now)
{
    const std::lock_guard lock(mutex_);
    alive_.try_emplace({incarnation, run}, now);
}

void RunLives::ended(const batch::Incarnation &incarnation, const batch::RunId &run, Instant now)
{
    const std::lock_guard lock(mutex_);
    if (const auto found = alive_.find({incarnation, run}); found != alive_.end()) {
        add(run.task_, now - found->second);
        alive_.erase(found);
    }
}

void RunLives::executorEnded(const batch::Incarnation &incarnation, Instant now)
{
    const std::lock_guard lock(mutex_);
    for (auto run = alive_.lower_bound({incarnation, {}}); run != alive_.end() && run->first.first == incarnation; run = alive_.erase(run)) {
        add(run->first.second.task_, now - run->second);
    }
}

std::map<batch::TaskId, Duration> RunLives::longest(const JobId &job, Instant now) const
{
    const std::lock_guard lock(mutex_);
    std::map<batch::TaskId, Duration> lives;
    for (auto task = longest_.lower_bound({job, 0, 0, 0}); task != longest_.end() && task->first.job_ == job; ++task) {
        lives.insert(*task);
    }
    for (const auto &[run, start] : alive_) {
        if (run.second.task_.job_ == job) {
            Duration &life = lives[run.second.task_];
            life = std::max(life, now - start);
        }
    }
    return lives;
}

void RunLives::add(const batch::TaskId &task, Duration life)
{
    Duration &longest = longest_[task];
    longest = std::max(longest, life);
}

}
