#pragma once

#include "core/batch/cluster_config.h"
#include "core/batch/crash_history.h"
#include "core/batch/fleet_clock.h"
#include "core/batch/host_profiles.h"
#include "core/batch/job.h"
#include "core/batch/messages.h"
#include "core/batch/run_times.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// Limits for the leader, from the settings.
struct LeaderLimits
{
    milliseconds leaseTtl_{1'500}; ///< of the leader's key; no orders are issued once it may have expired
    milliseconds stopLimit_{1'000}; ///< maximum duration of a stop
    milliseconds maxLeaseDuration_ = defaultMaxLeaseDuration; ///< executors shorten longer leases to this
    milliseconds reclaimLimit_{2'900}; ///< maximum time from a guaranteed job's acceptance to the start of its first step
    milliseconds statusRetention_{120'000};
    std::size_t maxRecordBytes_ = 1'048'576; ///< largest value that the store takes
    double callerWeight_ = 0; ///< how much priorities and objectives of possible victims count beside the work that they lose, see costOfYielding()
    double spreadFactor_ = 3.0; ///< slowdown of a task that runs away from its data or whose gang is spread over racks
};

/// A leader whose last successful renewal of its key is older than this issues no more permits to extend leases.
constexpr milliseconds maxRenewalAgeForPermits{3'000};

/// How long after sending a report an agent may extend leases under the permit in the answer.
constexpr milliseconds permitDuration{6'500};

/// Allowance for clock drift over permitDuration (2 %) and for the transit time of a call.
constexpr milliseconds permitSlack{500};

/// An executor whose agent has sent no report for this long gets no new work; corresponds to two missed reports.
constexpr milliseconds reportTimeout{1'300};

/// Time after its election in which all agents that can reach a leader have reported: a watch notification, a connection, a report.
constexpr milliseconds agentDiscoveryTime{500};

/// State of a run as the leader knows it.
enum class RunPhase : std::uint8_t {
    Committing, ///< its record isn't stored yet; no order has been sent
    Starting, ///< the start order may have been sent
    Running, ///< its executor has listed it as running
    Stopping, ///< it must end; the stop order is repeated until its end is certain
};

/// A run that is first listed with more progress was restored from a checkpoint, in percent.
constexpr std::int32_t maxUnrestoredPercent = 5;

/// A run and the resources that it occupies on an executor, from the decision to start it until its end is certain.
struct Run
{
    RunId id_;
    Incarnation placement_;
    ResourceVector resources_;
    RunPhase phase_ = RunPhase::Committing;
    ServiceId urgentService_; ///< service whose urgent demand it counts towards; empty if it isn't urgent
    bool recovered_ = false; ///< not confirmed by the current incarnation: loaded from the store or carried over from an earlier incarnation
    std::uint64_t version_ = 0; ///< version of the job's record that must be stored before the order is sent, or sent again
    Instant startedAt_{};
    std::int32_t percent_ = 0;
    std::int32_t initialPercent_ = 0; ///< progress from which its pace is measured: when it was first listed, restored from its checkpoint
    Duration initialAt_{}; ///< when it was listed with initialPercent_, on the agent's clock
    bool restoring_ = false; ///< its checkpoint may not be restored yet: its next progress may be from earlier runs
    Duration listedAt_{}; ///< when it was first listed, except while it was being stopped; on the agent's clock, so that late reports don't look like a stall
    Duration progressAt_{}; ///< when percent_ last rose, on the agent's clock
    std::uint32_t checkpoints_ = 0; ///< new checkpoints listed since listedAt_; only counted for a task that checkpoints
    Duration checkpointAt_{}; ///< when the last of them was listed, on the agent's clock
    bool inherited_ = false; ///< started by a former leader: how long it has run isn't known
    bool isolated_ = false; ///< its task may crash executors: until it has survived, nothing else starts on its executor
    Instant percentAt_{}; ///< when percent_ last rose, on the leader's clock
    std::uint32_t paceSamples_ = 0; ///< how often its pace has been recorded
    Instant recordedAt_{}; ///< when the record that is to be stored before its start was last written
    Instant recordedUntil_{}; ///< until when its start may be carried out by the record that was last written; zero if each call has been answered
    Instant orderedAt_{}; ///< when the order of its start was last released: by a commit, or by a former leader
    bool awaitsRecord_ = false; ///< its start isn't ordered again before version_ is stored
    Instant mayStartUntil_{}; ///< until then, a call of its start may be carried out, as far as this leader knows; its agent's process may know better
    std::optional<Instant> lateStartNotedAt_; ///< when it was first reported that it is listed, but a call of its start wasn't answered
    bool hasEnded_ = false; ///< its executor has ended it, but a call of its start may still be carried out by the next incarnation; see setEnded()
    bool wasCalled_ = false; ///< its agent has told that it called its start, or its executor has listed it
    std::optional<Instant> waitLoggedUntil_; ///< until when it waits although its executor is lost, as last logged
    bool lossRecorded_ = false; ///< the loss of its executor has been recorded for it, although a start of it may still be carried out
};

/// A reported end that may be acknowledged once the job's record that includes it is stored.
struct PendingEnd
{
    std::int64_t number_ = 0;
    JobId job_;
    std::uint64_t version_ = 0;
    Instant notBefore_{}; ///< the run's start may be carried out until then: it must not have ended for good before
};

struct Executor
{
    ExecutorInfo info_;
    std::string agent_;
    bool reported_ = false; ///< its agent has reported to this leader
    bool listed_ = false; ///< its current incarnation has reported its lists to this leader
    Instant firstListedAt_{}; ///< when the lists of its current incarnation were first reported to this leader; zero if they weren't yet
    bool responsive_ = true; ///< it answers its agent's calls
    Instant unresponsiveSince_{}; ///< when responsive_ last became false
    bool lost_ = false; ///< the loss of its current incarnation has been recorded
    bool isLeaving_ = false; ///< its current incarnation has announced its end, or drains; later heartbeats don't take that back
    Instant lastReport_{};
    Duration listedAt_{}; ///< when its lists were made, on the agent's clock
    std::set<RunId> runs_;
    ResourceVector used_; ///< by runs_
    std::map<std::pair<JobId, std::size_t>, ResourceVector> reserved_; ///< by job and first task of the group for which work is being preempted
    std::vector<PendingEnd> pendingEnds_;
    std::int64_t acknowledged_ = 0;
    std::optional<std::int64_t> firstIgnoredEnd_; ///< number of the first end in the last report that isn't acted on yet
    std::vector<RunId> orphans_; ///< runs that it lists without a matching record
    std::map<JobId, std::size_t> failedJobs_; ///< jobs with a failure here since the last proof, and how many of their runs failed soon after their start
    Instant failedAt_{}; ///< when a task last failed here
    Instant provenBy_{}; ///< start of the latest run that showed progress or success here
    Instant quarantinedUntil_{};

    /// Returns the rack named by the executor's labels, or an empty string.
    [[nodiscard]] std::string rack() const;
};

/// Resources reserved for a group's waiting tasks while other work is preempted for them.
struct Reservation
{
    std::vector<Incarnation> placements_; ///< executor for each waiting task of the group, in order
    Instant until_{};
};

struct Job
{
    Submission submission_;
    Progress progress_;
    std::int64_t revision_ = 0; ///< revision of the stored progress; 0 if none is stored
    std::uint64_t version_ = 0; ///< incremented with each change of progress_
    std::uint64_t storedVersion_ = 0;
    std::optional<std::uint64_t> rejectedVersion_; ///< version that the store has rejected, until a later one is stored; nothing is placed meanwhile
    Instant mayPlaceFrom_{}; ///< not before, as the record that a rejection followed would only grow as large again
    Instant acceptedAt_{};
    std::optional<QueueSettings> acceptedWith_; ///< unset if a release that stores none accepted it and its queue hasn't been in force since
    bool areSettingsStored_ = false; ///< the store holds acceptedWith_
    QueueSettings settings_; ///< those of its queue if that is in force, else those with which it was accepted
    bool guaranteed_ = false; ///< its work fits its workspace's guarantee; set by updateGuarantees()
    std::map<std::size_t, std::set<ExecutorId>> excludedExecutors_; ///< by task index: executors on which it failed, was refused, stalled or straggled
    std::map<std::size_t, Reservation> reservations_; ///< by first task of the group
    std::uint32_t stragglerMoves_ = 0; ///< how many stragglers have been stopped to run elsewhere
    std::uint32_t lateMoves_ = 0; ///< how often its gang has been stopped to run on faster hosts
    std::map<std::size_t, std::size_t> stalls_; ///< by first task that starts together: how many runs have been stopped as stalled
    std::map<std::size_t, Instant> waitingSince_; ///< by first task of each group that waits for executors
    std::map<std::size_t, Instant> failedAt_; ///< by task index: when its last failure became known to this leader
    std::set<std::size_t> reportedHolds_; ///< first tasks of groups whose executor holds have been logged; each is logged once
    bool isFolded_ = false; ///< its progress is stored as FoldedProgress
    bool cancelled_ = false; ///< also if it had failed before
    bool removing_ = false;
    std::map<std::size_t, TaskCrashes> crashes_; ///< by task index
    bool crashesStored_ = false; ///< the store may hold a crash history of the job
    std::map<std::size_t, Instant> verdictsDue_; ///< by task index: when it is decided whether the task is given up; it doesn't start before
    Instant startsRecordedAt_{}; ///< when its start record was last written
    std::size_t isolatedStarts_ = 1; ///< how many of its suspected tasks may run in isolation at a time

    [[nodiscard]] bool hasUnstoredChanges() const noexcept
    {
        return version_ > storedVersion_;
    }

    /// Returns whether the record is to be written: it has changed since it was last stored, and since the store last rejected it.
    [[nodiscard]] bool needsWrite() const noexcept
    {
        return hasUnstoredChanges() && rejectedVersion_ != version_;
    }

    void markChanged() noexcept
    {
        ++version_;
    }
};

/// The tasks of one step in one occurrence of a job.
struct Group
{
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::size_t first_ = 0; ///< index of the first task in Progress::tasks_
    std::size_t end_ = 0; ///< index one past the last task
};

/// Identifies a step in one occurrence of a job.
struct StepId
{
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    friend auto operator<=>(const StepId &, const StepId &) = default;
};

/// A ticket of a placement policy: it allows one life of an executor to run a step, for a time.
struct Ticket
{
    std::string text_;
    std::int64_t startTimeMs_ = 0; ///< start time of the incarnation that it was given for
    Instant usableUntil_{}; ///< until then, an order that carries it arrives in time
};

/// What the queue's placement policy has answered about a step. Which executors it allows doesn't change, but its tickets expire.
struct Advice
{
    std::map<ExecutorId, Ticket> tickets_; ///< of all executors that may run the step, the expired ones as well
    std::map<ExecutorId, std::int64_t> disallowed_; ///< start times of the incarnations that may not run it
    Instant askedAt_{}; ///< when the policy was last asked about the step; zero if it wasn't
    Instant failedAt_{}; ///< when it last gave no answer
    std::map<ExecutorId, std::int64_t> unplaceable_; ///< executors with room, and for how many tasks, with which nothing was placed though all had tickets
};

/// A request to the placement policy.
struct AdviceRequest
{
    StepId step_;
    std::vector<ExecutorId> executors_;
    milliseconds timeout_{0}; ///< longest time to wait for the answer
};

/// The request that the placement policy is answering. It answers one at a time.
struct PendingAdvice
{
    StepId step_;
    std::map<ExecutorId, std::int64_t> startTimes_; ///< of the incarnations that it is asked about
    Instant askedAt_{};
    Instant lostAt_{}; ///< when no answer comes any more
};

/// Accelerators used by urgent work of a service.
struct UrgentDemand
{
    std::int64_t used_ = 0;
    std::int64_t peak_ = 0; ///< recent peak of used_
    Instant peakAt_{};
};

/// The crash of an executor.
struct ObservedCrash
{
    std::string host_;
    Instant noticedAt_{};
    std::set<JobId> jobs_; ///< jobs that it ran
    std::set<JobId> suspects_; ///< jobs of the tasks that may have caused it; empty if its cause lies elsewhere
};

/// An agent and its last report.
struct Agent
{
    ExecutorId executor_;
    ExecutorId formerExecutor_; ///< the last one on its host, while the agent knows none
    std::uint64_t sequence_ = 0;
    Duration sentAt_{};
    Instant heardAt_{}; ///< when its last report arrived
    bool directiveDue_ = false;
    Instant restartedAt_{}; ///< when its reports began anew
};

/// The leader's entire state, shared by its controllers.
struct ClusterState
{
    LeaderLimits limits_;
    Instant now_{};
    CalendarTime calendar_{};
    std::int64_t epoch_ = 0;
    Instant leaderSince_{};
    FleetClock fleetClock_;
    Instant leaderLeaseRenewedAt_{}; ///< when the last successful renewal of the leader's lease was sent to the store
    ClusterConfig config_;
    std::set<DataCentreId> evacuated_;
    std::map<JobId, Job> jobs_;
    std::map<ExecutorId, Executor> executors_;
    std::map<std::string, Agent> agents_;
    std::map<RunId, Run> runs_;
    std::map<ServiceId, UrgentDemand> urgent_;
    RunTimes runTimes_;
    HostProfiles hosts_;
    bool areSlowHostsOutdated_ = false; ///< an executor or the configuration has changed
    std::set<std::string> slowHosts_; ///< hosts that are slower than the tightest queue of their executors' service allows
    std::set<JobId> jobsWithCrashes_; ///< jobs whose crashes_ isn't empty
    std::vector<ObservedCrash> recentCrashes_; ///< oldest first
    std::map<StepId, Advice> advice_;
    std::optional<PendingAdvice> pendingAdvice_;
    std::vector<AdviceRequest> adviceRequests_;
    std::vector<LogEvent> logEvents_;

    /// Returns whether orders may be issued: the leader's key can't have expired yet.
    [[nodiscard]] bool mayIssueOrders() const noexcept
    {
        return now_ - leaderLeaseRenewedAt_ < limits_.leaseTtl_;
    }

    [[nodiscard]] bool mayIssuePermits() const noexcept
    {
        return now_ - leaderLeaseRenewedAt_ < maxRenewalAgeForPermits;
    }

    /// Returns the expected run time of a task of \p step on the median host.
    [[nodiscard]] milliseconds expectedTime(const Job &job, const Step &step) const
    {
        return runTimes_.expected(job.submission_.queue_, step.estimate_);
    }

    /// Returns whether agents have had time to report to this leader. An executor that hasn't reported by then counts as absent.
    [[nodiscard]] bool hasDiscoveredAgents() const noexcept
    {
        return now_ - leaderSince_ > agentDiscoveryTime;
    }

    /// Marks the agent of \p executor to be sent a directive at the end of this step.
    void scheduleDirective(const Executor &executor)
    {
        const auto agent = agents_.find(executor.agent_);
        if (agent != agents_.end()) {
            agent->second.directiveDue_ = true;
        }
    }

    void logEvent(std::string event, std::vector<std::pair<std::string, std::string>> fields)
    {
        logEvents_.push_back({std::move(event), std::move(fields)});
    }
};

/// Returns the groups of \p job, in order. Thread-safe on const objects.
[[nodiscard]] std::vector<Group> groupsOf(const Submission &job);

/// Returns the identifier of the task at \p index, an index into Progress::tasks_ inside \p group. Thread-safe.
[[nodiscard]] TaskId taskOf(const Submission &job, const Group &group, std::size_t index);

/// Returns the index of \p task in Progress::tasks_, or std::nullopt if the job has no such task. Thread-safe.
[[nodiscard]] std::optional<std::size_t> indexOf(const Submission &job, const TaskId &task);

/// Returns the group of \p task. Precondition: indexOf() returns an index for it. Thread-safe.
[[nodiscard]] Group groupOf(const Submission &job, const TaskId &task);

/// Returns the index range [first, end) of the tasks that start and end together with the one at \p index: the whole gang, or the task
/// alone. Thread-safe.
[[nodiscard]] std::pair<std::size_t, std::size_t> coScheduledRange(const Submission &job, const Group &group, std::size_t index);

/// Returns "JOB.OCCURRENCE.STEP.INDEX/RUN" for the log. Thread-safe.
[[nodiscard]] std::string toString(const RunId &run);

}
