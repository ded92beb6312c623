#pragma once

#include "core/batch/fleet_clock.h"
#include "core/batch/job.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamotwick::batch {

struct ClusterState;
struct Job;
struct Run;

/// Until when the start of an assigned run may be carried out, and what is known of its executor.
struct RecordedStart
{
    std::uint32_t task_ = 0; ///< index into Progress::tasks_
    std::uint32_t run_ = 0;
    FleetTime possibleUntil_{}; ///< zero if each call of the start has been answered
    bool isExecutorLeaving_ = false; ///< its executor had announced its end: its loss is no crash

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task_, run_, possibleUntil_, isExecutorLeaving_);
    }
};

/// The starts of a job's assigned runs; written only by the leader, in one transaction with the job's progress. It has a key of its own, as releases that
/// don't know of it leave that key alone: a run that it doesn't list may have been assigned by one of them.
struct StartRecord
{
    JobId id_;
    FleetTime writtenAt_{};
    std::vector<RecordedStart> runs_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, writtenAt_, runs_);
    }
};

/// A stored record, and for how long at least it has been stored.
struct StoredStartRecord
{
    StartRecord record_;
    Duration age_{};
};

/// Returns the record to write with the progress of \p job, or std::nullopt if it has no runs. Thread-safe on const objects.
[[nodiscard]] std::optional<StartRecord> startRecordOf(const ClusterState &cluster, const Job &job);

/// Notes that the record of \p job is being written, and with it the starts of its runs. Thread safety: none.
void noteRecordedStarts(ClusterState &cluster, Job &job);

/// Returns whether the start of \p run, of which a call may be late, should be recorded again: the last record tells that each call has been answered, or
/// a time that is too late. Thread-safe on const objects.
[[nodiscard]] bool isRecordOutdated(const ClusterState &cluster, const Run &run);

/// Marks jobs with runs on silent executors as changed, once when these fall silent, and now and then while a start may still be late: a next leader won't hear
/// of these runs either, and goes on with the latest reading of the clock. Thread safety: none.
void refreshStartRecords(ClusterState &cluster);

/// Returns whether the start of \p run may still be ordered under the record that is stored of it. It tells a time until which the start may be carried out; if
/// the store took long, that is too early. Thread-safe on const objects.
[[nodiscard]] bool isRecordRecent(const ClusterState &cluster, const Run &run);

/// Takes over from former leaders their clock and until when starts may be carried out. Returns the jobs of records that belong to none. Precondition: the
/// progress of all jobs has been loaded. Thread safety: none.
[[nodiscard]] std::vector<JobId> loadStartRecords(ClusterState &cluster, const std::vector<StoredStartRecord> &records);

}
