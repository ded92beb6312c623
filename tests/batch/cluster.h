#pragma once

#include "batch/executor_stand_in.h"
#include "core/batch/leader.h"

#include <functional>
#include <map>
#include <memory>
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

    // Faults

    Faults faults_;
    void disconnectAgent(std::size_t host, Duration length); ///< from the leader; the agent and its executor keep running
    void disconnectExecutor(std::size_t host, Duration length); ///< from its agent; the executor keeps running
    void restartAgent(std::size_t host);
    void restartExecutor(std::size_t host, bool sameName);
    void removeExecutor(std::size_t host); ///< its address refuses connections until it is restarted
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
