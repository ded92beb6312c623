#pragma once

#include "batch/cluster.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// Faults that an incident is made of; see Cluster and Faults.
enum class FaultKind : std::uint8_t {
    Shrink,
    ShrinkMany, ///< several hosts at the same moment
    CutExecutor,
    CallsLost,
    AnswersLost,
    Unhealthy,
    Refusing,
    Slow,
    CutAgent,
    CutAllAgents,
    DelayAgent,
    FreezeAgent,
    RestartAgent,
    RestartExecutor,
    RestartBoth,
    CrashExecutor,
    Reboot,
    Leave, ///< its message arrives and it runs on for a time
    LateLeave, ///< its message arrives after the host's next executor has started
    StoreDown,
    StoreDownLeaseLapses,
    ReplaceLeader,
    CrashLeader,
    DelayedOrders,
    DelayedPolls,
    LostAnswers,
    DelayedHeartbeats,
    LateFirstHeartbeats,
    LostReplies,
    DelayedWrites,
    FailTasks,
    HangTasks,
    LateCallsAtBirth, ///< by drawRebirths() only, as the next one
    SetClockBack, ///< births of the host's next executors seem earlier than those of the former ones
};

[[nodiscard]] const char *toString(FaultKind kind);

/// One fault of an incident. What factor_, flag_ and count_ mean depends on its kind.
struct PlannedFault
{
    FaultKind kind_ = FaultKind::Shrink;
    batch::milliseconds at_{0};
    batch::milliseconds length_{0};
    std::size_t host_ = 0;
    double factor_ = 0;
    bool flag_ = false;
    std::size_t count_ = 0;
};

/// One job of an incident.
struct PlannedJob
{
    batch::milliseconds at_{0};
    batch::Submission job_;
    std::optional<batch::milliseconds> cancelledAt_;
    std::optional<CrashingTask> crash_;
};

/// A fleet, its jobs and its faults.
struct Incident
{
    std::uint64_t seed_ = 0; ///< of the cluster
    std::size_t hosts_ = 0;
    std::vector<PlannedJob> jobs_;
    std::vector<PlannedFault> faults_;
    batch::milliseconds length_{0};
};

struct IncidentOutcome
{
    std::vector<std::string> violations_; ///< up to and including the first step with one
    std::string settlement_; ///< why the leader last settled a run of the first violation's task
    Duration at_{}; ///< virtual time of the first violation or of the end
    std::size_t starts_ = 0;
    std::size_t lateStartsOverCapacity_ = 0;
};

/// Returns the incident that belongs to \p seed, without the faults of some kinds. Thread-safe.
[[nodiscard]] Incident drawIncident(std::uint64_t seed, const std::set<FaultKind> &without);

/// Returns the incident that belongs to \p seed in which executors start again under their ids while calls to them are on their way, with long and short
/// tasks, agents that start again or are silent, and clocks that are set back. Thread-safe.
[[nodiscard]] Incident drawRebirths(std::uint64_t seed);

/// Adds moments in which executors that are up refuse connections. Thread-safe.
void addRefusals(Incident &incident, std::size_t count);

/// Plays \p incident until a guarantee is violated or it is over. Only violations that begin with one of \p rules count, or all if it is
/// empty. Thread-safe.
[[nodiscard]] IncidentOutcome play(const Incident &incident, const std::vector<std::string> &rules);

/// Returns an incident with as few faults as possible that still violates \p rule. Precondition: \p incident violates it.
[[nodiscard]] Incident shrinkFaults(Incident incident, const std::string &rule);

/// Returns an incident with as few faults and jobs as possible that still violates \p rule. Precondition: \p incident violates it.
[[nodiscard]] Incident shrinkIncident(Incident incident, const std::string &rule);

/// Returns the kinds of the incident's faults, each once.
[[nodiscard]] std::string kindsOf(const Incident &incident);

/// Returns a description of the jobs and faults, one a line.
[[nodiscard]] std::string toString(const Incident &incident);

}
