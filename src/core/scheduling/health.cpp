#include "core/scheduling/health.h"

#include "core/scheduling/ledger.h"

#include <algorithm>
#include <array>

namespace bergamotwick {

namespace {

constexpr std::array<Duration, 4> quarantineDurations{60s, 5min, 15min, 60min};

}

void recordFailure(SchedulerState &state, WorkerIndex worker, const JobId &job, Instant now)
{
    WorkerStatus &status = workerStatusOf(state, worker);
    status.failedJobs_.insert(job);
    const auto failed = static_cast<std::int32_t>(status.failedJobs_.size());
    if (!state.limits_.quarantineWorkers_ || failed < (status.quarantineCount_ > 0 ? 1 : state.limits_.failuresUntilQuarantine_)) {
        return;
    }
    const auto step = std::min(static_cast<std::size_t>(status.quarantineCount_), quarantineDurations.size() - 1);
    status.quarantinedUntil_ = now + quarantineDurations[step];
    ++status.quarantineCount_;
    status.failedJobs_.clear(); // after the quarantine a single failure starts a longer one
    state.fleet_.setQuarantined(worker, true);
    state.newlyQuarantined_.push_back({state.fleet_.worker(worker).id_, quarantineDurations[step]});
}

void recordSuccess(SchedulerState &state, WorkerIndex worker)
{
    WorkerStatus &status = workerStatusOf(state, worker);
    status.failedJobs_.clear();
    status.quarantineCount_ = 0;
}

void releaseQuarantinedWorkers(SchedulerState &state, Instant now)
{
    for (WorkerIndex worker = 0; worker < state.workerStatuses_.size(); ++worker) {
        if (state.fleet_.worker(worker).quarantined_ && now >= state.workerStatuses_[worker].quarantinedUntil_) {
            state.fleet_.setQuarantined(worker, false);
            state.placementPending_ = true;
        }
    }
}

}
