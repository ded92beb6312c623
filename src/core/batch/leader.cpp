#include "core/batch/leader.h"

#include "core/batch/advising.h"
#include "core/batch/ledger.h"
#include "core/batch/placing.h"
#include "core/batch/runs.h"
#include "core/batch/stalls.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// A transaction takes 32 rows: one for the leader's key, and for a forgotten job an expectation and three removals.
constexpr std::size_t maxWrites = 7;

/// Pause before a commit that failed is tried again.
constexpr milliseconds commitPause{150};

/// A job's record is kept for this much longer than callers may ask for it.
constexpr milliseconds forgetSlack{5'000};

}

Leader::Leader(LeaderLimits limits, std::int64_t epoch, Instant now)
{
    board_.limits_ = limits;
    board_.epoch_ = epoch;
    board_.leaderSince_ = now;
    board_.storeSeen_ = now;
    board_.now_ = now;
}

std::vector<LeaderOutput> Leader::step(Instant now, CalendarTime calendar, std::vector<LeaderInput> inputs)
{
    board_.now_ = now;
    board_.calendar_ = calendar;
    for (LeaderInput &input : inputs) {
        std::visit([this](auto &&any) { take(std::forward<decltype(any)>(any)); }, std::move(input));
    }
    expireSilentLeases(board_);
    moveStuckRuns(board_);
    placeWaiting(board_);
    forgetOld();
    std::vector<LeaderOutput> outputs;
    commit(outputs);
    acknowledgeEnds();
    direct(outputs);
    for (Question &question : board_.questions_) {
        outputs.emplace_back(std::move(question));
    }
    board_.questions_.clear();
    for (Decision &decision : board_.decisions_) {
        outputs.emplace_back(std::move(decision));
    }
    board_.decisions_.clear();
    return outputs;
}

std::optional<WaitingJobs> Leader::waitingJobs() const
{
    if (!board_.mayOrder()) {
        return std::nullopt;
    }
    WaitingJobs waiting;
    for (const auto &[id, job] : board_.jobs_) {
        if (!job.progress_.begun_ && !isFinal(job.progress_.state_)) {
            ++waiting[job.submission_.queue_];
        }
    }
    return waiting;
}

bool Leader::settled() const
{
    return !inFlight_ && std::none_of(board_.jobs_.begin(), board_.jobs_.end(), [](const auto &entry) { return entry.second.dirty(); });
}

void Leader::take(JobStored &&input)
{
    const JobId id = input.submission_.id_;
    if (board_.jobs_.contains(id)) {
        return;
    }
    Job job;
    job.progress_.id_ = id;
    std::size_t tasks = 0;
    for (const Step &step : input.submission_.steps_) {
        tasks += std::size_t{step.count_} * input.submission_.occurrences();
    }
    job.progress_.tasks_.resize(tasks);
    const auto age = std::clamp(board_.calendar_ - input.submission_.acceptedAt_, milliseconds(0), milliseconds(std::chrono::minutes(10)));
    job.acceptedAt_ = board_.now_ - age;
    job.submission_ = std::move(input.submission_);
    refreshFromConfig(job);
    const Step &first = job.submission_.steps_.front();
    board_.decide("job-known",
                  {{"job", id.str()},
                   {"workspace", job.submission_.workspace_.str()},
                   {"priority", std::to_string(job.priority_)},
                   {"steps", std::to_string(job.submission_.steps_.size())},
                   {"tasks", std::to_string(tasks)},
                   {"cpu", std::to_string(first.each_.cpuMilli_)},
                   {"accelerators", std::to_string(first.each_.accelerators_)},
                   {"gang", first.gang_ ? "yes" : "no"},
                   {"one_rack", first.sameRack_ ? "yes" : "no"},
                   {"long_running", first.longRunning_ ? "yes" : "no"},
                   {"fills", first.fills_ ? "yes" : "no"},
                   {"repeats", std::to_string(job.submission_.repeats_)},
                   {"constraint", first.constraint_},
                   {"affinity", first.affinity_},
                   {"estimate_ms", std::to_string(first.estimate_.count())},
                   {"stretch", std::to_string(job.stretch_)},
                   {"target_ms", std::to_string(job.targetLatency_.count())},
                   {"age_ms", std::to_string(age.count())}});
    Job &stored = board_.jobs_.emplace(id, std::move(job)).first->second;
    if (cancelled_.erase(id) > 0) {
        finishJob(board_, stored, JobState::Cancelled, "cancelled");
    }
}

void Leader::take(ProgressStored &&input)
{
    const auto found = board_.jobs_.find(input.progress_.id_);
    if (found == board_.jobs_.end() || found->second.progress_.tasks_.size() != input.progress_.tasks_.size()) {
        board_.decide("progress-ignored", {{"job", input.progress_.id_.str()}});
        return;
    }
    Job &job = found->second;
    const bool cancelled = job.progress_.state_ == JobState::Cancelled;
    job.progress_ = std::move(input.progress_);
    job.revision_ = input.revision_;
    job.storedVersion_ = job.version_;
    for (const Group &group : groupsOf(job.submission_)) {
        const Step &step = job.submission_.steps_[group.step_];
        for (std::size_t index = group.first_; index < group.last_; ++index) {
            const TaskProgress &task = job.progress_.tasks_[index];
            if (!task.assigned_) {
                continue;
            }
            Run run;
            run.id_ = {taskOf(job.submission_, group, index), task.run_};
            run.place_ = task.place_;
            run.room_ = step.counted();
            run.phase_ = RunPhase::Starting;
            run.recovered_ = true;
            run.startedAt_ = board_.now_;
            Executor &executor = board_.executors_[task.place_.executor_];
            if (executor.facts_.life_.executor_.empty()) {
                executor.facts_.life_ = task.place_;
            }
            addRun(board_, std::move(run));
        }
    }
    if (cancelled) {
        finishJob(board_, job, JobState::Cancelled, "cancelled");
    } else if (isFinal(job.progress_.state_)) {
        stopJob(board_, job, "job-is-over");
    }
}

void Leader::take(const CancelStored &input)
{
    const auto found = board_.jobs_.find(input.job_);
    if (found == board_.jobs_.end()) {
        cancelled_.insert(input.job_);
        return;
    }
    finishJob(board_, found->second, JobState::Cancelled, "cancelled");
}

void Leader::take(ConfigChanged &&input)
{
    board_.config_ = std::move(input.config_);
    board_.decide("config-in-force", {{"version", std::to_string(board_.config_.version_)}});
    for (auto &[id, job] : board_.jobs_) {
        refreshFromConfig(job);
    }
}

void Leader::take(EvacuationsChanged &&input)
{
    board_.evacuated_ = std::move(input.dataCentres_);
    std::string names;
    for (const DataCentreId &dataCentre : board_.evacuated_) {
        names += (names.empty() ? "" : ",") + dataCentre.str();
    }
    board_.decide("evacuations", {{"datacentres", names}});
}

void Leader::take(const StoreSeen &input)
{
    board_.storeSeen_ = std::max(board_.storeSeen_, input.at_);
}

void Leader::take(const Report &input)
{
    takeReport(board_, input);
}

void Leader::take(const AdviceGiven &input)
{
    takeAdvice(board_, input.step_, input.asked_, input.tickets_, input.valid_);
}

void Leader::take(const CommitDone &input)
{
    if (!inFlight_ || inFlight_->commit_ != input.commit_) {
        return;
    }
    for (const auto &[id, version] : inFlight_->versions_) {
        const auto job = board_.jobs_.find(id);
        if (job != board_.jobs_.end()) {
            job->second.storedVersion_ = version;
            job->second.revision_ = input.revision_;
        }
    }
    for (const JobId &id : inFlight_->removals_) {
        board_.jobs_.erase(id);
        std::erase_if(board_.advice_, [&id](const auto &entry) { return entry.first.job_ == id; });
    }
    inFlight_.reset();
    releaseCommitted();
}

void Leader::take(const CommitFailed &input)
{
    if (!inFlight_ || inFlight_->commit_ != input.commit_) {
        return;
    }
    for (const auto &[id, revision] : input.found_) {
        const auto job = board_.jobs_.find(id);
        if (job != board_.jobs_.end() && job->second.revision_ != revision) {
            // An earlier write of this leader took effect without an answer; the next one builds on it.
            board_.decide("record-found", {{"job", id.str()}, {"revision", std::to_string(revision)}});
            job->second.revision_ = revision;
        }
    }
    inFlight_.reset();
    retryAt_ = input.found_.empty() ? board_.now_ + commitPause : board_.now_;
}

void Leader::refreshFromConfig(Job &job) const
{
    const Queue *queue = board_.config_.queue(job.submission_.queue_);
    if (queue == nullptr) {
        return; // a queue that was dropped keeps its last settings
    }
    job.priority_ = queue->priority_;
    job.maxAttempts_ = queue->maxAttempts_;
    job.stretch_ = queue->stretch_;
    job.targetLatency_ = queue->targetLatency_;
    job.advice_ = queue->advice_;
    if (!queue->service_.empty()) {
        job.submission_.service_ = queue->service_;
    }
}

void Leader::releaseCommitted()
{
    for (auto &[id, run] : board_.runs_) {
        if (run.phase_ != RunPhase::Committing || board_.jobs_.at(id.task_.job_).storedVersion_ < run.version_) {
            continue;
        }
        run.phase_ = RunPhase::Starting;
        board_.tellAgentOf(board_.executors_.at(run.place_.executor_));
    }
}

void Leader::acknowledgeEnds()
{
    for (auto &[id, executor] : board_.executors_) {
        auto &ends = executor.pendingEnds_;
        std::sort(ends.begin(), ends.end(), [](const PendingEnd &left, const PendingEnd &right) { return left.number_ < right.number_; });
        std::size_t stored = 0;
        while (stored < ends.size()) {
            const auto job = board_.jobs_.find(ends[stored].job_);
            if (job != board_.jobs_.end() && job->second.storedVersion_ < ends[stored].version_) {
                break;
            }
            executor.acknowledged_ = ends[stored].number_;
            ++stored;
        }
        ends.erase(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(stored));
        if (stored > 0) {
            board_.tellAgentOf(executor);
        }
    }
}

void Leader::forgetOld()
{
    for (auto &[id, job] : board_.jobs_) {
        const bool old = isFinal(job.progress_.state_) && board_.calendar_ > job.progress_.endedAt_ + board_.limits_.statusKept_ + forgetSlack;
        const auto &tasks = job.progress_.tasks_;
        job.removing_ = old && !job.dirty() && std::none_of(tasks.begin(), tasks.end(), [](const TaskProgress &task) { return task.assigned_; });
    }
}

void Leader::commit(std::vector<LeaderOutput> &outputs)
{
    if (inFlight_ || board_.now_ < retryAt_) {
        return;
    }
    Commit commit;
    InFlight inFlight;
    for (auto &[id, job] : board_.jobs_) {
        if (commit.writes_.size() == maxWrites) {
            break;
        }
        if (!job.dirty() && !job.removing_) {
            continue;
        }
        if (job.dirty()) {
            inFlight.versions_.emplace_back(id, job.version_);
        } else {
            inFlight.removals_.push_back(id);
        }
        commit.writes_.push_back({id, job.revision_, job.progress_, !job.dirty()});
    }
    if (commit.writes_.empty()) {
        return;
    }
    commit.commit_ = ++lastCommit_;
    inFlight.commit_ = commit.commit_;
    inFlight_ = std::move(inFlight);
    outputs.emplace_back(std::move(commit));
}

Directive Leader::directiveFor(const Agent &agent) const
{
    Directive directive;
    directive.epoch_ = board_.epoch_;
    directive.echoSequence_ = agent.sequence_;
    directive.echoSentAt_ = agent.sentAt_;
    directive.permit_ = board_.mayPermit();
    const auto found = board_.executors_.find(agent.executor_);
    if (found == board_.executors_.end()) {
        return directive;
    }
    const Executor &executor = found->second;
    directive.life_ = executor.facts_.life_;
    directive.acknowledged_ = executor.acknowledged_;
    if (board_.mayOrder()) {
        directive.stops_ = executor.orphans_;
    }
    for (const RunId &id : executor.runs_) {
        const Run &run = board_.runs_.at(id);
        if (run.place_ != executor.facts_.life_ || !board_.mayOrder()) {
            continue;
        }
        if (run.phase_ == RunPhase::Stopping) {
            directive.stops_.push_back(id);
        } else if (run.phase_ == RunPhase::Starting && !run.recovered_) {
            const Job &job = board_.jobs_.at(id.task_.job_);
            directive.starts_.push_back(
                {id, job.submission_.spec_, job.progress_.tasks_[*indexOf(job.submission_, id.task_)].checkpoint_, ticketFor(board_, run)});
        }
    }
    return directive;
}

void Leader::direct(std::vector<LeaderOutput> &outputs)
{
    for (auto &[name, agent] : board_.agents_) {
        if (!agent.directiveDue_) {
            continue;
        }
        agent.directiveDue_ = false;
        Directive directive = directiveFor(agent);
        const auto executor = board_.executors_.find(agent.executor_);
        if (directive.permit_ && executor != board_.executors_.end()) {
            executor->second.lastPermit_ = board_.now_;
        }
        outputs.emplace_back(SendDirective{name, std::move(directive)});
    }
}

}
