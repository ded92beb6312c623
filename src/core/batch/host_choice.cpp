#include "core/batch/host_choice.h"

#include "core/batch/host_speeds.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace bergamotwick::batch {

namespace {

/// Hosts that take up to this much longer than the median one aren't slow for anybody: tasks of one step differ by as much.
constexpr double minSlowRatio = 1.25;

/// Share of the time left that a run on a slow host may take for the host to be preferred; the rest is for waiting and for failures. The failure of one
/// member of a gang is that of all.
constexpr double taskSlackShare = 0.85;
constexpr double gangSlackShare = 0.7;

bool hasSlowHost(const ClusterState &cluster, const ServiceId &service)
{
    return std::any_of(cluster.executors_.begin(), cluster.executors_.end(), [&](const auto &entry) {
        const ExecutorInfo &info = entry.second.info_;
        return info.service_ == service && cluster.slowHosts_.contains(info.incarnation_.host_);
    });
}

/// Returns how much slower than the median host the hosts of \p group may be for it to end in time. Leaves the queue's target latency for what comes before
/// the start and after the end.
double allowedSlowness(const ClusterState &cluster, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const std::chrono::duration<double, std::milli> expected = std::max<milliseconds>(milliseconds(1), cluster.expectedTime(*group.job_, step));
    const std::chrono::duration<double, std::milli> slack = group.latestStart_ - cluster.now_ - group.job_->settings_.targetLatency_;
    return 1 + slack / expected;
}

}

double slowRatioOf(const ClusterState &cluster, const ServiceId &service)
{
    double tightest = std::numeric_limits<double>::infinity();
    for (const Queue &queue : cluster.config_.queues_) {
        if (queue.service_ == service) {
            tightest = std::min(tightest, queue.stretch_);
        }
    }
    return std::max(tightest, minSlowRatio);
}

HostChoice::HostChoice(const ClusterState &cluster, const WaitingGroup &group)
    : cluster_(cluster)
{
    const ServiceId &service = group.job_->submission_.service_;
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    slowRatio_ = hasSlowHost(cluster, service) ? slowRatioOf(cluster, service) : 0;
    const bool endsByItself = !step.longRunning_ && !step.cpuBackfill_;
    allowed_ = endsByItself ? allowedSlowness(cluster, group) : 0;
    preferred_ = allowed_ * (step.gang_ ? gangSlackShare : taskSlackShare);
}

HostFit HostChoice::fitOf(const Executor &executor) const
{
    if (!distinguishes()) {
        return HostFit::Neutral;
    }
    const std::string &host = executor.info_.incarnation_.host_;
    const std::optional<double> slowness = cluster_.hosts_.slowness(host);
    if (!slowness) {
        return preferred_ > slowRatio_ ? HostFit::Preferred : HostFit::Unmeasured;
    }
    if (!cluster_.slowHosts_.contains(host)) {
        return HostFit::Neutral;
    }
    if (*slowness < preferred_) {
        return HostFit::Preferred;
    }
    return *slowness < allowed_ ? HostFit::Neutral : HostFit::TooSlow;
}

}
