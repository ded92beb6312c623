#pragma once

#include "core/commit/claims.h"
#include "core/commit/control.h"
#include "core/commit/submissions.h"
#include "core/entry/membership.h"
#include "core/routing/router.h"
#include "core/scheduling/scheduler.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace bergamotwick {

struct EntryIdentity
{
    EntryId id_;
    RegionId region_;
    std::string address_; ///< HTTP address
};

struct EntryLimits
{
    RouterLimits router_;
    SchedulerLimits scheduler_;
    PlacementPolicy policy_ = TopologyAwareFit{};
    std::size_t jobShards_ = 4;
    std::size_t claimShards_ = 16;
    Duration pollInterval_ = 500ms;
    Duration pollTimeout_ = 2s;
    Duration editTimeout_ = 3s; ///< for job submissions, cancellations and configuration changes
    std::chrono::seconds claimLifetime_{24h};
};

// Inputs

struct AgentReported
{
    AgentReport report_;
};

struct SubmitJob
{
    std::uint64_t token_ = 0;
    JobSpec spec_;
};

struct CancelJob
{
    std::uint64_t token_ = 0;
    JobId job_;
};

struct ChangeControl
{
    std::uint64_t token_ = 0;
    OperationId operation_;
    std::variant<ApplySettings, SetInService> change_;
};

struct StopEntry
{
};

struct EntryTick
{
};

using EntryInput = std::variant<RouterInput, AgentReported, StoreReply, SubmitJob, CancelJob, ChangeControl, StopEntry, EntryTick>;

// Outputs

struct SendDirective
{
    AgentKind kind_ = AgentKind::Worker;
    Directive directive_;
};

enum class JobRefusal : std::uint8_t {
    None,
    UnknownWorkspace,
    NeverFits,
    OverQuota,
    IdInUse,
    NotFound,
    StoreUnavailable,
    Stopping,
};

[[nodiscard]] const char *toString(JobRefusal refusal) noexcept;

/// Result of a job submission or cancellation.
struct JobAnswered
{
    std::uint64_t token_ = 0;
    JobId job_;
    CommitResult result_{};
    JobRefusal refusal_ = JobRefusal::None;
};

enum class ControlRefusal : std::uint8_t {
    None,
    Conflict,
    UnknownDataCentre,
    BadSettings,
    StoreUnavailable,
};

[[nodiscard]] const char *toString(ControlRefusal refusal) noexcept;

/// Result of a configuration change.
struct ControlAnswered
{
    std::uint64_t token_ = 0;
    CommitResult result_{};
    ControlRefusal refusal_ = ControlRefusal::None;
    std::uint64_t revision_ = 0;
};

/// This entry now uses a new revision of the control document.
struct ControlActivated
{
    std::uint64_t revision_ = 0;
};

/// A stored document could not be decoded; the last valid version stays in use.
struct BadDocument
{
    std::string key_;
};

using EntryOutput = std::variant<StoreCall, SendDirective, RouterOutput, SchedulerOutput, JobAnswered, ControlAnswered, ControlActivated, BadDocument>;
using EntryOutputs = std::vector<EntryOutput>;

/// State machine of an entry: routes requests, schedules jobs, and manages claims, configuration and ownership.
///
/// Thread safety: none; the caller serialises all calls.
class Entry
{
public:
    /// Precondition: \p incarnation differs from that of every earlier run of any entry.
    Entry(const EntryLimits &limits, const EntryIdentity &identity, std::uint64_t incarnation);
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Processes one input and returns the actions to carry out. Precondition: \p now never decreases.
    [[nodiscard]] EntryOutputs step(Instant now, WallTime wall, const EntryInput &input);

    [[nodiscard]] const Router &router() const noexcept
    {
        return router_;
    }

    [[nodiscard]] const Scheduler &scheduler() const noexcept
    {
        return scheduler_;
    }

    [[nodiscard]] const SubmissionRegistry &submissions() const noexcept
    {
        return submissions_;
    }

    [[nodiscard]] const Membership &membership() const noexcept
    {
        return membership_;
    }

    [[nodiscard]] const ControlDocument &control() const noexcept
    {
        return activeControl_;
    }

    [[nodiscard]] const Config &config() const noexcept
    {
        return *config_;
    }

    /// Returns whether a load balancer may send requests to this entry.
    [[nodiscard]] bool ready() const noexcept;

    /// Returns whether the entry is stopping, has no pending requests and has released its lease.
    [[nodiscard]] bool drained() const noexcept;

    /// Returns when the last accepted read of the store was started, on this process's clock.
    [[nodiscard]] Instant lastRead() const noexcept
    {
        return controlView_.readStartedAt_;
    }

private:
    struct PendingRelease
    {
        std::string digest_;
        std::string holder_;
    };

    void handleInput(const EntryInput &input);
    void handleReport(const AgentReport &report);
    void handleStoreReply(const StoreReply &reply);
    void handlePollResult(const KeysPolled &polled);
    void tick();
    void poll();
    void applyControl(std::int64_t modRevision, const std::string &text);
    void setActiveControl(const ControlDocument &document);
    void applyShard(std::size_t shard, std::int64_t modRevision, const std::string &text);
    void submit(const SubmitJob &submission);
    void changeControl(const ChangeControl &change);

    void runRouter(const RouterInput &input);
    void runScheduler(const SchedulerInput &input);
    void handleSchedulerOutput(const SchedulerOutput &output);
    void claim(const ClaimKey &request);
    void queueRelease(const std::string &digest, RequestToken token);
    void releaseClaims();
    void handleClaimOutputs(ClaimRegistry::Commit::Outputs outputs);
    void handleControlOutputs(ControlCommit::Outputs outputs);
    void handleSubmissionOutputs(SubmissionRegistry::Commit::Outputs outputs);
    void sendCalls(std::vector<StoreCall> calls);
    void sendDirective(AgentKind kind, Directive directive, const AgentReport *answeredReport);
    [[nodiscard]] JobRefusal validateJob(const JobSpec &spec) const;
    [[nodiscard]] std::string claimHolder(RequestToken token) const;

    EntryLimits limits_;
    EntryIdentity identity_;
    std::uint64_t incarnation_;
    CallIdGenerator ids_;
    Router router_;
    Scheduler scheduler_;
    ClaimRegistry claims_;
    ControlCommit control_;
    SubmissionRegistry submissions_;
    Membership membership_;

    Instant now_{};
    WallTime wall_{};
    EntryOutputs outputs_;
    bool stopping_ = false;
    bool controlRead_ = false;
    ControlDocument activeControl_;
    std::int64_t controlModRevision_ = 0;
    std::uint64_t highestAgentRevision_ = 0; ///< highest configuration revision in any agent's report
    std::shared_ptr<const Config> config_ = std::make_shared<Config>();
    ControlView controlView_;
    std::int64_t storeRevision_ = 0;
    CallId pollCall_ = 0;
    Instant pollBegan_{};
    Instant nextPoll_{};
    std::map<CallId, std::size_t> shardReads_;
    std::map<CallId, std::size_t> shardWrites_;
    std::vector<PendingRelease> pendingReleases_; ///< sent after the next reply to a poll
    std::map<std::string, std::uint64_t> directiveSequence_;
};

}
