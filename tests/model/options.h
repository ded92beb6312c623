#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

/// The options at each kind of choice point of the world. The first is the default.
namespace bergamotwick::model {

/// Returns whether \p names has a name for each option up to \p last.
template<class Option, std::size_t count>
constexpr bool isComplete(const std::array<const char *, count> & /*names*/, Option last)
{
    return static_cast<std::size_t>(last) + 1 == count;
}

/// What becomes of an order to an executor.
enum class OrderFate : std::uint8_t {
    Answered,
    AnswerLost,
    NotCarriedOut, ///< and not answered
    Late, ///< not answered, and carried out 2.5 s later
    Later, ///< not answered, and carried out 7 s later
    AtNextIncarnation, ///< not answered, and carried out 2 to 12 s later, if possible just after the start of the host's next executor
    Unavailable, ///< answered that the executor has done nothing: status 503
    ConnectionRefused, ///< although the executor is up
    AgentFreezes, ///< for 4 s, before it sends the order
};
inline constexpr std::array orderFates{
    "answered", "answer lost", "not carried out", "late", "later", "at next incarnation", "unavailable", "connection refused", "agent freezes before"};
static_assert(isComplete(orderFates, OrderFate::AgentFreezes));

enum class PollFate : std::uint8_t {
    Answered,
    AnswerLost,
    NotCarriedOut,
    Late,
    ConnectionRefused,
    AtNextIncarnation, ///< as of an order
};
inline constexpr std::array pollFates{"answered", "answer lost", "not carried out", "late", "connection refused", "at next incarnation"};
static_assert(isComplete(pollFates, PollFate::AtNextIncarnation));

/// What becomes of a leader's commit.
enum class CommitFate : std::uint8_t {
    Answered,
    AnswerLost,
    NotCarriedOut,
    Late, ///< carried out 2 s later if its conditions still hold, and not answered
    LeaderDiesBefore, ///< the commit isn't sent
    LeaderDiesAfter, ///< the commit is carried out, and nothing else that the leader decided with it is sent
    LeaderFreezesBefore, ///< the leader sends it, and all else that it decided with it, when it resumes
};
inline constexpr std::array commitFates{
    "answered", "answer lost", "not carried out", "late", "leader dies before", "leader dies after", "leader freezes before"};
static_assert(isComplete(commitFates, CommitFate::LeaderFreezesBefore));

/// What becomes of a directive that holds orders.
enum class DirectiveFate : std::uint8_t {
    Sent,
    LeaderDiesBefore,
    LeaderFreezesBefore,
    Delayed, ///< with all later directives to this agent
};
inline constexpr std::array directiveFates{"sent", "leader dies before", "leader freezes before", "delayed"};
static_assert(isComplete(directiveFates, DirectiveFate::Delayed));

/// What happens to a host at a moment.
enum class HostFault : std::uint8_t {
    None,
    CrashSameId, ///< back after 0.3 s
    CrashSameIdQuiet, ///< as above; its first heartbeat is lost
    CrashSameIdLong, ///< back after 2 s
    CrashSameIdAgentRestarts,
    CrashSameIdAgentRestartsLater, ///< the agent is back 4 s later: the host has lost power
    CrashOtherId,
    CrashOtherIdAgentRestarts,
    AgentRestarts,
    AgentFreezes, ///< for 4 s
    AgentFreezesLong, ///< for 9 s: longer than leases
    CapacityShrinks, ///< to a half, for 2 s
    CapacityShrinksLong, ///< to a half, for 12 s
    LeavesAndRunsOn, ///< announces its end, and ends 2 s later
    LateLeave, ///< crashes; its announcement of an earlier decision to leave arrives after its rebirth under the same id
    StaysWithFormerLeader, ///< for 15 s, as it doesn't learn of a new one
    StaysWithFormerLeaderLong, ///< for 45 s: longer than a new leader waits for a host that it never hears of
    CutFromLeaders, ///< the agent, for 9 s: longer than leases
    CutFromLeadersShortly, ///< the agent, for 5 s
    RequestsLost, ///< from the agent to its executor
    AnswersLost, ///< and heartbeats: from the executor to its agent
    Unavailable, ///< answers all calls with status 503, for 1 s
};
inline constexpr std::array hostFaults{"none",
                                       "crash, same id",
                                       "crash, same id, first heartbeat lost",
                                       "crash, same id, back after 2 s",
                                       "crash, same id, agent restarts",
                                       "crash, same id, agent restarts 4 s later",
                                       "crash, other id",
                                       "crash, other id, agent restarts",
                                       "agent restarts",
                                       "agent freezes for 4 s",
                                       "agent freezes for 9 s",
                                       "capacity shrinks for 2 s",
                                       "capacity shrinks for 12 s",
                                       "leave announced, runs on",
                                       "late leave after rebirth",
                                       "agent stays with former leader",
                                       "agent stays with former leader for 45 s",
                                       "agent cut from leaders for 9 s",
                                       "agent cut from leaders for 5 s",
                                       "requests to executor lost",
                                       "answers of executor lost",
                                       "executor unavailable"};
static_assert(isComplete(hostFaults, HostFault::Unavailable));

/// What happens to the leader and the store at a moment.
enum class LeaderFault : std::uint8_t {
    None,
    Dies,
    Freezes, ///< for 4 s; it is replaced and resumes
    FreezesShortly, ///< for 1 s; it stays the leader
    CutFromStore, ///< for 8 s; it is replaced and doesn't know
    StoreDown, ///< for 3 s; leases pause
    StoreDownLong, ///< for 8 s; leases pause
    StoreDownLeaseLapses,
};
inline constexpr std::array leaderFaults{"none",
                                         "leader dies",
                                         "leader freezes",
                                         "leader freezes for 1 s",
                                         "leader cut from store",
                                         "store down for 3 s",
                                         "store down for 8 s",
                                         "store down, lease lapses"};
static_assert(isComplete(leaderFaults, LeaderFault::StoreDownLeaseLapses));

}
