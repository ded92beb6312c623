#include "core/batch/leader.h"

#include "core/batch/advising.h"
#include "core/batch/codec.h"
#include "core/batch/crashes.h"
#include "core/batch/folded_record.h"
#include "core/batch/host_speeds.h"
#include "core/batch/inferred_ends.h"
#include "core/batch/late_gangs.h"
#include "core/batch/ledger.h"
#include "core/batch/placing.h"
#include "core/batch/record.h"
#include "core/batch/runs.h"
#include "core/batch/stalls.h"

#include <algorithm>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Size of the orders in a directive after which the others go into a further one. Leaves room for a directive's other fields.
constexpr std::size_t maxOrderBytesPerDirective = maxAgentFrameBytes / 4;

/// Returns an upper bound on the encoded size of \p run.
std::size_t maxEncodedSize(const RunId &run)
{
    constexpr std::size_t numbersAndLengths = 32;
    return run.task_.job_.str().size() + numbersAndLengths;
}

std::size_t maxEncodedSize(const StartOrder &order)
{
    constexpr std::size_t lengths = 32;
    return maxEncodedSize(order.run_) + order.spec_.size() + order.checkpoint_.size() + order.ticket_.size() + lengths;
}

/// Spreads the orders of \p directive over as many directives as an agent needs to read them; the other fields are the same in each.
std::vector<Directive> spread(Directive directive)
{
    const std::vector<StartOrder> starts = std::exchange(directive.starts_, {});
    const std::vector<RunId> stops = std::exchange(directive.stops_, {});
    std::vector<Directive> parts{directive};
    std::size_t bytes = 0;
    const auto partFor = [&](std::size_t orderBytes) -> Directive & {
        if (bytes > 0 && bytes + orderBytes > maxOrderBytesPerDirective) {
            parts.push_back(directive);
            bytes = 0;
        }
        bytes += orderBytes;
        return parts.back();
    };
    for (const RunId &run : stops) {
        partFor(maxEncodedSize(run)).stops_.push_back(run);
    }
    for (const StartOrder &start : starts) {
        partFor(maxEncodedSize(start)).starts_.push_back(start);
    }
    return parts;
}

}

std::string encodeProgress(const ProgressWrite &write)
{
    return write.isFolded_ ? encode(fold(write.progress_)) : encode(write.progress_);
}

Leader::Leader(LeaderLimits limits, std::int64_t epoch, Instant now)
{
    cluster_.limits_ = limits;
    cluster_.epoch_ = epoch;
    cluster_.leaderSince_ = now;
    cluster_.fleetClock_ = FleetClock(now);
    cluster_.leaderLeaseRenewedAt_ = now;
    cluster_.now_ = now;
}

std::vector<LeaderOutput> Leader::step(Instant now, CalendarTime calendar, std::vector<LeaderInput> inputs)
{
    cluster_.now_ = now;
    cluster_.calendar_ = calendar;
    for (LeaderInput &input : inputs) {
        std::visit([this](auto &&typedInput) { handle(std::forward<decltype(typedInput)>(typedInput)); }, std::move(input));
    }
    refreshSpeeds(cluster_);
    expireSilentLeases(cluster_);
    decideOnSuspects(cluster_);
    relocateStuckRuns(cluster_);
    moveLateGangs(cluster_);
    placeWaiting(cluster_);
    markExpiredJobs();
    removeRecordsOfUnstoredJobs();
    refreshStartRecords(cluster_);
    std::vector<LeaderOutput> outputs;
    commit(outputs);
    storeProfile(outputs);
    acknowledgeEnds();
    sendDirectives(outputs);
    for (AdviceRequest &request : cluster_.adviceRequests_) {
        outputs.emplace_back(std::move(request));
    }
    cluster_.adviceRequests_.clear();
    for (LogEvent &event : cluster_.logEvents_) {
        outputs.emplace_back(std::move(event));
    }
    cluster_.logEvents_.clear();
    return outputs;
}

std::optional<WaitingJobs> Leader::waitingJobs() const
{
    if (!cluster_.mayIssueOrders()) {
        return std::nullopt;
    }
    WaitingJobs waiting;
    for (const auto &[id, job] : cluster_.jobs_) {
        if (!job.progress_.started_ && !isFinal(job.progress_.state_)) {
            ++waiting[job.submission_.queue_];
        }
    }
    return waiting;
}

bool Leader::isFullyCommitted() const
{
    return inFlight_.empty() && std::none_of(cluster_.jobs_.begin(), cluster_.jobs_.end(), [](const auto &entry) { return entry.second.needsWrite(); });
}

void Leader::handle(JobStored &&input)
{
    const JobId id = input.submission_.id_;
    if (cluster_.jobs_.contains(id)) {
        return;
    }
    Job job;
    job.progress_.id_ = id;
    std::size_t tasks = 0;
    for (const Step &step : input.submission_.steps_) {
        tasks += std::size_t{step.count_} * input.submission_.occurrences();
    }
    job.progress_.tasks_.resize(tasks);
    const auto age = std::clamp(cluster_.calendar_ - input.submission_.acceptedAt_, milliseconds(0), milliseconds(std::chrono::minutes(10)));
    job.acceptedAt_ = cluster_.now_ - age;
    job.submission_ = std::move(input.submission_);
    const UnstoredJob former = takeUnstored(id);
    job.acceptedWith_ = former.acceptedWith_;
    job.areSettingsStored_ = former.acceptedWith_.has_value();
    refreshFromConfig(job);
    const Step &first = job.submission_.steps_.front();
    cluster_.logEvent("job-known",
                      {{"job", id.str()},
                       {"workspace", job.submission_.workspace_.str()},
                       {"priority", std::to_string(job.settings_.priority_)},
                       {"steps", std::to_string(job.submission_.steps_.size())},
                       {"tasks", std::to_string(tasks)},
                       {"cpu", std::to_string(first.taskDemand_.cpuMilli_)},
                       {"accelerators", std::to_string(first.taskDemand_.accelerators_)},
                       {"gang", first.gang_ ? "yes" : "no"},
                       {"one_rack", first.sameRack_ ? "yes" : "no"},
                       {"long_running", first.longRunning_ ? "yes" : "no"},
                       {"fills", first.cpuBackfill_ ? "yes" : "no"},
                       {"repeats", std::to_string(job.submission_.repeats_)},
                       {"constraint", first.constraint_},
                       {"affinity", first.affinity_},
                       {"estimate_ms", std::to_string(first.estimate_.count())},
                       {"stretch", std::to_string(job.settings_.stretch_)},
                       {"target_ms", std::to_string(job.settings_.targetLatency_.count())},
                       {"age_ms", std::to_string(age.count())}});
    job.isFolded_ = isFolded(job.submission_, cluster_.limits_.maxRecordBytes_);
    if (const auto excess = foldedRecordExcess(job.submission_, cluster_.limits_.maxRecordBytes_)) {
        cluster_.logEvent(
            "job-too-large",
            {{"job", id.str()}, {"reason", toString(excess->kind_)}, {"found", std::to_string(excess->found_)}, {"limit", std::to_string(excess->limit_)}});
    }
    Job &stored = cluster_.jobs_.emplace(id, std::move(job)).first->second;
    if (former.isCancelled_) {
        finishJob(cluster_, stored, JobState::Cancelled, "cancelled");
    }
}

void Leader::handle(const JobUnreadable &input)
{
    orphans_.erase(input.job_);
    if (unreadableJobs_.insert(input.job_).second) {
        cluster_.logEvent("job-unreadable", {{"job", input.job_.str()}, {"reason", input.reason_}});
    }
}

void Leader::handle(ProgressStored &&input)
{
    const auto found = cluster_.jobs_.find(input.progress_.id_);
    if (found == cluster_.jobs_.end() || found->second.progress_.tasks_.size() != input.progress_.tasks_.size()) {
        cluster_.logEvent("progress-ignored", {{"job", input.progress_.id_.str()}});
        return;
    }
    Job &job = found->second;
    const bool cancelled = job.progress_.state_ == JobState::Cancelled;
    job.progress_ = std::move(input.progress_);
    job.revision_ = input.revision_;
    job.storedVersion_ = job.version_;
    for (const Group &group : groupsOf(job.submission_)) {
        const Step &step = job.submission_.steps_[group.step_];
        for (std::size_t index = group.first_; index < group.end_; ++index) {
            const TaskProgress &task = job.progress_.tasks_[index];
            if (!task.assigned_) {
                continue;
            }
            Run run;
            run.id_ = {taskOf(job.submission_, group, index), task.run_};
            run.placement_ = task.placement_;
            run.resources_ = step.countedDemand();
            run.phase_ = RunPhase::Starting;
            run.recovered_ = true;
            run.inherited_ = true;
            run.startedAt_ = cluster_.now_;
            noteStart(cluster_, run); // a former leader may have ordered it just before
            Executor &executor = cluster_.executors_[task.placement_.executor_];
            if (executor.info_.incarnation_.executor_.empty() || executor.info_.incarnation_.startTimeMs_ < task.placement_.startTimeMs_) {
                executor.info_.incarnation_ = task.placement_;
            }
            addRun(cluster_, std::move(run));
        }
    }
    if (cancelled) {
        finishJob(cluster_, job, JobState::Cancelled, "cancelled");
    } else if (isFinal(job.progress_.state_)) {
        stopJob(cluster_, job, "job-is-over");
    } else {
        suspectRepeatedStarts(cluster_, job);
    }
}

void Leader::handle(const CrashHistoryStored &input)
{
    const auto job = cluster_.jobs_.find(input.history_.id_);
    if (job == cluster_.jobs_.end()) {
        removeOrphan(input.history_.id_);
        return;
    }
    loadCrashHistory(cluster_, job->second, input.history_);
}

void Leader::handle(const StartRecordsStored &input)
{
    for (const JobId &id : loadStartRecords(cluster_, input.records_)) {
        removeOrphan(id);
    }
}

void Leader::handle(const SettingsStored &input)
{
    const auto found = cluster_.jobs_.find(input.record_.id_);
    if (found == cluster_.jobs_.end()) {
        unstoredJobs_.try_emplace(input.record_.id_, UnstoredJob{cluster_.now_}).first->second.acceptedWith_ = input.record_.settings_;
        return;
    }
    found->second.acceptedWith_ = input.record_.settings_;
    found->second.areSettingsStored_ = true;
    refreshFromConfig(found->second);
}

Leader::UnstoredJob Leader::takeUnstored(const JobId &id)
{
    const auto found = unstoredJobs_.find(id);
    if (found == unstoredJobs_.end()) {
        return {};
    }
    return unstoredJobs_.extract(found).mapped();
}

void Leader::handle(const FleetProfileStored &input)
{
    cluster_.hosts_.load(input.profile_.hosts_, cluster_.calendar_);
    cluster_.runTimes_.load(input.profile_.queues_);
    isProfileLoaded_ = true;
    cluster_.logEvent("profile-loaded", {{"hosts", std::to_string(input.profile_.hosts_.size())}, {"queues", std::to_string(input.profile_.queues_.size())}});
}

void Leader::handle(const CancelStored &input)
{
    const auto found = cluster_.jobs_.find(input.job_);
    if (found == cluster_.jobs_.end()) {
        unstoredJobs_.try_emplace(input.job_, UnstoredJob{cluster_.now_}).first->second.isCancelled_ = true;
        return;
    }
    finishJob(cluster_, found->second, JobState::Cancelled, "cancelled");
}

void Leader::handle(ConfigChanged &&input)
{
    cluster_.config_ = std::move(input.config_);
    cluster_.areSlowHostsOutdated_ = true;
    cluster_.logEvent("config-in-force", {{"version", std::to_string(cluster_.config_.version_)}});
    for (auto &[id, job] : cluster_.jobs_) {
        refreshFromConfig(job);
    }
}

void Leader::handle(EvacuationsChanged &&input)
{
    cluster_.evacuated_ = std::move(input.dataCentres_);
    std::string names;
    for (const DataCentreId &dataCentre : cluster_.evacuated_) {
        names += (names.empty() ? "" : ",") + dataCentre.str();
    }
    cluster_.logEvent("evacuations", {{"datacentres", names}});
}

void Leader::handle(const LeaderLeaseRenewed &input)
{
    cluster_.leaderLeaseRenewedAt_ = std::max(cluster_.leaderLeaseRenewedAt_, input.at_);
}

void Leader::handle(const Report &input)
{
    applyReport(cluster_, input);
}

void Leader::handle(const AdviceAnswer &input)
{
    applyAdvice(cluster_, input);
}

void Leader::forget(const JobId &id)
{
    cluster_.jobs_.erase(id);
    cluster_.jobsWithCrashes_.erase(id);
    std::erase_if(cluster_.advice_, [&id](const auto &entry) { return entry.first.job_ == id; });
    writtenAlone_.erase(id);
}

void Leader::refreshFromConfig(Job &job) const
{
    if (const Queue *queue = cluster_.config_.queue(job.submission_.queue_)) {
        job.acceptedWith_ = job.acceptedWith_.value_or(*queue);
        job.settings_ = *queue;
    } else {
        job.settings_ = job.acceptedWith_.value_or(settingsOfUnknownQueue());
    }
    if (!job.settings_.service_.empty()) {
        job.submission_.service_ = job.settings_.service_;
    }
}

void Leader::startCommittedRuns()
{
    for (auto &[id, run] : cluster_.runs_) {
        const bool isAwaited = run.phase_ == RunPhase::Committing || (run.phase_ == RunPhase::Starting && run.awaitsRecord_);
        if (!isAwaited || cluster_.jobs_.at(id.task_.job_).storedVersion_ < run.version_) {
            continue;
        }
        if (!isRecordRecent(cluster_, run)) {
            Job &job = cluster_.jobs_.at(id.task_.job_);
            job.markChanged();
            run.version_ = job.version_;
            continue;
        }
        run.phase_ = RunPhase::Starting;
        run.awaitsRecord_ = false;
        noteStart(cluster_, run);
        cluster_.scheduleDirective(cluster_.executors_.at(run.placement_.executor_));
    }
}

void Leader::acknowledgeEnds()
{
    for (auto &[id, executor] : cluster_.executors_) {
        auto &ends = executor.pendingEnds_;
        std::sort(ends.begin(), ends.end(), [](const PendingEnd &left, const PendingEnd &right) { return left.number_ < right.number_; });
        std::size_t storedCount = 0;
        while (storedCount < ends.size()) {
            const PendingEnd &end = ends[storedCount];
            const auto job = cluster_.jobs_.find(end.job_);
            const bool isStored = job == cluster_.jobs_.end() || job->second.storedVersion_ >= end.version_;
            if (!isStored || cluster_.now_ < end.notBefore_ || end.number_ >= executor.firstIgnoredEnd_.value_or(end.number_ + 1)) {
                break;
            }
            executor.acknowledged_ = end.number_;
            ++storedCount;
        }
        ends.erase(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(storedCount));
        if (storedCount > 0) {
            cluster_.scheduleDirective(executor);
        }
    }
}

Directive Leader::directiveFor(const Agent &agent) const
{
    Directive directive;
    directive.epoch_ = cluster_.epoch_;
    directive.echoSequence_ = agent.sequence_;
    directive.echoSentAt_ = agent.sentAt_;
    directive.permit_ = cluster_.mayIssuePermits();
    const auto found = cluster_.executors_.find(agent.executor_);
    if (found == cluster_.executors_.end()) {
        const auto former = cluster_.executors_.find(agent.formerExecutor_);
        directive.incarnation_ = former == cluster_.executors_.end() ? Incarnation() : former->second.info_.incarnation_;
        return directive;
    }
    const Executor &executor = found->second;
    directive.incarnation_ = executor.info_.incarnation_;
    // The acknowledgement may reach the next incarnation after a start that the agent doesn't know of, and would cover the end of that run.
    directive.acknowledged_ = mayStartUnknown(cluster_, executor) ? 0 : executor.acknowledged_;
    if (cluster_.mayIssueOrders()) {
        directive.stops_ = executor.orphans_;
    }
    for (const RunId &id : executor.runs_) {
        const Run &run = cluster_.runs_.at(id);
        if (run.placement_ != executor.info_.incarnation_ || !cluster_.mayIssueOrders()) {
            continue;
        }
        if (run.phase_ == RunPhase::Stopping) {
            directive.stops_.push_back(id);
        } else if (mayOrderStart(cluster_, run)) {
            const Job &job = cluster_.jobs_.at(id.task_.job_);
            directive.starts_.push_back(
                {id, job.submission_.spec_, job.progress_.tasks_[*indexOf(job.submission_, id.task_)].checkpoint_, ticketFor(cluster_, run)});
        }
    }
    return directive;
}

void Leader::sendDirectives(std::vector<LeaderOutput> &outputs)
{
    for (auto &[name, agent] : cluster_.agents_) {
        if (!agent.directiveDue_) {
            continue;
        }
        agent.directiveDue_ = false;
        for (Directive &part : spread(directiveFor(agent))) {
            outputs.emplace_back(SendDirective{name, std::move(part)});
        }
    }
}

}
