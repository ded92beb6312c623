#include "core/scheduling/health.h"

#include "core/scheduling/ledger.h"

#include <algorithm>
#include <array>

namespace bergamotwick {

namespace {

constexpr std::array<Duration, 4> asideLadder{60s, 5min, 15min, 60min};

}

void recordFailure(SchedulerBoard &board, WorkerIndex worker, const JobId &job, Instant now)
{
    Contact &contact = contactOf(board, worker);
    contact.failedJobs_.insert(job);
    const auto failed = static_cast<std::int32_t>(contact.failedJobs_.size());
    if (!board.limits_.setAsideWorkers_ || failed < (contact.timesSetAside_ > 0 ? 1 : board.limits_.workerFailures_)) {
        return;
    }
    const auto step = std::min(static_cast<std::size_t>(contact.timesSetAside_), asideLadder.size() - 1);
    contact.asideUntil_ = now + asideLadder[step];
    ++contact.timesSetAside_;
    contact.failedJobs_.clear(); // one more failure, once it is open again, sets it aside for longer
    board.fleet_.setQuarantined(worker, true);
    board.asideNow_.push_back({board.fleet_.worker(worker).id_, asideLadder[step]});
}

void recordSuccess(SchedulerBoard &board, WorkerIndex worker)
{
    Contact &contact = contactOf(board, worker);
    contact.failedJobs_.clear();
    contact.timesSetAside_ = 0;
}

void reopenWorkers(SchedulerBoard &board, Instant now)
{
    for (WorkerIndex worker = 0; worker < board.contacts_.size(); ++worker) {
        if (board.fleet_.worker(worker).quarantined_ && now >= board.contacts_[worker].asideUntil_) {
            board.fleet_.setQuarantined(worker, false);
            board.placeAgain_ = true;
        }
    }
}

}
