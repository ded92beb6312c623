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

/// What may be broken, and for how long; all times are the cluster's.
struct Faults
{
    Instant storeDownUntil_{}; ///< calls fail and have no effect
    double lostAnswers_ = 0; ///< share of writes that are done without an answer
    double lateWrites_ = 0; ///< share of writes that are done seconds later, without an answer
    double lateOrders_ = 0; ///< share of orders to executors that get no answer and are carried out seconds later
};

/// Protections that a twin of a test takes away; it must turn red then.
struct Unprotected
{
    bool leaderCondition_ = false; ///< the store takes a former leader's writes
    bool fences_ = false; ///< executors obey lower fencing tokens
    bool patience_ = false; ///< a silent executor's tasks are given out again at once
};

/// Leaders, agents, executors and a store in one thread and in virtual time; it judges the promises as executors see them.
///
/// Thread safety: none.
class Cluster
{
public:
    Cluster(std::size_t executors, std::uint64_t seed, Unprotected unprotected = {});
    ~Cluster();

    /// Lets \p length of virtual time pass.
    void run(Duration length);

    /// Hands a job in; it is stored at once.
    void submit(batch::Submission job);
    void cancel(const JobId &job);

    /// What a task of \p job does; without this each task takes its estimate and ends well.
    void behave(const JobId &job, batch::milliseconds length, bool fails);

    // Faults

    Faults faults_;
    void cutAgent(std::size_t host, Duration length); ///< from the leader; it and its executor run on
    void silenceExecutor(std::size_t host, Duration length); ///< its agent gets no answers
    void restartAgent(std::size_t host);
    void restartExecutor(std::size_t host, bool sameName);
    void removeExecutor(std::size_t host); ///< nothing listens at its address until it is restarted
    void drain(std::size_t host, batch::milliseconds remaining);
    void failAllOn(std::size_t host, Duration length);
    void hangAllOn(std::size_t host, Duration length);

    /// Replaces the leader after \p gap; the former one, if it \p wakes, goes on with what it believed.
    void replaceLeader(Duration gap, bool wakes);
    void evacuate(const std::string &dataCentre);

    // Views

    [[nodiscard]] batch::JobState state(const JobId &job) const; ///< as the store holds it
    [[nodiscard]] const batch::Leader *leader() const;
    [[nodiscard]] const std::vector<std::string> &breaches() const noexcept; ///< broken promises, in words
    [[nodiscard]] std::size_t starts(const JobId &job) const;
    [[nodiscard]] Instant firstStart(const JobId &job) const; ///< of any task; the far future if none has begun
    [[nodiscard]] std::size_t wastedStarts() const noexcept; ///< runs that ended otherwise than done
    [[nodiscard]] Instant now() const noexcept;
    [[nodiscard]] batch::ClusterConfig &config() noexcept;
    void reconfigure(); ///< puts config() in force

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// What takes all accelerators of an executor.
constexpr batch::ResourceVector whole{1'000, 1'000, 8};

/// Returns a job of one step.
[[nodiscard]] batch::Submission jobOf(const std::string &id, std::uint32_t count, batch::ResourceVector each, batch::milliseconds length);

/// Returns a job of one gang.
[[nodiscard]] batch::Submission gangOf(const std::string &id, std::uint32_t count, batch::ResourceVector each, batch::milliseconds length);

}
