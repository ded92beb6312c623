#pragma once

#include "core/batch/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotwick::batch {

/// A structured log entry about a decision or a change of state.
struct LogEvent
{
    std::string event_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

/// A task that is running on an executor.
struct RunningTask
{
    RunId run_;
    std::string checkpoint_;
    std::int32_t percent_ = 0;
    std::int64_t usage_ = 0; ///< tail latency in ms for a serving task, else CPU use in thousandths of a core

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, checkpoint_, percent_, usage_);
    }
};

/// The executor's answer to an order.
enum class OrderAnswer : std::uint8_t {
    Accepted,
    Refused, ///< this call was not carried out and won't be; an earlier one may be
    AlreadyEnded, ///< not carried out: the run, or a later one of its task, has been stopped or has ended there
    Unknown, ///< no definite answer; the order may still be carried out, even seconds later
};

/// Returns the name of \p answer in logs.
[[nodiscard]] constexpr const char *toString(OrderAnswer answer) noexcept
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::Refused:
        return "refused";
    case OrderAnswer::AlreadyEnded:
        return "already-ended";
    case OrderAnswer::Unknown:
        break;
    }
    return "unknown";
}

/// How a run ended.
enum class EndKind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, ///< another member of its gang ended
    GangIncomplete, ///< timed out waiting for the other members of its gang
};

/// EndedRun::number_ of an end that is reported again later, with its own number: until then its run isn't to be settled, or those of ends before it aren't.
/// Releases that don't know of it take it for an end that was reported before.
constexpr std::int64_t provisionalEnd = 0;

/// The end of a run; the executor repeats it until it is acknowledged.
struct EndedRun
{
    std::int64_t number_ = 0; ///< increases within an incarnation, from 1 on; or provisionalEnd
    RunId run_;
    EndKind kind_ = EndKind::Done;
    std::string checkpoint_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number_, run_, kind_, checkpoint_);
    }
};

/// How long after it was given up a call to an executor may still be carried out.
constexpr milliseconds maxCallDelay{12'000};

/// An executor shortens longer leases to this, unless the settings say otherwise.
constexpr milliseconds defaultMaxLeaseDuration{10'000};

/// Returns the longest time in which an executor's clock advances by \p length; the clock may be up to 2 % slow. Thread-safe.
[[nodiscard]] constexpr Duration withSlowClockAllowance(Duration length) noexcept
{
    return length * 50 / 49;
}

/// How long the executor may wait for a run to end before it answers a poll; bounds the age of its lists.
constexpr milliseconds pollWait{500};

/// Maximum size of an encoded report or directive.
constexpr std::size_t maxAgentFrameBytes = std::size_t{4} * 1024 * 1024;

/// An executor returns at most this many ends at a time.
constexpr std::size_t maxEndsPerList = 500;

/// Outcome of an order after which the run is certain not to be running.
enum class OrderOutcome : std::uint8_t {
    Refused, ///< the start was not carried out and won't be
    StopConfirmed, ///< certain to have ended: no longer listed after an answered stop, or the executor crashed or its leases expired
};

struct SettledOrder
{
    RunId run_;
    OrderOutcome outcome_ = OrderOutcome::Refused;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, outcome_);
    }
};

/// Description of an executor, as known to its agent.
struct ExecutorInfo
{
    Incarnation incarnation_;
    ServiceId service_;
    DataCentreId dataCentre_;
    ResourceVector capacity_;
    std::vector<std::string> labels_;
    bool draining_ = false;
    milliseconds remaining_{0}; ///< minimum time left while draining
    bool hasLeft_ = false; ///< it has announced its shutdown

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation_, service_, dataCentre_, capacity_, labels_, draining_, remaining_, hasLeft_);
    }
};

/// From this sequence number on, the lists of an agent's process are from a time when no call of a former process could be carried out any longer, so that it
/// knows of all starts that can.
constexpr std::uint64_t informedSequence = std::uint64_t{1} << 32;

/// An agent's report to the leader; also its heartbeat.
struct Report
{
    std::string agent_;
    std::uint64_t sequence_ = 0; ///< increases within a process of the agent; see informedSequence
    Duration sentAt_{}; ///< on the agent's clock, since the host's boot
    std::int64_t epoch_ = 0; ///< leader epoch under which the lists were read
    bool responsive_ = false; ///< the executor answers its agent's calls
    bool listsValid_ = false; ///< the lists come from the incarnation in executor_, under epoch_
    Duration listedAt_{}; ///< when the lists were made, on the agent's clock
    ExecutorInfo executor_;
    std::vector<RunningTask> running_;
    std::vector<RunId> starting_; ///< runs that may be running, or begin to, although the lists don't show it: they are being started or stopped, or a call of
                                  ///< their start wasn't answered
    std::vector<EndedRun> ended_; ///< as many as maxEndsPerList if there may be more
    std::vector<SettledOrder> settled_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(agent_, sequence_, sentAt_, epoch_, responsive_, listsValid_, listedAt_, executor_, running_, starting_, ended_, settled_);
    }
};

/// Returns whether the lists in \p report don't come from the executor: the agent has inferred that nothing runs. Thread-safe.
[[nodiscard]] inline bool isInferred(const Report &report) noexcept
{
    return !report.responsive_ && report.running_.empty() && report.ended_.empty();
}

/// Returns whether the agent that made \p report knows of all starts that may be carried out late. Thread-safe.
[[nodiscard]] inline bool knowsAllCalls(const Report &report) noexcept
{
    return report.sequence_ >= informedSequence;
}

/// An order to start a run.
struct StartOrder
{
    RunId run_;
    std::string spec_;
    std::string checkpoint_;
    std::string ticket_; ///< ticket from the placement policy; empty if the queue has no policy

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, spec_, checkpoint_, ticket_);
    }
};

/// The leader's instructions to one agent; idempotent.
struct Directive
{
    std::int64_t epoch_ = 0; ///< fencing token: creation revision of the leader's key
    std::uint64_t echoSequence_ = 0;
    Duration echoSentAt_{}; ///< Report::sentAt_ of the last report, on the agent's clock
    bool permit_ = false; ///< permit to extend leases: the leader has renewed its key recently
    Incarnation incarnation_; ///< executor incarnation that the orders are for; the last one on its host for an agent that knows none
    std::int64_t acknowledged_ = 0; ///< run ends up to this number are stored
    std::vector<StartOrder> starts_;
    std::vector<RunId> stops_;
    std::string leaderAddress_; ///< the leader's address, as a redirect from an entry that isn't the leader; all other fields are then empty

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch_, echoSequence_, echoSentAt_, permit_, incarnation_, acknowledged_, starts_, stops_, leaderAddress_);
    }
};

}
