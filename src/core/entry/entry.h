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
    std::string address_; ///< of its HTTP interface
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
    Duration editTimeout_ = 3s; ///< for submissions and operators' changes
    std::chrono::seconds claimLength_{24h};
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

struct ControlAnswered
{
    std::uint64_t token_ = 0;
    CommitResult result_{};
    ControlRefusal refusal_ = ControlRefusal::None;
    std::uint64_t revision_ = 0;
};

/// A new revision of the operators' document is in force here.
struct ControlInForce
{
    std::uint64_t revision_ = 0;
};

/// A value of the store could not be read; what was known before stays in force.
struct BadDocument
{
    std::string key_;
};

using EntryOutput = std::variant<StoreCall, SendDirective, RouterOutput, SchedulerOutput, JobAnswered, ControlAnswered, ControlInForce, BadDocument>;
using EntryOutputs = std::vector<EntryOutput>;

/// All decisions of an entry: requests, jobs, claims, configuration and ownership.
///
/// Thread safety: none; the caller serialises all calls.
class Entry
{
public:
    /// \p incarnation must differ from that of every earlier run of any entry.
    Entry(const EntryLimits &limits, const EntryIdentity &identity, std::uint64_t incarnation);
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Takes in one input and returns what to do. Precondition: \p now never decreases.
    [[nodiscard]] EntryOutputs step(Instant now, WallTime wall, const EntryInput &input);

    [[nodiscard]] const Router &router() const noexcept
    {
        return router_;
    }

    [[nodiscard]] const Scheduler &scheduler() const noexcept
    {
        return scheduler_;
    }

    [[nodiscard]] const SubmissionBook &submissions() const noexcept
    {
        return submissions_;
    }

    [[nodiscard]] const Membership &membership() const noexcept
    {
        return membership_;
    }

    [[nodiscard]] const ControlDocument &control() const noexcept
    {
        return controlInForce_;
    }

    [[nodiscard]] const Config &config() const noexcept
    {
        return *config_;
    }

    /// Returns whether a balancer may send callers here.
    [[nodiscard]] bool ready() const noexcept;

    /// Returns whether the entry is stopping and nothing is left to finish.
    [[nodiscard]] bool drained() const noexcept;

    /// Returns when the store was last read, on this process's clock.
    [[nodiscard]] Instant lastRead() const noexcept
    {
        return view_.readStartedAt_;
    }

private:
    struct WantedRelease
    {
        std::string digest_;
        std::string holder_;
    };

    void take(const EntryInput &input);
    void takeReport(const AgentReport &report);
    void takeReply(const StoreReply &reply);
    void takePoll(const KeysPolled &polled);
    void tick();
    void poll();
    void adoptControl(std::int64_t modRevision, const std::string &text);
    void installControl(const ControlDocument &document);
    void adoptShard(std::size_t shard, std::int64_t modRevision, const std::string &text);
    void submit(const SubmitJob &submission);
    void changeControl(const ChangeControl &change);

    void runRouter(const RouterInput &input);
    void runScheduler(const SchedulerInput &input);
    void handle(const SchedulerOutput &output);
    void claim(const ClaimKey &wanted);
    void release(const std::string &digest, RequestToken token);
    void giveClaimsBack();
    void finishClaims(ClaimBook::Commit::Outputs outputs);
    void finishControl(ControlCommit::Outputs outputs);
    void finishSubmissions(SubmissionBook::Commit::Outputs outputs);
    void sendCalls(std::vector<StoreCall> calls);
    void sendDirective(AgentKind kind, Directive directive, const AgentReport *answered);
    [[nodiscard]] JobRefusal refusalOf(const JobSpec &spec) const;
    [[nodiscard]] std::string holderOf(RequestToken token) const;

    EntryLimits limits_;
    EntryIdentity identity_;
    std::uint64_t incarnation_;
    CallIds ids_;
    Router router_;
    Scheduler scheduler_;
    ClaimBook claims_;
    ControlCommit control_;
    SubmissionBook submissions_;
    Membership membership_;

    Instant now_{};
    WallTime wall_{};
    EntryOutputs outputs_;
    bool stopping_ = false;
    bool controlRead_ = false;
    ControlDocument controlInForce_;
    std::int64_t controlModRevision_ = 0;
    std::uint64_t revisionFloor_ = 0; ///< highest revision that any agent has seen
    std::shared_ptr<const Config> config_ = std::make_shared<Config>();
    ControlView view_;
    std::int64_t storeRevision_ = 0;
    CallId pollCall_ = 0;
    Instant pollBegan_{};
    Instant nextPoll_{};
    std::map<CallId, std::size_t> shardReads_;
    std::map<CallId, std::size_t> shardWrites_;
    std::vector<WantedRelease> releases_; ///< to be tried again when the store answers
    std::map<std::string, std::uint64_t> directiveSequence_;
};

}
