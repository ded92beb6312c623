#include "core/batch/guarantees.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace bergamotwick::batch {

namespace {

/// Returns the accelerators that \p job needs at most at a time: those of its widest step.
std::int64_t neededAccelerators(const Submission &job)
{
    std::int64_t widest = 0;
    for (const Step &step : job.steps_) {
        widest = std::max(widest, step.count_ * step.taskDemand_.accelerators_);
    }
    return widest;
}

/// Sets Job::guaranteed_ of \p jobs, the unfinished jobs of priority 0 of one workspace.
void updateWorkspace(std::vector<Job *> &jobs, std::int64_t guarantee)
{
    std::sort(jobs.begin(), jobs.end(), [](const Job *left, const Job *right) {
        return std::tie(left->submission_.acceptedAt_, left->submission_.id_) < std::tie(right->submission_.acceptedAt_, right->submission_.id_);
    });
    std::int64_t total = 0;
    for (Job *job : jobs) {
        const std::int64_t needed = neededAccelerators(job->submission_);
        if (needed <= guarantee) {
            total += needed;
            job->guaranteed_ = total <= guarantee;
        }
    }
}

}

void updateGuarantees(ClusterState &cluster)
{
    std::map<WorkspaceId, std::vector<Job *>> urgent;
    for (auto &[id, job] : cluster.jobs_) {
        job.guaranteed_ = false;
        if (job.settings_.priority_ == 0 && !isFinal(job.progress_.state_)) {
            urgent[job.submission_.workspace_].push_back(&job);
        }
    }
    for (auto &[workspace, jobs] : urgent) {
        updateWorkspace(jobs, cluster.config_.guaranteed(workspace));
    }
}

}
