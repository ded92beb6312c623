#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

// Inputs

/// This entry has won the region's lease; it may fence the documents.
struct TakeOver
{
};

/// This entry gives the region up.
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

/// A write lost its race, or its result is unknown.
struct ShardUnsure
{
    std::size_t shard_ = 0;
};

/// A read of a shard failed; it is asked for again later.
struct ShardUnread
{
    std::size_t shard_ = 0;
};

/// Time has passed.
struct SchedulerTick
{
};

using SchedulerInput = std::variant<TakeOver, Relinquish, ControlChanged, WorkerReported, ShardRead, ShardWritten, ShardUnsure, ShardUnread, SchedulerTick>;

/// Decides which jobs of one region run where. Holds no socket, thread, clock or store.
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

    /// Takes in one input and returns what to do. Precondition: \p now never decreases.
    [[nodiscard]] SchedulerOutputs step(Instant now, WallTime wall, const SchedulerInput &input);

    /// Returns what \p worker is to do, and renews its leases on the way.
    [[nodiscard]] Directive directive(WorkerIndex worker, Instant now);

    /// Returns the blackboard, for status pages, tests and measurements.
    [[nodiscard]] const SchedulerBoard &board() const noexcept
    {
        return board_;
    }

    [[nodiscard]] bool active() const noexcept
    {
        return board_.stage_ == OwnerStage::Active;
    }

private:
    void take(const SchedulerInput &input, Instant now, SchedulerOutputs &outputs);
    void changeControl(const ControlChanged &change, Instant now);
    void sweep(Instant now);
    void decide(Instant now, SchedulerOutputs &outputs);
    void report(Instant now, SchedulerOutputs &outputs);

    SchedulerBoard board_;
};

}
