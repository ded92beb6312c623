#pragma once

#include "core/batch/advising.h"
#include "core/batch/board.h"
#include "core/batch/fleet_profile.h"
#include "core/batch/start_record.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bergamotwick::batch {

// Inputs

/// A stored job; received once for each job.
struct JobStored
{
    Submission submission_;
};

/// A job is stored that this release can't read, as a later one has written it. Its records are left alone.
struct JobUnreadable
{
    JobId job_;
    std::string reason_; ///< for the log
};

/// The stored progress of a job; received after its JobStored, while a new leader loads the store.
struct ProgressStored
{
    Progress progress_;
    std::int64_t revision_ = 0;
};

/// The stored crash history of a job; received after its ProgressStored.
struct CrashHistoryStored
{
    CrashHistory history_;
};

/// All stored start records; received after the progress of all jobs.
struct StartRecordsStored
{
    std::vector<StoredStartRecord> records_;
};

/// The settings with which a job was accepted.
struct SettingsStored
{
    AcceptedSettings record_;
};

/// The fleet profile that former leaders have stored; empty if there is none. May arrive while work is being scheduled.
struct FleetProfileStored
{
    FleetProfile profile_;
};

struct CancelStored
{
    JobId job_;
};

struct ConfigChanged
{
    ClusterConfig config_;
};

struct EvacuationsChanged
{
    std::set<DataCentreId> dataCentres_;
};

/// The leader's lease on its key was renewed; \p at_ is when the renewal was sent.
struct LeaderLeaseRenewed
{
    Instant at_{};
};

struct CommitDone
{
    std::uint64_t commit_ = 0;
    std::int64_t revision_ = 0;
};

/// The store rejected the commit or did not answer. After a rejection it holds the current revisions of the progress keys.
struct CommitFailed
{
    std::uint64_t commit_ = 0;
    std::vector<std::pair<JobId, std::int64_t>> foundRevisions_; ///< revisions of the progress keys; 0 for absent keys
};

/// The store rejects what the commit contains: it had no effect, and repeating it without a change has none either.
struct CommitRejected
{
    std::uint64_t commit_ = 0;
};

using LeaderInput = std::variant<AdviceAnswer,
                                 JobStored,
                                 JobUnreadable,
                                 ProgressStored,
                                 CrashHistoryStored,
                                 StartRecordsStored,
                                 SettingsStored,
                                 FleetProfileStored,
                                 CancelStored,
                                 ConfigChanged,
                                 EvacuationsChanged,
                                 LeaderLeaseRenewed,
                                 CommitDone,
                                 CommitFailed,
                                 CommitRejected,
                                 Report>;

// Outputs

/// A write to a job's progress key, conditional on the key's revision.
struct ProgressWrite
{
    JobId job_;
    std::int64_t expected_ = 0; ///< expected revision of the job's progress key; 0 for absent
    Progress progress_;
    bool isFolded_ = false; ///< the progress is stored as FoldedProgress
    bool remove_ = false; ///< delete all records of the job
    std::optional<CrashHistory> crashes_; ///< replaces the stored crash history, which is deleted if this one has no tasks; unset to keep it
    std::optional<StartRecord> starts_; ///< replaces the stored start record; unset to keep it
    std::optional<QueueSettings> settings_; ///< settings with which the job was accepted; unset if they are stored, or unknown
};

/// Returns the bytes to store of the progress in \p write. Thread-safe on const objects.
[[nodiscard]] std::string encodeProgress(const ProgressWrite &write);

/// Writes for one transaction, conditional on this leader still holding the leader's key.
struct Commit
{
    std::uint64_t commit_ = 0;
    std::vector<ProgressWrite> writes_;
};

/// Replaces the stored fleet profile, unless this leader has lost the leader's key. Best effort: the next one holds all of it again.
struct StoreProfile
{
    FleetProfile profile_;
};

struct SendDirective
{
    std::string agent_;
    Directive directive_;
};

using LeaderOutput = std::variant<AdviceRequest, Commit, StoreProfile, SendDirective, LogEvent>;

/// Number of waiting jobs by Submission::queue_.
using WaitingJobs = std::map<std::string, std::size_t>;

/// Number of commits that may wait for the store at a time. While the store is slow, changes don't wait for commits of other jobs.
constexpr std::size_t maxCommitsInFlight = 4;

/// Scheduling logic of the leader. Uses no sockets, threads or clocks of its own.
///
/// Thread safety: none; all calls come from one thread.
class Leader
{
public:
    /// Takes over at \p now with fencing token \p epoch. Precondition: the store's entire contents are passed to step() before the first step
    /// that may place tasks.
    Leader(LeaderLimits limits, std::int64_t epoch, Instant now);

    /// Processes \p inputs and returns the resulting actions. \p calendar is the current calendar time.
    [[nodiscard]] std::vector<LeaderOutput> step(Instant now, CalendarTime calendar, std::vector<LeaderInput> inputs);

    /// Returns the number of jobs in each queue that wait for their first task to be placed, without queues that have none. Returns std::nullopt
    /// while this leader may have been replaced, as the store may then be ahead of it.
    [[nodiscard]] std::optional<WaitingJobs> waitingJobs() const;

    /// Returns whether all changes are stored, but for records that the store rejects, and no commit is in flight, so that leadership can be handed
    /// over without loss.
    [[nodiscard]] bool isFullyCommitted() const;

    [[nodiscard]] const ClusterState &cluster() const noexcept
    {
        return cluster_;
    }

private:
    /// What is stored of a job without the job itself.
    struct UnstoredJob
    {
        Instant heardOfAt_{};
        bool isCancelled_ = false;
        std::optional<QueueSettings> acceptedWith_;
    };

    void handle(JobStored &&input);
    void handle(const JobUnreadable &input);
    void handle(ProgressStored &&input);
    void handle(const CrashHistoryStored &input);
    void handle(const StartRecordsStored &input);
    void handle(const SettingsStored &input);
    void handle(const FleetProfileStored &input);
    void handle(const CancelStored &input);
    void handle(ConfigChanged &&input);
    void handle(EvacuationsChanged &&input);
    void handle(const LeaderLeaseRenewed &input);
    void handle(const CommitDone &input);
    void handle(const CommitFailed &input);
    void handle(const CommitRejected &input);
    void handle(const Report &input);
    void handle(const AdviceAnswer &input);

    void refreshFromConfig(Job &job) const;
    void startCommittedRuns();
    void acknowledgeEnds();
    void markExpiredJobs();
    void removeRecordsOfUnstoredJobs();

    /// Has the records of a job that isn't stored deleted, unless it is stored in a form that this release can't read.
    void removeOrphan(const JobId &id);
    [[nodiscard]] UnstoredJob takeUnstored(const JobId &id);
    void forget(const JobId &id);
    void recordRejection(const JobId &id, std::uint64_t version);
    void commit(std::vector<LeaderOutput> &outputs);
    void storeProfile(std::vector<LeaderOutput> &outputs);
    void sendDirectives(std::vector<LeaderOutput> &outputs);
    [[nodiscard]] Directive directiveFor(const Agent &agent) const;

    /// Returns the jobs that commits in flight write.
    [[nodiscard]] std::set<JobId> jobsInFlight() const;

    /// Returns the jobs that the next commit writes: one of writtenAlone_, or others together, first those that callers wait for.
    [[nodiscard]] std::vector<JobId> jobsToWrite() const;

    /// A commit that the store hasn't answered yet.
    struct InFlightCommit
    {
        std::uint64_t commit_ = 0;
        std::vector<std::pair<JobId, std::uint64_t>> versions_;
        std::vector<JobId> settings_; ///< jobs whose settings it stores
        std::vector<JobId> removals_;
    };

    ClusterState cluster_;
    std::map<JobId, UnstoredJob> unstoredJobs_; ///< jobs that aren't stored, or not yet
    std::set<JobId> orphans_; ///< jobs that aren't stored, or were removed by a release that doesn't know all kinds of records, and have records to delete
    std::set<JobId> unreadableJobs_; ///< stored, but not known to this release
    std::set<JobId> writtenAlone_; ///< jobs of a rejected commit: until it is stored, each is written by itself, so that the cause holds up no other
    std::vector<InFlightCommit> inFlight_; ///< at most maxCommitsInFlight; no two write the same job
    std::uint64_t lastCommit_ = 0;
    Instant retryAt_{};
    bool isProfileLoaded_ = false; ///< until then, the store may hold a profile that knows more
    std::uint64_t storedSamples_ = 0; ///< how many samples of hosts' speeds the last stored profile is based on
    Instant storeProfileFrom_{}; ///< not before
};

}
