#pragma once

#include "bergamotwick/config.h"
#include "core/fleet.h"
#include "core/messages.h"
#include "core/placement.h"
#include "core/scheduling/job_record.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bergamotwick {

/// Times and bounds of the scheduler.
struct SchedulerLimits
{
    Duration minPeriod_ = 1s; ///< between two reports of a worker
    Duration minLease_ = 15s; ///< of a running member without word from the owner; outlasts a change of owner
    std::int32_t missedReports_ = 3; ///< after which a worker counts as silent
    std::int64_t bytesPerReport_ = 360; ///< of a quiet worker, both ways, headers of UDP and IP included
    std::int64_t bytesPerSecond_ = 2'000; ///< of control traffic an entry may spend on its workers
    Duration blindRenewal_ = 15min; ///< for which an owner renews leases without a read of the store
    Duration prepareTimeout_ = 10s;
    Duration preemptAfter_ = 30s; ///< wait after which a gang may stop work that overtook it
    Duration ageStep_ = 600s; ///< wait that outweighs a doubled expected run time
    Duration rampInterval_ = 250ms; ///< between two placements in a data centre that has just returned
    Duration rampLength_ = 20s;
    Duration moveEvery_ = 30s; ///< between two moves that defragment
    std::int32_t maxFailedWorkers_ = 3; ///< on which a job has failed
    std::int32_t maxFailures_ = 6; ///< of a job, wherever
    Duration firstRetry_ = 500ms; ///< of a failed job; doubled with each failure
    Duration lastRetry_ = 60s;
    std::int32_t workerFailures_ = 3; ///< of different jobs in a row, after which a worker is set aside
    std::int32_t maxPreemptions_ = 1; ///< of one job by waiting gangs
    std::size_t keptFinished_ = 200; ///< finished jobs kept in a shard
    bool learnRunTimes_ = true;
    bool shortestFirst_ = true; ///< off: strict order of arrival, the head blocks
    bool lendGuarantees_ = true;
    bool setAsideWorkers_ = true;
    bool moveToDefragment_ = true;
};

/// A member while the owner watches over it.
struct MemberState
{
    WorkerIndex worker_ = 0;
    std::int32_t tasks_ = 0;
    MemberPhase phase_ = MemberPhase::Absent;
    bool holdsRoom_ = false;
};

/// A job, its durable record, and what the owner has to remember besides.
struct JobEntry
{
    JobRecord record_;
    std::vector<MemberState> members_;
    std::size_t shard_ = 0;
    std::uint64_t version_ = 1; ///< of the record in memory
    std::uint64_t written_ = 0; ///< version that the store is known to hold
    Instant queuedAt_{};
    Instant changedAt_{};
    Instant startedAt_{};
    Instant notBefore_{}; ///< a failed job waits before it is tried again
    Duration ranFor_{}; ///< in earlier runs that were stopped
    std::int32_t preemptions_ = 0;
    std::set<WorkerIndex> failedOn_;

    [[nodiscard]] bool durable() const noexcept
    {
        return written_ == version_;
    }

    [[nodiscard]] bool live() const noexcept
    {
        return record_.state_ == JobState::Placed || record_.state_ == JobState::Running || record_.state_ == JobState::Stopping;
    }
};

/// What the owner knows of a worker's agent.
struct Contact
{
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    Instant heardAt_{};
    Instant leaseUntil_{}; ///< no member runs past this instant unless it is renewed
    std::uint64_t digest_ = 0; ///< of the members last reported in full
    bool stale_ = false; ///< reported_ lags behind what the worker has
    bool obeys_ = false; ///< has adopted this owner's epoch
    std::vector<MemberReport> reported_;
    std::set<JobId> residents_;
    std::set<JobId> failedJobs_; ///< different jobs in a row
    std::int32_t timesSetAside_ = 0;
    Instant asideUntil_{};
};

/// One task's place inside a guaranteed block.
struct ReservedSlot
{
    WorkerIndex worker_ = 0;
    JobId user_;
};

/// A guaranteed shape and the concrete block that backs it.
struct Reservation
{
    WorkspaceId workspace_;
    GuaranteeId id_;
    GuaranteeConfig shape_;
    bool bound_ = false;
    std::vector<ReservedSlot> slots_;
};

/// What the owner knows of one document of jobs.
struct ShardState
{
    std::int64_t modRevision_ = 0;
    std::uint64_t ownerSequence_ = 0;
    bool dirty_ = false;
    bool inFlight_ = false;
    bool loading_ = false;
    std::map<JobId, std::uint64_t> writing_; ///< versions inside the write in flight
};

/// What operators have decided, as last read.
struct ControlView
{
    std::uint64_t revision_ = 0;
    std::set<DataCentreId> out_;
    Instant readBegan_{};
};

/// Learned run times: what jobs of one workspace and shape really took.
struct RunTimeModel
{
    std::map<std::tuple<WorkspaceId, std::int32_t, std::int32_t>, double> seconds_;
    std::map<WorkspaceId, double> perWorkspace_;
};

// Outputs

/// Asks for a compare-and-swap of a shard.
struct WriteShard
{
    std::size_t shard_ = 0;
    std::int64_t expected_ = 0; ///< modification revision; 0 if the key must be absent
    std::string text_;
};

struct LoadShard
{
    std::size_t shard_ = 0;
};

/// Asks to send the worker's directive now.
struct PushDirective
{
    WorkerIndex worker_ = 0;
};

/// A change of a job, for logs and metrics.
struct JobChanged
{
    JobId job_;
    WorkspaceId workspace_;
    JobState state_{};
    JobReason reason_{};
    std::uint32_t generation_ = 0;
    Duration waited_{};
};

struct WorkerSetAside
{
    WorkerId worker_;
    Duration length_{};
};

/// Another owner has taken the region.
struct Fenced
{
};

enum class Invariant : std::uint8_t {
    ReservedFits, ///< reservations and firm work fit the worker
    GuaranteedInsideReserved,
    GangInOneDataCentre,
    RunsOnlyPrepared,
    MembersWhole,
};

[[nodiscard]] const char *toString(Invariant invariant) noexcept;

/// An assertion of the program failed.
struct InvariantBroken
{
    Invariant invariant_{};
    std::string subject_;
};

using SchedulerOutput = std::variant<WriteShard, LoadShard, PushDirective, JobChanged, WorkerSetAside, Fenced, InvariantBroken>;
using SchedulerOutputs = std::vector<SchedulerOutput>;

enum class OwnerStage : std::uint8_t {
    Idle,
    Fencing,
    Active,
};

/// The state that the scheduler's controllers read and write.
struct SchedulerBoard
{
    SchedulerLimits limits_;
    PlacementPolicy policy_ = TopologyAwareFit{};
    std::shared_ptr<const Config> config_ = std::make_shared<Config>();
    ControlView control_;
    OwnerStage stage_ = OwnerStage::Idle;
    std::uint64_t epoch_ = 0;
    std::size_t fencedShards_ = 0;
    Instant activeSince_{};
    Fleet fleet_;
    std::vector<Contact> contacts_; ///< by worker index
    std::unordered_map<JobId, JobEntry> jobs_;
    std::set<JobId> queued_;
    std::set<JobId> live_;
    std::map<WorkspaceId, Resources> inUse_;
    std::vector<Reservation> reservations_;
    std::vector<ShardState> shards_;
    RunTimeModel runTimes_;
    std::map<DataCentreId, Instant> returnedAt_;
    std::map<DataCentreId, Instant> rampNext_;
    Instant lastMove_{};
    std::int32_t rampBlocked_ = 0;
    bool placeAgain_ = false; ///< something changed that may let a waiting job in
    std::set<WorkerIndex> touched_; ///< workers whose directive or accounts changed in this step
    std::set<JobId> moved_; ///< jobs that changed in this step
    std::set<JobId> attention_; ///< live jobs to look at in this step
    std::vector<WorkerSetAside> asideNow_; ///< workers set aside in this step
    Instant lastSweep_{};
    Instant lastPass_{};
    WallTime wall_{}; ///< calendar time of this step
};

}
