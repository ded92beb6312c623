#pragma once

#include "batch/executor_stand_in.h"
#include "core/batch/leader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// Injected faults of the store and of orders. Times are in the cluster's virtual time.
struct Faults
{
    Instant storeDownUntil_{}; ///< until then, calls fail and have no effect
    double lostReplyRate_ = 0; ///< share of writes that are carried out but whose reply is lost
    double delayedWriteRate_ = 0; ///< share of writes that are carried out seconds later and whose reply is lost
    double delayedOrderRate_ = 0; ///< share of orders to executors that time out and are carried out seconds later
    double delayedPollRate_ = 0; ///< share of polls of executors that time out and are carried out seconds later
    double lostAnswerRate_ = 0; ///< share of calls to executors that are carried out but whose answer is lost
    double delayedHeartbeatRate_ = 0; ///< share of heartbeats that reach the agent seconds later
    bool lateCallsAtBirth_ = false; ///< delayed calls are carried out when the host's next executor starts, before its first heartbeat
    batch::milliseconds firstHeartbeatDelay_{0}; ///< longest time from an executor's start to its first heartbeat
};

/// Faults of the calls from an agent to its executor that last for a time.
enum class CallFault : std::uint8_t {
    CallsLost, ///< calls don't reach the executor; its heartbeats reach the agent
    AnswersLost, ///< calls are carried out, but neither their answers nor heartbeats reach the agent
    Unhealthy, ///< calls are answered with status 503 and not carried out
    Refusing, ///< connections are refused although the executor is up
    NotConnected, ///< attempts to connect aren't answered, so that no call is sent
    Slow, ///< requests and answers take up to half of the call's timeout each
};

/// The end of an executor that announces it.
struct Departure
{
    Duration runsOn_{}; ///< from its message that it leaves to its end
    Duration messageDelay_{}; ///< until the message reaches the agent
    Duration downtime_{}; ///< from its end to the start of the host's next executor
    bool sameName_ = false; ///< the next executor has the same name
};

/// The end of a leader in the middle of a step.
struct LeaderCrash
{
    std::size_t outputs_ = 1; ///< how many more commits and directives it emits, the last of which takes effect
    Duration gap_{}; ///< until the next leader is elected
};

/// A task that crashes each executor on which it starts.
struct CrashingTask
{
    std::optional<std::uint32_t> index_ = std::nullopt; ///< in each step and occurrence; all tasks of the job if unset
    Duration after_{10ms}; ///< from its start to the crash
    Duration downtime_{3s}; ///< until the host's next executor starts
    bool sameName_ = false; ///< the next executor has the same name
    bool silent_ = false; ///< calls to the crashed executor time out instead of being refused
    bool answersStart_ = true; ///< the executor answers the start before it crashes
    bool restartsAgent_ = false; ///< the agent restarts together with the executor
    std::optional<Duration> leaderGap_ = std::nullopt; ///< the leader is killed with each crash and replaced after this time
};

/// Protections that a negative test disables to show that the checks then fail; true disables one.
struct DisabledProtections
{
    bool commitConditions_ = false; ///< the store accepts writes of a previous leader and with outdated revisions
    bool fencing_ = false; ///< executors accept lower fencing tokens
    bool reassignmentDelay_ = false; ///< runs of an executor out of touch are taken as ended before their leases have expired
};

/// Simulated cluster: leaders, agents, executors and a store in one thread and in virtual time. Checks the scheduler's guarantees against
/// the runs that executors start and end.
///
/// Thread safety: none.
class Cluster
{
public:
    Cluster(std::size_t executors, std::uint64_t seed, DisabledProtections disabledProtections = {});
    ~Cluster();

    /// Advances virtual time by \p length.
    void run(Duration length);

    /// Submits a job; it is stored at once.
    void submit(batch::Submission job);
    void cancel(const JobId &job);

    /// Sets the duration and outcome of the tasks of \p job. By default, a task takes its estimated time and succeeds.
    void setTaskBehaviour(const JobId &job, batch::milliseconds length, bool fails);

    void setCrashing(const JobId &job, CrashingTask task);

    // Faults

    Faults faults_;
    bool knowsCrashHistories_ = true; ///< if false, leaders are of a release that neither reads nor writes crash histories
    bool knowsStartRecords_ = true; ///< if false, leaders are of a release that neither reads nor writes start records
    void disconnectAgent(std::size_t host, Duration length); ///< from the leader; the agent and its executor keep running
    void disconnectExecutor(std::size_t host, Duration length); ///< from its agent; the executor keeps running
    void restartAgent(std::size_t host);
    void restartExecutor(std::size_t host, bool sameName);
    /// Ends its process; the next executor of the host starts after \p downtime.
    void crashExecutor(std::size_t host, Duration downtime, bool sameName = false, bool silent = false);
    void removeExecutor(std::size_t host); ///< its address refuses connections until it is restarted
    void setCapacity(std::size_t host, batch::ResourceVector capacity); ///< of its present executor, from its next heartbeat on

    /// Shrinks the capacity of the host's executors to \p factor of the full one and restores it after \p length. The agent learns of both
    /// with a heartbeat. A later call replaces an earlier one.
    void shrink(std::size_t host, double factor, Duration length);
    void disturbCalls(std::size_t host, CallFault fault, Duration length);
    void freezeAgent(std::size_t host, Duration length); ///< it neither steps nor calls; messages to it wait
    void delayAgent(std::size_t host, Duration delay, Duration length); ///< messages between it and the leader take \p delay for \p length
    void reboot(std::size_t host, Duration downtime, bool sameName); ///< ends agent and executor; the clock since boot starts anew
    void setClockBack(std::size_t host, Duration length); ///< the clock from which the host's next executors take their births
    void leave(std::size_t host, Departure departure);
    void drain(std::size_t host, batch::milliseconds remaining);
    void failTasksOn(std::size_t host, Duration length);
    void hangTasksOn(std::size_t host, Duration length);

    /// Elects a new leader after \p gap. If \p resumes, the previous leader continues from its outdated state afterwards.
    void replaceLeader(Duration gap, bool resumes);
    void crashLeader(LeaderCrash crash);

    /// The store is down for \p length. If \p leaseLapses, the leader's key is gone then, and another leader is elected.
    void disturbStore(Duration length, bool leaseLapses);
    void evacuate(const std::string &dataCentre);

    // Queries

    [[nodiscard]] batch::JobState state(const JobId &job) const; ///< according to the store
    [[nodiscard]] const batch::Leader *leader() const;
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept; ///< violated guarantees, as text
    [[nodiscard]] std::size_t starts(const JobId &job) const;
    [[nodiscard]] Instant firstStart(const JobId &job) const; ///< of any task; Instant::max() if none has started
    [[nodiscard]] std::size_t storedCrashes(const JobId &job) const; ///< in the stored crash history of \p job, over all its tasks
    [[nodiscard]] std::size_t crashes() const noexcept; ///< executors that crashing tasks took down
    [[nodiscard]] std::string settlement(const std::string &violation) const; ///< why a leader last settled a run of the task in it without an end
    [[nodiscard]] std::size_t lateStartsOverCapacity() const noexcept; ///< see Judge
    [[nodiscard]] std::size_t allStarts() const noexcept; ///< of all tasks
    [[nodiscard]] std::size_t wastedRuns() const noexcept; ///< runs that didn't end successfully
    [[nodiscard]] Instant now() const noexcept;
    [[nodiscard]] batch::ClusterConfig &config() noexcept;
    void applyConfig(); ///< sends config() to the leader

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Capacity of each executor, unless it is changed.
constexpr batch::ResourceVector executorCapacity{64'000, 131'072, 8};

/// Demand that occupies all accelerators of an executor.
constexpr batch::ResourceVector wholeExecutor{1'000, 1'000, 8};

/// Returns a job with a single step of independent tasks.
[[nodiscard]] batch::Submission makeJob(const std::string &id, std::uint32_t count, batch::ResourceVector taskDemand, batch::milliseconds length);

/// Returns a job with a single gang.
[[nodiscard]] batch::Submission makeGang(const std::string &id, std::uint32_t count, batch::ResourceVector taskDemand, batch::milliseconds length);

}
