#include "core/batch/board.h"

namespace bergamotwick::batch {

std::string Executor::rack() const
{
    // The first label is the executor's kind, the second its rack.
    return info_.labels_.size() > 1 ? info_.labels_[1] : std::string();
}

std::vector<Group> groupsOf(const Submission &job)
{
    std::vector<Group> groups;
    std::size_t first = 0;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.steps_.size(); ++step) {
            groups.push_back({occurrence, step, first, first + job.steps_[step].count_});
            first = groups.back().end_;
        }
    }
    return groups;
}

TaskId taskOf(const Submission &job, const Group &group, std::size_t index)
{
    return {job.id_, group.occurrence_, group.step_, static_cast<std::uint32_t>(index - group.first_)};
}

std::optional<std::size_t> indexOf(const Submission &job, const TaskId &task)
{
    if (task.occurrence_ >= job.occurrences() || task.step_ >= job.steps_.size() || task.index_ >= job.steps_[task.step_].count_) {
        return std::nullopt;
    }
    return groupOf(job, task).first_ + task.index_;
}

Group groupOf(const Submission &job, const TaskId &task)
{
    std::size_t tasksPerOccurrence = 0;
    std::size_t tasksBefore = 0;
    for (std::uint32_t step = 0; step < job.steps_.size(); ++step) {
        tasksBefore += step < task.step_ ? job.steps_[step].count_ : 0;
        tasksPerOccurrence += job.steps_[step].count_;
    }
    const std::size_t first = tasksPerOccurrence * task.occurrence_ + tasksBefore;
    return {task.occurrence_, task.step_, first, first + job.steps_[task.step_].count_};
}

std::pair<std::size_t, std::size_t> coScheduledRange(const Submission &job, const Group &group, std::size_t index)
{
    return job.steps_[group.step_].gang_ ? std::pair(group.first_, group.end_) : std::pair(index, index + 1);
}

std::string toString(const ResourceVector &resources)
{
    return std::to_string(resources.cpuMilli_) + "/" + std::to_string(resources.memoryMb_) + "/" + std::to_string(resources.accelerators_);
}

std::string toString(const RunId &run)
{
    const TaskId &task = run.task_;
    return task.job_.str() + "." + std::to_string(task.occurrence_) + "." + std::to_string(task.step_) + "." + std::to_string(task.index_) + "/"
        + std::to_string(run.run_);
}

}
