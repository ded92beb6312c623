#pragma once

#include "core/batch/cluster_config.h"
#include "core/batch/job.h"
#include "core/batch/messages.h"
#include "core/batch/run_times.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// Limits that the leader keeps to; they come from the settings.
struct LeaderLimits
{
    milliseconds leaseTtl_{1'500}; ///< of the leader's key; no orders once it may have run out
    milliseconds stopLimit_{1'000}; ///< longest time that a stop takes
    milliseconds statusKept_{120'000};
    double spreadFactor_ = 3.0; ///< how much slower a task is away from its data or its gang
};

/// Without a successful call to the store for this long, a leader no longer lets agents extend leases.
constexpr milliseconds permitFreshness{3'000};

/// How long after its report an agent may keep extending leases on the strength of the answer.
constexpr milliseconds permitLength{6'500};

/// How far clocks may be apart over permitLength (2 %), and what a call may take on the way.
constexpr milliseconds permitSlack{500};

/// An executor whose agent has been silent for this long gets no new work: two missed reports.
constexpr milliseconds silenceLimit{1'300};

/// By this long after a leader's election the agents that can reach it have reported to it: a watch's answer, a connection, a report.
constexpr milliseconds hearingTime{500};

/// Stages of a run in the leader's eyes.
enum class RunPhase : std::uint8_t {
    Committing, ///< its record isn't stored yet; no order has left
    Starting, ///< the order may have left
    Running, ///< its executor has listed it
    Stopping, ///< it is to end
};

/// Room that is taken on an executor: from the decision to start until the end is certain.
struct Run
{
    RunId id_;
    Incarnation place_;
    Room room_;
    RunPhase phase_ = RunPhase::Committing;
    ServiceId urgentOf_; ///< the service whose urgent use it counts for; empty if it isn't urgent
    bool recovered_ = false; ///< known from the store only: a former leader gave it out
    std::uint64_t version_ = 0; ///< of the job's record that has to be stored before the order leaves
    Instant startedAt_{};
    std::int32_t percent_ = 0;
    std::int32_t firstPercent_ = 0; ///< when it was first listed: what its checkpoint had saved
    Duration listedAt_{}; ///< when it was first listed, on the agent's clock, so that late reports don't look like a standstill
    Duration progressAt_{}; ///< when percent_ last rose, on the agent's clock
    bool compared_ = false; ///< its pace has been compared with its fellows'
};

/// An end that may be acknowledged once the job's record holds it.
struct PendingEnd
{
    std::int64_t number_ = 0;
    JobId job_;
    std::uint64_t version_ = 0;
};

struct Executor
{
    ExecutorFacts facts_;
    std::string agent_;
    bool reported_ = false; ///< to this leader
    bool listed_ = false; ///< its present life has told this leader what it has at work
    bool answers_ = true; ///< to its agent
    Instant lastReport_{};
    Duration listedAt_{}; ///< age of its lists: the agent's clock when they were made
    Instant lastPermit_{}; ///< when a directive that lets leases be extended was last sent
    std::set<RunId> runs_;
    Room used_; ///< by runs_
    std::map<std::pair<JobId, std::size_t>, Room> reserved_; ///< by job and first task of the group whose room is being cleared
    std::vector<PendingEnd> pendingEnds_;
    std::int64_t acknowledged_ = 0;
    std::vector<RunId> orphans_; ///< at work there without a record that says so
    std::set<JobId> failedJobs_; ///< jobs that failed here since the last task ended well
    Instant failedAt_{}; ///< when a task last failed here
    Instant doneAt_{}; ///< when a task last ended well here
    Instant asideUntil_{};
    double logSlowness_ = 0; ///< sum over comparisons of the logarithm of a run's pace to its fellows'
    double comparisons_ = 0;

    /// Returns the rack that the executor's labels name, or an empty text.
    [[nodiscard]] std::string rack() const;
};

/// Executors that are kept free for tasks of a job whose room is being cleared.
struct Reservation
{
    std::vector<Incarnation> places_; ///< for each waiting task of the group, in order
    Instant until_{};
};

struct Job
{
    Submission submission_;
    Progress progress_;
    std::int64_t revision_ = 0; ///< of the stored progress; 0: none is stored
    std::uint64_t version_ = 0; ///< rises with each change of progress_
    std::uint64_t storedVersion_ = 0;
    Instant acceptedAt_{};
    std::int32_t priority_ = 0;
    std::int32_t maxAttempts_ = 1;
    double stretch_ = 1.0;
    milliseconds targetLatency_{0};
    std::optional<AdvicePolicy> advice_; ///< of its queue: who may run a step has to be asked
    std::map<std::size_t, std::set<ExecutorId>> avoid_; ///< executors on which a task has failed or stood still
    std::map<std::size_t, Reservation> reservations_; ///< by the first task of the group
    std::uint32_t moves_ = 0; ///< of tasks that crawled
    std::map<std::size_t, Instant> waitingSince_; ///< by the first task of each group that waits for a place
    std::set<std::size_t> heldFor_; ///< first tasks of the groups for which executors have been held; told once
    bool removing_ = false;

    [[nodiscard]] bool dirty() const noexcept
    {
        return version_ > storedVersion_;
    }

    void touch() noexcept
    {
        ++version_;
    }
};

/// Addresses the tasks of one step of one occurrence.
struct Group
{
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::size_t first_ = 0; ///< index of its first task in Progress::tasks_
    std::size_t last_ = 0; ///< one past its last
};

/// Names a step of one occurrence of a job.
struct StepId
{
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    friend auto operator<=>(const StepId &, const StepId &) = default;
};

/// What the queue's placement policy has said of a step.
struct Advice
{
    bool asking_ = false;
    Instant askedAt_{};
    std::set<ExecutorId> asked_; ///< whom the answers so far were about
    std::map<ExecutorId, std::string> tickets_; ///< of executors that may run the step
    Instant validUntil_{};
};

/// A question to the placement policy.
struct Question
{
    StepId step_;
    std::vector<ExecutorId> executors_;
};

/// Accelerators that urgent work of a service takes.
struct UrgentDemand
{
    std::int64_t used_ = 0;
    std::int64_t peak_ = 0; ///< of used_, lately
    Instant peakAt_{};
};

/// An agent and what it last said.
struct Agent
{
    ExecutorId executor_;
    std::uint64_t sequence_ = 0;
    Duration sentAt_{};
    bool directiveDue_ = false;
};

/// All that the leader knows; its controllers read and write it.
struct Board
{
    LeaderLimits limits_;
    Instant now_{};
    CalendarTime calendar_{};
    std::int64_t epoch_ = 0;
    Instant leaderSince_{};
    Instant storeSeen_{}; ///< when the last successful renewal of the leader's lease was sent
    ClusterConfig config_;
    std::set<DataCentreId> evacuated_;
    std::map<JobId, Job> jobs_;
    std::map<ExecutorId, Executor> executors_;
    std::map<std::string, Agent> agents_;
    std::map<RunId, Run> runs_;
    std::map<ServiceId, UrgentDemand> urgent_;
    RunTimes runTimes_;
    std::map<StepId, Advice> advice_;
    std::vector<Question> questions_;
    std::vector<Decision> decisions_;

    /// Returns whether orders may leave: the leader's key can't have lapsed.
    [[nodiscard]] bool mayOrder() const noexcept
    {
        return now_ - storeSeen_ < limits_.leaseTtl_;
    }

    [[nodiscard]] bool mayPermit() const noexcept
    {
        return now_ - storeSeen_ < permitFreshness;
    }

    /// Returns how long a task of \p step is likely to take.
    [[nodiscard]] milliseconds expectedTime(const Job &job, const Step &step) const
    {
        return runTimes_.expected(job.submission_.queue_, step.estimate_);
    }

    /// Returns whether agents have had time to find this leader, so that an executor which hasn't reported isn't there.
    [[nodiscard]] bool hasHeard() const noexcept
    {
        return now_ - leaderSince_ > hearingTime;
    }

    /// Sends the agent of \p executor word at the end of this step.
    void tellAgentOf(const Executor &executor)
    {
        const auto agent = agents_.find(executor.agent_);
        if (agent != agents_.end()) {
            agent->second.directiveDue_ = true;
        }
    }

    void decide(std::string event, std::vector<std::pair<std::string, std::string>> fields)
    {
        decisions_.push_back({std::move(event), std::move(fields)});
    }
};

/// Returns the groups of \p job, in order. Thread-safe on const objects.
[[nodiscard]] std::vector<Group> groupsOf(const Submission &job);

/// Returns the name of the task at \p index of \p group. Thread-safe.
[[nodiscard]] TaskId taskOf(const Submission &job, const Group &group, std::size_t index);

/// Returns where \p task lies in Progress::tasks_; nothing if the job has no such task. Thread-safe.
[[nodiscard]] std::optional<std::size_t> indexOf(const Submission &job, const TaskId &task);

/// Returns the group of \p task. Precondition: indexOf() finds it. Thread-safe.
[[nodiscard]] Group groupOf(const Submission &job, const TaskId &task);

/// Returns the tasks, as first and one past the last, that start and end with the one at \p index: all of a gang, else it alone.
/// Thread-safe.
[[nodiscard]] std::pair<std::size_t, std::size_t> boundTo(const Submission &job, const Group &group, std::size_t index);

/// Returns "JOB.OCCURRENCE.STEP.INDEX/RUN" for the log. Thread-safe.
[[nodiscard]] std::string toString(const RunId &run);

}
