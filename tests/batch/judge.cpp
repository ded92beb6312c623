#include "batch/judge.h"

namespace bergamotwick::test {

using batch::EndKind;

namespace {

constexpr auto cancelLimit = 3s;

}

void Judge::breach(const std::string &rule, const batch::RunId &run, const batch::Incarnation &life)
{
    breaches_.push_back(rule + ": " + batch::toString(run) + " on " + life.executor_.str());
}

void Judge::submitted(const batch::Submission &job, std::int32_t maxAttempts)
{
    jobs_[job.id_] = {job, maxAttempts, Instant::max(), 0, Instant::max()};
}

void Judge::cancelled(const JobId &job, Instant now)
{
    jobs_.at(job).cancelledAt_ = std::min(jobs_.at(job).cancelledAt_, now);
}

void Judge::executorUp(const batch::ExecutorInfo &facts)
{
    up_[facts.incarnation_] = facts;
}

void Judge::executorDown(const batch::Incarnation &life)
{
    up_.erase(life);
    wasted_ += running_[life].size();
    running_.erase(life);
}

bool Judge::isDone(const Known &job, std::uint32_t occurrence, std::uint32_t step) const
{
    const batch::Step &what = job.submission_.steps_[step];
    std::uint32_t done = 0;
    for (std::uint32_t index = 0; index < what.count_; ++index) {
        done += done_.contains({job.submission_.id_, occurrence, step, index}) ? 1 : 0;
    }
    return what.gang_ ? done > 0 : done == what.count_;
}

void Judge::began(const batch::Incarnation &life, const batch::RunId &run, const std::string &checkpoint, Instant now, bool lateOrder)
{
    const batch::TaskId &task = run.task_;
    const auto found = jobs_.find(task.job_);
    if (found == jobs_.end()) {
        breach("UNASKED", run, life);
        return;
    }
    Known &job = found->second;
    const batch::Step &step = job.submission_.steps_[task.step_];
    ++job.starts_;
    job.firstStart_ = std::min(job.firstStart_, now);
    for (const auto &[other, runs] : running_) {
        for (const batch::RunId &there : runs) {
            if (there.task_ == task) {
                breach("TWICE at the same time, also on " + other.executor_.str(), run, life);
            }
        }
    }
    if (doneNoted_.contains(task)) {
        breach("TWICE after its end", run, life);
    }
    if (failuresNoted_[task] >= job.maxAttempts_) {
        breach("BUDGET", run, life);
    }
    for (const std::uint32_t earlier : step.dependencies_) {
        if (!isDone(job, task.occurrence_, earlier)) {
            breach("ORDER", run, life);
        }
    }
    if (!lateOrder && job.cancelledAt_ != Instant::max() && now > job.cancelledAt_ + cancelLimit) {
        breach("UNASKED after its cancelling", run, life);
    }
    const std::string owner = "@" + task.job_.str() + "." + std::to_string(task.step_);
    if (!checkpoint.empty() && !checkpoint.ends_with(owner)) {
        breach("UNASKED with another's checkpoint", run, life);
    }
    running_[life].insert(run);
    batch::ResourceVector used;
    std::map<std::uint32_t, std::uint32_t> ofStep;
    for (const batch::RunId &there : running_[life]) {
        used += jobs_.at(there.task_.job_).submission_.steps_[there.task_.step_].countedDemand();
        ofStep[there.task_.step_] += there.task_.job_ == task.job_ && there.task_.occurrence_ == task.occurrence_ ? 1 : 0;
    }
    if (!up_.at(life).capacity_.covers(used)) {
        breach("LIMIT", run, life);
    }
    if (step.antiAffinity_ > 0 && ofStep[task.step_] > step.antiAffinity_) {
        breach("ROUTE beyond anti-affinity", run, life);
    }
}

void Judge::ended(const batch::Incarnation &life, const batch::RunId &run, EndKind how)
{
    running_[life].erase(run);
    wasted_ += how == EndKind::Done ? 0 : 1;
    if (how == EndKind::Done) {
        done_.insert(run.task_);
    }
}

void Judge::acknowledged(const batch::EndedRun &end)
{
    if (end.kind_ == EndKind::Done) {
        doneNoted_.insert(end.run_.task_);
    } else if (end.kind_ == EndKind::Failed) {
        ++failuresNoted_[end.run_.task_];
    }
}

void Judge::stored(const batch::Progress &progress)
{
    if (progress.state_ != batch::JobState::Completed) {
        return;
    }
    const Known &job = jobs_.at(progress.id_);
    for (std::uint32_t occurrence = 0; occurrence < job.submission_.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.submission_.steps_.size(); ++step) {
            if (!isDone(job, occurrence, step)) {
                breaches_.push_back("MIXED: " + progress.id_.str() + " is shown as completed before its end");
            }
        }
    }
}

std::size_t Judge::starts(const JobId &job) const
{
    return jobs_.at(job).starts_;
}

Instant Judge::firstStart(const JobId &job) const
{
    return jobs_.at(job).firstStart_;
}

}
