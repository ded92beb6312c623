#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Starts to fence the region's shards with a new epoch. Precondition: OwnerStage::Idle.
void beginTakeover(SchedulerState &state, SchedulerOutputs &outputs);

/// Gives up the region and discards its jobs and workers; configuration and learned run times stay.
void relinquish(SchedulerState &state);

/// Applies a shard read from the store.
void applyShard(SchedulerState &state, std::size_t shard, std::int64_t modRevision, const JobShard &document, Instant now, SchedulerOutputs &outputs);

/// Records that a write took effect.
void shardWritten(SchedulerState &state, std::size_t shard, std::int64_t modRevision, Instant now, SchedulerOutputs &outputs);

/// Handles a write that failed its compare-and-swap or has an unknown result: reads the shard back or restarts the takeover.
void shardWriteUnconfirmed(SchedulerState &state, std::size_t shard, SchedulerOutputs &outputs);

/// Requests writes of the shards that have changed.
void writeShards(SchedulerState &state, SchedulerOutputs &outputs);

}
