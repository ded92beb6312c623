#pragma once

#include "core/batch/board.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotwick::batch {

// Inputs

/// A job that the store holds; comes once for each job.
struct JobStored
{
    Submission submission_;
};

/// The stored progress of a job; comes after its JobStored, while a new leader reads the store.
struct ProgressStored
{
    Progress progress_;
    std::int64_t revision_ = 0;
};

struct CancelStored
{
    JobId job_;
};

struct ConfigChanged
{
    ClusterConfig config_;
};

struct EvacuationsChanged
{
    std::set<DataCentreId> dataCentres_;
};

/// The leader's key was known to be held at \p at_.
struct StoreSeen
{
    Instant at_{};
};

struct CommitDone
{
    std::uint64_t commit_ = 0;
    std::int64_t revision_ = 0;
};

/// The store did not take the commit, or gave no answer; the keys were found as said.
struct CommitFailed
{
    std::uint64_t commit_ = 0;
    std::vector<std::pair<JobId, std::int64_t>> found_; ///< revisions of progress keys; 0 for absent ones
};

/// What the placement policy has said; nothing asked means that it gave no answer.
struct AdviceGiven
{
    StepId step_;
    std::vector<ExecutorId> asked_;
    std::map<ExecutorId, std::string> tickets_; ///< of those that may run the step
    milliseconds valid_{0}; ///< from the question on
};

using LeaderInput
    = std::variant<AdviceGiven, JobStored, ProgressStored, CancelStored, ConfigChanged, EvacuationsChanged, StoreSeen, CommitDone, CommitFailed, Report>;

// Outputs

/// One key to write, under the condition that its revision is as expected.
struct ProgressWrite
{
    JobId job_;
    std::int64_t expected_ = 0; ///< revision of the job's progress key; 0: absent
    Progress progress_;
    bool remove_ = false; ///< forget the job altogether
};

/// Writes to be made in one transaction, under the condition that the leader's key is still this leader's.
struct Commit
{
    std::uint64_t commit_ = 0;
    std::vector<ProgressWrite> writes_;
};

struct SendDirective
{
    std::string agent_;
    Directive directive_;
};

using LeaderOutput = std::variant<Question, Commit, SendDirective, Decision>;

/// By queue, as Submission::queue_ names it.
using WaitingJobs = std::map<std::string, std::size_t>;

/// Decides what runs where. Holds no socket, thread or clock.
///
/// Thread safety: none; one thread drives it.
class Leader
{
public:
    /// Takes over at \p now with fencing token \p epoch. All of the store's contents have to follow before the first step with placing.
    Leader(LeaderLimits limits, std::int64_t epoch, Instant now);

    /// Takes \p inputs in and returns what is to be done. \p calendar serves due times only.
    [[nodiscard]] std::vector<LeaderOutput> step(Instant now, CalendarTime calendar, std::vector<LeaderInput> inputs);

    /// Returns how many jobs of each queue wait for their first task; queues without such jobs are left out. Nothing while the store may know
    /// more than this leader does.
    [[nodiscard]] std::optional<WaitingJobs> waitingJobs() const;

    /// Returns whether no commit is in flight and none is due: leadership can be given up without loss.
    [[nodiscard]] bool settled() const;

    [[nodiscard]] const Board &board() const noexcept
    {
        return board_;
    }

private:
    void take(JobStored &&input);
    void take(ProgressStored &&input);
    void take(const CancelStored &input);
    void take(ConfigChanged &&input);
    void take(EvacuationsChanged &&input);
    void take(const StoreSeen &input);
    void take(const CommitDone &input);
    void take(const CommitFailed &input);
    void take(const Report &input);
    void take(const AdviceGiven &input);

    void refreshFromConfig(Job &job) const;
    void releaseCommitted();
    void acknowledgeEnds();
    void forgetOld();
    void commit(std::vector<LeaderOutput> &outputs);
    void direct(std::vector<LeaderOutput> &outputs);
    [[nodiscard]] Directive directiveFor(const Agent &agent) const;

    struct InFlight
    {
        std::uint64_t commit_ = 0;
        std::vector<std::pair<JobId, std::uint64_t>> versions_;
        std::vector<JobId> removals_;
    };

    Board board_;
    std::set<JobId> cancelled_; ///< marks that came before their job
    std::optional<InFlight> inFlight_;
    std::uint64_t lastCommit_ = 0;
    Instant retryAt_{};
};

}
