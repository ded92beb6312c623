#include "batch/judge.h"

#include <algorithm>
#include <utility>

namespace bergamotwick::test {

using batch::EndKind;

namespace {

constexpr auto cancelGracePeriod = 3s;

/// The time from an executor's report of a smaller capacity to when it binds: time in touch and one heartbeat.
constexpr auto capacityGracePeriod = 4'500ms;

/// A task under which this many executors have crashed may be given up.
constexpr std::uint32_t crashesBeforeGivingUp = 2;

/// A crashing task must not be started forbiddenStarts times more after this many executors have crashed under it.
constexpr std::uint32_t maxCrashes = 3;
constexpr std::uint32_t forbiddenStarts = 3;

}

void Judge::addViolation(const std::string &rule, const batch::RunId &run, const batch::Incarnation &incarnation)
{
    violations_.push_back(rule + ": " + batch::toString(run) + " on " + incarnation.executor_.str());
}

void Judge::submitted(const batch::Submission &job, std::int32_t maxAttempts)
{
    jobs_[job.id_] = {job, maxAttempts, Instant::max(), 0, Instant::max()};
}

void Judge::cancelled(const JobId &job, Instant now)
{
    jobs_.at(job).cancelledAt_ = std::min(jobs_.at(job).cancelledAt_, now);
}

void Judge::executorUp(const batch::ExecutorInfo &info, Instant now)
{
    capacities_[info.incarnation_] = {{info.capacity_, now}};
}

void Judge::executorDown(const batch::Incarnation &incarnation)
{
    wastedRuns_ += running_[incarnation].size();
    running_.erase(incarnation);
}

void Judge::capacityChanged(const batch::Incarnation &incarnation, const batch::ResourceVector &capacity, Instant now)
{
    capacities_.at(incarnation).push_back({capacity, now});
}

void Judge::leaseLapsed(const batch::Incarnation &incarnation)
{
    for (auto &[task, history] : histories_) {
        for (PastEnd &end : history.ends_) {
            end.lapsed_ = end.lapsed_ || (end.incarnation_ == incarnation && !end.acknowledged_);
        }
    }
}

void Judge::executorCrashed(const batch::Incarnation &incarnation)
{
    for (const batch::RunId &run : running_[incarnation]) {
        ++crashes_[run.task_];
        ++allCrashes_[run.task_];
    }
    executorDown(incarnation);
}

void Judge::setCrashing(const JobId &job, std::optional<std::uint32_t> index)
{
    crashingJobs_[job] = index;
}

bool Judge::isDone(const SubmittedJob &job, std::uint32_t occurrence, std::uint32_t step) const
{
    const batch::Step &jobStep = job.submission_.steps_[step];
    std::uint32_t completedCount = 0;
    for (std::uint32_t index = 0; index < jobStep.count_; ++index) {
        completedCount += completedTasks_.contains({job.submission_.id_, occurrence, step, index}) ? 1 : 0;
    }
    return jobStep.gang_ ? completedCount > 0 : completedCount == jobStep.count_;
}

void Judge::judgeStartsAfterEnds(const batch::TaskId &task)
{
    TaskHistory &history = histories_[task];
    const SubmittedJob &job = jobs_.at(task.job_);
    const bool limitsAttempts = !job.submission_.steps_[task.step_].longRunning_;
    for (LaterStart &start : history.starts_) {
        bool done = false;
        std::int32_t failures = 0;
        for (std::size_t index = 0; index < start.endsBefore_; ++index) {
            const PastEnd &end = history.ends_[index];
            done = done || (end.acknowledged_ && end.kind_ == EndKind::Done);
            failures += end.acknowledged_ && end.kind_ == EndKind::Failed ? 1 : 0;
        }
        if (done && !std::exchange(start.violatesTwice_, true)) {
            addViolation("TWICE after its acknowledged end", start.run_, start.incarnation_);
        }
        if (limitsAttempts && failures >= job.maxAttempts_ && !std::exchange(start.violatesBudget_, true)) {
            addViolation("BUDGET", start.run_, start.incarnation_);
        }
    }
}

bool Judge::coveredAt(const batch::Incarnation &incarnation, const batch::ResourceVector &used, Instant at) const
{
    const std::vector<CapacityPeriod> &periods = capacities_.at(incarnation);
    for (std::size_t index = 0; index < periods.size(); ++index) {
        const bool begun = periods[index].since_ <= at;
        const bool over = index + 1 < periods.size() && periods[index + 1].since_ + capacityGracePeriod <= at;
        if (begun && !over && periods[index].capacity_.covers(used)) {
            return true;
        }
    }
    return false;
}

void Judge::judgeCapacity(const batch::Incarnation &incarnation, const batch::RunId &run, const batch::ResourceVector &used, const StartTiming &timing)
{
    if (coveredAt(incarnation, used, timing.at_)) {
        return;
    }
    if (timing.calledAt_ && coveredAt(incarnation, used, *timing.calledAt_)) {
        ++lateStartsOverCapacity_;
        return;
    }
    addViolation("LIMIT", run, incarnation);
}

void Judge::began(const batch::Incarnation &incarnation, const batch::RunId &run, const std::string &checkpoint, const StartTiming &timing)
{
    const Instant now = timing.at_;
    const batch::TaskId &task = run.task_;
    const auto found = jobs_.find(task.job_);
    if (found == jobs_.end()) {
        addViolation("UNASKED", run, incarnation);
        return;
    }
    SubmittedJob &job = found->second;
    const batch::Step &step = job.submission_.steps_[task.step_];
    ++job.starts_;
    job.firstStart_ = std::min(job.firstStart_, now);
    for (const auto &[other, runs] : running_) {
        for (const batch::RunId &activeRun : runs) {
            if (activeRun.task_ == task) {
                addViolation("TWICE at the same time, also on " + other.executor_.str(), run, incarnation);
            }
        }
    }
    const auto crashing = crashingJobs_.find(task.job_);
    const bool crashes = judgesCrashingTasks_ && crashing != crashingJobs_.end() && crashing->second.value_or(task.index_) == task.index_;
    if (crashes && crashes_[task] >= maxCrashes && ++startsAfterCrashes_[task] >= forbiddenStarts) {
        addViolation("BUDGET of crashes", run, incarnation);
    }
    TaskHistory &history = histories_[task];
    if (!history.ends_.empty()) {
        history.starts_.push_back({incarnation, run, history.ends_.size()});
        judgeStartsAfterEnds(task);
    }
    for (const std::uint32_t dependency : step.dependencies_) {
        if (!isDone(job, task.occurrence_, dependency)) {
            addViolation("ORDER", run, incarnation);
        }
    }
    if (!timing.calledAt_ && timing.inTouch_ && job.cancelledAt_ != Instant::max() && now > job.cancelledAt_ + cancelGracePeriod) {
        addViolation("UNASKED after its cancellation", run, incarnation);
    }
    const std::string expectedOwner = "@" + task.job_.str() + "." + std::to_string(task.step_);
    if (!checkpoint.empty() && !checkpoint.ends_with(expectedOwner)) {
        addViolation("UNASKED with a checkpoint of another step", run, incarnation);
    }
    running_[incarnation].insert(run);
    batch::ResourceVector used;
    std::map<std::uint32_t, std::uint32_t> runsByStep;
    for (const batch::RunId &activeRun : running_[incarnation]) {
        used += jobs_.at(activeRun.task_.job_).submission_.steps_[activeRun.task_.step_].countedDemand();
        runsByStep[activeRun.task_.step_] += activeRun.task_.job_ == task.job_ && activeRun.task_.occurrence_ == task.occurrence_ ? 1 : 0;
    }
    judgeCapacity(incarnation, run, used, timing);
    if (step.antiAffinity_ > 0 && runsByStep[task.step_] > step.antiAffinity_) {
        addViolation("ROUTE beyond anti-affinity", run, incarnation);
    }
}

void Judge::ended(const batch::Incarnation &incarnation, const batch::RunId &run, EndKind kind)
{
    running_[incarnation].erase(run);
    wastedRuns_ += kind == EndKind::Done ? 0 : 1;
    if (kind == EndKind::Done) {
        completedTasks_.insert(run.task_);
    }
    if (kind == EndKind::Done || kind == EndKind::Failed) {
        histories_[run.task_].ends_.push_back({incarnation, run, kind});
    }
}

void Judge::acknowledged(const batch::Incarnation &incarnation, const batch::EndedRun &end)
{
    if (end.kind_ == EndKind::Failed) {
        ++acknowledgedFailures_[end.run_.task_];
    }
    for (PastEnd &past : histories_[end.run_.task_].ends_) {
        past.acknowledged_ = past.acknowledged_ || (!past.lapsed_ && past.incarnation_ == incarnation && past.run_ == end.run_);
    }
    judgeStartsAfterEnds(end.run_.task_);
}

void Judge::stored(const batch::Progress &progress)
{
    if (progress.state_ == batch::JobState::Failed) {
        const auto maxAttempts = static_cast<std::size_t>(jobs_.at(progress.id_).maxAttempts_);
        const auto &tasks = progress.tasks_;
        const bool mayBeGivenUp = std::any_of(allCrashes_.begin(), allCrashes_.end(), [&](const auto &entry) {
            return entry.first.job_ == progress.id_ && entry.second >= crashesBeforeGivingUp;
        });
        if (!mayBeGivenUp && std::none_of(tasks.begin(), tasks.end(), [maxAttempts](const auto &task) { return task.failedRuns_.size() >= maxAttempts; })) {
            violations_.push_back("LOST: " + progress.id_.str() + " is stored as failed without a cause");
        }
    }
    if (progress.state_ != batch::JobState::Completed) {
        return;
    }
    const SubmittedJob &job = jobs_.at(progress.id_);
    for (std::uint32_t occurrence = 0; occurrence < job.submission_.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.submission_.steps_.size(); ++step) {
            if (!isDone(job, occurrence, step)) {
                violations_.push_back("MIXED: " + progress.id_.str() + " is stored as completed before all its tasks are done");
            }
        }
    }
}

void Judge::shownAsFailed(const JobId &job)
{
    const bool crashed = std::any_of(
        allCrashes_.begin(), allCrashes_.end(), [&job](const auto &entry) { return entry.first.job_ == job && entry.second >= crashesBeforeGivingUp; });
    std::map<std::uint32_t, std::int32_t> failuresByStep;
    for (const auto &[task, failures] : acknowledgedFailures_) {
        failuresByStep[task.step_] += task.job_ == job ? failures : 0;
    }
    const std::int32_t maxAttempts = jobs_.at(job).maxAttempts_;
    const bool failed = std::any_of(failuresByStep.begin(), failuresByStep.end(), [maxAttempts](const auto &step) { return step.second >= maxAttempts; });
    if (!crashed && !failed) {
        violations_.push_back("LOST: " + job.str() + " is shown as failed without a cause");
    }
}

void Judge::judgeCrashingTasks(bool judged)
{
    judgesCrashingTasks_ = judged;
    crashes_.clear();
    startsAfterCrashes_.clear();
}

std::size_t Judge::starts(const JobId &job) const
{
    return jobs_.at(job).starts_;
}

Instant Judge::firstStart(const JobId &job) const
{
    return jobs_.at(job).firstStart_;
}

std::size_t Judge::allStarts() const noexcept
{
    std::size_t starts = 0;
    for (const auto &[id, job] : jobs_) {
        starts += job.starts_;
    }
    return starts;
}

}
