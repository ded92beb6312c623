#pragma once

#include "batch/executor_stand_in.h"
#include "core/batch/leader.h"
#include "model/checker.h"
#include "model/options.h"
#include "model/schedule.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace bergamotwick::model {

/// A job of a scenario and when it is submitted and cancelled, both after the first jobs' submission. A task takes its step's estimate.
struct ScenarioJob
{
    batch::Submission submission_;
    batch::milliseconds submittedAfter_{0};
    std::optional<batch::milliseconds> cancelledAfter_ = std::nullopt;
};

/// A small world to search through: its hosts, its jobs, and the moments at which hosts and leaders may fail.
struct Scenario
{
    std::string name_;
    std::size_t hosts_ = 1;
    std::vector<ScenarioJob> jobs_;
    std::size_t deviations_ = 2; ///< from the default schedule, in the check that runs with all tests
    std::vector<batch::milliseconds> moments_; ///< after the first jobs' submission
    bool callsVary_ = true; ///< whether calls are choice points besides the moments
    std::optional<JobId> crashingJob_ = std::nullopt; ///< its tasks crash each executor that starts them
    std::vector<HostFault> hostFaults_ = {}; ///< the faults of hosts at the moments, and none of leaders; all of both if it is empty
    batch::milliseconds callsVaryFor_ = std::chrono::hours(1); ///< after the first jobs' submission; later calls are no choice points
    batch::milliseconds timeLimit_{30'000}; ///< a run that hasn't become quiet this long after the first jobs' submission ends
};

/// Protections that a test of the check itself disables; true disables one.
struct DisabledProtections
{
    bool fencing_ = false; ///< executors accept lower fencing tokens
    bool commitConditions_ = false; ///< the store accepts writes of former leaders and with outdated revisions
    bool incarnationFilter_ = false; ///< lists of runs carry the start time that the agent expects
    bool leaseExpiry_ = false; ///< executors don't end what runs when its lease expires
    bool leaderLease_ = false; ///< leaders always believe that they hold the leader's key
};

/// Leaders, agents, executors and a store in virtual time, with a choice of faults at each call and at fixed moments.
///
/// Thread safety: none.
class World
{
public:
    /// Precondition: \p scenario and \p schedule outlive the world.
    World(const Scenario &scenario, DisabledProtections disabled, Schedule &schedule, bool traced);

    /// Plays until the jobs have ended and nothing is on its way, or until the time limit.
    void play();

    [[nodiscard]] const std::vector<Violation> &violations() const noexcept
    {
        return checker_.violations();
    }

    [[nodiscard]] bool allJobsEnded() const;

private:
    struct LeaderInstance
    {
        std::unique_ptr<batch::Leader> leader_;
        std::int64_t epoch_ = 0;
        Instant frozenUntil_{};
        Instant cutFromStoreUntil_{};
        bool dead_ = false;
        std::vector<batch::LeaderInput> heldInputs_; ///< received while frozen
        std::vector<batch::LeaderOutput> heldOutputs_; ///< decided before the freeze
    };

    /// A poll that an agent has sent to its executor.
    struct SentPoll
    {
        batch::PollCall call_;
        Instant sentAt_{};
        std::uint64_t agentLife_ = 0;
        bool isOfLoop_ = false; ///< the agent's polling loop goes on after it
    };

    /// A poll that waits for a run to end.
    struct WaitingPoll
    {
        SentPoll poll_;
        std::uint64_t number_ = 0;
    };

    struct Host
    {
        std::string name_;
        std::unique_ptr<batch::AgentCore> agent_;
        std::unique_ptr<test::ExecutorStandIn> executor_; ///< null while it is down
        batch::Incarnation incarnation_; ///< of the present or last executor
        std::uint64_t agentLife_ = 0;
        std::uint64_t executorLife_ = 0;
        int ids_ = 1;
        std::int64_t heartbeatSequence_ = 0;
        std::optional<std::size_t> leader_; ///< index of the leader that the agent is connected to
        bool ticking_ = false;
        bool ordered_ = false; ///< has received an order
        Instant lastOrderAt_{};
        Instant agentFrozenUntil_{};
        std::vector<batch::AgentInput> heldInputs_; ///< received while the agent is frozen
        Instant cutFromLeadersUntil_{};
        Instant leaderKeptUntil_{}; ///< until then, the agent doesn't learn of a new leader
        Instant requestsLostUntil_{};
        Instant answersLostUntil_{};
        Instant unavailableUntil_{};
        Instant directivesHeldUntil_{};
        std::optional<WaitingPoll> waitingPoll_;
        std::uint64_t lastPollNumber_ = 0;
        std::vector<std::function<void()>> atNextIncarnation_; ///< late calls
    };

    struct StoredRecord
    {
        batch::Progress progress_;
        std::int64_t revision_ = 0;
    };

    // Time and choices (world.cpp)
    void schedule(Instant time, std::function<void()> action);
    void every(batch::milliseconds period, std::function<void()> action);
    void runUntil(Instant time);
    [[nodiscard]] bool isQuiet() const;
    void submitJobs();
    void submit(batch::Submission job);
    void cancel(const JobId &job);
    void takeMoment();
    [[nodiscard]] HostFault chooseHostFault(std::size_t index);
    void describe(const std::string &place, const char *option);
    void expectActivityUntil(Instant time);
    void printEvent(const std::string &event) const;
    template<class... Parts>
    void trace(const Parts &...parts) const;
    void traceLog(const std::string &source, const batch::LogEvent &event) const;
    template<class Fate, std::size_t count>
    [[nodiscard]] Fate choose(const std::function<std::string()> &place, const std::array<const char *, count> &options);

    // Leaders and store (world_leaders.cpp)
    void electLeader();
    void removeLeaderKey(Duration untilElection);
    void killLeader(std::size_t index);
    void freezeLeader(std::size_t index, Duration length, bool replaced, std::vector<batch::LeaderOutput> held);
    void resumeLeader(std::size_t index);
    void expireLeaderKey(std::int64_t epoch);
    void cutLeaderFromStore(std::size_t index);
    void stopStore(Duration length, bool leaseLapses);
    void applyLeaderFault(LeaderFault fault);
    void renewLeaderLeases();
    void stepLeader(std::size_t index, std::vector<batch::LeaderInput> inputs);
    void handleOutputs(std::size_t index, std::vector<batch::LeaderOutput> outputs);
    void storeProfile(std::size_t index, batch::FleetProfile profile);
    [[nodiscard]] bool sendCommit(std::size_t index, std::vector<batch::LeaderOutput> &outputs, std::size_t position);
    [[nodiscard]] bool sendDirective(std::size_t index, std::vector<batch::LeaderOutput> &outputs, std::size_t position);
    void write(std::size_t index, const batch::Commit &commit, CommitFate fate);
    [[nodiscard]] batch::LeaderInput applyCommit(std::int64_t epoch, const batch::Commit &commit);
    void replyToLeader(std::size_t index, batch::LeaderInput reply, batch::milliseconds delay);
    void connectAgent(std::size_t host);

    // Hosts (world_hosts.cpp)
    void addHost(std::size_t index);
    void startExecutor(std::size_t index, bool sameId, Duration firstHeartbeat);
    void endExecutor(std::size_t index);
    void crashExecutor(std::size_t index, Duration downtime, bool sameId, Duration firstHeartbeat);
    void restartAgent(std::size_t index, Duration downtime);
    void freezeAgent(std::size_t index, Duration length);
    void shrinkCapacity(std::size_t index, Duration length);
    void announceLeave(std::size_t index, const ExecutorId &executor);
    void cutFromLeaders(std::size_t index, Duration length);
    void applyHostFault(std::size_t index, HostFault fault);
    void beat(std::size_t index, std::uint64_t executorLife);
    void tickExecutor(std::size_t index, std::uint64_t executorLife);
    void runStarted(std::size_t index, const batch::RunId &run);
    void runEnded(std::size_t index, const batch::Incarnation &incarnation, const batch::RunId &run, batch::EndKind kind);

    // Calls of agents (world_calls.cpp)
    void stepAgent(std::size_t index, const std::vector<batch::AgentInput> &inputs);
    void deliverToAgent(std::size_t index, std::uint64_t agentLife, Duration delay, batch::AgentInput input);
    void sendReport(std::size_t index, batch::Report report);
    void deliverDirective(const std::string &agent, std::uint64_t agentLife, const batch::Directive &directive);
    template<class Call>
    void sendOrder(std::size_t index, const Call &call);
    template<class Call>
    void deliverOrder(std::size_t index, std::uint64_t agentLife, const Call &call, OrderFate fate, Instant sentAt);
    void carryOutAtNextIncarnation(std::size_t index, Instant sentAt, const std::function<void()> &carryOutCall);
    template<class Call>
    void carryOutLate(std::size_t index, const Call &call, Instant sentAt);
    [[nodiscard]] std::optional<test::OrderResult> carryOut(std::size_t index, const batch::CallStart &call, Instant sentAt);
    [[nodiscard]] std::optional<test::OrderResult> carryOut(std::size_t index, const batch::CallStop &call, Instant sentAt);
    [[nodiscard]] std::optional<batch::PollAnswered> carryOut(std::size_t index, const batch::PollCall &call);
    void pollLoop(std::size_t index, std::uint64_t agentLife);
    void sendPoll(std::size_t index, const batch::PollCall &call, bool isOfLoop);
    void deliverPoll(std::size_t index, const SentPoll &poll, PollFate fate);
    void answerWaitingPoll(std::size_t index, std::uint64_t number);
    void breakWaitingPoll(std::size_t index);
    void finishPoll(std::size_t index, const SentPoll &poll, Duration delay, batch::AgentInput result);
    [[nodiscard]] batch::milliseconds pauseAfter(std::size_t index, const batch::AgentInput &result) const;
    [[nodiscard]] bool isPollRelevant(std::size_t index) const;

    const Scenario &scenario_;
    DisabledProtections disabled_;
    Schedule &schedule_;
    bool traced_ = false;
    bool choosing_ = false; ///< whether calls are choice points; they are only after the jobs' submission
    Instant now_{};
    Instant submittedAt_{};
    Instant activeUntil_{}; ///< end of the faults in force
    std::size_t lateCalls_ = 0; ///< calls that are still to be carried out
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<LeaderInstance> leaders_;
    std::vector<Host> hosts_;
    std::vector<batch::Submission> jobs_; ///< submitted
    std::set<JobId> cancelled_;
    std::map<JobId, StoredRecord> records_;
    std::map<JobId, batch::CrashHistory> crashHistories_;
    std::map<JobId, batch::StartRecord> startRecords_;
    batch::FleetProfile profile_; ///< stored
    std::int64_t revision_ = 1;
    std::int64_t leaderKey_ = 0; ///< epoch of the leader that holds the key; 0 while none does
    bool electing_ = false;
    Instant storeDownUntil_{};
    batch::ClusterConfig config_;
    Instant orderSentAt_{}; ///< of the order that is being carried out
    Checker checker_;
};

/// Prints an event made of \p parts if the run is traced.
template<class... Parts>
void World::trace(const Parts &...parts) const
{
    if (traced_) {
        std::ostringstream text;
        ((text << parts << " "), ...);
        printEvent(text.str());
    }
}

template<class Fate, std::size_t count>
Fate World::choose(const std::function<std::string()> &place, const std::array<const char *, count> &options)
{
    if (!choosing_) {
        return Fate{};
    }
    const std::size_t option = schedule_.choose(options.size());
    if (option > 0) {
        describe(place(), options[option]);
    }
    return static_cast<Fate>(option);
}

}
