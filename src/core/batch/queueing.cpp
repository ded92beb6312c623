#include "core/batch/queueing.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// A job that ends later than this multiple of its objective has no value to its caller.
constexpr int zeroValueFactor = 3;

bool isDue(const ClusterState &cluster, const Submission &job, std::uint32_t occurrence)
{
    return job.repeats_ == 0 || cluster.calendar_ >= job.firstRun_ + job.interval_ * occurrence;
}

bool isGroupDone(const Job &job, const Group &group)
{
    const auto first = job.progress_.tasks_.begin() + static_cast<std::ptrdiff_t>(group.first_);
    const auto last = job.progress_.tasks_.begin() + static_cast<std::ptrdiff_t>(group.end_);
    return std::all_of(first, last, [](const TaskProgress &task) { return task.done_; });
}

bool areDependenciesDone(const Job &job, const Group &group, const std::vector<Group> &groups)
{
    const auto &dependencies = job.submission_.steps_[group.step_].dependencies_;
    const std::size_t firstGroup = std::size_t{group.occurrence_} * job.submission_.steps_.size();
    return std::all_of(dependencies.begin(), dependencies.end(), [&](std::uint32_t dependency) { return isGroupDone(job, groups[firstGroup + dependency]); });
}

std::vector<std::size_t> waitingTasks(const Job &job, const Group &group)
{
    const Step &step = job.submission_.steps_[group.step_];
    std::vector<std::size_t> waiting;
    for (std::size_t index = group.first_; index < group.end_; ++index) {
        const TaskProgress &task = job.progress_.tasks_[index];
        if (!task.done_ && !task.assigned_) {
            waiting.push_back(index);
        }
    }
    if (step.gang_ && waiting.size() < step.count_) {
        waiting.clear(); // the previous run of a member may not have ended yet
    }
    return waiting;
}

struct Urgency
{
    std::int32_t rank_ = 0;
    bool zeroValue_ = false;
    bool late_ = false;
    Instant latestStart_{};
    JobId job_;

    friend auto operator<=>(const Urgency &, const Urgency &) = default;
};

Urgency urgencyOf(const ClusterState &cluster, const Job &job, const Group &group)
{
    const Duration objective = objectiveOf(cluster, job);
    const milliseconds remaining = remainingCriticalPath(cluster, job, group.step_);
    Urgency urgency;
    urgency.rank_ = job.guaranteed_ ? guaranteedRank : job.settings_.priority_;
    urgency.latestStart_ = job.acceptedAt_ + objective - remaining;
    urgency.late_ = urgency.latestStart_ < cluster.now_;
    urgency.zeroValue_ = job.acceptedAt_ + zeroValueFactor * objective - remaining < cluster.now_;
    urgency.job_ = job.submission_.id_;
    return urgency;
}

}

Duration objectiveOf(const ClusterState &cluster, const Job &job)
{
    return std::chrono::duration_cast<Duration>(remainingCriticalPath(cluster, job, 0) * job.settings_.stretch_) + job.settings_.targetLatency_;
}

milliseconds remainingCriticalPath(const ClusterState &cluster, const Job &job, std::uint32_t step)
{
    // Steps depend only on earlier steps, so in reverse order each step is visited after all of its dependents.
    const std::vector<Step> &steps = job.submission_.steps_;
    std::vector<milliseconds> criticalPath(steps.size());
    for (std::size_t at = steps.size(); at-- > 0;) {
        criticalPath[at] += cluster.expectedTime(job, steps[at]);
        for (const std::uint32_t dependency : steps[at].dependencies_) {
            criticalPath[dependency] = std::max(criticalPath[dependency], criticalPath[at]);
        }
    }
    if (step == 0) {
        return *std::max_element(criticalPath.begin(), criticalPath.end());
    }
    return criticalPath[step];
}

std::vector<WaitingGroup> waitingGroups(ClusterState &cluster)
{
    std::vector<std::pair<Urgency, WaitingGroup>> found;
    for (auto &[id, job] : cluster.jobs_) {
        if (isFinal(job.progress_.state_) || job.rejectedVersion_ || cluster.now_ < job.mayPlaceFrom_) {
            continue;
        }
        const std::vector<Group> groups = groupsOf(job.submission_);
        for (const Group &group : groups) {
            if (!isDue(cluster, job.submission_, group.occurrence_)) {
                break;
            }
            std::vector<std::size_t> tasks = waitingTasks(job, group);
            if (!tasks.empty() && areDependenciesDone(job, group, groups)) {
                const Urgency urgency = urgencyOf(cluster, job, group);
                found.emplace_back(urgency,
                                   WaitingGroup{&job, group, std::move(tasks), job.guaranteed_, urgency.latestStart_, urgency.late_, urgency.zeroValue_});
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<WaitingGroup> waiting;
    waiting.reserve(found.size());
    for (auto &[urgency, group] : found) {
        waiting.push_back(std::move(group));
    }
    return waiting;
}

}
