#include "core/batch/record.h"

#include "core/batch/codec.h"
#include "core/batch/record_sizes.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

constexpr std::size_t failedRunsBytes = 4 * sizeof(std::uint32_t);
constexpr std::size_t checkpointBytes = 64;

}

std::size_t waitingTaskBytes(const Submission &job)
{
    const bool checkpoints = std::any_of(job.steps_.begin(), job.steps_.end(), [](const Step &step) { return step.checkpointable_; });
    return emptyTaskBytes + failedRunsBytes + (checkpoints ? checkpointBytes : 0);
}

std::size_t taskBytes(const TaskProgress &task)
{
    return emptyTaskBytes + (task.done_ ? 0 : task.failedRuns_.size() * sizeof(std::uint32_t) + task.checkpoint_.size());
}

std::size_t countTasks(const Submission &job)
{
    std::size_t tasks = 0;
    for (const Step &step : job.steps_) {
        tasks += std::size_t{step.count_} * job.occurrences();
    }
    return tasks;
}

std::size_t countTasksAtOnce(const Submission &job)
{
    std::size_t lasting = 0;
    std::size_t largestGang = 0;
    for (const Step &step : job.steps_) {
        if (step.longRunning_) {
            lasting += std::size_t{step.count_} * job.occurrences();
        } else if (step.gang_) {
            largestGang = std::max<std::size_t>(largestGang, step.count_);
        }
    }
    return lasting + largestGang;
}

Progress recordOf(Progress progress)
{
    for (TaskProgress &task : progress.tasks_) {
        if (task.assigned_) {
            continue;
        }
        task.placement_ = {};
        if (task.done_) {
            task.checkpoint_.clear();
            task.failedRuns_.clear();
        }
    }
    return progress;
}

std::optional<RecordExcess> recordExcess(const Submission &job, std::size_t maxBytes)
{
    const std::size_t submissionBytes = encode(job).size();
    if (submissionBytes > maxBytes) {
        return RecordExcess{ExcessKind::Submission, submissionBytes, maxBytes};
    }
    const std::size_t room = maxBytes > fixedRecordBytes ? maxBytes - fixedRecordBytes : 0;
    const std::size_t waitingBytes = waitingTaskBytes(job);
    const std::size_t tasks = countTasks(job);
    std::size_t maxTasks = room / (waitingBytes + placeBytes);
    if (maxTasks > minAssignable) {
        maxTasks = (room - minAssignable * placeBytes) / waitingBytes;
    }
    if (tasks > maxTasks) {
        return RecordExcess{ExcessKind::Tasks, tasks, maxTasks};
    }
    const std::size_t maxAtOnce = (room - tasks * waitingBytes) / placeBytes;
    const std::size_t atOnce = countTasksAtOnce(job);
    return atOnce > maxAtOnce ? std::optional(RecordExcess{ExcessKind::TasksAtOnce, atOnce, maxAtOnce}) : std::nullopt;
}

std::vector<std::size_t> tasksWithinRecord(const Submission &job, const Progress &progress, std::vector<std::size_t> tasks, bool together, std::size_t maxBytes)
{
    const std::size_t assignedBytes = waitingTaskBytes(job) + placeBytes;
    if (fixedRecordBytes + progress.tasks_.size() * assignedBytes <= maxBytes) {
        return tasks; // the usual case
    }
    const auto bytesOf = [&](const TaskProgress &task) { return task.assigned_ ? std::max(assignedBytes, taskBytes(task) + placeBytes) : taskBytes(task); };
    std::size_t bytes = fixedRecordBytes;
    for (const TaskProgress &task : progress.tasks_) {
        bytes += bytesOf(task);
    }
    std::size_t fitting = 0;
    for (const std::size_t task : tasks) {
        const std::size_t present = taskBytes(progress.tasks_[task]);
        bytes += std::max(assignedBytes, present + placeBytes) - present;
        if (bytes > maxBytes) {
            break;
        }
        ++fitting;
    }
    tasks.resize(together && fitting < tasks.size() ? 0 : fitting);
    return tasks;
}

}
