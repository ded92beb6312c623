#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

// Inputs

/// This entry has won the region's lease and may fence its shards.
struct TakeOver
{
};

/// This entry gives up the region.
struct Relinquish
{
};

struct ControlChanged
{
    std::shared_ptr<const Config> config_;
    ControlView view_;
};

struct WorkerReported
{
    AgentReport report_;
};

struct ShardRead
{
    std::size_t shard_ = 0;
    std::int64_t modRevision_ = 0;
    JobShard document_;
};

struct ShardWritten
{
    std::size_t shard_ = 0;
    std::int64_t modRevision_ = 0;
};

/// A write failed its compare-and-swap, or its result is unknown.
struct ShardWriteUnconfirmed
{
    std::size_t shard_ = 0;
};

/// A read of a shard failed and is retried later.
struct ShardReadFailed
{
    std::size_t shard_ = 0;
};

/// Triggers work that depends only on time.
struct SchedulerTick
{
};

using SchedulerInput
    = std::variant<TakeOver, Relinquish, ControlChanged, WorkerReported, ShardRead, ShardWritten, ShardWriteUnconfirmed, ShardReadFailed, SchedulerTick>;

/// Places the jobs of one region on its workers. Pure state machine without sockets, threads, clocks or store access.
///
/// \code
/// Scheduler scheduler(SchedulerLimits{}, TopologyAwareFit{}, 1);
/// const SchedulerOutputs outputs = scheduler.step(now, wall, SchedulerTick{});
/// \endcode
///
/// Thread safety: none; the caller serialises all calls.
class Scheduler
{
public:
    /// Precondition: \p shards is at least one.
    Scheduler(const SchedulerLimits &limits, const PlacementPolicy &policy, std::size_t shards);

    /// Processes one input and returns the resulting outputs. Precondition: \p now never decreases.
    [[nodiscard]] SchedulerOutputs step(Instant now, WallTime wall, const SchedulerInput &input);

    /// Returns the directive for \p worker and records the lease renewal in it.
    [[nodiscard]] Directive directive(WorkerIndex worker, Instant now);

    /// Returns the internal state, for status pages, tests and benchmarks.
    [[nodiscard]] const SchedulerState &state() const noexcept
    {
        return state_;
    }

    [[nodiscard]] bool active() const noexcept
    {
        return state_.stage_ == OwnerStage::Active;
    }

private:
    void applyInput(const SchedulerInput &input, Instant now, SchedulerOutputs &outputs);
    void changeControl(const ControlChanged &change, Instant now);
    void sweep(Instant now);
    void schedule(Instant now, SchedulerOutputs &outputs);
    void emitChanges(Instant now, SchedulerOutputs &outputs);

    SchedulerState state_;
};

}
