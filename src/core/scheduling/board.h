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

/// Durations, bounds and switches of the scheduler.
struct SchedulerLimits
{
    Duration minReportPeriod_ = 1s; ///< minimum time between two reports of a worker
    Duration minLease_ = 15s; ///< minimum lease of a running member, which keeps it running without directives; longer than a change of owner takes
    std::int32_t maxMissedReports_ = 3; ///< number of missed reports after which a worker counts as not alive
    std::int64_t bytesPerReport_ = 360; ///< size of an idle worker's report and its directive, UDP and IP headers included
    std::int64_t maxBytesPerSecond_ = 2'000; ///< bandwidth that an entry may use for the control traffic of its workers
    Duration maxStoreReadAge_ = 15min; ///< age of the last store read up to which the owner renews leases
    Duration prepareTimeout_ = 10s; ///< time within which all members of a placed gang must be prepared and its record stored
    Duration preemptAfter_ = 30s; ///< queueing time after which a gang may preempt jobs that started after it was queued
    Duration agingInterval_ = 600s; ///< queueing time that offsets a doubling of the expected run time
    Duration rampInterval_ = 250ms; ///< time between two placements in a data centre that has just returned to service
    Duration rampDuration_ = 20s; ///< time after the return to service during which placements are spaced
    Duration defragmentationInterval_ = 30s; ///< minimum time between two defragmenting preemptions
    std::int32_t maxFailedWorkers_ = 3; ///< number of different workers on which a job may fail before it fails for good
    std::int32_t maxFailures_ = 6; ///< number of failures, on any workers, after which a job fails for good
    Duration retryBaseDelay_ = 500ms; ///< base of the delay before a failed job is retried; doubled for each failure
    Duration maxRetryDelay_ = 60s;
    std::int32_t failuresUntilQuarantine_ = 3; ///< number of different jobs that fail in a row on a worker before it is quarantined
    std::int32_t maxPreemptions_ = 1; ///< how often queued gangs may preempt the same job
    std::size_t maxFinishedJobs_ = 200; ///< finished jobs retained per shard
    bool learnRunTimes_ = true; ///< if off, the run time declared with the job is used
    bool shortestFirst_ = true; ///< if off, FIFO order with head-of-line blocking
    bool lendReservedCapacity_ = true; ///< lets preemptible jobs use reserved capacity that is free
    bool quarantineWorkers_ = true;
    bool defragment_ = true; ///< lets a queued gang preempt smaller jobs that fit elsewhere
};

/// State of one member of a gang, as the owner tracks it.
struct MemberState
{
    WorkerIndex worker_ = 0;
    std::int32_t tasks_ = 0;
    MemberPhase phase_ = MemberPhase::Absent;
    bool holdsResources_ = false;
};

/// A job: its durable record and the owner's volatile state.
struct TrackedJob
{
    JobRecord record_;
    std::vector<MemberState> members_;
    std::size_t shard_ = 0;
    std::uint64_t version_ = 1; ///< version of the record in memory
    std::uint64_t durableVersion_ = 0; ///< latest version known to be in the store
    Instant queuedAt_{};
    Instant changedAt_{};
    Instant startedAt_{};
    Instant notBefore_{}; ///< end of the retry delay of a failed job
    Duration previousRunTime_{}; ///< total of earlier runs that were stopped
    std::int32_t preemptions_ = 0;
    std::set<WorkerIndex> failedWorkers_;

    [[nodiscard]] bool durable() const noexcept
    {
        return durableVersion_ == version_;
    }

    [[nodiscard]] bool live() const noexcept
    {
        return record_.state_ == JobState::Placed || record_.state_ == JobState::Running || record_.state_ == JobState::Stopping;
    }
};

/// The owner's view of a worker's agent.
struct WorkerStatus
{
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    Instant lastReportAt_{};
    Instant leaseUntil_{}; ///< end of the last lease; no member runs past it without a renewal
    std::uint64_t digest_ = 0; ///< digest of the last complete member list
    bool stale_ = false; ///< whether reported_ is outdated
    bool adoptedEpoch_ = false; ///< whether the agent reported the epoch of this owner
    std::vector<MemberReport> reported_;
    std::set<JobId> assignedJobs_;
    std::set<JobId> failedJobs_; ///< jobs that failed here since the last success or quarantine
    std::int32_t quarantineCount_ = 0;
    Instant quarantinedUntil_{};
};

/// Reserved capacity for one task of a guaranteed shape.
struct ReservedSlot
{
    WorkerIndex worker_ = 0;
    JobId jobId_; ///< job that uses the slot; empty if none
};

/// A guaranteed shape and the slots on workers that are reserved for it.
struct Reservation
{
    WorkspaceId workspace_;
    GuaranteeId id_;
    GuaranteeConfig shape_;
    bool bound_ = false; ///< whether slots are reserved
    std::vector<ReservedSlot> slots_;
};

/// The owner's view of one job shard in the store.
struct ShardState
{
    std::int64_t modRevision_ = 0;
    std::uint64_t ownerSequence_ = 0; ///< sequence number of the last requested write
    bool dirty_ = false;
    bool writeInFlight_ = false;
    bool loading_ = false;
    std::map<JobId, std::uint64_t> pendingVersions_; ///< versions in the last write, until its result is known
};

/// The operators' control document as last read.
struct ControlView
{
    std::uint64_t revision_ = 0;
    std::set<DataCentreId> outOfService_;
    Instant readStartedAt_{}; ///< start of the last store read
};

/// Moving averages of the measured run times, in seconds.
struct RunTimeModel
{
    std::map<std::tuple<WorkspaceId, std::int32_t, std::int32_t>, double> perShape_; ///< by workspace, tasks and accelerators per task
    std::map<WorkspaceId, double> perWorkspace_;
};

// Outputs

/// Requests a compare-and-swap of a shard.
struct WriteShard
{
    std::size_t shard_ = 0;
    std::int64_t expected_ = 0; ///< modification revision to compare with; 0 if the key must be absent
    std::string text_;
};

/// Requests a read of a shard.
struct LoadShard
{
    std::size_t shard_ = 0;
};

/// Requests that the worker's directive is sent at once.
struct PushDirective
{
    WorkerIndex worker_ = 0;
};

/// Reports a change of a job, for logs and metrics.
struct JobChanged
{
    JobId job_;
    WorkspaceId workspace_;
    JobState state_{};
    JobReason reason_{};
    std::uint32_t generation_ = 0;
    Duration waited_{}; ///< time since the job was queued
};

struct WorkerQuarantined
{
    WorkerId worker_;
    Duration duration_{};
};

/// The scheduler gave up the region because another owner may have taken it over.
struct Fenced
{
};

enum class Invariant : std::uint8_t {
    ReservedFits, ///< reservations and firm jobs fit the capacity of the worker
    GuaranteedInsideReserved, ///< guaranteed jobs use no more than the reserved capacity
    GangInOneDataCentre,
    RunsOnlyPrepared, ///< no member runs while its job is still Placed
    MembersWhole, ///< the members of a placed or running job hold all of its tasks
};

[[nodiscard]] const char *toString(Invariant invariant) noexcept;

/// An internal consistency check failed.
struct InvariantViolated
{
    Invariant invariant_{};
    std::string subject_;
};

using SchedulerOutput = std::variant<WriteShard, LoadShard, PushDirective, JobChanged, WorkerQuarantined, Fenced, InvariantViolated>;
using SchedulerOutputs = std::vector<SchedulerOutput>;

enum class OwnerStage : std::uint8_t {
    Idle, ///< not the owner
    Fencing, ///< writing the new epoch to every shard
    Active, ///< owner of the region
};

/// State of the scheduler, shared by its modules.
struct SchedulerState
{
    SchedulerLimits limits_;
    PlacementPolicy policy_ = TopologyAwareFit{};
    std::shared_ptr<const Config> config_ = std::make_shared<Config>();
    ControlView control_;
    OwnerStage stage_ = OwnerStage::Idle;
    std::uint64_t epoch_ = 0;
    std::size_t fencedShards_ = 0; ///< number of shards that hold the new epoch
    Instant activeSince_{};
    Fleet fleet_;
    std::vector<WorkerStatus> workerStatuses_; ///< indexed by worker
    std::unordered_map<JobId, TrackedJob> jobs_;
    std::set<JobId> queued_;
    std::set<JobId> live_; ///< placed, running and stopping jobs
    std::map<WorkspaceId, Resources> workspaceUsage_; ///< resources of placed and running jobs
    std::vector<Reservation> reservations_;
    std::vector<ShardState> shards_;
    RunTimeModel runTimes_;
    std::map<DataCentreId, Instant> returnedToServiceAt_;
    std::map<DataCentreId, Instant> nextRampPlacementAt_;
    Instant lastDefragmentation_{};
    std::int32_t jobsDelayedByRamp_ = 0;
    bool placementPending_ = false; ///< whether a change may allow a queued job to be placed
    std::set<WorkerIndex> changedWorkers_; ///< workers whose directive or resource usage changed in this step
    std::set<JobId> changedJobs_; ///< jobs that changed in this step
    std::set<JobId> jobsToAdvance_; ///< jobs whose state may have to advance
    std::vector<WorkerQuarantined> newlyQuarantined_; ///< workers quarantined in this step
    Instant lastSweep_{};
    Instant lastPlacementPass_{};
    WallTime wallTime_{}; ///< calendar time of this step
};

}
