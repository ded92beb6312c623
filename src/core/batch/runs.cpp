#include "core/batch/runs.h"

#include "core/batch/health.h"
#include "core/batch/ledger.h"
#include "core/batch/pace.h"
#include "core/batch/racks.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

const char *toString(EndKind how)
{
    switch (how) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::Broken:
        return "broken";
    case EndKind::Alone:
        break;
    }
    return "alone";
}

void completeIfDone(Board &board, Job &job)
{
    const auto &tasks = job.progress_.tasks_;
    if (!isFinal(job.progress_.state_) && std::all_of(tasks.begin(), tasks.end(), [](const TaskProgress &task) { return task.done_; })) {
        finishJob(board, job, JobState::Completed, "all-done");
    }
}

void applyDone(Board &board, Job &job, const RunId &run, std::size_t index)
{
    const auto [first, last] = boundTo(job.submission_, groupOf(job.submission_, run.task_), index);
    for (std::size_t at = first; at < last; ++at) {
        job.progress_.tasks_[at].done_ = true;
    }
    job.touch();
    completeIfDone(board, job);
}

void applyFailure(Board &board, Job &job, const RunId &run, std::size_t index)
{
    const auto [first, last] = boundTo(job.submission_, groupOf(job.submission_, run.task_), index);
    const std::vector<std::uint32_t> &counted = job.progress_.tasks_[first].failedRuns_;
    if (std::find(counted.begin(), counted.end(), run.run_) != counted.end() || job.progress_.tasks_[index].done_) {
        return;
    }
    for (std::size_t at = first; at < last; ++at) {
        job.progress_.tasks_[at].failedRuns_.push_back(run.run_);
    }
    job.touch();
    const bool bounded = !job.submission_.steps_[run.task_.step_].longRunning_;
    if (bounded && counted.size() >= static_cast<std::size_t>(job.maxAttempts_)) {
        finishJob(board, job, JobState::Failed, "attempts-used-up");
    }
}

/// A gang can't go on without one of its members.
void stopRestOfGang(Board &board, const RunId &run, const char *reason)
{
    const auto job = board.jobs_.find(run.task_.job_);
    if (job == board.jobs_.end() || !job->second.submission_.steps_[run.task_.step_].gang_) {
        return;
    }
    if (!job->second.progress_.tasks_[*indexOf(job->second.submission_, run.task_)].done_) {
        stopRun(board, run, reason);
    }
}

/// Learns how long \p run took, unless it began with a checkpoint's work or was slowed by its place.
void noteRunTime(Board &board, const Job &job, const Run &run)
{
    constexpr std::int32_t fromScratch = 5; ///< percent
    const Group group = groupOf(job.submission_, run.id_.task_);
    const Step &step = job.submission_.steps_[group.step_];
    const bool known = job.progress_.tasks_[*indexOf(job.submission_, run.id_.task_)].done_;
    if (known || run.firstPercent_ > fromScratch || (prefersRack(step) && !liesNear(board, job, group))) {
        return;
    }
    board.runTimes_.note(job.submission_.queue_, step.estimate_, std::chrono::duration_cast<milliseconds>(board.now_ - run.startedAt_));
}

/// Carries out what \p end means for its job. Precondition: its run is in the ledger.
void applyEnd(Board &board, Executor &executor, const EndedRun &end)
{
    const RunId run = end.run_;
    const RunPhase phase = board.runs_.at(run).phase_;
    Job &job = board.jobs_.at(run.task_.job_);
    const std::size_t index = *indexOf(job.submission_, run.task_);
    const bool longRunning = job.submission_.steps_[run.task_.step_].longRunning_;
    if (!end.checkpoint_.empty()) {
        job.progress_.tasks_[index].checkpoint_ = end.checkpoint_;
    }
    if (end.how_ == EndKind::Done && !longRunning) {
        noteRunTime(board, job, board.runs_.at(run));
    }
    board.decide("run-ended", {{"run", toString(run)}, {"how", toString(end.how_)}, {"executor", executor.facts_.life_.executor_.str()}});
    removeRun(board, run);
    if (end.how_ == EndKind::Done && !longRunning) {
        executor.failedJobs_.clear();
        executor.doneAt_ = board.now_;
        applyDone(board, job, run, index);
    } else if (end.how_ == EndKind::Failed) {
        noteFailure(board, executor, job.submission_.id_);
        shun(board, job, groupOf(job.submission_, run.task_), index, executor.facts_.life_.executor_);
        applyFailure(board, job, run, index);
    }
    if (end.how_ != EndKind::Done && phase != RunPhase::Stopping) {
        stopRestOfGang(board, run, "member-ended");
    }
}

/// Takes in the end of a run that had been given up: what is done is done, and what failed counts, though another run may be at work.
void applyLateEnd(Board &board, const EndedRun &end)
{
    board.decide("end-of-given-up-run", {{"run", toString(end.run_)}, {"how", toString(end.how_)}});
    const auto found = board.jobs_.find(end.run_.task_.job_);
    if (found == board.jobs_.end()) {
        return;
    }
    Job &job = found->second;
    const auto index = indexOf(job.submission_, end.run_.task_);
    if (!index || isFinal(job.progress_.state_) || job.submission_.steps_[end.run_.task_.step_].longRunning_) {
        return;
    }
    TaskProgress &task = job.progress_.tasks_[*index];
    if (end.how_ == EndKind::Done && !task.done_) {
        const RunId current{end.run_.task_, task.run_};
        stopRun(board, current, "already-done");
        applyDone(board, job, end.run_, *index);
    } else if (end.how_ == EndKind::Failed) {
        applyFailure(board, job, end.run_, *index);
    }
}

void takeEnds(Board &board, Executor &executor, const std::vector<EndedRun> &ends)
{
    for (const EndedRun &end : ends) {
        const bool seen = end.number_ <= executor.acknowledged_
            || std::any_of(executor.pendingEnds_.begin(), executor.pendingEnds_.end(), [&end](const PendingEnd &any) { return any.number_ == end.number_; });
        if (seen) {
            continue;
        }
        const JobId job = end.run_.task_.job_;
        const auto run = board.runs_.find(end.run_);
        if (run != board.runs_.end() && run->second.place_ == executor.facts_.life_) {
            applyEnd(board, executor, end);
        } else {
            applyLateEnd(board, end);
        }
        const auto found = board.jobs_.find(job);
        executor.pendingEnds_.push_back({end.number_, job, found == board.jobs_.end() ? 0 : found->second.version_});
    }
}

/// Ends a run that is certain not to be at work, without an end of its own.
void settleRun(Board &board, const RunId &id, const char *reason)
{
    const auto found = board.runs_.find(id);
    if (found == board.runs_.end()) {
        return;
    }
    const bool stopping = found->second.phase_ == RunPhase::Stopping;
    board.decide("run-settled", {{"run", toString(id)}, {"reason", reason}, {"executor", found->second.place_.executor_.str()}});
    removeRun(board, id);
    if (!stopping) {
        stopRestOfGang(board, id, "member-settled");
    }
}

/// Settles the runs on \p executor that \p which picks. Settling one may remove others of its gang.
template<class Which>
void settleRuns(Board &board, const Executor &executor, const char *reason, Which which)
{
    const std::set<RunId> runs = executor.runs_;
    for (const RunId &id : runs) {
        const auto run = board.runs_.find(id);
        if (run != board.runs_.end() && which(run->second)) {
            settleRun(board, id, reason);
        }
    }
}

/// Measures the progress of \p run from what is listed now.
void beginProgress(Run &run, const RunningTask &task, Duration listedAt)
{
    run.firstPercent_ = task.percent_;
    run.percent_ = task.percent_;
    run.listedAt_ = listedAt;
    run.progressAt_ = listedAt;
}

void noteRunning(Board &board, Executor &executor, const RunningTask &task)
{
    const auto found = board.runs_.find(task.run_);
    if (found == board.runs_.end() || found->second.place_ != executor.facts_.life_) {
        board.decide("orphan", {{"run", toString(task.run_)}, {"executor", executor.facts_.life_.executor_.str()}});
        executor.orphans_.push_back(task.run_);
        return;
    }
    Run &run = found->second;
    run.recovered_ = false;
    if (run.phase_ == RunPhase::Committing || run.phase_ == RunPhase::Starting) {
        run.phase_ = RunPhase::Running;
        beginProgress(run, task, executor.listedAt_);
    }
    if (executor.listedAt_ < run.progressAt_) {
        beginProgress(run, task, executor.listedAt_); // the agent's host, and with it its clock, has started anew
    }
    if (task.percent_ > run.percent_) {
        run.percent_ = task.percent_;
        run.progressAt_ = executor.listedAt_;
    }
    if (!task.checkpoint_.empty()) {
        Job &job = board.jobs_.at(task.run_.task_.job_);
        job.progress_.tasks_[*indexOf(job.submission_, task.run_.task_)].checkpoint_ = task.checkpoint_;
    }
}

void takeSettled(Board &board, const Executor &executor, const SettledOrder &order)
{
    const auto found = board.runs_.find(order.run_);
    if (found == board.runs_.end() || found->second.place_ != executor.facts_.life_) {
        return;
    }
    if (order.outcome_ == OrderOutcome::Refused) {
        const auto job = board.jobs_.find(order.run_.task_.job_);
        const Submission &submission = job->second.submission_;
        shun(board, job->second, groupOf(submission, order.run_.task_), *indexOf(submission, order.run_.task_), executor.facts_.life_.executor_);
    }
    settleRun(board, order.run_, order.outcome_ == OrderOutcome::Refused ? "refused" : "stop-confirmed");
}

/// Settles runs that the executor would list if they were at work.
void settleMissing(Board &board, Executor &executor, const Report &report)
{
    std::set<RunId> known(report.starting_.begin(), report.starting_.end());
    for (const RunningTask &task : report.running_) {
        known.insert(task.run_);
    }
    settleRuns(board, executor, "missing", [&](const Run &run) {
        const bool listed = run.phase_ == RunPhase::Running || run.recovered_;
        return run.place_ == executor.facts_.life_ && listed && !known.contains(run.id_);
    });
}

/// Carries what was given to an earlier life of the executor over to the present one. Nothing of it runs, unless an order that was held
/// up on the way reached the present life before its first fence did; its first lists tell, and settle the rest.
void carryOverToPresentLife(Board &board, Executor &executor)
{
    for (const RunId &id : executor.runs_) {
        Run &run = board.runs_.at(id);
        if (run.place_.born_ == executor.facts_.life_.born_) {
            continue;
        }
        run.place_ = executor.facts_.life_;
        run.recovered_ = true;
        run.percent_ = 0;
        run.phase_ = run.phase_ == RunPhase::Stopping ? RunPhase::Stopping : RunPhase::Starting;
    }
}

/// Settles what ran in earlier lives on the host, which may have had other names: the present one answers at their address.
void settleFormerLivesOnHost(Board &board, const Incarnation &present)
{
    for (auto &[id, executor] : board.executors_) {
        const Incarnation &life = executor.facts_.life_;
        if (id == present.executor_ || life.host_ != present.host_ || life.born_ >= present.born_) {
            continue;
        }
        settleRuns(board, executor, "executor-replaced", [](const Run &) { return true; });
    }
}

Executor &executorOf(Board &board, const Report &report)
{
    Executor &executor = board.executors_[report.executor_.life_.executor_];
    if (executor.facts_.life_ != report.executor_.life_) {
        executor.listed_ = false;
        executor.orphans_.clear();
        executor.pendingEnds_.clear();
        executor.acknowledged_ = 0;
        executor.failedJobs_.clear();
        executor.failedAt_ = Instant();
        executor.doneAt_ = Instant();
        executor.logSlowness_ = 0;
        executor.comparisons_ = 0;
        executor.asideUntil_ = Instant();
        board.decide("executor-seen",
                     {{"executor", report.executor_.life_.executor_.str()},
                      {"born", std::to_string(report.executor_.life_.born_)},
                      {"agent", report.agent_},
                      {"datacentre", report.executor_.dataCentre_.str()}});
    }
    if (executor.facts_.draining_ != report.executor_.draining_) {
        board.decide("executor-draining",
                     {{"executor", report.executor_.life_.executor_.str()}, {"remaining_ms", std::to_string(report.executor_.remaining_.count())}});
    }
    executor.facts_ = report.executor_;
    executor.agent_ = report.agent_;
    executor.answers_ = report.answers_;
    executor.reported_ = true;
    executor.lastReport_ = board.now_;
    return executor;
}

/// Returns whether \p report says less than what has been heard of this agent or executor before.
bool isOutdated(const Board &board, const Report &report)
{
    const auto agent = board.agents_.find(report.agent_);
    if (agent != board.agents_.end() && report.sentAt_ <= agent->second.sentAt_) {
        return true;
    }
    const auto executor = board.executors_.find(report.executor_.life_.executor_);
    return executor != board.executors_.end() && report.executor_.life_.born_ < executor->second.facts_.life_.born_;
}

}

void takeReport(Board &board, const Report &report)
{
    if (isOutdated(board, report)) {
        return;
    }
    Agent &agent = board.agents_[report.agent_];
    agent.sequence_ = report.sequence_;
    agent.sentAt_ = report.sentAt_;
    agent.executor_ = report.executor_.life_.executor_;
    agent.directiveDue_ = true;
    if (agent.executor_.empty()) {
        return;
    }
    Executor &executor = executorOf(board, report);
    if (executor.facts_.left_) {
        settleRuns(board, executor, "executor-left", [](const Run &) { return true; });
    }
    carryOverToPresentLife(board, executor);
    if (!report.listsValid_ || report.epoch_ != board.epoch_) {
        return;
    }
    settleFormerLivesOnHost(board, executor.facts_.life_);
    executor.listed_ = true;
    executor.listedAt_ = report.listedAt_;
    executor.orphans_.clear();
    for (const RunningTask &task : report.running_) {
        noteRunning(board, executor, task);
    }
    learnSpeed(board, executor);
    takeEnds(board, executor, report.ended_);
    for (const SettledOrder &order : report.settled_) {
        takeSettled(board, executor, order);
    }
    settleMissing(board, executor, report);
}

void stopRun(Board &board, const RunId &id, const char *reason)
{
    const auto job = board.jobs_.find(id.task_.job_);
    if (job == board.jobs_.end()) {
        return;
    }
    const Submission &submission = job->second.submission_;
    const Group group = groupOf(submission, id.task_);
    const auto [first, last] = boundTo(submission, group, *indexOf(submission, id.task_));
    for (std::size_t index = first; index < last; ++index) {
        const RunId each{taskOf(submission, group, index), id.run_};
        const auto run = board.runs_.find(each);
        if (run == board.runs_.end() || run->second.phase_ == RunPhase::Stopping) {
            continue;
        }
        board.decide(
            "stop-wanted",
            {{"run", toString(each)}, {"reason", reason}, {"executor", run->second.place_.executor_.str()}, {"percent", std::to_string(run->second.percent_)}});
        if (run->second.phase_ == RunPhase::Committing) {
            removeRun(board, each); // no order has left
            continue;
        }
        run->second.phase_ = RunPhase::Stopping;
        board.tellAgentOf(board.executors_.at(run->second.place_.executor_));
    }
}

void stopJob(Board &board, Job &job, const char *reason)
{
    for (const Group &group : groupsOf(job.submission_)) {
        for (std::size_t index = group.first_; index < group.last_; ++index) {
            if (job.progress_.tasks_[index].assigned_) {
                stopRun(board, {taskOf(job.submission_, group, index), job.progress_.tasks_[index].run_}, reason);
            }
        }
        release(board, job, group.first_);
    }
}

void finishJob(Board &board, Job &job, JobState state, const char *reason)
{
    if (isFinal(job.progress_.state_)) {
        return;
    }
    job.progress_.state_ = state;
    job.progress_.endedAt_ = board.calendar_;
    job.touch();
    const char *word = state == JobState::Completed ? "completed" : state == JobState::Failed ? "failed" : "cancelled";
    board.decide("job-ended", {{"job", job.submission_.id_.str()}, {"state", word}, {"reason", reason}});
    if (state != JobState::Completed) {
        stopJob(board, job, reason);
    }
}

void expireSilentLeases(Board &board)
{
    if (!board.mayOrder()) {
        return; // perhaps agents are silent because they obey another leader
    }
    for (auto &[id, executor] : board.executors_) {
        if (executor.runs_.empty()) {
            continue;
        }
        const auto length = std::chrono::duration_cast<Duration>(permitLength) * 51 / 50 + permitSlack;
        const Instant lastWord = executor.reported_ ? std::max(executor.lastPermit_, executor.lastReport_) : board.leaderSince_ + permitFreshness;
        if (board.now_ < lastWord + length) {
            continue;
        }
        settleRuns(board, executor, "lease-over", [](const Run &) { return true; });
    }
}

}
