#include "core/batch/guarantees.h"

#include <algorithm>

namespace bergamotwick::batch {

bool isGuaranteed(const ClusterState &cluster, const Job &job)
{
    std::int64_t neededAccelerators = 0;
    for (const auto &[id, other] : cluster.jobs_) {
        if (other.priority_ != 0 || isFinal(other.progress_.state_) || other.submission_.workspace_ != job.submission_.workspace_) {
            continue;
        }
        std::int64_t maxStepAccelerators = 0;
        for (const Step &step : other.submission_.steps_) {
            maxStepAccelerators = std::max(maxStepAccelerators, step.count_ * step.taskDemand_.accelerators_);
        }
        neededAccelerators += maxStepAccelerators;
    }
    return neededAccelerators <= cluster.config_.guaranteed(job.submission_.workspace_);
}

}
