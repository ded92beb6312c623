#include "core/scheduling/scheduler.h"

#include "core/overloaded.h"
#include "core/scheduling/contacts.h"
#include "core/scheduling/gangs.h"
#include "core/scheduling/guarantees.h"
#include "core/scheduling/health.h"
#include "core/scheduling/invariants.h"
#include "core/scheduling/queue.h"
#include "core/scheduling/shards.h"

namespace bergamotwick {

namespace {

constexpr Duration sweepInterval = 500ms;
constexpr Duration idlePassInterval = 2s; ///< between placement passes over an unchanged queue, whose jobs only age

}

Scheduler::Scheduler(const SchedulerLimits &limits, const PlacementPolicy &policy, std::size_t shards)
{
    state_.limits_ = limits;
    state_.policy_ = policy;
    state_.shards_.resize(shards);
}

SchedulerOutputs Scheduler::step(Instant now, WallTime wall, const SchedulerInput &input)
{
    SchedulerOutputs outputs;
    state_.wallTime_ = wall;
    applyInput(input, now, outputs);
    if (now - state_.lastSweep_ >= sweepInterval) {
        sweep(now);
    }
    schedule(now, outputs);
    emitChanges(now, outputs);
    return outputs;
}

Directive Scheduler::directive(WorkerIndex worker, Instant now)
{
    return directiveFor(state_, worker, now);
}

void Scheduler::applyInput(const SchedulerInput &input, Instant now, SchedulerOutputs &outputs)
{
    std::visit(Overloaded{
                   [&](const TakeOver &) {
                       if (state_.stage_ == OwnerStage::Idle) {
                           beginTakeover(state_, outputs);
                       }
                   },
                   [&](const Relinquish &) { relinquish(state_); },
                   [&](const ControlChanged &change) { changeControl(change, now); },
                   [&](const WorkerReported &reported) { applyReport(state_, reported.report_, now); },
                   [&](const ShardRead &read) { applyShard(state_, read.shard_, read.modRevision_, read.document_, now, outputs); },
                   [&](const ShardWritten &written) { shardWritten(state_, written.shard_, written.modRevision_, now, outputs); },
                   [&](const ShardWriteUnconfirmed &unconfirmed) { shardWriteUnconfirmed(state_, unconfirmed.shard_, outputs); },
                   [&](const ShardReadFailed &failed) {
                       state_.shards_[failed.shard_].loading_ = false;
                       if (state_.stage_ == OwnerStage::Fencing) {
                           relinquish(state_);
                           outputs.emplace_back(Fenced{});
                       }
                   },
                   [](const SchedulerTick &) {},
               },
               input);
}

void Scheduler::changeControl(const ControlChanged &change, Instant now)
{
    const bool configChanged = change.config_ && change.config_ != state_.config_;
    const bool outOfServiceChanged = change.view_.outOfService_ != state_.control_.outOfService_;
    for (const DataCentreId &dataCentre : state_.control_.outOfService_) {
        if (!change.view_.outOfService_.contains(dataCentre)) {
            state_.fleet_.setInService(dataCentre, true);
            state_.returnedToServiceAt_[dataCentre] = now;
        }
    }
    for (const DataCentreId &dataCentre : change.view_.outOfService_) {
        state_.fleet_.setInService(dataCentre, false);
    }
    state_.control_ = change.view_;
    if (configChanged) {
        state_.config_ = change.config_;
        rebuildReservations(state_);
    }
    if (configChanged || outOfServiceChanged) {
        evacuateDataCentres(state_, now);
        state_.placementPending_ = true;
    }
}

void Scheduler::sweep(Instant now)
{
    state_.lastSweep_ = now;
    detectSilentWorkers(state_, now);
    releaseQuarantinedWorkers(state_, now);
    evacuateDataCentres(state_, now);
    state_.jobsToAdvance_.insert(state_.live_.begin(), state_.live_.end());
    const bool waiting = !state_.queued_.empty() || unboundReservationCount(state_) > 0;
    const bool passDue = state_.jobsDelayedByRamp_ > 0 || now - state_.lastPlacementPass_ >= idlePassInterval;
    state_.placementPending_ = state_.placementPending_ || (waiting && passDue);
}

void Scheduler::schedule(Instant now, SchedulerOutputs &outputs)
{
    if (state_.stage_ != OwnerStage::Active) {
        return;
    }
    cancelJobs(state_, now);
    advanceGangs(state_, now);
    if (state_.placementPending_) {
        state_.lastPlacementPass_ = now;
        bindReservations(state_);
        placeQueued(state_, now);
    }
    writeShards(state_, outputs);
}

void Scheduler::emitChanges(Instant now, SchedulerOutputs &outputs)
{
    if (state_.stage_ == OwnerStage::Active) {
        checkInvariants(state_, outputs);
        for (const WorkerIndex worker : state_.changedWorkers_) {
            if (state_.fleet_.worker(worker).alive_) {
                outputs.emplace_back(PushDirective{worker});
            }
        }
        for (const WorkerQuarantined &quarantined : state_.newlyQuarantined_) {
            outputs.emplace_back(quarantined);
        }
        for (const JobId &id : state_.changedJobs_) {
            const JobRecord &record = state_.jobs_.at(id).record_;
            const Duration waited = now - state_.jobs_.at(id).queuedAt_;
            outputs.emplace_back(JobChanged{id, record.spec_.workspace_, record.state_, record.reason_, record.generation_, waited});
        }
    }
    state_.changedWorkers_.clear();
    state_.newlyQuarantined_.clear();
    state_.changedJobs_.clear();
}

}
