#include "core/batch/folded_record.h"

#include "core/batch/record_sizes.h"

#include <algorithm>
#include <numeric>

namespace bergamotwick::batch {

namespace {

/// Largest size of a span; at worst, each task has one of its own.
constexpr std::size_t spanBytes = 5;

/// A job has fewer tasks, over all occurrences; a record with more is damaged.
constexpr std::size_t maxUnfoldedTasks = 200'000;

/// Part of a record that spans may take; the rest is for open tasks.
constexpr std::size_t spanPart = 2;

/// Returns what remains of a record of \p maxBytes for the entries of open tasks of a job with \p tasks.
std::size_t roomForOpenTasks(std::size_t tasks, std::size_t maxBytes)
{
    const std::size_t taken = fixedRecordBytes + tasks * spanBytes;
    return maxBytes > taken ? maxBytes - taken : 0;
}

bool hasBegun(const TaskProgress &task)
{
    return task.run_ > 0 || task.assigned_ || !task.failedRuns_.empty() || !task.checkpoint_.empty();
}

SpanKind kindOf(const TaskProgress &task)
{
    if (task.done_ && !task.assigned_) {
        return SpanKind::Done;
    }
    return hasBegun(task) ? SpanKind::Open : SpanKind::NotBegun;
}

TaskProgress taskOfKind(SpanKind kind)
{
    TaskProgress task;
    task.done_ = kind == SpanKind::Done;
    task.run_ = task.done_ ? 1 : 0;
    return task;
}

bool isConsistent(const FoldedProgress &folded)
{
    std::uint64_t tasks = 0;
    std::uint64_t open = 0;
    for (const TaskSpan &span : folded.spans_) {
        if (span.kind_ > SpanKind::Open) {
            return false;
        }
        tasks += span.count_;
        open += span.kind_ == SpanKind::Open ? span.count_ : 0;
    }
    return tasks <= maxUnfoldedTasks && open == folded.open_.size();
}

}

FoldedProgress fold(const Progress &progress)
{
    FoldedProgress folded{progress.id_, progress.state_, progress.started_, progress.endedAt_, {}, {}};
    for (const TaskProgress &task : progress.tasks_) {
        const SpanKind kind = kindOf(task);
        if (folded.spans_.empty() || folded.spans_.back().kind_ != kind) {
            folded.spans_.push_back({kind, 0});
        }
        ++folded.spans_.back().count_;
        if (kind == SpanKind::Open) {
            folded.open_.push_back(task);
        }
    }
    return folded;
}

std::optional<Progress> unfold(const FoldedProgress &folded)
{
    if (!isConsistent(folded)) {
        return std::nullopt;
    }
    Progress progress{folded.id_, folded.state_, folded.started_, folded.endedAt_, {}};
    progress.tasks_.reserve(
        std::accumulate(folded.spans_.begin(), folded.spans_.end(), std::size_t{0}, [](std::size_t sum, const TaskSpan &span) { return sum + span.count_; }));
    auto open = folded.open_.begin();
    for (const TaskSpan &span : folded.spans_) {
        if (span.kind_ == SpanKind::Open) {
            progress.tasks_.insert(progress.tasks_.end(), open, open + span.count_);
            open += span.count_;
        } else {
            progress.tasks_.insert(progress.tasks_.end(), span.count_, taskOfKind(span.kind_));
        }
    }
    return progress;
}

bool isFolded(const Submission &job, std::size_t maxBytes)
{
    const auto excess = recordExcess(job, maxBytes);
    return excess && excess->kind_ != ExcessKind::Submission;
}

std::optional<RecordExcess> foldedRecordExcess(const Submission &job, std::size_t maxBytes)
{
    const auto excess = recordExcess(job, maxBytes);
    if (!excess || excess->kind_ == ExcessKind::Submission) {
        return excess;
    }
    const std::size_t tasks = countTasks(job);
    const std::size_t maxTasks = std::min(maxUnfoldedTasks, maxBytes / spanPart / spanBytes);
    if (tasks > maxTasks) {
        return RecordExcess{ExcessKind::Tasks, tasks, maxTasks};
    }
    const std::size_t maxAtOnce = roomForOpenTasks(tasks, maxBytes) / spanPart / (waitingTaskBytes(job) + placeBytes);
    const std::size_t atOnce = countTasksAtOnce(job);
    return atOnce > maxAtOnce ? std::optional(RecordExcess{ExcessKind::TasksAtOnce, atOnce, maxAtOnce}) : std::nullopt;
}

std::vector<std::size_t>
tasksWithinFoldedRecord(const Submission &job, const Progress &progress, std::vector<std::size_t> tasks, bool together, std::size_t maxBytes)
{
    const std::size_t assignedBytes = waitingTaskBytes(job) + placeBytes;
    const std::size_t room = roomForOpenTasks(progress.tasks_.size(), maxBytes);
    const std::size_t roomForNew = room - std::min(room / spanPart, minAssignable * placeBytes);
    std::size_t bytes = std::accumulate(progress.tasks_.begin(), progress.tasks_.end(), std::size_t{0}, [&](std::size_t sum, const TaskProgress &task) {
        return kindOf(task) == SpanKind::Open ? sum + (task.assigned_ ? std::max(assignedBytes, taskBytes(task) + placeBytes) : taskBytes(task)) : sum;
    });
    std::size_t fitting = 0;
    for (const std::size_t index : tasks) {
        const TaskProgress &task = progress.tasks_[index];
        const bool isNew = !hasBegun(task);
        const std::size_t present = isNew ? 0 : taskBytes(task);
        bytes += std::max(assignedBytes, present + placeBytes) - present;
        if (bytes > (isNew ? roomForNew : room)) {
            break;
        }
        ++fitting;
    }
    tasks.resize(together && fitting < tasks.size() ? 0 : fitting);
    return tasks;
}

}
