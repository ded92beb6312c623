#pragma once

#include "core/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace bergamotwick {

/// Intervals and limits of an agent.
struct AgentLimits
{
    Duration initialReportPeriod_ = 1s; ///< between reports until an entry sets another period
    Duration maxExecutorReportPeriod_ = 1s; ///< upper bound of the time between an executor's reports, whatever period an entry sets
    Duration maxPermitAge_ = 4s; ///< maximum age of a permit, by which an entry states that a data centre is in service
    Duration stopGrace_ = 2s; ///< time before the end of a lease at which tasks are stopped, for checkpoints
    Duration clockOffsetWindow_ = 60s; ///< window over which round trips bound an entry's clock offset
    Duration endpointRetryDelay_ = 1s; ///< time without new attempts after the endpoint refused a connection
    std::size_t maxRememberedAttempts_ = 4'096;
    bool checkPermits_ = true; ///< false only in tests, to prove that they detect the missing check
    bool checkAges_ = true; ///< false only in tests, to prove that they detect the missing check
    bool refuseWhenLeaving_ = true; ///< false only in tests, to prove that they detect the missing check
};

/// Identity of the agent and its endpoint, from the settings.
struct AgentIdentity
{
    AgentKind kind_ = AgentKind::Worker;
    std::string name_;
    RegionId region_;
    DataCentreId dataCentre_;
    RackId rack_;
    Resources capacity_; ///< only for workers
    ServiceId service_; ///< only for executors
    std::int32_t slots_ = 0;
    std::int32_t connections_ = 0;
    std::uint16_t port_ = 0;
};

/// A gang member on this worker.
struct LocalMember
{
    std::uint32_t generation_ = 0;
    std::int32_t tasks_ = 0;
    Resources taskDemand_;
    MemberPhase phase_ = MemberPhase::Waiting;
    Instant leaseExpiresAt_{};
    Instant startedAt_{};
    bool stopping_ = false; ///< told to stop, but still running
};

/// Upper bound of an entry's clock minus the agent's clock.
struct EntryClock
{
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0; ///< of the last accepted directive
    std::optional<Duration> maxOffset_; ///< upper bound of the entry's clock minus the agent's clock
    std::optional<Duration> nextMaxOffset_; ///< bound from the current window only; replaces maxOffset_ when the window ends
    Instant windowEnds_{};
};

/// Reporting state for one entry address.
struct ReportTarget
{
    Instant nextReportAt_{};
    Duration period_{};
    std::uint64_t acknowledgedDigest_ = 0; ///< digest of the members that the entry has confirmed
    bool owner_ = false; ///< the entry owns the agent's region
};

// Inputs

/// A directive from the entry address with index target_.
struct DirectiveReceived
{
    std::size_t target_ = 0;
    Directive directive_;
};

enum class MemberEventKind : std::uint8_t {
    Finished,
    Failed,
    Stopped,
};

/// The worker reports that a member's tasks have ended.
struct MemberEvent
{
    JobId job_;
    std::uint32_t generation_ = 0;
    MemberEventKind kind_{};
};

/// One member's tasks in the worker's list; phase Absent means stopped.
struct ListedTasks
{
    MemberReport member_;
    Resources taskDemand_;
};

/// Complete list of the tasks on the worker.
struct WorkerTasksListed
{
    std::vector<ListedTasks> tasks_;
};

using ConnectionId = std::uint64_t;

struct AttemptReceived
{
    ConnectionId connection_ = 0;
    AttemptRequest attempt_;
};

enum class EndpointResult : std::uint8_t {
    Answered,
    ConnectionRefused, ///< the endpoint accepted no connection
    Disconnected, ///< the connection failed or timed out after the request was sent
};

struct AttemptCompleted
{
    AttemptId id_;
    EndpointResult result_{};
    std::int32_t status_ = 0;
    std::string body_;
};

/// Starts to drain the endpoint before it stops.
struct BeginDrain
{
};

struct AgentTick
{
};

using AgentInput = std::variant<DirectiveReceived, MemberEvent, WorkerTasksListed, AttemptReceived, AttemptCompleted, BeginDrain, AgentTick>;

// Outputs

struct SendReport
{
    std::size_t target_ = 0;
    AgentReport report_;
};

struct StartTasks
{
    JobId job_;
    std::uint32_t generation_ = 0;
    std::int32_t tasks_ = 0;
    Resources taskDemand_;
    std::string payload_;
    Duration lease_{}; ///< time after which the worker stops the tasks on its own
    Instant startDeadline_{}; ///< checked again immediately before the call to the worker
};

struct RenewTasks
{
    JobId job_;
    std::uint32_t generation_ = 0;
    Duration lease_{};
};

/// Checkpoints and stops a member's tasks.
struct StopTasks
{
    JobId job_;
    std::uint32_t generation_ = 0;
};

struct RunAttempt
{
    ConnectionId connection_ = 0;
    AttemptRequest attempt_;
    Duration timeout_{};
};

struct ReplyAttempt
{
    ConnectionId connection_ = 0;
    AttemptReply reply_;
};

enum class OrderRefusal : std::uint8_t {
    Stale, ///< too old on arrival
    NotPermitted, ///< the data centre is out of service, or its state is unknown
    OldEpoch,
    OldRevision,
};

[[nodiscard]] const char *toString(OrderRefusal reason) noexcept;

/// Reports a refused order, for logs and metrics.
struct OrderRefused
{
    JobId job_;
    OrderRefusal reason_{};
};

using AgentOutput = std::variant<SendReport, StartTasks, RenewTasks, StopTasks, RunAttempt, ReplyAttempt, OrderRefused>;
using AgentOutputs = std::vector<AgentOutput>;

/// State shared by the parts of an agent.
struct AgentState
{
    AgentLimits limits_;
    AgentIdentity identity_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
    std::map<EntryId, EntryClock> clocks_;
    std::vector<ReportTarget> targets_;
    std::map<JobId, LocalMember> members_;
    bool recovered_ = false; ///< the tasks that an earlier run of the agent started have been recovered
    std::map<AttemptId, ConnectionId> runningAttempts_;
    std::set<AttemptId> seenAttempts_;
    std::deque<AttemptId> seenAttemptOrder_;
    Instant endpointDownUntil_{};
    bool hasUnreportedChange_ = false; ///< a change has to be reported at once
};

}
