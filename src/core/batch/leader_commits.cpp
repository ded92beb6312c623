#include "core/batch/leader.h"

#include "core/batch/crashes.h"
#include "core/batch/record.h"
#include "core/batch/runs.h"

#include <algorithm>
#include <tuple>

namespace bergamotwick::batch {

namespace {

/// Maximum number of jobs written in one commit.
constexpr std::size_t maxWritesPerCommit = 5;

/// Operations of a transaction: one checks the leader's key, and each job needs one check and its records.
constexpr std::size_t maxOperationsPerCommit = 32;
constexpr std::size_t operationsPerWrite = 5;
constexpr std::size_t operationsPerRemoval = 7;

/// Maximum number of jobs removed in one commit.
constexpr std::size_t maxRemovalsPerCommit = (maxOperationsPerCommit - 1) / operationsPerRemoval;

/// Delay before the next commit after a failed one for which no revisions were returned, for example because the store did not answer.
constexpr milliseconds commitRetryDelay{150};

/// Time after a rejection in which nothing more of the job is placed.
constexpr milliseconds placementPauseAfterRejection{10'000};

/// How long the records of a job that isn't stored are kept. A write of its submission may still be carried out, also long after an outage of the store.
constexpr std::chrono::minutes unstoredJobRetention{10};

/// Shortest time between two writes of the fleet profile, and the bandwidth that they take at most.
constexpr milliseconds profileInterval{3'000};
constexpr std::size_t profileBytesPerSecond = 1'024;

/// Size of the record of a host in the fleet profile, with a long name.
constexpr std::size_t profileBytesPerHost = 64;

/// Additional time for which a job's records are kept after callers can no longer query them.
constexpr milliseconds removalSlack{5'000};

/// Returns what orders the writes of jobs. Callers wait for ends; a start waits for its record, and urgent ones wait least.
auto writeOrderOf(const Job &job)
{
    return std::tuple(job.removing_, !isFinal(job.progress_.state_), job.settings_.priority_);
}

}

void Leader::handle(const CommitDone &input)
{
    const auto commit = std::find_if(inFlight_.begin(), inFlight_.end(), [&input](const auto &candidate) { return candidate.commit_ == input.commit_; });
    if (commit == inFlight_.end()) {
        return;
    }
    for (const auto &[id, version] : commit->versions_) {
        const auto job = cluster_.jobs_.find(id);
        if (job != cluster_.jobs_.end()) {
            job->second.storedVersion_ = version;
            job->second.rejectedVersion_.reset();
            job->second.revision_ = input.revision_;
        }
        writtenAlone_.erase(id);
    }
    for (const JobId &id : commit->settings_) {
        const auto job = cluster_.jobs_.find(id);
        if (job != cluster_.jobs_.end()) {
            job->second.areSettingsStored_ = true;
        }
    }
    for (const JobId &id : commit->removals_) {
        forget(id);
    }
    inFlight_.erase(commit);
    startCommittedRuns();
}

void Leader::handle(const CommitRejected &input)
{
    const auto found = std::find_if(inFlight_.begin(), inFlight_.end(), [&input](const auto &candidate) { return candidate.commit_ == input.commit_; });
    if (found == inFlight_.end()) {
        return;
    }
    const InFlightCommit commit = std::move(*found);
    inFlight_.erase(found);
    if (commit.versions_.size() + commit.removals_.size() > 1) {
        cluster_.logEvent("commit-split", {{"commit", std::to_string(commit.commit_)}});
        for (const auto &[id, version] : commit.versions_) {
            writtenAlone_.insert(id);
        }
        writtenAlone_.insert(commit.removals_.begin(), commit.removals_.end());
        return;
    }
    for (const auto &[id, version] : commit.versions_) {
        recordRejection(id, version);
    }
    for (const JobId &id : commit.removals_) {
        cluster_.logEvent("removal-rejected", {{"job", id.str()}});
        forget(id); // the next leader finds its records and tries again
    }
}

void Leader::recordRejection(const JobId &id, std::uint64_t version)
{
    Job &job = cluster_.jobs_.at(id);
    job.rejectedVersion_ = version;
    job.mayPlaceFrom_ = cluster_.now_ + placementPauseAfterRejection;
    cluster_.logEvent("record-rejected",
                      {{"job", id.str()},
                       {"workspace", job.submission_.workspace_.str()},
                       {"tasks", std::to_string(job.progress_.tasks_.size())},
                       {"bytes", std::to_string(encodeProgress({id, 0, recordOf(job.progress_), job.isFolded_, false, {}, {}, {}}).size())},
                       {"limit", std::to_string(cluster_.limits_.maxRecordBytes_)}});
    std::vector<RunId> unstored;
    for (auto run = cluster_.runs_.lower_bound(RunId{{id, 0, 0, 0}, 0}); run != cluster_.runs_.end() && run->first.task_.job_ == id; ++run) {
        if (run->second.phase_ == RunPhase::Committing) {
            unstored.push_back(run->first);
        }
    }
    for (const RunId &run : unstored) {
        stopRun(cluster_, run, "record-rejected"); // others may have what they occupy
    }
}

void Leader::handle(const CommitFailed &input)
{
    if (std::erase_if(inFlight_, [&input](const auto &candidate) { return candidate.commit_ == input.commit_; }) == 0) {
        return;
    }
    for (const auto &[id, revision] : input.foundRevisions_) {
        const auto job = cluster_.jobs_.find(id);
        if (job != cluster_.jobs_.end() && job->second.revision_ != revision) {
            // An earlier write of this leader took effect although its answer was lost; the next write expects its revision.
            cluster_.logEvent("record-found", {{"job", id.str()}, {"revision", std::to_string(revision)}});
            job->second.revision_ = revision;
        }
    }
    retryAt_ = input.foundRevisions_.empty() ? cluster_.now_ + commitRetryDelay : cluster_.now_;
}

void Leader::markExpiredJobs()
{
    for (auto &[id, job] : cluster_.jobs_) {
        const bool expired = isFinal(job.progress_.state_) && cluster_.calendar_ > job.progress_.endedAt_ + cluster_.limits_.statusRetention_ + removalSlack;
        const auto &tasks = job.progress_.tasks_;
        job.removing_ = expired && !job.needsWrite() && std::none_of(tasks.begin(), tasks.end(), [](const TaskProgress &task) { return task.assigned_; });
    }
}

void Leader::removeRecordsOfUnstoredJobs()
{
    std::erase_if(unstoredJobs_, [this](const auto &entry) {
        const bool isExpired = cluster_.now_ - entry.second.heardOfAt_ > unstoredJobRetention;
        if (isExpired) {
            removeOrphan(entry.first);
        }
        return isExpired;
    });
}

void Leader::removeOrphan(const JobId &id)
{
    if (!unreadableJobs_.contains(id)) {
        orphans_.insert(id);
    }
}

std::set<JobId> Leader::jobsInFlight() const
{
    std::set<JobId> jobs;
    for (const InFlightCommit &commit : inFlight_) {
        for (const auto &[id, version] : commit.versions_) {
            jobs.insert(id);
        }
        jobs.insert(commit.removals_.begin(), commit.removals_.end());
    }
    return jobs;
}

std::vector<JobId> Leader::jobsToWrite() const
{
    const std::set<JobId> busy = jobsInFlight();
    const auto isDue = [&busy](const JobId &id, const Job &job) { return (job.needsWrite() || job.removing_) && !busy.contains(id); };
    for (const JobId &id : writtenAlone_) {
        if (isDue(id, cluster_.jobs_.at(id))) {
            return {id};
        }
    }
    std::vector<const std::pair<const JobId, Job> *> due;
    for (const auto &entry : cluster_.jobs_) {
        if (isDue(entry.first, entry.second)) {
            due.push_back(&entry);
        }
    }
    std::stable_sort(due.begin(), due.end(), [](const auto *first, const auto *second) { return writeOrderOf(first->second) < writeOrderOf(second->second); });
    std::vector<JobId> jobs;
    std::size_t operations = 1;
    for (const auto *entry : due) {
        const std::size_t added = entry->second.removing_ ? operationsPerRemoval : operationsPerWrite;
        if (jobs.size() < maxWritesPerCommit && operations + added <= maxOperationsPerCommit) {
            operations += added;
            jobs.push_back(entry->first);
        }
    }
    return jobs;
}

void Leader::commit(std::vector<LeaderOutput> &outputs)
{
    if (inFlight_.size() == maxCommitsInFlight || cluster_.now_ < retryAt_) {
        return;
    }
    Commit commit;
    InFlightCommit inFlight;
    while (!orphans_.empty() && commit.writes_.size() < maxRemovalsPerCommit) {
        const JobId id = orphans_.extract(orphans_.begin()).value();
        commit.writes_.push_back({id, 0, {}, false, true, CrashHistory{id, {}}, std::nullopt, std::nullopt});
    }
    for (const JobId &id : commit.writes_.empty() ? jobsToWrite() : std::vector<JobId>()) {
        Job &job = cluster_.jobs_.at(id);
        if (job.removing_) {
            inFlight.removals_.push_back(id);
        } else {
            inFlight.versions_.emplace_back(id, job.version_);
        }
        const auto settings = job.areSettingsStored_ || job.removing_ ? std::nullopt : job.acceptedWith_;
        if (settings) {
            inFlight.settings_.push_back(id);
        }
        commit.writes_.push_back(
            {id, job.revision_, recordOf(job.progress_), job.isFolded_, job.removing_, crashHistoryToStore(job), startRecordOf(cluster_, job), settings});
        noteRecordedStarts(cluster_, job);
        job.crashesStored_ = job.crashesStored_ || !job.crashes_.empty();
    }
    if (commit.writes_.empty()) {
        return;
    }
    commit.commit_ = ++lastCommit_;
    inFlight.commit_ = commit.commit_;
    inFlight_.push_back(std::move(inFlight));
    outputs.emplace_back(std::move(commit));
}

void Leader::storeProfile(std::vector<LeaderOutput> &outputs)
{
    const std::uint64_t samples = cluster_.hosts_.recorded();
    if (!isProfileLoaded_ || samples == storedSamples_ || cluster_.now_ < storeProfileFrom_ || !cluster_.mayIssueOrders()) {
        return;
    }
    FleetProfile profile{cluster_.hosts_.toStore(), cluster_.runTimes_.toStore()};
    const std::chrono::seconds pause((profile.hosts_.size() + profile.queues_.size()) * profileBytesPerHost / profileBytesPerSecond);
    storeProfileFrom_ = cluster_.now_ + std::max<milliseconds>(profileInterval, pause);
    storedSamples_ = samples;
    outputs.emplace_back(StoreProfile{std::move(profile)});
}

}
