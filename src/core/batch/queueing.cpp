#include "core/batch/queueing.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// After this many times its objective a job earns its caller nothing more.
constexpr int maxLateness = 3;

bool isDue(const ClusterState &cluster, const Submission &job, std::uint32_t occurrence)
{
    return job.repeats_ == 0 || cluster.calendar_ >= job.firstRun_ + job.interval_ * occurrence;
}

bool isStepDone(const Job &job, const Group &group)
{
    const auto first = job.progress_.tasks_.begin() + static_cast<std::ptrdiff_t>(group.first_);
    const auto last = job.progress_.tasks_.begin() + static_cast<std::ptrdiff_t>(group.end_);
    return std::all_of(first, last, [](const TaskProgress &task) { return task.done_; });
}

bool mayStart(const Job &job, const Group &group, const std::vector<Group> &groups)
{
    const auto &after = job.submission_.steps_[group.step_].dependencies_;
    const std::size_t base = std::size_t{group.occurrence_} * job.submission_.steps_.size();
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) { return isStepDone(job, groups[base + earlier]); });
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
        waiting.clear(); // the former run of some member isn't settled yet
    }
    return waiting;
}

struct Urgency
{
    std::int32_t priority_ = 0;
    bool zeroValue_ = false;
    bool late_ = false;
    Instant latestStart_{};
    JobId job_;

    friend auto operator<=>(const Urgency &, const Urgency &) = default;
};

Urgency urgencyOf(const ClusterState &cluster, const Job &job, const Group &group)
{
    const milliseconds chain = remainingCriticalPath(cluster, job, 0);
    const auto objective = std::chrono::duration_cast<Duration>(chain * job.stretch_) + job.targetLatency_;
    const milliseconds left = remainingCriticalPath(cluster, job, group.step_);
    Urgency urgency;
    urgency.priority_ = job.priority_;
    urgency.latestStart_ = job.acceptedAt_ + objective - left;
    urgency.late_ = urgency.latestStart_ < cluster.now_;
    urgency.zeroValue_ = job.acceptedAt_ + maxLateness * objective - left < cluster.now_;
    urgency.job_ = job.submission_.id_;
    return urgency;
}

}

milliseconds remainingCriticalPath(const ClusterState &cluster, const Job &job, std::uint32_t step)
{
    // Steps only wait for earlier ones, so a walk from the last step back meets each after all that follow it.
    const std::vector<Step> &steps = job.submission_.steps_;
    std::vector<milliseconds> chain(steps.size());
    for (std::size_t at = steps.size(); at-- > 0;) {
        chain[at] += cluster.expectedTime(job, steps[at]);
        for (const std::uint32_t earlier : steps[at].dependencies_) {
            chain[earlier] = std::max(chain[earlier], chain[at]);
        }
    }
    if (step == 0) {
        return *std::max_element(chain.begin(), chain.end());
    }
    return chain[step];
}

std::vector<WaitingGroup> waitingGroups(ClusterState &cluster)
{
    std::vector<std::pair<Urgency, WaitingGroup>> found;
    for (auto &[id, job] : cluster.jobs_) {
        if (isFinal(job.progress_.state_)) {
            continue;
        }
        const std::vector<Group> groups = groupsOf(job.submission_);
        for (const Group &group : groups) {
            if (!isDue(cluster, job.submission_, group.occurrence_)) {
                break;
            }
            std::vector<std::size_t> tasks = waitingTasks(job, group);
            if (!tasks.empty() && mayStart(job, group, groups)) {
                const Urgency urgency = urgencyOf(cluster, job, group);
                found.emplace_back(urgency, WaitingGroup{&job, group, std::move(tasks), urgency.late_, urgency.zeroValue_});
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
