#pragma once

#include "core/batch/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotwick::batch {

/// One line for the log: a decision or a change of belief.
struct Decision
{
    std::string event_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

/// A task that an executor has at work.
struct RunningTask
{
    RunId run_;
    std::string checkpoint_;
    std::int32_t percent_ = 0;
    std::int64_t usage_ = 0; ///< tail latency in ms of a serving task, else thousandths of a core in use

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, checkpoint_, percent_, usage_);
    }
};

/// How an order was taken.
enum class OrderAnswer : std::uint8_t {
    Accepted,
    Refused, ///< not carried out and never will be
    Unknown, ///< it may be carried out, even seconds later
};

/// How a run ended.
enum class EndKind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed, ///< its lease ran out
    Broken, ///< another member of its gang ended
    Alone, ///< it waited too long for the others of its gang
};

/// An end that the executor repeats until it is acknowledged.
struct EndedRun
{
    std::int64_t number_ = 0; ///< rises within an incarnation
    RunId run_;
    EndKind how_ = EndKind::Done;
    std::string checkpoint_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number_, run_, how_, checkpoint_);
    }
};

/// What became of an order that leaves no run behind.
enum class OrderOutcome : std::uint8_t {
    Refused, ///< a start that was not carried out and never will be
    StopConfirmed, ///< a stop was answered and the run is not at work
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

/// An executor as its agent knows it.
struct ExecutorFacts
{
    Incarnation life_;
    ServiceId service_;
    DataCentreId dataCentre_;
    Room capacity_;
    std::vector<std::string> labels_;
    bool draining_ = false;
    milliseconds remaining_{0}; ///< least time left, while draining
    bool left_ = false; ///< said that it has ended

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(life_, service_, dataCentre_, capacity_, labels_, draining_, remaining_, left_);
    }
};

/// An agent's report to the leader; also its heartbeat.
struct Report
{
    std::string agent_;
    std::uint64_t sequence_ = 0;
    Duration sentAt_{}; ///< on the agent's clock, since its boot
    std::int64_t epoch_ = 0; ///< fencing token under which the lists were read
    bool answers_ = false; ///< the executor has answered its agent's last calls
    bool listsValid_ = false; ///< the lists come from the named life under epoch_
    Duration listedAt_{}; ///< when the lists were made, on the agent's clock
    ExecutorFacts executor_;
    std::vector<RunningTask> running_;
    std::vector<RunId> starting_; ///< orders whose outcome is still open
    std::vector<EndedRun> ended_;
    std::vector<SettledOrder> settled_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(agent_, sequence_, sentAt_, epoch_, answers_, listsValid_, listedAt_, executor_, running_, starting_, ended_, settled_);
    }
};

/// An order to start a run.
struct StartOrder
{
    RunId run_;
    std::string spec_;
    std::string checkpoint_;
    std::string ticket_; ///< of the placement policy; empty if the queue has none

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, spec_, checkpoint_, ticket_);
    }
};

/// What the leader wants of one agent. Repeating it changes nothing.
struct Directive
{
    std::int64_t epoch_ = 0; ///< fencing token: creation revision of the leader's key
    std::uint64_t echoSequence_ = 0;
    Duration echoSentAt_{}; ///< of the last report, on the agent's clock
    bool permit_ = false; ///< the leader's view of the store is fresh: leases may be extended
    Incarnation life_; ///< whom the orders are for
    std::int64_t acknowledged_ = 0; ///< ends up to this number are stored
    std::vector<StartOrder> starts_;
    std::vector<RunId> stops_;
    std::string leaderAddress_; ///< from an entry that doesn't lead: who does; all else is empty then

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(epoch_, echoSequence_, echoSentAt_, permit_, life_, acknowledged_, starts_, stops_, leaderAddress_);
    }
};

}
