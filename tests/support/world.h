#pragma once

#include "core/agent/agent.h"
#include "core/entry/entry.h"
#include "store/memory_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// Behaviour of the simulated store.
enum class StoreMode {
    Up,
    Down, ///< rejects calls immediately
    Slow, ///< executes calls after up to four seconds; many callers have timed out by then
    LosesReplies, ///< loses half of the calls: either the call or its reply
};

struct SimulationOptions
{
    std::uint64_t seed_ = 1;
    int entries_ = 3;
    int workers_ = 8;
    int executors_ = 4;
    int dataCentres_ = 4;
    std::int32_t slots_ = 8;
    Resources capacity_{60, 130'000, 8};
    double lossRate_ = 0.01; ///< share of datagrams that are lost
    double duplicationRate_ = 0.01; ///< share of datagrams and replies that arrive twice
    double delayRate_ = 0.01; ///< share of datagrams that take up to three seconds
    Duration serviceTime_ = 30ms;
    bool unconditionalSwap_ = false; ///< the store swaps without comparing; shows that the checks detect it
    EntryLimits entry_;
    AgentLimits agent_;
};

/// Runs the production entries and agents in virtual time against a simulated store, network, workers and executors.
///
/// Checks the guarantees against the records of the simulated parts, not against the reports of the system under test.
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);

    /// Advances virtual time by \p length.
    void run(Duration length);

    /// Executes the next event. There must be one.
    void runNextEvent();

    // Load

    std::uint64_t submit(int entry, const JobSpec &spec);
    void cancel(int entry, const JobId &job);
    std::uint64_t request(int entry, const std::string &className, bool repeatable, const std::string &key, Duration timeout = 5s);
    std::uint64_t setInService(int entry, const std::string &dataCentre, bool inService);
    std::uint64_t apply(int entry, std::uint64_t base, const SettingsTree &settings, const std::string &operation);

    // Faults

    void setStore(StoreMode mode);
    void killEntry(int entry);
    void startEntry(int entry);
    void freezeEntry(int entry, Duration length);
    void stopEntry(int entry);
    void killAgent(int agent);
    void startAgent(int agent);
    void freezeAgent(int agent, Duration length);
    void disconnectAgent(int agent, Duration length);
    void drainAgent(int agent);
    void killWorkerHost(int agent);
    void failTasksOn(int agent, bool fails);
    void expireLeases();

    // Records

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return violations_;
    }

    [[nodiscard]] const std::map<std::uint64_t, Answer> &answers() const noexcept
    {
        return answers_;
    }

    [[nodiscard]] const std::map<std::uint64_t, JobAnswered> &jobAnswers() const noexcept
    {
        return jobAnswers_;
    }

    [[nodiscard]] const std::map<std::uint64_t, ControlAnswered> &controlAnswers() const noexcept
    {
        return controlAnswers_;
    }

    [[nodiscard]] std::size_t unanswered() const;
    [[nodiscard]] int runsOf(std::uint64_t token) const;
    [[nodiscard]] int runsOfKey(const std::string &key) const;
    [[nodiscard]] std::optional<JobRecord> job(const JobId &id) const;
    [[nodiscard]] std::vector<JobId> acceptedJobs() const;
    [[nodiscard]] Entry &entry(int index);
    [[nodiscard]] const Agent &agent(int index);
    [[nodiscard]] bool entryUp(int index) const;
    [[nodiscard]] bool agentUp(int index) const;
    [[nodiscard]] int owner() const;
    [[nodiscard]] Duration now() const;
    [[nodiscard]] int storeCalls() const noexcept
    {
        return storeCalls_;
    }

    [[nodiscard]] int refusedOrders() const noexcept
    {
        return refusedOrders_;
    }

    /// Returns when the first task of \p job started, or nothing.
    [[nodiscard]] std::optional<Duration> startedAt(const JobId &job) const;

    [[nodiscard]] static std::string dataCentreName(int index);
    [[nodiscard]] static SettingsTree settings(int dataCentres, int workers);
    [[nodiscard]] static JobSpec jobSpec(const std::string &id, std::int32_t tasks, std::int32_t accelerators, const std::string &payload = "5s");

private:
    /// Process that may be down, frozen or disconnected, and that has its own clock.
    struct Process
    {
        bool up_ = false;
        std::uint64_t incarnation_ = 0; ///< changes with every start and kill; events for an earlier one are dropped
        Instant frozenUntil_{};
        Duration clockOffset_{};
        Instant disconnectedUntil_{};
    };

    struct EntryProcess : Process
    {
        std::unique_ptr<Entry> entry_;
        std::uint64_t revision_ = 0;
    };

    struct RunningTasks
    {
        std::uint32_t generation_ = 0;
        std::int32_t tasks_ = 0;
        Resources taskDemand_;
        MemberPhase phase_ = MemberPhase::Running;
        Instant endsAt_{};
        Instant leaseExpiresAt_{};
    };

    struct AgentProcess : Process
    {
        AgentIdentity identity_;
        std::unique_ptr<Agent> agent_;
        std::map<JobId, RunningTasks> tasks_; ///< on the worker; they continue when its agent ends
        std::int32_t busySlots_ = 0; ///< slots of the executor that are in use
        bool failsTasks_ = false;
        Instant drainStartedAt_{};
        Instant killedAt_{};
        std::map<AttemptId, int> attemptEntries_; ///< entry that sent each attempt
    };

    struct Gang
    {
        std::map<std::string, Instant> started_; ///< start times by worker
        std::map<std::string, Instant> endedEarly_; ///< end times by worker of tasks that did not finish
    };

    using Event = std::function<void()>;

    void schedule(Instant when, Event event);
    void deliver(Process &process, Event event);
    [[nodiscard]] Duration randomLatency();
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] Instant localTime(const Process &process) const;

    void stepEntry(int index, const EntryInput &input);
    void stepAgent(int index, const AgentInput &input);
    void handleOutput(int entry, const EntryOutput &output);
    void handleOutput(int agent, const AgentOutput &output);
    void callStore(int entry, const StoreCall &call);
    void applyStoreCall(int entry, std::uint64_t incarnation, const StoreCall &call, bool answered);
    void sendDirective(int entry, const Directive &directive);
    void sendReport(int agent, const SendReport &send);
    void sendAttempt(int entry, const SendAttempt &send);
    void startTasks(int agent, const StartTasks &start);
    void runAttempt(int agent, const RunAttempt &run);
    void tickEntry(int index, std::uint64_t incarnation);
    void tickAgent(int index, std::uint64_t incarnation);
    void tickWorkers();
    void endTasks(AgentProcess &agent, const JobId &job, RunningTasks &tasks, MemberPhase phase);
    void checkStart(const AgentProcess &agent, const StartTasks &start);
    void checkRunning();
    void checkAnswer(std::uint64_t token, const Answer &answer);
    void checkRevisionActive(std::uint64_t revision, Instant writtenAt);
    void recordControlWrite(const std::string &text);
    void addViolation(const std::string &text);
    [[nodiscard]] int agentIndex(const std::string &name) const;

    SimulationOptions options_;
    std::mt19937_64 random_;
    Instant now_{Duration(1h)};
    std::multimap<Instant, Event> events_;
    MemoryStore store_;
    StoreMode storeMode_ = StoreMode::Up;
    Instant storeModeChangedAt_{};
    std::deque<EntryProcess> entries_;
    std::deque<AgentProcess> agents_;
    std::uint64_t lastToken_ = 0;
    std::uint64_t lastIncarnation_ = 1'000;
    std::map<std::uint64_t, Request> requests_;
    std::map<std::uint64_t, int> requestEntry_;
    std::map<std::uint64_t, JobSpec> submissions_;
    std::map<std::uint64_t, Answer> answers_;
    std::map<std::uint64_t, JobAnswered> jobAnswers_;
    std::map<std::uint64_t, ControlAnswered> controlAnswers_;
    std::map<std::uint64_t, int> runs_; ///< number of runs by request token
    std::map<std::string, int> keyRuns_;
    std::map<JobId, std::map<std::uint32_t, Gang>> gangs_;
    std::map<JobId, std::map<std::uint32_t, std::set<std::string>>> prepared_;
    std::map<std::string, Instant> outOfServiceSince_;
    std::uint64_t lastWrittenRevision_ = 0;
    std::vector<std::string> violations_;
    int storeCalls_ = 0;
    int refusedOrders_ = 0;
};

}
