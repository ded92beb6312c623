#include "core/batch/crashes.h"

#include "core/batch/agent.h"
#include "core/batch/isolation.h"
#include "core/batch/runs.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// A run that was listed for at least this long has probably not caused the crash of its executor.
constexpr milliseconds likelyCauseWindow{2'000};

/// A run may have lived for this much longer than it was listed: its agent's last polls weren't answered, or their answers came late.
constexpr milliseconds maxUnlistedTime{2'000};

/// An executor that crashes under a run that it has just started stops answering its agent within this time of the assignment.
constexpr milliseconds earlyCrashTime{1'500};

/// Time between two listings of a run while nothing changes.
constexpr milliseconds listingPeriod{500};

/// A task under which this many executors have crashed may be given up.
constexpr std::uint32_t crashesBeforeGivingUp = 2;

/// A task is given up if executors would crash under a sound task as often as under it with at most this probability.
constexpr double maxChanceOfSoundTask = 0.000002;

/// As above, if it isn't known of each crash how long the task's run was alive, or whether its start had reached the executor at all.
constexpr std::uint32_t crashesBeforeGivingUpUnseen = 4;

/// A task is given up after this many crashes in any case.
constexpr std::uint32_t maxCrashes = 5;

/// After this many crashes, a start counts like one even if its executor doesn't crash: few starts remain.
constexpr std::uint32_t crashesBeforeStartsCount = 3;

/// Executors that crash within this time of each other may have a common cause. All of them are noticed within it.
constexpr milliseconds commonCauseWindow{1'000};

/// Executors on at least this many hosts, and at least one executor in this many, are lost together if they have a common cause.
constexpr std::size_t minHostsOfCommonCause = 4;
constexpr std::size_t executorsPerCommonLoss = 4;

/// How long crashes count for the rate at which executors crash.
constexpr milliseconds crashRatePeriod{30'000};

/// Shortest period that a new leader's crash rate is based on.
constexpr milliseconds minCrashRatePeriod{10'000};

/// Rate at which executors of a cluster are expected to crash in which no crash has been noticed.
constexpr double expectedCrashesPerSecond = 1.0 / 60;

/// Time from the end of an executor to its report, in which a run may have started as well.
constexpr milliseconds noticeTime{500};

/// Longest time around a change of leaders in which no leader sees whether a run is alive: the former one no longer notices crashes, or hasn't
/// yet, and the next one has no lists yet.
constexpr milliseconds maxUnseenTime{10'000};

/// Number of starts without a recorded end from which a task is suspected.
constexpr std::size_t suspectedStarts = 3;

const char *toString(LossKind kind)
{
    switch (kind) {
    case LossKind::Crashed:
        return "crashed";
    case LossKind::Left:
        return "left";
    case LossKind::Unreachable:
        break;
    }
    return "unreachable";
}

std::string describe(const LostRun &run)
{
    const std::string survival = run.survival_ ? std::to_string(std::chrono::duration_cast<milliseconds>(*run.survival_).count()) : "unlisted";
    return batch::toString(run.id_) + ":" + survival + (run.isolated_ ? ":isolated" : "");
}

void logLoss(ClusterState &cluster, const ExecutorLoss &loss, const std::vector<RunId> &causes)
{
    std::string runs;
    for (const LostRun &run : loss.runs_) {
        runs += (runs.empty() ? "" : ",") + describe(run);
    }
    cluster.logEvent("executor-lost",
                     {{"executor", loss.incarnation_.executor_.str()},
                      {"born", std::to_string(loss.incarnation_.startTimeMs_)},
                      {"agent", loss.incarnation_.host_},
                      {"how", toString(loss.kind_)},
                      {"runs", std::to_string(loss.runs_.size())},
                      {"survived_ms", runs},
                      {"suspects", std::to_string(causes.size())}});
}

/// Returns how long \p run may have lived on \p executor, which is lost, or std::nullopt if the time for which it was listed shows it.
std::optional<Duration> boundOfSurvival(const ClusterState &cluster, const Executor &executor, const Run &run, bool hasBegun)
{
    if (run.inherited_) {
        return cluster.now_ - cluster.jobs_.at(run.id_.task_.job_).acceptedAt_;
    }
    const Instant lastAnswer = executor.responsive_ ? cluster.now_ : executor.unresponsiveSince_;
    const bool isKnown = run.listedAt_ != Duration(0) || (hasBegun && lastAnswer - run.startedAt_ <= earlyCrashTime);
    return isKnown ? std::nullopt : std::optional(cluster.now_ - run.startedAt_);
}

/// Returns whether the end of \p executor, which had announced it, may speak against the task of \p run: it was a likely cause of a crash before, or
/// the executor went on after its announcement.
bool mayBlame(const ClusterState &cluster, const Executor &executor, const RunId &run)
{
    if (!executor.info_.hasLeft_ && !executor.info_.draining_) {
        return true;
    }
    const Job &job = cluster.jobs_.at(run.task_.job_);
    const auto crashes = job.crashes_.find(*indexOf(job.submission_, run.task_));
    return crashes != job.crashes_.end() && crashes->second.suspected_ > 0;
}

void count(TaskCrashes &crashes)
{
    ++crashes.crashes_;
    crashes.suspected_ += crashes.lastSuspected_ ? 1 : 0;
    crashes.lastCounted_ = true;
}

/// Counts the loss for the task of \p run. Returns the task's crashes, or a null pointer if its job has ended or the loss has been counted.
TaskCrashes *countFor(ClusterState &cluster, const ExecutorLoss &loss, const LostRun &run, bool isCause)
{
    Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const auto index = indexOf(job.submission_, run.id_.task_);
    if (!index || isFinal(job.progress_.state_) || (loss.kind_ == LossKind::Left && !isCause)) {
        return nullptr;
    }
    TaskCrashes &crashes = job.crashes_[*index];
    if (crashes.lastLost_ == loss.incarnation_ && crashes.lastCounted_) {
        return nullptr; // a former leader has counted it, and the run is still open
    }
    crashes.task_ = static_cast<std::uint32_t>(*index);
    const auto seen = std::chrono::duration_cast<milliseconds>(run.survival_.value_or(Duration(0)));
    const milliseconds shortest = run.maxSurvival_ ? unknownSurvival : seen;
    const milliseconds longest = run.maxSurvival_ ? std::chrono::duration_cast<milliseconds>(*run.maxSurvival_) : seen;
    crashes.shortestSurvival_ = crashes.crashes_ == 0 ? shortest : std::min(crashes.shortestSurvival_, shortest);
    crashes.longestSurvival_ = std::max(crashes.longestSurvival_, longest);
    crashes.lastLost_ = loss.incarnation_;
    crashes.lastSuspected_ = isCause;
    crashes.lastCounted_ = false;
    crashes.lastResolved_ = false;
    if (loss.kind_ == LossKind::Crashed || isCause) {
        count(crashes);
    }
    job.isolatedStarts_ = 1;
    job.markChanged();
    cluster.jobsWithCrashes_.insert(job.submission_.id_);
    return &crashes;
}

/// Returns whether all \p runs belong to one job.
bool areOfOneJob(const std::vector<RunId> &runs)
{
    return std::all_of(runs.begin(), runs.end(), [&runs](const RunId &run) { return run.task_.job_ == runs.front().task_.job_; });
}

/// Returns whether something other than a task may have caused the loss of \p lost at about \p at: other executors crashed at the same time,
/// also earlier ones of the host, or its agent was restarted as well.
bool hasOtherCause(const ClusterState &cluster, const Incarnation &lost, Instant at)
{
    const auto agent = cluster.agents_.find(lost.host_);
    if (agent != cluster.agents_.end() && agent->second.restartedAt_ + commonCauseWindow > at) {
        return true;
    }
    return std::any_of(cluster.recentCrashes_.begin(), cluster.recentCrashes_.end(), [&](const ObservedCrash &crash) {
        return crash.suspects_.empty() && (crash.host_ == lost.host_ || crash.noticedAt_ + commonCauseWindow > at);
    });
}

/// Returns the probability that an executor crashes within \p exposure by other causes than \p job.
double crashChance(const ClusterState &cluster, const JobId &job, milliseconds exposure)
{
    const auto others
        = std::count_if(cluster.recentCrashes_.begin(), cluster.recentCrashes_.end(), [&job](const auto &crash) { return !crash.jobs_.contains(job); });
    const double seconds
        = std::chrono::duration<double>(std::clamp<Duration>(cluster.now_ - cluster.leaderSince_, minCrashRatePeriod, crashRatePeriod)).count();
    const double crashesPerSecond = expectedCrashesPerSecond + static_cast<double>(others) / seconds;
    const double executors = static_cast<double>(std::max<std::size_t>(1, cluster.agents_.size()));
    return std::min(1.0, crashesPerSecond / executors * std::chrono::duration<double>(exposure).count());
}

/// Returns the probability that as many executors crash under a sound task as under the one with \p crashes, and as long after its start if
/// that is known.
double chanceOfSoundTask(const ClusterState &cluster, const JobId &job, const TaskCrashes &crashes)
{
    if (!crashes.knowsSurvivals()) {
        const milliseconds exposure = std::min(crashes.longestSurvival_, maxUnseenTime);
        return std::pow(crashChance(cluster, job, exposure + noticeTime), std::max(1U, crashes.crashes_));
    }
    const bool wasListed = crashes.longestSurvival_ > milliseconds(0);
    const milliseconds uncertainty = noticeTime + (wasListed ? 2 * listingPeriod : milliseconds(0)); // before the first lists and after the last ones
    const double first = crashChance(cluster, job, crashes.longestSurvival_ + uncertainty);
    const double similar = crashChance(cluster, job, crashes.longestSurvival_ - crashes.shortestSurvival_ + uncertainty);
    return first * std::pow(similar, std::max(1U, crashes.crashes_) - 1);
}

/// Returns whether one job is suspected of at least half of \p crashes.
bool hasMainSuspect(const std::vector<ObservedCrash *> &crashes)
{
    std::map<JobId, std::size_t> suspicions;
    for (const ObservedCrash *crash : crashes) {
        for (const JobId &job : crash->suspects_) {
            ++suspicions[job];
        }
    }
    return std::any_of(suspicions.begin(), suspicions.end(), [&crashes](const auto &entry) { return 2 * entry.second >= crashes.size(); });
}

/// Drops the suspicions of tasks that lost their first executor on one of \p hosts.
void dropFirstSuspicions(ClusterState &cluster, const std::set<std::string> &hosts)
{
    for (const JobId &id : cluster.jobsWithCrashes_) {
        for (auto &[index, crashes] : cluster.jobs_.at(id).crashes_) {
            if (crashes.crashes_ == 1 && hosts.contains(crashes.lastLost_.host_)) {
                crashes.suspected_ = 0;
            }
        }
    }
}

/// Drops the suspicions of executors that were lost together if they are so many, and ran so different jobs, that a task is unlikely to be the
/// cause: a data centre or all hosts lost their power.
void dismissCommonCause(ClusterState &cluster)
{
    std::vector<ObservedCrash *> together;
    std::set<std::string> hosts;
    for (ObservedCrash &crash : cluster.recentCrashes_) {
        if (crash.noticedAt_ + commonCauseWindow > cluster.now_) {
            together.push_back(&crash);
            hosts.insert(crash.host_);
        }
    }
    const bool many = hosts.size() >= minHostsOfCommonCause && hosts.size() * executorsPerCommonLoss >= cluster.agents_.size();
    if (!many || hasMainSuspect(together)) {
        return;
    }
    for (ObservedCrash *crash : together) {
        crash->suspects_.clear();
    }
    dropFirstSuspicions(cluster, hosts);
}

void forget(ClusterState &cluster, Job &job, std::size_t index)
{
    job.crashes_.erase(index);
    job.verdictsDue_.erase(index);
    if (job.crashes_.empty()) {
        cluster.jobsWithCrashes_.erase(job.submission_.id_);
    }
}

/// Has it decided that tasks which may not be started again are given up, also if a former leader has counted their last crash.
void scheduleFinalVerdicts(const ClusterState &cluster, Job &job)
{
    for (const auto &[index, crashes] : job.crashes_) {
        const TaskProgress &task = job.progress_.tasks_[index];
        if (crashes.crashes_ >= maxCrashes && !task.assigned_ && !task.done_) {
            job.verdictsDue_.try_emplace(index, cluster.now_ + commonCauseWindow);
        }
    }
}

void decide(ClusterState &cluster, Job &job, const TaskCrashes &crashes, Instant lostAt)
{
    const bool otherCause = hasOtherCause(cluster, crashes.lastLost_, lostAt);
    const double chance = chanceOfSoundTask(cluster, job.submission_.id_, crashes);
    const bool isEnough = crashes.crashes_ >= (crashes.knowsSurvivals() ? crashesBeforeGivingUp : crashesBeforeGivingUpUnseen);
    const bool isEvident = isEnough && crashes.suspected_ >= crashesBeforeGivingUp && !otherCause && chance <= maxChanceOfSoundTask;
    const bool givenUp = crashes.crashes_ >= maxCrashes || isEvident;
    cluster.logEvent(givenUp ? "task-given-up" : "task-suspected",
                     {{"job", job.submission_.id_.str()},
                      {"task", std::to_string(crashes.task_)},
                      {"crashes", std::to_string(crashes.crashes_)},
                      {"suspected", std::to_string(crashes.suspected_)},
                      {"survived_ms", std::to_string(crashes.longestSurvival_.count())},
                      {"other_cause", otherCause ? "yes" : "no"},
                      {"sound_chance_ppm", std::to_string(chance * 1e6)}});
    if (givenUp) {
        std::erase_if(cluster.recentCrashes_, [&job](const ObservedCrash &crash) { return crash.suspects_.contains(job.submission_.id_); });
        finishJob(cluster, job, JobState::Failed, "executors-crashed");
    }
}

}

bool reportsLoss(const ClusterState &cluster, const Report &report)
{
    if (!report.listsValid_ || !isInferred(report)) {
        return false;
    }
    // While an unanswered start may still be carried out, the loss shows by the other runs, which have ended without having been stopped.
    const auto hasEnded = [&](const SettledOrder &order) {
        const auto run = cluster.runs_.find(order.run_);
        return order.outcome_ == OrderOutcome::StopConfirmed && run != cluster.runs_.end() && run->second.placement_ == report.executor_.incarnation_;
    };
    return report.starting_.empty() || std::any_of(report.settled_.begin(), report.settled_.end(), hasEnded);
}

LossKind lossKindOf(const Executor &executor, const Report &report) noexcept
{
    const bool leasesExpired = executor.listed_ && report.listedAt_ - executor.listedAt_ >= leaseDuration;
    return leasesExpired ? LossKind::Unreachable : LossKind::Crashed;
}

bool mayHaveBegun(const Run &run) noexcept
{
    return run.wasCalled_ || run.inherited_ || run.id_.run_ <= 1;
}

ExecutorLoss lossOf(const ClusterState &cluster, const Executor &executor, LossKind kind, const UnlistedStarts &unlisted)
{
    ExecutorLoss loss{executor.info_.incarnation_, kind, {}};
    for (const RunId &id : executor.runs_) {
        const Run &run = cluster.runs_.at(id);
        const bool isOver = run.lossRecorded_ || run.hasEnded_ || run.placement_ != loss.incarnation_;
        if (run.phase_ == RunPhase::Committing || isOver || unlisted.refused_.contains(id) || !mayHaveBegun(run)) {
            continue;
        }
        const bool listed = run.listedAt_ != Duration(0);
        const Duration survival = std::max<Duration>(executor.listedAt_ - run.listedAt_, milliseconds(1));
        const bool hasBegun = listed || unlisted.accepted_.contains(id);
        if (kind == LossKind::Left) {
            if ((!listed || survival < likelyCauseWindow) && mayBlame(cluster, executor, id)) {
                loss.runs_.push_back({id, listed ? std::optional(survival) : std::nullopt, run.isolated_, cluster.now_ - run.startedAt_, hasBegun});
            }
            continue;
        }
        loss.runs_.push_back({id, listed ? std::optional(survival) : std::nullopt, run.isolated_, boundOfSurvival(cluster, executor, run, hasBegun), hasBegun});
    }
    return loss;
}

std::vector<RunId> likelyCauses(const ExecutorLoss &loss)
{
    const auto idsWhere = [&loss](auto predicate) {
        std::vector<RunId> ids;
        for (const LostRun &run : loss.runs_) {
            if (predicate(run)) {
                ids.push_back(run.id_);
            }
        }
        return ids;
    };
    if (auto isolated = idsWhere([](const LostRun &run) { return run.isolated_; }); !isolated.empty()) {
        return isolated;
    }
    if (auto unlisted = idsWhere([](const LostRun &run) { return run.hasBegun_ && !run.survival_; }); !unlisted.empty()) {
        return unlisted;
    }
    Duration shortest = likelyCauseWindow;
    for (const LostRun &run : loss.runs_) {
        shortest = std::min(shortest, run.survival_.value_or(likelyCauseWindow));
    }
    return idsWhere(
        [shortest](const LostRun &run) { return !run.hasBegun_ || *run.survival_ < std::min<Duration>(shortest + listingPeriod, likelyCauseWindow); });
}

void recordLoss(ClusterState &cluster, Executor &executor, const ExecutorLoss &loss)
{
    executor.lost_ = true;
    const std::vector<RunId> causes = likelyCauses(loss);
    logLoss(cluster, loss, causes);
    const bool wasAlive = executor.listed_ || !loss.runs_.empty(); // a new leader also hears of executors that were lost before its time
    if (loss.kind_ == LossKind::Crashed && wasAlive) {
        ObservedCrash &crash = cluster.recentCrashes_.emplace_back(ObservedCrash{loss.incarnation_.host_, cluster.now_, {}, {}});
        for (const LostRun &run : loss.runs_) {
            crash.jobs_.insert(run.id_.task_.job_);
        }
        for (const RunId &run : causes) {
            crash.suspects_.insert(run.task_.job_);
        }
    }
    const bool oneSuspect = areOfOneJob(causes);
    for (const LostRun &run : loss.runs_) {
        cluster.runs_.at(run.id_).lossRecorded_ = true;
        const bool isCause = std::find(causes.begin(), causes.end(), run.id_) != causes.end();
        const TaskCrashes *crashes = countFor(cluster, loss, run, isCause);
        if (crashes == nullptr || !isCause || !crashes->lastCounted_ || crashes->crashes_ < crashesBeforeGivingUp) {
            continue;
        }
        if ((oneSuspect && loss.kind_ == LossKind::Crashed) || crashes->crashes_ >= maxCrashes) {
            cluster.jobs_.at(run.id_.task_.job_).verdictsDue_[crashes->task_] = cluster.now_ + commonCauseWindow;
        }
    }
}

void countSpentStart(ClusterState &cluster, const Run &run)
{
    const auto job = cluster.jobs_.find(run.id_.task_.job_);
    if (job == cluster.jobs_.end()) {
        return;
    }
    const auto found = job->second.crashes_.find(*indexOf(job->second.submission_, run.id_.task_));
    if (found == job->second.crashes_.end() || run.phase_ == RunPhase::Committing || !mayHaveBegun(run)) {
        return;
    }
    TaskCrashes &crashes = found->second;
    if (crashes.crashes_ < crashesBeforeStartsCount || crashes.suspected_ < crashesBeforeGivingUp) {
        return;
    }
    const bool isCounted = run.lossRecorded_ || (crashes.lastCounted_ && crashes.lastLost_ == run.placement_);
    crashes.crashes_ += isCounted ? 0 : 1;
}

void resolveLosses(ClusterState &cluster, const Incarnation &current)
{
    const std::set<JobId> jobs = cluster.jobsWithCrashes_;
    for (const JobId &id : jobs) {
        Job &job = cluster.jobs_.at(id);
        std::vector<std::size_t> unfounded;
        for (auto &[index, crashes] : job.crashes_) {
            if (crashes.lastResolved_ || crashes.lastLost_.host_ != current.host_) {
                continue;
            }
            crashes.lastResolved_ = true;
            job.markChanged();
            const bool isAlive = crashes.lastLost_ == current;
            if (isAlive && crashes.lastCounted_) {
                --crashes.crashes_;
                crashes.lastCounted_ = false;
                crashes.suspected_ -= crashes.lastSuspected_ ? 1 : 0;
                job.verdictsDue_.erase(index);
            } else if (!isAlive && !crashes.lastCounted_) {
                count(crashes);
            } else if (!isAlive && crashes.lastSuspected_ && crashes.crashes_ >= crashesBeforeGivingUp) {
                job.verdictsDue_.try_emplace(index, cluster.now_ + commonCauseWindow);
            }
            if (crashes.crashes_ == 0) {
                unfounded.push_back(index);
            }
        }
        for (const std::size_t index : unfounded) {
            forget(cluster, job, index);
        }
    }
}

void decideOnSuspects(ClusterState &cluster)
{
    std::erase_if(cluster.recentCrashes_, [&cluster](const ObservedCrash &crash) { return cluster.now_ - crash.noticedAt_ > crashRatePeriod; });
    dismissCommonCause(cluster);
    const std::set<JobId> jobs = cluster.jobsWithCrashes_;
    for (const JobId &id : jobs) {
        Job &job = cluster.jobs_.at(id);
        scheduleFinalVerdicts(cluster, job);
        for (auto due = job.verdictsDue_.begin(); due != job.verdictsDue_.end() && !isFinal(job.progress_.state_);) {
            if (due->second > cluster.now_) {
                ++due;
                continue;
            }
            const auto crashes = job.crashes_.find(due->first);
            const Instant lostAt = due->second - commonCauseWindow;
            due = job.verdictsDue_.erase(due);
            if (crashes != job.crashes_.end()) {
                decide(cluster, job, crashes->second, lostAt);
            }
        }
    }
}

void clearSurvivor(ClusterState &cluster, const Executor &executor, Run &run)
{
    Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const std::size_t index = *indexOf(job.submission_, run.id_.task_);
    const auto crashes = job.crashes_.find(index);
    const Duration survival = executor.listedAt_ - run.listedAt_;
    const bool isKnown = crashes != job.crashes_.end() && crashes->second.knowsSurvivals();
    if (run.listedAt_ == Duration(0) || !isIsolationOver(survival, isKnown ? crashes->second.longestSurvival_ : milliseconds(0))) {
        return;
    }
    if (run.isolated_) {
        run.isolated_ = false;
        job.isolatedStarts_ = std::min(2 * job.isolatedStarts_, job.progress_.tasks_.size());
        cluster.logEvent("task-cleared", {{"run", toString(run.id_)}, {"executor", executor.info_.incarnation_.executor_.str()}});
    }
    if (crashes == job.crashes_.end() || !crashes->second.lastResolved_ || !hasOutlasted(survival, crashes->second.longestSurvival_ + maxUnlistedTime)) {
        return;
    }
    for (ObservedCrash &crash : cluster.recentCrashes_) {
        crash.suspects_.erase(job.submission_.id_);
    }
    forget(cluster, job, index);
}

void loadCrashHistory(ClusterState &cluster, Job &job, const CrashHistory &history)
{
    job.crashesStored_ = true;
    for (const TaskCrashes &crashes : history.tasks_) {
        if (crashes.task_ < job.progress_.tasks_.size() && !isFinal(job.progress_.state_)) {
            TaskCrashes &known = job.crashes_[crashes.task_];
            const std::uint32_t suspectedCrashes = known.crashes_; // see suspectRepeatedStarts()
            known = crashes;
            known.crashes_ = std::max(known.crashes_, suspectedCrashes);
            cluster.jobsWithCrashes_.insert(job.submission_.id_);
        }
    }
    isolateRecoveredRuns(cluster, job);
}

void suspectRepeatedStarts(ClusterState &cluster, Job &job)
{
    for (std::size_t index = 0; index < job.progress_.tasks_.size(); ++index) {
        const TaskProgress &task = job.progress_.tasks_[index];
        const std::size_t failures = task.failedRuns_.size();
        const std::size_t ended = failures < maxFailedRunsOfLastingTask ? failures : task.failedRuns_.back(); // earlier ones may have been dropped
        const std::size_t accounted = ended + (task.assigned_ ? 1 : 0);
        if (task.done_ || !task.checkpoint_.empty() || task.run_ < accounted + suspectedStarts) {
            continue;
        }
        TaskCrashes &crashes = job.crashes_[index];
        crashes.task_ = static_cast<std::uint32_t>(index);
        crashes.crashes_ = crashesBeforeGivingUp; // so that it is isolated; that it caused a crash isn't known
        crashes.lastResolved_ = true;
        cluster.jobsWithCrashes_.insert(job.submission_.id_);
    }
    isolateRecoveredRuns(cluster, job);
}

std::optional<CrashHistory> crashHistoryToStore(const Job &job)
{
    if (job.crashes_.empty() && !job.crashesStored_) {
        return std::nullopt;
    }
    CrashHistory history{job.submission_.id_, {}};
    if (job.removing_ || isFinal(job.progress_.state_)) {
        return history;
    }
    for (const auto &[index, crashes] : job.crashes_) {
        history.tasks_.push_back(crashes);
    }
    return history;
}

}
