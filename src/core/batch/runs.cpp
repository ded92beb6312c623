#include "core/batch/runs.h"

#include "core/batch/capacity.h"
#include "core/batch/crashes.h"
#include "core/batch/health.h"
#include "core/batch/host_speeds.h"
#include "core/batch/inferred_ends.h"
#include "core/batch/ledger.h"
#include "core/batch/racks.h"
#include "core/batch/stall_limits.h"

#include <algorithm>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// A report arrives at most this long after a later one of the same agent, over a former connection.
constexpr milliseconds maxReportDelay{12'000};

const char *toString(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lapsed";
    case EndKind::GangBroken:
        return "broken";
    case EndKind::GangIncomplete:
        break;
    }
    return "alone";
}

void completeJobIfDone(ClusterState &cluster, Job &job)
{
    const auto &tasks = job.progress_.tasks_;
    if (!isFinal(job.progress_.state_) && std::all_of(tasks.begin(), tasks.end(), [](const TaskProgress &task) { return task.done_; })) {
        finishJob(cluster, job, JobState::Completed, "all-done");
    }
}

void applySuccess(ClusterState &cluster, Job &job, const RunId &run, std::size_t index)
{
    const auto [first, end] = coScheduledRange(job.submission_, groupOf(job.submission_, run.task_), index);
    for (std::size_t member = first; member < end; ++member) {
        job.progress_.tasks_[member].done_ = true;
    }
    job.markChanged();
    completeJobIfDone(cluster, job);
}

void applyFailure(ClusterState &cluster, Job &job, const RunId &run, std::size_t index)
{
    const auto [first, end] = coScheduledRange(job.submission_, groupOf(job.submission_, run.task_), index);
    const std::vector<std::uint32_t> &failedRuns = job.progress_.tasks_[first].failedRuns_;
    if (std::find(failedRuns.begin(), failedRuns.end(), run.run_) != failedRuns.end() || job.progress_.tasks_[index].done_) {
        return;
    }
    const bool limitsAttempts = !job.submission_.steps_[run.task_.step_].longRunning_;
    for (std::size_t member = first; member < end; ++member) {
        std::vector<std::uint32_t> &failures = job.progress_.tasks_[member].failedRuns_;
        if (!limitsAttempts && failures.size() >= maxFailedRunsOfLastingTask) {
            failures.erase(failures.begin());
        }
        failures.push_back(run.run_);
        job.failedAt_[member] = cluster.now_;
    }
    job.markChanged();
    if (limitsAttempts && failedRuns.size() >= static_cast<std::size_t>(job.settings_.maxAttempts_)) {
        finishJob(cluster, job, JobState::Failed, "attempts-used-up");
    }
}

/// Records how long \p run took, or would have taken on the median host, for estimates of later run times. Skips runs that were restored from a checkpoint or
/// slowed by their rack, and tasks that were already done.
void recordRunTime(ClusterState &cluster, const Job &job, const Run &run)
{
    const Group group = groupOf(job.submission_, run.id_.task_);
    const Step &step = job.submission_.steps_[group.step_];
    const bool alreadyDone = job.progress_.tasks_[*indexOf(job.submission_, run.id_.task_)].done_;
    if (alreadyDone || run.initialPercent_ > maxUnrestoredPercent || (prefersRack(step) && !isRackLocal(cluster, job, group))) {
        return;
    }
    const double slowness = step.gang_ ? slownessOfPlacement(cluster, job, group) : slownessOf(cluster, run.placement_);
    cluster.runTimes_.record(job.submission_.queue_, step.estimate_, std::chrono::duration_cast<milliseconds>((cluster.now_ - run.startedAt_) / slowness));
}

/// Applies the end of a tracked run to its task and job. Precondition: the run is in ClusterState::runs_.
void applyEnd(ClusterState &cluster, Executor &executor, const EndedRun &end)
{
    const RunId run = end.run_;
    const RunPhase phase = cluster.runs_.at(run).phase_;
    Job &job = cluster.jobs_.at(run.task_.job_);
    const std::size_t index = *indexOf(job.submission_, run.task_);
    const bool longRunning = job.submission_.steps_[run.task_.step_].longRunning_;
    if (!end.checkpoint_.empty()) {
        job.progress_.tasks_[index].checkpoint_ = end.checkpoint_;
    }
    if (end.kind_ == EndKind::Done && !longRunning) {
        recordRunTime(cluster, job, cluster.runs_.at(run));
    }
    cluster.logEvent("run-ended",
                     {{"run", toString(run)},
                      {"how", toString(end.kind_)},
                      {"executor", executor.info_.incarnation_.executor_.str()},
                      {"initial_percent", std::to_string(cluster.runs_.at(run).initialPercent_)}});
    if (end.kind_ != EndKind::Done) {
        countSpentStart(cluster, cluster.runs_.at(run));
    }
    const Instant startedAt = cluster.runs_.at(run).startedAt_;
    removeRun(cluster, run);
    if (end.kind_ == EndKind::Done && !longRunning) {
        recordProof(executor, startedAt);
        applySuccess(cluster, job, run, index);
    } else if (end.kind_ == EndKind::Failed) {
        recordFailure(cluster, executor, job, startedAt);
        excludeExecutor(cluster, job, groupOf(job.submission_, run.task_), index, executor.info_.incarnation_.executor_);
        applyFailure(cluster, job, run, index);
    }
    if (end.kind_ != EndKind::Done && phase != RunPhase::Stopping) {
        stopRestOfGang(cluster, run, "member-ended");
    }
}

/// Applies the end of a run that is no longer tracked. A success completes the task and a failure counts as an attempt, even if another run of
/// the task has been started.
void applyUntrackedEnd(ClusterState &cluster, const EndedRun &end)
{
    cluster.logEvent("end-of-given-up-run", {{"run", toString(end.run_)}, {"how", toString(end.kind_)}});
    const auto found = cluster.jobs_.find(end.run_.task_.job_);
    if (found == cluster.jobs_.end()) {
        return;
    }
    Job &job = found->second;
    const auto index = indexOf(job.submission_, end.run_.task_);
    if (!index || isFinal(job.progress_.state_) || job.submission_.steps_[end.run_.task_.step_].longRunning_) {
        return;
    }
    TaskProgress &task = job.progress_.tasks_[*index];
    if (end.kind_ == EndKind::Done && !task.done_) {
        const RunId current{end.run_.task_, task.run_};
        stopRun(cluster, current, "already-done");
        applySuccess(cluster, job, end.run_, *index);
    } else if (end.kind_ == EndKind::Failed) {
        applyFailure(cluster, job, end.run_, *index);
    }
}

/// Applies an end that will be reported again: a success counts at once; after any other end, the task waits until no former start can be carried out.
void applyProvisionalEnd(ClusterState &cluster, Executor &executor, const EndedRun &end)
{
    const auto run = cluster.runs_.find(end.run_);
    if (run == cluster.runs_.end() || run->second.placement_ != executor.info_.incarnation_) {
        return;
    }
    if (end.kind_ == EndKind::Done) {
        applyEnd(cluster, executor, end);
    } else {
        setEnded(cluster, run->second, true);
    }
}

/// Returns before when \p end, reported in \p report, must not be acknowledged: a call of its run's start may be carried out until then.
Instant earliestAcknowledgement(const ClusterState &cluster, const Report &report, const EndedRun &end)
{
    const auto run = cluster.runs_.find(end.run_);
    if (run != cluster.runs_.end() && mayStartUnknown(cluster, run->second, report)) {
        return run->second.mayStartUntil_;
    }
    // A new leader doesn't know the run of an end that a former one has stored; nor does a new process of the agent know its calls.
    const bool isUnknown = run == cluster.runs_.end() && !knowsAllCalls(report);
    const bool isReportedLate = std::find(report.starting_.begin(), report.starting_.end(), end.run_) != report.starting_.end();
    return isUnknown || isReportedLate ? cluster.now_ + maxCallDelay : Instant();
}

void applyEnds(ClusterState &cluster, Executor &executor, const Report &report)
{
    executor.firstIgnoredEnd_.reset();
    for (const EndedRun &end : report.ended_) {
        if (end.number_ == provisionalEnd) {
            applyProvisionalEnd(cluster, executor, end);
            continue;
        }
        const bool seen = end.number_ <= executor.acknowledged_
            || std::any_of(executor.pendingEnds_.begin(), executor.pendingEnds_.end(), [&end](const PendingEnd &past) { return past.number_ == end.number_; });
        if (seen) {
            continue;
        }
        const JobId job = end.run_.task_.job_;
        const auto run = cluster.runs_.find(end.run_);
        if (end.kind_ != EndKind::Done && run != cluster.runs_.end() && mayStartUnknown(cluster, run->second, report)) {
            executor.firstIgnoredEnd_ = std::min(executor.firstIgnoredEnd_.value_or(end.number_), end.number_);
            setEnded(cluster, run->second, true);
            continue; // its task is to be started again: not while its former start may be carried out
        }
        const Instant notBefore = earliestAcknowledgement(cluster, report, end);
        if (run != cluster.runs_.end() && run->second.placement_ == executor.info_.incarnation_) {
            applyEnd(cluster, executor, end);
        } else {
            applyUntrackedEnd(cluster, end);
        }
        const auto found = cluster.jobs_.find(job);
        executor.pendingEnds_.push_back({end.number_, job, found == cluster.jobs_.end() ? 0 : found->second.version_, notBefore});
    }
}

/// Sets the currently listed progress as the initial progress of \p run.
void resetProgress(Run &run, const RunningTask &task, Duration listedAt)
{
    run.initialPercent_ = task.percent_;
    run.initialAt_ = listedAt;
    run.percent_ = task.percent_;
    run.listedAt_ = listedAt;
    run.progressAt_ = listedAt;
    run.checkpoints_ = 0;
    run.checkpointAt_ = listedAt;
}

/// Keeps the \p checkpoint that \p run is listed with.
void applyCheckpoint(ClusterState &cluster, Run &run, const std::string &checkpoint, Duration listedAt)
{
    Job &job = cluster.jobs_.at(run.id_.task_.job_);
    std::string &kept = job.progress_.tasks_[*indexOf(job.submission_, run.id_.task_)].checkpoint_;
    if (checkpoint.empty() || checkpoint == kept) {
        return;
    }
    kept = checkpoint;
    if (job.submission_.steps_[run.id_.task_.step_].checkpointable_) {
        ++run.checkpoints_;
        run.checkpointAt_ = listedAt;
    }
}

void applyRunningTask(ClusterState &cluster, Executor &executor, const RunningTask &task)
{
    const auto found = cluster.runs_.find(task.run_);
    if (found == cluster.runs_.end() || found->second.placement_ != executor.info_.incarnation_) {
        cluster.logEvent("orphan", {{"run", toString(task.run_)}, {"executor", executor.info_.incarnation_.executor_.str()}});
        executor.orphans_.push_back(task.run_);
        return;
    }
    Run &run = found->second;
    run.recovered_ = false;
    run.lossRecorded_ = false;
    setEnded(cluster, run, false);
    if (run.phase_ == RunPhase::Committing || run.phase_ == RunPhase::Starting) {
        run.phase_ = RunPhase::Running;
        resetProgress(run, task, executor.listedAt_);
        const Job &job = cluster.jobs_.at(run.id_.task_.job_);
        run.restoring_ = task.percent_ == 0 && !job.progress_.tasks_[*indexOf(job.submission_, run.id_.task_)].checkpoint_.empty();
    }
    if (executor.listedAt_ < lastProgressOf(run)) {
        resetProgress(run, task, executor.listedAt_); // the agent's clock went back because its host has rebooted
    }
    if (task.percent_ > run.percent_) {
        const bool isFirstRise = run.percent_ == run.initialPercent_;
        run.percent_ = task.percent_;
        run.percentAt_ = cluster.now_;
        run.progressAt_ = executor.listedAt_;
        if (std::exchange(run.restoring_, false)) {
            run.initialPercent_ = task.percent_;
            run.initialAt_ = executor.listedAt_;
        }
        recordProof(executor, run.startedAt_);
        if (isFirstRise) {
            condemnFailing(cluster, cluster.jobs_.at(run.id_.task_.job_));
        }
    }
    clearSurvivor(cluster, executor, run);
    applyCheckpoint(cluster, run, task.checkpoint_, executor.listedAt_);
}

/// Updates the reporting executor's record from \p report and returns it. Resets the state of earlier incarnations.
Executor &updateExecutor(ClusterState &cluster, const Report &report)
{
    Executor &executor = cluster.executors_[report.executor_.incarnation_.executor_];
    if (executor.info_.incarnation_ != report.executor_.incarnation_) {
        if (!executor.info_.incarnation_.executor_.empty()) {
            recordEndOfIncarnation(cluster, executor, report);
        }
        executor.lost_ = false;
        executor.isLeaving_ = false;
        executor.listed_ = false;
        executor.firstListedAt_ = Instant();
        executor.orphans_.clear();
        executor.pendingEnds_.clear();
        executor.acknowledged_ = 0;
        executor.firstIgnoredEnd_.reset();
        executor.failedJobs_.clear();
        executor.failedAt_ = Instant();
        executor.provenBy_ = Instant();
        executor.quarantinedUntil_ = Instant();
        cluster.logEvent("executor-seen",
                         {{"executor", report.executor_.incarnation_.executor_.str()},
                          {"born", std::to_string(report.executor_.incarnation_.startTimeMs_)},
                          {"agent", report.agent_},
                          {"datacentre", report.executor_.dataCentre_.str()}});
    }
    if (executor.info_.draining_ != report.executor_.draining_) {
        cluster.logEvent("executor-draining",
                         {{"executor", report.executor_.incarnation_.executor_.str()}, {"remaining_ms", std::to_string(report.executor_.remaining_.count())}});
    }
    if (executor.info_.capacity_ != report.executor_.capacity_) {
        cluster.logEvent("executor-capacity",
                         {{"executor", report.executor_.incarnation_.executor_.str()},
                          {"before", toString(executor.info_.capacity_)},
                          {"now", toString(report.executor_.capacity_)},
                          {"used", toString(executor.used_)}});
    }
    if (executor.responsive_ && !report.responsive_) {
        executor.unresponsiveSince_ = cluster.now_;
    }
    const bool isNew = !executor.reported_ || executor.info_.incarnation_ != report.executor_.incarnation_;
    cluster.areSlowHostsOutdated_ = cluster.areSlowHostsOutdated_ || isNew;
    executor.info_ = report.executor_;
    executor.isLeaving_ = executor.isLeaving_ || executor.info_.hasLeft_ || executor.info_.draining_;
    executor.agent_ = report.agent_;
    executor.responsive_ = report.responsive_;
    executor.reported_ = true;
    executor.lastReport_ = cluster.now_;
    return executor;
}

/// Returns the executor that started last on the host of \p agent, or an empty name.
ExecutorId lastExecutorOn(const ClusterState &cluster, const std::string &agent)
{
    ExecutorId last;
    std::int64_t startTimeMs = 0;
    for (const auto &[id, executor] : cluster.executors_) {
        const Incarnation &incarnation = executor.info_.incarnation_;
        if (incarnation.host_ == agent && incarnation.startTimeMs_ > startTimeMs) {
            last = id;
            startTimeMs = incarnation.startTimeMs_;
        }
    }
    return last;
}

/// Returns the start time of the executor in the last report of \p agent, or 0 if it had none.
std::int64_t startTimeAtAgent(const ClusterState &cluster, const Agent &agent)
{
    const auto executor = cluster.executors_.find(agent.executor_);
    return executor == cluster.executors_.end() ? 0 : executor->second.info_.incarnation_.startTimeMs_;
}

/// Returns whether a newer report of this agent, or a later incarnation of this executor, is already known.
bool isOutdated(const ClusterState &cluster, const Report &report)
{
    const Incarnation &incarnation = report.executor_.incarnation_;
    const auto agent = cluster.agents_.find(report.agent_);
    // A later incarnation shows that the host has rebooted, which sets the agent's clock back.
    const bool isLater = agent != cluster.agents_.end() && incarnation.startTimeMs_ > startTimeAtAgent(cluster, agent->second);
    // So does a silence in which a report over a former connection would have arrived.
    const bool isRebooted = agent != cluster.agents_.end() && cluster.now_ - agent->second.heardAt_ > maxReportDelay;
    const auto isNewer
        = [&report](const Agent &known) { return report.sentAt_ > known.sentAt_ || (report.sentAt_ == known.sentAt_ && report.sequence_ > known.sequence_); };
    if (agent != cluster.agents_.end() && !isLater && !isRebooted && !isNewer(agent->second)) {
        return true;
    }
    const auto executor = cluster.executors_.find(incarnation.executor_);
    return executor != cluster.executors_.end() && incarnation.startTimeMs_ < executor->second.info_.incarnation_.startTimeMs_;
}

}

void stopRestOfGang(ClusterState &cluster, const RunId &run, const char *reason)
{
    const auto job = cluster.jobs_.find(run.task_.job_);
    if (job == cluster.jobs_.end() || !job->second.submission_.steps_[run.task_.step_].gang_) {
        return;
    }
    if (!job->second.progress_.tasks_[*indexOf(job->second.submission_, run.task_)].done_) {
        stopRun(cluster, run, reason);
    }
}

void applyReport(ClusterState &cluster, const Report &report)
{
    if (isOutdated(cluster, report)) {
        return;
    }
    Agent &agent = cluster.agents_[report.agent_];
    if (report.sequence_ < agent.sequence_) {
        agent.restartedAt_ = cluster.now_;
    }
    agent.sequence_ = report.sequence_;
    agent.sentAt_ = report.sentAt_;
    agent.heardAt_ = cluster.now_;
    agent.executor_ = report.executor_.incarnation_.executor_;
    agent.directiveDue_ = true;
    agent.formerExecutor_ = agent.executor_.empty() ? lastExecutorOn(cluster, report.agent_) : ExecutorId();
    if (agent.executor_.empty()) {
        return;
    }
    noteCalls(cluster, report);
    Executor &executor = updateExecutor(cluster, report);
    carryOverToCurrentIncarnation(cluster, executor);
    if (!report.listsValid_ || report.epoch_ != cluster.epoch_) {
        return;
    }
    settleFormerIncarnationsOnHost(cluster, report);
    recordReportedLoss(cluster, executor, report);
    if (report.responsive_) {
        executor.lost_ = false;
        resolveLosses(cluster, executor.info_.incarnation_);
    }
    executor.listed_ = true;
    executor.firstListedAt_ = executor.firstListedAt_ == Instant() ? cluster.now_ : executor.firstListedAt_;
    if (!isInferred(report)) {
        executor.listedAt_ = report.listedAt_; // how the executor was lost shows by the time since its own last lists
    }
    executor.orphans_.clear();
    for (const RunningTask &task : report.running_) {
        applyRunningTask(cluster, executor, task);
    }
    observeSpeeds(cluster, executor);
    applyEnds(cluster, executor, report);
    for (const SettledOrder &order : report.settled_) {
        applySettledOrder(cluster, executor, report, order);
    }
    noteLateStarts(cluster, report);
    settleMissingRuns(cluster, executor, report);
    withdrawUnstartedRuns(cluster, executor, report);
    renewOverdueOrders(cluster, executor, report);
}

void stopRun(ClusterState &cluster, const RunId &id, const char *reason)
{
    const auto job = cluster.jobs_.find(id.task_.job_);
    if (job == cluster.jobs_.end()) {
        return;
    }
    const Submission &submission = job->second.submission_;
    const Group group = groupOf(submission, id.task_);
    const auto [first, end] = coScheduledRange(submission, group, *indexOf(submission, id.task_));
    for (std::size_t index = first; index < end; ++index) {
        const RunId member{taskOf(submission, group, index), id.run_};
        const auto run = cluster.runs_.find(member);
        if (run == cluster.runs_.end() || run->second.phase_ == RunPhase::Stopping) {
            continue;
        }
        cluster.logEvent("stop-wanted",
                         {{"run", toString(member)},
                          {"reason", reason},
                          {"executor", run->second.placement_.executor_.str()},
                          {"percent", std::to_string(run->second.percent_)}});
        if (run->second.phase_ == RunPhase::Committing) {
            removeRun(cluster, member); // no start order has been sent
            continue;
        }
        run->second.phase_ = RunPhase::Stopping;
        cluster.scheduleDirective(cluster.executors_.at(run->second.placement_.executor_));
    }
}

void stopJob(ClusterState &cluster, Job &job, const char *reason)
{
    const bool keepsLasting = job.progress_.state_ == JobState::Failed && !job.cancelled_;
    for (const Group &group : groupsOf(job.submission_)) {
        for (std::size_t index = group.first_; index < group.end_; ++index) {
            const RunId id{taskOf(job.submission_, group, index), job.progress_.tasks_[index].run_};
            const auto run = cluster.runs_.find(id);
            if (run == cluster.runs_.end()) {
                continue;
            }
            const bool mayBeAtWork = run->second.phase_ == RunPhase::Running || run->second.recovered_;
            if (!keepsLasting || !mayBeAtWork || !job.submission_.steps_[group.step_].longRunning_) {
                stopRun(cluster, id, reason);
            }
        }
        release(cluster, job, group.first_);
    }
}

void finishJob(ClusterState &cluster, Job &job, JobState state, const char *reason)
{
    job.cancelled_ = job.cancelled_ || state == JobState::Cancelled;
    if (isFinal(job.progress_.state_)) {
        if (state == JobState::Cancelled) {
            stopJob(cluster, job, reason);
        }
        return;
    }
    job.progress_.state_ = state;
    job.progress_.endedAt_ = cluster.calendar_;
    job.markChanged();
    cluster.logEvent("job-ended", {{"job", job.submission_.id_.str()}, {"state", toString(state)}, {"reason", reason}});
    if (state != JobState::Completed) {
        stopJob(cluster, job, reason);
    }
}

}
