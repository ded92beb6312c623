#include "crash_counts.h"

#include "base64.h"
#include "core/batch/codec.h"
#include "keys.h"

namespace bergamotwick::soak {

namespace {

constexpr std::chrono::milliseconds checkInterval{50};

}

CrashCounts::CrashCounts(StoreStandIn &store)
    : store_(store)
    , thread_([this] { run(); })
{
}

CrashCounts::~CrashCounts()
{
    stopping_ = true;
    thread_.join();
}

void CrashCounts::addCrashingJob(const JobId &job)
{
    const std::lock_guard lock(mutex_);
    crashingJobs_.insert(job);
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
    for (const auto &[task, count] : counts_) {
        jobs.insert(task.first);
    }
    return jobs.size();
}

void CrashCounts::run()
{
    while (!stopping_) {
        for (const std::string &bytes : store_.values(node::keys::crashes)) {
            check(bytes);
        }
        std::this_thread::sleep_for(checkInterval);
    }
}

void CrashCounts::check(const std::string &bytes)
{
    const std::lock_guard lock(mutex_);
    const auto history = batch::decodeCrashHistory(bytes);
    if (!history) {
        violations_.emplace_back("UNREADABLE: a crash history in the store");
        return;
    }
    if (!crashingJobs_.contains(history->id_)) {
        return;
    }
    for (const batch::TaskCrashes &task : history->tasks_) {
        std::uint32_t &last = counts_[{history->id_, task.task_}];
        // The last loss doesn't count any more if its executor turned out to be alive.
        const bool isCorrected = task.lastResolved_ && task.lastSuspected_ && task.crashes_ + 1 == last;
        if (task.crashes_ < last && !isCorrected) {
            violations_.push_back("DROPPED: crashes of " + history->id_.str() + " fell from " + std::to_string(last) + " to " + std::to_string(task.crashes_));
        }
        last = task.crashes_;
    }
}

}
