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
    bool reassignmentDelay_ = false; ///< tasks of an unreachable executor are reassigned at once; not implemented
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
    void disconnectAgent(std::size_t host, Duration length); ///< from the leader; the agent and its executor keep running
    void disconnectExecutor(std::size_t host, Duration length); ///< from its agent; the executor keeps running
    void restartAgent(std::size_t host);
    void restartExecutor(std::size_t host, bool sameName);
    void crashExecutor(std::size_t host, Duration downtime); ///< ends its process; the next executor of the host starts after \p downtime
    void removeExecutor(std::size_t host); ///< its address refuses connections until it is restarted
    void setCapacity(std::size_t host, batch::ResourceVector capacity); ///< of its present executor, from its next heartbeat on
    void drain(std::size_t host, batch::milliseconds remaining);
    void failTasksOn(std::size_t host, Duration length);
    void hangTasksOn(std::size_t host, Duration length);

    /// Elects a new leader after \p gap. If \p resumes, the previous leader continues from its outdated state afterwards.
    void replaceLeader(Duration gap, bool resumes);
    void evacuate(const std::string &dataCentre);

    // Queries

    [[nodiscard]] batch::JobState state(const JobId &job) const; ///< according to the store
    [[nodiscard]] const batch::Leader *leader() const;
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept; ///< violated guarantees, as text
    [[nodiscard]] std::size_t starts(const JobId &job) const;
    [[nodiscard]] Instant firstStart(const JobId &job) const; ///< of any task; Instant::max() if none has started
    [[nodiscard]] std::size_t storedCrashes(const JobId &job) const; ///< in the stored crash history of \p job, over all its tasks
    [[nodiscard]] std::size_t crashes() const noexcept; ///< executors that crashing tasks took down
    [[nodiscard]] std::size_t wastedRuns() const noexcept; ///< runs that didn't end successfully
    [[nodiscard]] Instant now() const noexcept;
    [[nodiscard]] batch::ClusterConfig &config() noexcept;
    void applyConfig(); ///< sends config() to the leader

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Demand that occupies all accelerators of an executor.
constexpr batch::ResourceVector wholeExecutor{1'000, 1'000, 8};

/// Returns a job with a single step of independent tasks.
[[nodiscard]] batch::Submission makeJob(const std::string &id, std::uint32_t count, batch::ResourceVector taskDemand, batch::milliseconds length);

/// Returns a job with a single gang.
[[nodiscard]] batch::Submission makeGang(const std::string &id, std::uint32_t count, batch::ResourceVector taskDemand, batch::milliseconds length);

}
