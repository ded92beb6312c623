#include "core/batch/inferred_ends.h"

#include "core/batch/crashes.h"
#include "core/batch/health.h"
#include "core/batch/ledger.h"
#include "core/batch/runs.h"
#include "core/batch/start_record.h"

#include <algorithm>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Time in which the leader orders a start, from when its record is stored.
constexpr milliseconds maxOrderTime{1'000};

/// Time from the last order of a start in which it arrives, and its calls are made and given up.
constexpr milliseconds maxCallingTime{5'000};

/// A wait that ends later than logged by less than this isn't logged again.
constexpr milliseconds minLoggedDelay{100};

const char *toString(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Committing:
        return "committing";
    case RunPhase::Starting:
        return "starting";
    case RunPhase::Running:
        return "running";
    case RunPhase::Stopping:
        break;
    }
    return "stopping";
}

/// Returns the age that the lists of \p executor had when its agent last reported.
milliseconds listsAge(const ClusterState &cluster, const ExecutorId &id)
{
    const auto executor = cluster.executors_.find(id);
    const auto agent = executor == cluster.executors_.end() ? cluster.agents_.end() : cluster.agents_.find(executor->second.agent_);
    return agent == cluster.agents_.end() ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(agent->second.sentAt_ - executor->second.listedAt_);
}

/// Returns the time since \p past, or "-" if that isn't known.
std::string msSince(const ClusterState &cluster, Instant past)
{
    return past == Instant() ? "-" : std::to_string(std::chrono::duration_cast<milliseconds>(cluster.now_ - past).count());
}

/// Returns the time until \p future, or "-" if that isn't known. Negative if it has passed.
std::string msUntil(const ClusterState &cluster, Instant future)
{
    return future == Instant() ? "-" : std::to_string(std::chrono::duration_cast<milliseconds>(future - cluster.now_).count());
}

/// Removes a run that is certain not to be running, although no end of it was reported.
void settleRun(ClusterState &cluster, const RunId &id, const char *reason, bool mayHaveStarted = true)
{
    const auto found = cluster.runs_.find(id);
    if (found == cluster.runs_.end()) {
        return;
    }
    const bool stopping = found->second.phase_ == RunPhase::Stopping;
    const Executor &executor = cluster.executors_.at(found->second.placement_.executor_);
    cluster.logEvent("run-settled",
                     {{"run", toString(id)},
                      {"reason", reason},
                      {"executor", found->second.placement_.executor_.str()},
                      {"phase", toString(found->second.phase_)},
                      {"born", std::to_string(found->second.placement_.startTimeMs_)},
                      {"listed_for_ms", msSince(cluster, executor.firstListedAt_)},
                      {"contact_age_ms", msSince(cluster, executor.lastReport_)},
                      {"leader_age_ms", msSince(cluster, cluster.leaderSince_)},
                      {"lists_age_ms", std::to_string(listsAge(cluster, found->second.placement_.executor_).count())}});
    if (mayHaveStarted) {
        countSpentStart(cluster, found->second);
    }
    removeRun(cluster, id);
    if (!stopping) {
        stopRestOfGang(cluster, id, "member-settled");
    }
}

/// Returns up to when \p report shows all that was started on the executor. If the agent only infers that nothing runs, a run that was started late may live
/// on, by a lease that a late call extended.
Instant evidenceTime(const ClusterState &cluster, const Report &report)
{
    if (isInferred(report)) {
        return cluster.now_ - maxCallDelay - withSlowClockAllowance(cluster.limits_.maxLeaseDuration_);
    }
    return cluster.now_ - (report.sentAt_ - report.listedAt_) - pollWait;
}

/// Returns whether a former process of \p agent may have called the start of \p run.
bool mayBeOfFormerProcess(const Run &run, const Agent &agent)
{
    return run.inherited_ || agent.restartedAt_ > run.startedAt_;
}

/// Returns what \p report, by which \p executor is lost, says of starts there that no list has shown.
UnlistedStarts unlistedStarts(const ClusterState &cluster, const Executor &executor, const Report &report)
{
    UnlistedStarts starts;
    const auto agent = cluster.agents_.find(report.agent_);
    for (const RunId &id : executor.runs_) {
        const Run &run = cluster.runs_.at(id);
        const bool isUncalled = run.phase_ == RunPhase::Starting && !run.wasCalled_ && !isKnownToAgent(run, report);
        if (isUncalled && agent != cluster.agents_.end() && !mayBeOfFormerProcess(run, agent->second)) {
            starts.refused_.insert(id); // its agent would tell of a call
        }
    }
    const bool knowsCalls = agent != cluster.agents_.end() && cluster.now_ - agent->second.restartedAt_ >= maxCallDelay;
    for (const SettledOrder &order : report.settled_) {
        const auto run = cluster.runs_.find(order.run_);
        if (order.outcome_ == OrderOutcome::Refused) {
            starts.refused_.insert(order.run_);
        } else if (knowsCalls && run != cluster.runs_.end() && run->second.phase_ == RunPhase::Starting
                   && cluster.now_ - run->second.startedAt_ < maxCallDelay) {
            starts.accepted_.insert(order.run_); // one that wasn't answered stays open for maxCallDelay
        }
    }
    return starts;
}

/// Settles the runs on \p executor that match \p predicate. Settling one may remove other members of its gang.
template<class Predicate>
void settleRuns(ClusterState &cluster, const Executor &executor, const char *reason, Predicate predicate)
{
    const std::set<RunId> runs = executor.runs_;
    for (const RunId &id : runs) {
        const auto run = cluster.runs_.find(id);
        if (run != cluster.runs_.end() && predicate(run->second)) {
            settleRun(cluster, id, reason);
        }
    }
}

}

void applySettledOrder(ClusterState &cluster, const Executor &executor, const Report &report, const SettledOrder &order)
{
    const auto found = cluster.runs_.find(order.run_);
    if (found == cluster.runs_.end() || found->second.placement_ != executor.info_.incarnation_) {
        return;
    }
    if (order.outcome_ == OrderOutcome::Refused) {
        const auto job = cluster.jobs_.find(order.run_.task_.job_);
        const Submission &submission = job->second.submission_;
        excludeExecutor(
            cluster, job->second, groupOf(submission, order.run_.task_), *indexOf(submission, order.run_.task_), executor.info_.incarnation_.executor_);
    }
    const bool refused = order.outcome_ == OrderOutcome::Refused;
    if (!refused && mayStartUnknown(cluster, found->second, report)) {
        return; // the agent repeats it
    }
    settleRun(cluster, order.run_, refused ? "refused" : "stop-confirmed", !refused);
}

void settleMissingRuns(ClusterState &cluster, Executor &executor, const Report &report)
{
    if (report.ended_.size() >= maxEndsPerList) {
        return; // their ends may be among those that the executor hasn't returned yet
    }
    std::set<RunId> listed(report.starting_.begin(), report.starting_.end());
    for (const RunningTask &task : report.running_) {
        listed.insert(task.run_);
    }
    settleRuns(cluster, executor, "missing", [&](const Run &run) {
        const bool expected = run.phase_ == RunPhase::Running || run.recovered_;
        return run.placement_ == executor.info_.incarnation_ && expected && !listed.contains(run.id_) && !mayStartUnknown(cluster, run, report);
    });
}

Instant latestStart(Instant orderedAt) noexcept
{
    return orderedAt + maxOrderTime + maxCallingTime + maxCallDelay;
}

void noteStart(const ClusterState &cluster, Run &run)
{
    run.orderedAt_ = cluster.now_;
    run.mayStartUntil_ = latestStart(cluster.now_);
}

bool isKnownToAgent(const Run &run, const Report &report)
{
    const auto isRun = [&run](const RunningTask &task) { return task.run_ == run.id_; };
    return std::find(report.starting_.begin(), report.starting_.end(), run.id_) != report.starting_.end()
        || std::any_of(report.running_.begin(), report.running_.end(), isRun);
}

void renewOverdueOrders(ClusterState &cluster, const Executor &executor, const Report &report)
{
    for (const RunId &id : executor.runs_) {
        Run &run = cluster.runs_.at(id);
        const bool isOrdered = run.phase_ == RunPhase::Starting && !run.recovered_ && !run.awaitsRecord_;
        if (!isOrdered || cluster.now_ - run.orderedAt_ <= maxOrderTime || isKnownToAgent(run, report)) {
            continue;
        }
        Job &job = cluster.jobs_.at(id.task_.job_);
        job.markChanged();
        run.version_ = job.version_;
        run.awaitsRecord_ = true;
    }
}

bool mayOrderStart(const ClusterState &cluster, const Run &run)
{
    return run.phase_ == RunPhase::Starting && !run.recovered_ && !run.awaitsRecord_ && cluster.now_ - run.orderedAt_ <= maxOrderTime;
}

void noteLateStarts(ClusterState &cluster, const Report &report)
{
    for (const RunningTask &task : report.running_) {
        const auto found = cluster.runs_.find(task.run_);
        if (found == cluster.runs_.end() || found->second.placement_ != report.executor_.incarnation_) {
            continue;
        }
        Run &run = found->second;
        const bool mayStart = std::find(report.starting_.begin(), report.starting_.end(), task.run_) != report.starting_.end();
        // Runs that are listed for the first time, or are being stopped, stand in both lists as well.
        if (mayStart && run.phase_ == RunPhase::Running && run.listedAt_ < report.listedAt_) {
            run.lateStartNotedAt_ = run.lateStartNotedAt_.value_or(cluster.now_);
            run.mayStartUntil_ = std::min(cluster.now_, *run.lateStartNotedAt_ + maxCallTime) + maxCallDelay;
            Job &job = cluster.jobs_.at(run.id_.task_.job_);
            if (!job.hasUnstoredChanges() && isRecordOutdated(cluster, run)) {
                job.markChanged();
            }
        } else if (!mayStart && !mayStartUnknown(cluster, run, report)) {
            run.mayStartUntil_ = Instant();
        }
    }
}

bool mayStartUnknown(const ClusterState &cluster, const Run &run, const Report &report)
{
    if (knowsAllCalls(report) || evidenceTime(cluster, report) >= run.mayStartUntil_) {
        return false;
    }
    return mayBeOfFormerProcess(run, cluster.agents_.at(report.agent_));
}

bool mayStartUnknown(const ClusterState &cluster, const Executor &executor)
{
    const auto agent = cluster.agents_.find(executor.agent_);
    if (agent == cluster.agents_.end() || agent->second.sequence_ >= informedSequence) {
        return false;
    }
    return std::any_of(executor.runs_.begin(), executor.runs_.end(), [&](const RunId &id) {
        const Run &run = cluster.runs_.at(id);
        return cluster.now_ < run.mayStartUntil_ && mayBeOfFormerProcess(run, agent->second);
    });
}

void noteCalls(ClusterState &cluster, const Report &report)
{
    const auto note = [&](const RunId &id) {
        const auto run = cluster.runs_.find(id);
        if (run != cluster.runs_.end() && run->second.placement_.host_ == report.agent_) {
            run->second.wasCalled_ = true;
        }
    };
    std::for_each(report.starting_.begin(), report.starting_.end(), note);
    for (const RunningTask &task : report.running_) {
        note(task.run_);
    }
    for (const SettledOrder &order : report.settled_) {
        if (order.outcome_ == OrderOutcome::StopConfirmed) {
            note(order.run_);
        }
    }
}

void recordEndOfIncarnation(ClusterState &cluster, Executor &executor, const Report &report)
{
    const LossKind kind = executor.isLeaving_ ? LossKind::Left : LossKind::Crashed;
    const ExecutorLoss loss = lossOf(cluster, executor, kind, unlistedStarts(cluster, executor, report));
    if ((!executor.lost_ && loss.kind_ != LossKind::Left) || !loss.runs_.empty()) {
        recordLoss(cluster, executor, loss);
    }
}

void recordReportedLoss(ClusterState &cluster, Executor &executor, const Report &report)
{
    if (!reportsLoss(cluster, report) || executor.lost_) {
        return;
    }
    const LossKind kind = executor.isLeaving_ ? LossKind::Left : lossKindOf(executor, report);
    const ExecutorLoss loss = lossOf(cluster, executor, kind, unlistedStarts(cluster, executor, report));
    if (kind != LossKind::Left || !loss.runs_.empty()) {
        recordLoss(cluster, executor, loss);
    }
}

void carryOverToCurrentIncarnation(ClusterState &cluster, Executor &executor)
{
    for (const RunId &id : executor.runs_) {
        Run &run = cluster.runs_.at(id);
        if (run.placement_.startTimeMs_ == executor.info_.incarnation_.startTimeMs_) {
            continue;
        }
        run.placement_ = executor.info_.incarnation_;
        run.recovered_ = true;
        run.lossRecorded_ = true; // it hasn't been seen on the current incarnation
        setEnded(cluster, run, false);
        run.percent_ = 0;
        run.phase_ = run.phase_ == RunPhase::Stopping ? RunPhase::Stopping : RunPhase::Starting;
    }
}

void settleFormerIncarnationsOnHost(ClusterState &cluster, const Report &report)
{
    const Incarnation &current = report.executor_.incarnation_;
    for (auto &[id, executor] : cluster.executors_) {
        const Incarnation &incarnation = executor.info_.incarnation_;
        if (id == current.executor_ || incarnation.host_ != current.host_ || incarnation.startTimeMs_ >= current.startTimeMs_) {
            continue;
        }
        recordEndOfIncarnation(cluster, executor, report);
        executor.listed_ = false; // it gets no more work
        settleRuns(cluster, executor, "executor-replaced", [](const Run &) { return true; });
    }
}

/// Returns when all leases on \p executor are over if its agent has called it neither for this leader nor for another one since it was last heard of.
Instant leasesEnd(const ClusterState &cluster, const Executor &executor)
{
    // A permit counts from the agent's report that it answers, whenever it is sent.
    const Instant lastContact = executor.reported_ ? executor.lastReport_ : cluster.leaderSince_ + maxRenewalAgeForPermits;
    const Instant permittedEnd = lastContact + withSlowClockAllowance(permitDuration) + permitSlack;
    // Before its first lists, the incarnation may have carried out a call to the former one, whose clock was ahead: the lease is then the longest.
    const Instant fencedBy = executor.firstListedAt_ == Instant() ? cluster.leaderSince_ : executor.firstListedAt_;
    return std::max(permittedEnd, fencedBy + withSlowClockAllowance(cluster.limits_.maxLeaseDuration_) + permitSlack);
}

/// Returns when \p run is over if nothing is heard of \p executor. Its next incarnation may start the run by a call that was given up, for the longest lease.
Instant silentRunEnd(const ClusterState &cluster, const Executor &executor, const Run &run)
{
    const Instant end = leasesEnd(cluster, executor);
    const bool mayStartLate = run.mayStartUntil_ != Instant();
    return mayStartLate ? std::max(end, run.mayStartUntil_ + withSlowClockAllowance(cluster.limits_.maxLeaseDuration_)) : end;
}

/// Logs until when the runs on silent \p executor wait whose leases are over, and again if that moves to a later time.
void logWaitingRuns(ClusterState &cluster, const Executor &executor)
{
    for (const RunId &id : executor.runs_) {
        Run &run = cluster.runs_.at(id);
        const Instant end = silentRunEnd(cluster, executor, run);
        const Instant logged = run.waitLoggedUntil_.value_or(Instant());
        if (run.waitLoggedUntil_ && end < logged + minLoggedDelay) {
            continue;
        }
        cluster.logEvent("run-waits",
                         {{"run", toString(id)},
                          {"reason", cluster.now_ < leasesEnd(cluster, executor) ? "leases" : "late-start"},
                          {"executor", executor.info_.incarnation_.executor_.str()},
                          {"phase", toString(run.phase_)},
                          {"ended", run.hasEnded_ ? "yes" : "no"},
                          {"for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(end - cluster.now_).count())},
                          {"moved_ms", run.waitLoggedUntil_ ? std::to_string(std::chrono::duration_cast<milliseconds>(end - logged).count()) : "0"},
                          {"inherited", run.inherited_ ? "yes" : "no"},
                          {"assigned_ago_ms", msSince(cluster, run.startedAt_)},
                          {"start_possible_for_ms", msUntil(cluster, run.mayStartUntil_)},
                          {"leases_over_ms", msSince(cluster, leasesEnd(cluster, executor))},
                          {"contact_age_ms", msSince(cluster, executor.lastReport_)},
                          {"leader_age_ms", msSince(cluster, cluster.leaderSince_)}});
        run.waitLoggedUntil_ = end;
    }
}

void expireSilentLeases(ClusterState &cluster)
{
    if (!cluster.mayIssueOrders()) {
        return; // agents may be silent because they report to another leader
    }
    for (auto &entry : cluster.executors_) {
        Executor &executor = entry.second;
        if (executor.runs_.empty()) {
            continue;
        }
        const bool areLeasesOver = cluster.now_ >= leasesEnd(cluster, executor);
        if (areLeasesOver && !executor.lost_) {
            recordLoss(cluster, executor, lossOf(cluster, executor, executor.isLeaving_ ? LossKind::Left : LossKind::Unreachable));
        }
        if (areLeasesOver) {
            settleRuns(cluster, executor, "lease-over", [&](const Run &run) { return cluster.now_ >= silentRunEnd(cluster, executor, run); });
        }
        if (areLeasesOver || (executor.lost_ && cluster.now_ - executor.lastReport_ >= reportTimeout)) {
            logWaitingRuns(cluster, executor);
        }
    }
}

}
