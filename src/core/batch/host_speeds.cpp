#include "core/batch/host_speeds.h"

#include "core/batch/host_choice.h"
#include "core/batch/pace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Progress at which the pace of a run is taken, in percent: early, so that slow hosts are known soon, and again when it is known better.
constexpr std::array<std::int32_t, 3> samplePercents{6, 20, 50};

/// A run that has finished its part of a gang waits for the others: the time of its last percent isn't known.
constexpr std::int32_t finishedPercent = 99;

/// Standard deviation of the logarithm of the work of the tasks of one step, and of a percentage, which is rounded.
constexpr double taskDeviation = 0.3;
constexpr double roundingPercent = 0.3;

/// Returns the pace that \p run has shown. All members of a gang start to work at one moment, when the last one is there; so their progress is measured from
/// the decision to start them, which is the same for all.
std::optional<PaceSample> sampleOf(const Run &run, bool gang)
{
    const bool fromStart = gang && run.initialPercent_ <= maxUnrestoredPercent;
    const std::int32_t progress = fromStart ? run.percent_ : run.percent_ - run.initialPercent_;
    if (run.phase_ != RunPhase::Running || run.percent_ >= finishedPercent || progress < samplePercents.front() || (gang && run.inherited_)) {
        return std::nullopt;
    }
    const auto elapsed = gang ? std::optional<Duration>(run.percentAt_ - run.startedAt_) : paceOf(run);
    if (!elapsed || elapsed->count() <= 0) {
        return std::nullopt;
    }
    const double pace = std::chrono::duration<double>(*elapsed).count() / (gang ? progress : 1);
    const double rounding = roundingPercent / progress;
    return PaceSample{std::log(pace), taskDeviation * taskDeviation + rounding * rounding};
}

/// Returns the present executor of each host: the newest one that has told its service. A host may have records of former ones as well, also of some that
/// are known from the store alone.
std::map<std::string, const Executor *> presentExecutors(const ClusterState &cluster)
{
    std::map<std::string, const Executor *> present;
    for (const auto &[id, executor] : cluster.executors_) {
        if (executor.info_.service_.empty()) {
            continue;
        }
        const Incarnation &incarnation = executor.info_.incarnation_;
        const auto [found, isNew] = present.try_emplace(incarnation.host_, &executor);
        if (!isNew && incarnation.startTimeMs_ > found->second->info_.incarnation_.startTimeMs_) {
            found->second = &executor;
        }
    }
    return present;
}

/// Returns how many of samplePercents \p run has reached.
std::uint32_t samplesDue(const Run &run)
{
    return static_cast<std::uint32_t>(
        std::count_if(samplePercents.begin(), samplePercents.end(), [&run](std::int32_t percent) { return run.percent_ - run.initialPercent_ >= percent; }));
}

}

void observeSpeeds(ClusterState &cluster, const Executor &executor)
{
    for (const RunId &id : executor.runs_) {
        Run &run = cluster.runs_.at(id);
        const Step &step = cluster.jobs_.at(id.task_.job_).submission_.steps_[id.task_.step_];
        const bool tellsSpeed = step.affinity_.empty() && !step.longRunning_ && !step.cpuBackfill_; // data locality would be taken for speed
        if (!tellsSpeed || run.paceSamples_ >= samplesDue(run)) {
            continue;
        }
        if (const auto sample = sampleOf(run, step.gang_)) {
            run.paceSamples_ = samplesDue(run);
            cluster.hosts_.record(id, run.placement_.host_, *sample, cluster.now_, cluster.calendar_);
        }
    }
}

void refreshSpeeds(ClusterState &cluster)
{
    const bool hasChanged = cluster.hosts_.refresh(cluster.now_);
    if (!std::exchange(cluster.areSlowHostsOutdated_, false) && !hasChanged) {
        return;
    }
    std::map<ServiceId, double> slowRatios;
    for (const auto &[host, executor] : presentExecutors(cluster)) {
        const ServiceId &service = executor->info_.service_;
        const auto [ratio, isNew] = slowRatios.try_emplace(service);
        if (isNew) {
            ratio->second = slowRatioOf(cluster, service);
        }
        const bool isSlow = cluster.hosts_.isSlowerThan(host, ratio->second);
        if (isSlow == cluster.slowHosts_.contains(host)) {
            continue;
        }
        if (isSlow) {
            cluster.slowHosts_.insert(host);
        } else {
            cluster.slowHosts_.erase(host);
        }
        cluster.logEvent(isSlow ? "host-slow" : "host-recovered",
                         {{"host", host},
                          {"slowness", std::to_string(cluster.hosts_.slowness(host).value_or(1))},
                          {"relative_error", std::to_string(cluster.hosts_.errorOf(host))}});
    }
}

double slownessOf(const ClusterState &cluster, const Incarnation &placement)
{
    return cluster.hosts_.slowness(placement.host_).value_or(1);
}

double slownessOfPlacement(const ClusterState &cluster, const Job &job, const Group &group)
{
    double slowest = 0;
    for (std::size_t index = group.first_; index < group.end_; ++index) {
        slowest = std::max(slowest, slownessOf(cluster, job.progress_.tasks_[index].placement_));
    }
    return slowest;
}

}
