#include "core/batch/start_record.h"

#include "core/batch/board.h"
#include "core/batch/inferred_ends.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Longest time from the writing of a record to the answer of the store after which the starts in it are ordered.
constexpr milliseconds maxCommitTime{2'000};

/// Interval of writing the record of a job with a run on a silent executor whose start may be late.
constexpr milliseconds refreshInterval{2'000};

/// A record isn't written again for a time that is earlier by less than this.
constexpr milliseconds minRecordedGain{1'000};

/// Calls \p visit with each run of \p job.
template<class Runs, class Visitor>
void forEachRun(Runs &runs, const JobId &job, Visitor visit)
{
    for (auto run = runs.lower_bound(RunId{{job, 0, 0, 0}, 0}); run != runs.end() && run->first.task_.job_ == job; ++run) {
        visit(run->second);
    }
}

/// Returns until when the start of \p run may be carried out if the leader changes now; zero if each call has been answered.
Instant possibleUntil(const ClusterState &cluster, const Run &run)
{
    if (run.phase_ == RunPhase::Committing || run.awaitsRecord_) {
        return latestStart(cluster.now_ + maxCommitTime);
    }
    if (run.mayStartUntil_ == Instant() || !run.lateStartNotedAt_) {
        return run.mayStartUntil_;
    }
    return std::max(run.mayStartUntil_, *run.lateStartNotedAt_ + maxCallTime + maxCallDelay);
}

FleetTime toFleetTime(const ClusterState &cluster, Instant until)
{
    return until == Instant() ? FleetTime() : cluster.fleetClock_.readingAt(until) + milliseconds(1);
}

void loadStart(ClusterState &cluster, Run &run, const RecordedStart &start)
{
    const Instant until = start.possibleUntil_ == FleetTime() ? Instant() : cluster.fleetClock_.instantOf(start.possibleUntil_);
    run.mayStartUntil_ = std::min(run.mayStartUntil_, until);
    Executor &executor = cluster.executors_.at(run.placement_.executor_);
    if (start.isExecutorLeaving_ && run.placement_ == executor.info_.incarnation_) {
        executor.isLeaving_ = true;
        executor.info_.draining_ = true;
    }
}

void loadStarts(ClusterState &cluster, const Job &job, const StartRecord &record)
{
    std::map<std::pair<std::size_t, std::uint32_t>, const RecordedStart *> starts;
    for (const RecordedStart &start : record.runs_) {
        starts.emplace(std::pair(start.task_, start.run_), &start);
    }
    forEachRun(cluster.runs_, job.submission_.id_, [&](Run &run) {
        const auto start = starts.find({*indexOf(job.submission_, run.id_.task_), run.id_.run_});
        if (start != starts.end()) {
            loadStart(cluster, run, *start->second);
        }
    });
}

}

std::optional<StartRecord> startRecordOf(const ClusterState &cluster, const Job &job)
{
    StartRecord record{job.submission_.id_, cluster.fleetClock_.readingAt(cluster.now_), {}};
    forEachRun(cluster.runs_, job.submission_.id_, [&](const Run &run) {
        const auto task = static_cast<std::uint32_t>(*indexOf(job.submission_, run.id_.task_));
        record.runs_.push_back(
            {task, run.id_.run_, toFleetTime(cluster, possibleUntil(cluster, run)), cluster.executors_.at(run.placement_.executor_).isLeaving_});
    });
    return record.runs_.empty() ? std::nullopt : std::optional(std::move(record));
}

void noteRecordedStarts(ClusterState &cluster, Job &job)
{
    job.startsRecordedAt_ = cluster.now_;
    forEachRun(cluster.runs_, job.submission_.id_, [&](Run &run) {
        run.recordedUntil_ = possibleUntil(cluster, run);
        if (run.phase_ == RunPhase::Committing || run.awaitsRecord_) {
            run.recordedAt_ = cluster.now_;
        }
    });
}

bool isRecordOutdated(const ClusterState &cluster, const Run &run)
{
    const Instant until = possibleUntil(cluster, run);
    return run.recordedUntil_ == Instant() || until + minRecordedGain < run.recordedUntil_;
}

void refreshStartRecords(ClusterState &cluster)
{
    if (!cluster.mayIssueOrders()) {
        return;
    }
    for (const auto &[name, executor] : cluster.executors_) {
        const Instant silentFrom = std::max(executor.lastReport_, cluster.leaderSince_) + reportTimeout;
        if (cluster.now_ < silentFrom) {
            continue;
        }
        for (const RunId &id : executor.runs_) {
            const Run &run = cluster.runs_.at(id);
            Job &job = cluster.jobs_.at(id.task_.job_);
            const bool isRefreshDue = run.mayStartUntil_ != Instant() && cluster.now_ - job.startsRecordedAt_ >= refreshInterval;
            if (!job.hasUnstoredChanges() && (isRefreshDue || job.startsRecordedAt_ < silentFrom)) {
                job.markChanged();
            }
        }
    }
}

bool isRecordRecent(const ClusterState &cluster, const Run &run)
{
    return cluster.now_ - run.recordedAt_ <= maxCommitTime;
}

std::vector<JobId> loadStartRecords(ClusterState &cluster, const std::vector<StoredStartRecord> &records)
{
    for (const StoredStartRecord &stored : records) {
        cluster.fleetClock_.resume(stored.record_.writtenAt_, stored.age_, cluster.now_);
    }
    std::vector<JobId> orphans;
    for (const StoredStartRecord &stored : records) {
        const auto job = cluster.jobs_.find(stored.record_.id_);
        if (job == cluster.jobs_.end()) {
            orphans.push_back(stored.record_.id_);
            continue;
        }
        loadStarts(cluster, job->second, stored.record_);
    }
    return orphans;
}

}
