#include "core/scheduling/shards.h"

#include "core/scheduling/contacts.h"
#include "core/scheduling/guarantees.h"
#include "core/scheduling/ledger.h"

#include <algorithm>

namespace bergamotwick {

namespace {

bool isFinished(const JobRecord &record)
{
    return record.state_ == JobState::Done || record.state_ == JobState::Failed || record.state_ == JobState::Cancelled;
}

/// Removes finished jobs beyond SchedulerLimits::maxFinishedJobs_ from a shard, oldest first.
void removeOldestFinishedJobs(SchedulerState &state, std::size_t shard)
{
    std::vector<std::pair<WallTime, JobId>> finished;
    for (const auto &[id, job] : state.jobs_) {
        if (job.shard_ == shard && isFinished(job.record_) && job.durable()) {
            finished.emplace_back(job.record_.finished_, id);
        }
    }
    if (finished.size() <= state.limits_.maxFinishedJobs_) {
        return;
    }
    std::sort(finished.begin(), finished.end());
    for (std::size_t i = 0; i + state.limits_.maxFinishedJobs_ < finished.size(); ++i) {
        state.jobs_.erase(finished[i].second);
    }
}

void requestWrite(SchedulerState &state, std::size_t shard, SchedulerOutputs &outputs)
{
    removeOldestFinishedJobs(state, shard);
    ShardState &shardState = state.shards_[shard];
    JobShard document;
    document.epoch_ = state.epoch_;
    document.ownerSequence_ = ++shardState.ownerSequence_;
    shardState.pendingVersions_.clear();
    for (const auto &[id, job] : state.jobs_) {
        if (job.shard_ == shard) {
            document.jobs_.emplace(id, job.record_);
            shardState.pendingVersions_.emplace(id, job.version_);
        }
    }
    shardState.dirty_ = false;
    shardState.writeInFlight_ = true;
    outputs.emplace_back(WriteShard{shard, shardState.modRevision_, encodeShard(document)});
}

void requestLoad(SchedulerState &state, std::size_t shard, SchedulerOutputs &outputs)
{
    if (!state.shards_[shard].loading_) {
        state.shards_[shard].loading_ = true;
        outputs.emplace_back(LoadShard{shard});
    }
}

void activate(SchedulerState &state, Instant now)
{
    state.stage_ = OwnerStage::Active;
    state.activeSince_ = now;
    state.placementPending_ = true;
    for (WorkerStatus &status : state.workerStatuses_) {
        status.adoptedEpoch_ = false;
        status.lastReportAt_ = now;
        status.leaseUntil_ = now + state.limits_.maxStoreReadAge_ + leaseDuration(state);
    }
    state.jobsToAdvance_.insert(state.live_.begin(), state.live_.end());
}

void confirmWrite(SchedulerState &state, std::size_t shard)
{
    for (const auto &[id, version] : state.shards_[shard].pendingVersions_) {
        const auto job = state.jobs_.find(id);
        if (job == state.jobs_.end()) {
            continue;
        }
        job->second.durableVersion_ = version;
        if (job->second.durable() && job->second.live()) {
            state.jobsToAdvance_.insert(id);
            for (const MemberState &member : job->second.members_) {
                state.changedWorkers_.insert(member.worker_);
            }
        }
    }
    state.shards_[shard].pendingVersions_.clear();
}

/// Merges the changes that other entries may make: new jobs and cancellations.
void mergeExternalChanges(SchedulerState &state, std::size_t shard, const JobShard &document, Instant now)
{
    for (const auto &[id, record] : document.jobs_) {
        const auto known = state.jobs_.find(id);
        if (known == state.jobs_.end()) {
            if (record.state_ == JobState::Queued) {
                adoptJob(state, record, shard, now);
                state.changedJobs_.insert(id);
            }
        } else if (record.cancelRequested_ && !known->second.record_.cancelRequested_ && !isFinished(known->second.record_)) {
            known->second.record_.cancelRequested_ = true;
            markChanged(state, known->second, now);
        }
    }
}

void loseOwnership(SchedulerState &state, SchedulerOutputs &outputs)
{
    relinquish(state);
    outputs.emplace_back(Fenced{});
}

void takeOverShard(SchedulerState &state, std::size_t shard, const JobShard &document, Instant now, SchedulerOutputs &outputs)
{
    if (shard == 0) {
        state.epoch_ = document.epoch_ + 1; // unique to this owner once the first shard is written
    } else if (document.epoch_ > state.epoch_) {
        loseOwnership(state, outputs);
        return;
    }
    for (const auto &[id, record] : document.jobs_) {
        adoptJob(state, record, shard, now);
    }
    state.shards_[shard].ownerSequence_ = document.ownerSequence_;
    requestWrite(state, shard, outputs);
}

}

void beginTakeover(SchedulerState &state, SchedulerOutputs &outputs)
{
    state.stage_ = OwnerStage::Fencing;
    state.fencedShards_ = 0;
    requestLoad(state, 0, outputs);
}

void relinquish(SchedulerState &state)
{
    const std::size_t shards = state.shards_.size();
    SchedulerState fresh;
    fresh.limits_ = state.limits_;
    fresh.policy_ = state.policy_;
    fresh.config_ = state.config_;
    fresh.control_ = state.control_;
    fresh.runTimes_ = std::move(state.runTimes_);
    state = std::move(fresh);
    state.shards_.resize(shards);
    rebuildReservations(state);
    for (const DataCentreId &dataCentre : state.control_.outOfService_) {
        state.fleet_.setInService(dataCentre, false);
    }
}

void applyShard(SchedulerState &state, std::size_t shard, std::int64_t modRevision, const JobShard &document, Instant now, SchedulerOutputs &outputs)
{
    ShardState &shardState = state.shards_[shard];
    shardState.loading_ = false;
    if (state.stage_ == OwnerStage::Idle || modRevision < shardState.modRevision_ || (shardState.writeInFlight_ && state.stage_ == OwnerStage::Active)) {
        return;
    }
    shardState.modRevision_ = modRevision;
    if (state.stage_ == OwnerStage::Fencing) {
        if (shard == state.fencedShards_ && !shardState.writeInFlight_) {
            takeOverShard(state, shard, document, now, outputs);
        }
        return;
    }
    if (document.epoch_ != state.epoch_) {
        loseOwnership(state, outputs);
        return;
    }
    if (!shardState.pendingVersions_.empty() && document.ownerSequence_ == shardState.ownerSequence_) {
        confirmWrite(state, shard);
    } else if (!shardState.pendingVersions_.empty()) {
        shardState.pendingVersions_.clear();
        shardState.dirty_ = true;
    }
    mergeExternalChanges(state, shard, document, now);
}

void shardWritten(SchedulerState &state, std::size_t shard, std::int64_t modRevision, Instant now, SchedulerOutputs &outputs)
{
    ShardState &shardState = state.shards_[shard];
    if (!shardState.writeInFlight_) {
        return;
    }
    shardState.writeInFlight_ = false;
    shardState.modRevision_ = std::max(shardState.modRevision_, modRevision);
    confirmWrite(state, shard);
    if (state.stage_ != OwnerStage::Fencing || shard != state.fencedShards_) {
        return;
    }
    ++state.fencedShards_;
    if (state.fencedShards_ == state.shards_.size()) {
        activate(state, now);
    } else {
        requestLoad(state, state.fencedShards_, outputs);
    }
}

void shardWriteUnconfirmed(SchedulerState &state, std::size_t shard, SchedulerOutputs &outputs)
{
    if (!state.shards_[shard].writeInFlight_) {
        return;
    }
    if (state.stage_ == OwnerStage::Fencing) {
        relinquish(state);
        beginTakeover(state, outputs);
        return;
    }
    state.shards_[shard].writeInFlight_ = false;
    requestLoad(state, shard, outputs);
}

void writeShards(SchedulerState &state, SchedulerOutputs &outputs)
{
    if (state.stage_ != OwnerStage::Active) {
        return;
    }
    for (std::size_t shard = 0; shard < state.shards_.size(); ++shard) {
        const ShardState &shardState = state.shards_[shard];
        if (!shardState.pendingVersions_.empty() && !shardState.writeInFlight_) {
            requestLoad(state, shard, outputs); // the result of the last write is unknown
        } else if (shardState.dirty_ && !shardState.writeInFlight_ && !shardState.loading_) {
            requestWrite(state, shard, outputs);
        }
    }
}

}
