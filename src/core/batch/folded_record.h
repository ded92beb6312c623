#pragma once

#include "core/batch/record.h"

namespace bergamotwick::batch {

/// How the progress of a job is stored that has too many tasks for an entry each: as most of its tasks are done or haven't begun, it is bounded by the
/// others. Releases that don't know of it can't read the submissions of such jobs either, and leave them alone. Thread safety of all functions:
/// thread-safe on const objects.

/// What consecutive tasks have in common.
enum class SpanKind : std::uint8_t {
    NotBegun,
    Done,
    Open, ///< each has an entry
};

/// Consecutive tasks of a job.
struct TaskSpan
{
    SpanKind kind_{};
    std::uint32_t count_ = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind_, count_);
    }
};

/// Progress whose tasks are counted where nothing else is to be kept of them.
struct FoldedProgress
{
    JobId id_;
    JobState state_ = JobState::Queued;
    bool started_ = false;
    CalendarTime endedAt_{};
    std::vector<TaskSpan> spans_; ///< ordered as Progress::tasks_
    std::vector<TaskProgress> open_; ///< the tasks of the open spans

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, state_, started_, endedAt_, spans_, open_);
    }
};

/// Returns what is stored of \p progress, as returned by recordOf(). How often a task has run that is done isn't kept.
[[nodiscard]] FoldedProgress fold(const Progress &progress);

/// Returns the progress that fold() was given, or std::nullopt if \p folded is inconsistent or has more tasks than a job may have.
[[nodiscard]] std::optional<Progress> unfold(const FoldedProgress &folded);

/// Returns whether the progress of \p job is folded, because its record may become larger than \p maxBytes otherwise.
[[nodiscard]] bool isFolded(const Submission &job, std::size_t maxBytes);

/// Returns why \p job can't be kept in records of \p maxBytes even if its progress is folded, or std::nullopt if it can.
[[nodiscard]] std::optional<RecordExcess> foldedRecordExcess(const Submission &job, std::size_t maxBytes);

/// As tasksWithinRecord(), of a job whose progress is folded. Tasks that haven't begun leave room for those that have.
[[nodiscard]] std::vector<std::size_t>
tasksWithinFoldedRecord(const Submission &job, const Progress &progress, std::vector<std::size_t> tasks, bool together, std::size_t maxBytes);

}
