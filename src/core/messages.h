#pragma once

#include "bergamotwick/ids.h"
#include "bergamotwick/resources.h"
#include "bergamotwick/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotwick {

/// State of a gang member on its worker.
enum class MemberPhase : std::uint8_t {
    Absent,
    Waiting, ///< told to prepare; waits until other tasks have freed the resources
    Prepared, ///< resources are held; no task runs
    Running,
    Finished,
    Failed,
};

/// State of one member as reported by its agent.
struct MemberReport
{
    JobId job_;
    std::uint32_t generation_ = 0;
    std::int32_t tasks_ = 0;
    MemberPhase phase_ = MemberPhase::Absent;

    friend bool operator==(const MemberReport &, const MemberReport &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job_, generation_, tasks_, phase_);
    }
};

enum class MemberAction : std::uint8_t {
    Prepare,
    Run,
    Stop,
};

/// The state that the region's owner wants for one member. Orders are idempotent.
struct MemberOrder
{
    JobId job_;
    std::uint32_t generation_ = 0;
    std::int32_t tasks_ = 0;
    Resources each_; ///< resources per task
    MemberAction action_ = MemberAction::Stop;
    std::string payload_; ///< set only if the tasks may still have to be started

    friend bool operator==(const MemberOrder &, const MemberOrder &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job_, generation_, tasks_, each_, action_, payload_);
    }
};

enum class AgentKind : std::uint8_t {
    Worker,
    Executor,
};

/// An agent's periodic report on its endpoint; also serves as its heartbeat.
struct AgentReport
{
    AgentKind kind_ = AgentKind::Worker;
    std::string name_;
    std::uint64_t incarnation_ = 0; ///< changes with each restart of the agent
    std::uint64_t sequence_ = 0;
    Instant sentAt_{}; ///< on the agent's clock
    RegionId region_;
    DataCentreId dataCentre_;
    RackId rack_;
    bool leaving_ = false;
    std::uint64_t revision_ = 0; ///< highest configuration revision the agent has seen
    std::uint64_t epoch_ = 0; ///< highest owner epoch that the agent has accepted
    Resources capacity_; ///< set by workers only
    std::uint64_t digest_ = 0; ///< digest of all members, even if members_ is left out
    bool membersIncluded_ = true;
    std::vector<MemberReport> members_;
    ServiceId service_; ///< set by executors only
    std::int32_t slots_ = 0;
    std::int32_t connections_ = 0;
    std::uint16_t port_ = 0; ///< port on which the agent accepts requests

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind_, name_, incarnation_, sequence_, sentAt_, region_, dataCentre_, rack_, leaving_, revision_, epoch_);
        archive(capacity_, digest_, membersIncluded_, members_, service_, slots_, connections_, port_);
    }
};

/// Whether a data centre was in service when the entry read the store. An agent starts tasks only under a recent permit.
struct Permit
{
    std::uint64_t revision_ = 0;
    bool inService_ = false;
    Instant readStartedAt_{}; ///< start of that read, on the entry's clock

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(revision_, inService_, readStartedAt_);
    }
};

/// An entry's reply to a report, or an unsolicited update after a change.
struct Directive
{
    EntryId entry_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::string agent_; ///< name of the recipient
    std::uint64_t agentIncarnation_ = 0;
    std::uint64_t echoSequence_ = 0; ///< sequence number of the report that it answers; 0 if unsolicited
    Instant echoSentAt_{}; ///< sending time of that report, on the agent's clock
    Instant sentAt_{}; ///< on the entry's clock
    Permit permit_;
    std::uint64_t epoch_ = 0; ///< 0 unless the sender owns the agent's region
    bool membersRequested_ = false; ///< the next report must include the members
    bool digestConfirmed_ = false; ///< all members covered by digest_ are in their target phase
    std::uint64_t digest_ = 0;
    std::vector<MemberOrder> orders_;
    Duration lease_{};
    Duration period_{};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(entry_, incarnation_, sequence_, agent_, agentIncarnation_, echoSequence_, echoSentAt_, sentAt_, permit_);
        archive(epoch_, membersRequested_, digestConfirmed_, digest_, orders_, lease_, period_);
    }
};

/// Identifies one attempt of one request. Request ids are never reused.
struct AttemptId
{
    std::uint64_t requestIdHigh_ = 0; ///< random number chosen when the entry started
    std::uint64_t requestIdLow_ = 0;
    std::uint32_t attempt_ = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requestIdHigh_, requestIdLow_, attempt_);
    }
};

/// One attempt of a request, as sent to an executor's agent.
struct AttemptRequest
{
    AttemptId id_;
    EntryId entry_;
    std::uint64_t entryIncarnation_ = 0;
    std::uint64_t agentIncarnation_ = 0;
    Instant sentAt_{}; ///< on the entry's clock
    Duration timeout_{}; ///< measured from sentAt_; the attempt must not start later
    bool repeatable_ = true;
    std::string path_;
    std::string body_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, entry_, entryIncarnation_, agentIncarnation_, sentAt_, timeout_, repeatable_, path_, body_);
    }
};

enum class AttemptOutcome : std::uint8_t {
    Answered,
    NotRun, ///< the executor has not received it and never will
    Unknown, ///< it may have run; no answer was received
};

/// Result of one attempt.
struct AttemptReply
{
    AttemptId id_;
    AttemptOutcome outcome_ = AttemptOutcome::Unknown;
    std::int32_t status_ = 0;
    std::string body_;
    bool leaving_ = false; ///< refused because the endpoint is shutting down

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, outcome_, status_, body_, leaving_);
    }
};

/// Returns an order-independent digest of \p members. Thread-safe.
[[nodiscard]] std::uint64_t membersDigest(const std::vector<MemberReport> &members);

}
