#include "core/scheduling/queue.h"

#include "core/scheduling/guarantees.h"
#include "core/scheduling/ledger.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick {

namespace {

constexpr double defaultRunTimeS = 600;
constexpr double learningRate = 0.3;
constexpr double displacedBonus = 2; // as halvings of the expected run time
constexpr std::size_t maxFailedRequests = 64;

enum class PriorityClass : std::uint8_t {
    Urgent,
    Guaranteed,
    Ordinary,
};

struct QueuedJob
{
    TrackedJob *job_ = nullptr;
    PriorityClass priorityClass_ = PriorityClass::Ordinary;
    double score_ = 0; ///< lower scores are placed first
};

bool wasDisplaced(const TrackedJob &job)
{
    const JobReason reason = job.record_.reason_;
    return reason == JobReason::DataCentreOut || reason == JobReason::Preempted || reason == JobReason::WorkerLost;
}

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

double scoreOf(const SchedulerState &state, const TrackedJob &job, Instant now)
{
    const double expected = static_cast<double>(std::max<std::int64_t>(expectedRunTime(state, job).count(), 1));
    const double aged = secondsBetween(job.queuedAt_, now) / std::chrono::duration<double>(state.limits_.agingInterval_).count();
    return std::log2(expected) - aged - (wasDisplaced(job) ? displacedBonus : 0);
}

/// One pass over the queued jobs.
class PlacementPass
{
public:
    PlacementPass(SchedulerState &state, Instant now)
        : state_(state)
        , now_(now)
    {
    }

    void run()
    {
        for (const QueuedJob &queuedJob : prioritisedQueue()) {
            if (!place(*queuedJob.job_) && !state_.limits_.shortestFirst_) {
                return;
            }
        }
    }

private:
    std::vector<QueuedJob> prioritisedQueue()
    {
        std::vector<QueuedJob> order;
        for (const JobId &id : state_.queued_) {
            TrackedJob &job = state_.jobs_.at(id);
            if (now_ < job.notBefore_) {
                continue;
            }
            if (!state_.limits_.shortestFirst_) {
                order.push_back({&job, PriorityClass::Ordinary, secondsBetween(Instant(), job.queuedAt_)});
                continue;
            }
            GuaranteeId guarantee;
            const bool guaranteed = findReservedPlacement(state_, job, guarantee).has_value();
            const PriorityClass priorityClass = job.record_.spec_.urgent_ ? PriorityClass::Urgent
                : guaranteed                                              ? PriorityClass::Guaranteed
                                                                          : PriorityClass::Ordinary;
            order.push_back({&job, priorityClass, scoreOf(state_, job, now_)});
        }
        std::stable_sort(order.begin(), order.end(), [](const QueuedJob &left, const QueuedJob &right) {
            return std::tie(left.priorityClass_, left.score_) < std::tie(right.priorityClass_, right.score_);
        });
        return order;
    }

    bool place(TrackedJob &job)
    {
        if (placeReserved(job)) {
            return true;
        }
        if (overQuota(job)) {
            return false;
        }
        const PlacementRequest request = placementRequestFor(job);
        if (isKnownToFail(request)) {
            return preempt(job, request);
        }
        const auto placement = findPlacement(state_.fleet_, request, state_.policy_);
        if (!placement) {
            recordFailedRequest(request);
            return preempt(job, request);
        }
        if (isDelayedByRamp(job, *placement)) {
            ++state_.jobsDelayedByRamp_;
            return false;
        }
        placeJob(state_, job, *placement, tenureOf(job), now_);
        return true;
    }

    bool placeReserved(TrackedJob &job)
    {
        GuaranteeId guarantee;
        const auto placement = findReservedPlacement(state_, job, guarantee);
        if (!placement) {
            return false;
        }
        const auto victims = victimsFor(*placement, job, [](const TrackedJob &) { return true; });
        if (!victims) {
            return false;
        }
        job.record_.guarantee_ = guarantee;
        preemptAndPlace(job, *placement, Tenure::Guaranteed, *victims);
        return true;
    }

    bool overQuota(const TrackedJob &job) const
    {
        const JobSpec &spec = job.record_.spec_;
        const auto workspace = state_.config_->workspaces_.find(spec.workspace_);
        if (workspace == state_.config_->workspaces_.end()) {
            return false;
        }
        const auto used = state_.workspaceUsage_.find(spec.workspace_);
        const Resources already = used == state_.workspaceUsage_.end() ? Resources() : used->second;
        return !workspace->second.quota_.covers(already + spec.each_ * spec.tasks_);
    }

    PlacementRequest placementRequestFor(const TrackedJob &job) const
    {
        const JobSpec &spec = job.record_.spec_;
        const bool borrow = spec.stoppable_ && state_.limits_.lendReservedCapacity_;
        return {spec.tasks_,
                spec.each_,
                spec.within_,
                borrow ? CapacityView::Free : CapacityView::FreeUnreserved,
                job.failedWorkers_.empty() ? nullptr : &job.failedWorkers_};
    }

    static Tenure tenureOf(const TrackedJob &job)
    {
        const JobSpec &spec = job.record_.spec_;
        return !spec.stoppable_ ? Tenure::Firm : spec.urgent_ ? Tenure::Urgent : Tenure::Borrowed;
    }

    /// Places \p job by preemption. Urgent jobs may preempt any preemptible job, aged ones those that started after they were
    /// queued, others smaller jobs that fit elsewhere.
    bool preempt(TrackedJob &job, PlacementRequest request)
    {
        const JobSpec &spec = job.record_.spec_;
        const bool aged = now_ - job.queuedAt_ >= state_.limits_.preemptAfter_;
        const bool defragmenting = !aged && mayDefragment(request);
        if (!spec.stoppable_ || !state_.limits_.shortestFirst_ || (!spec.urgent_ && !aged && !defragmenting)) {
            return false;
        }
        request.capacityView_ = CapacityView::FreeAfterPreemption;
        const auto placement = findPreemptingPlacement(state_.fleet_, request);
        if (!placement || isDelayedByRamp(job, *placement)) {
            return false;
        }
        const auto victims = victimsFor(
            *placement, job, [&](const TrackedJob &victim) { return spec.urgent_ || (aged ? overtook(victim, job) : isRelocatable(victim, job)); });
        if (!victims) {
            return false;
        }
        if (defragmenting) {
            state_.lastDefragmentation_ = now_;
        }
        preemptAndPlace(job, *placement, tenureOf(job), *victims);
        return true;
    }

    /// Returns whether one data centre has enough free accelerators for \p request, although scattered, and no move was made recently.
    bool mayDefragment(const PlacementRequest &request) const
    {
        return state_.limits_.defragment_ && request.each_.accelerators_ > 0 && now_ - state_.lastDefragmentation_ >= state_.limits_.defragmentationInterval_
            && state_.fleet_.maxAcceleratorsInOneDataCentre(CapacityView::Free) >= request.each_.accelerators_ * request.tasks_;
    }

    bool overtook(const TrackedJob &victim, const TrackedJob &job) const
    {
        return victim.startedAt_ > job.queuedAt_ && victim.preemptions_ < state_.limits_.maxPreemptions_;
    }

    bool isRelocatable(const TrackedJob &victim, const TrackedJob &job) const
    {
        const JobSpec &small = victim.record_.spec_;
        const JobSpec &large = job.record_.spec_;
        if (victim.preemptions_ >= state_.limits_.maxPreemptions_ || small.each_.accelerators_ * small.tasks_ * 2 > large.each_.accelerators_ * large.tasks_) {
            return false;
        }
        return findPlacement(state_.fleet_, placementRequestFor(victim), state_.policy_).has_value();
    }

    template<class Acceptable>
    std::optional<std::vector<TrackedJob *>> victimsFor(const GangPlacement &placement, const TrackedJob &job, Acceptable acceptable)
    {
        std::vector<TrackedJob *> victims;
        for (const MemberPlacement &member : placement) {
            const Resources need = job.record_.spec_.each_ * member.tasks_;
            Resources available = state_.fleet_.worker(member.worker_).free();
            std::vector<TrackedJob *> candidates;
            for (const JobId &id : state_.workerStatuses_[member.worker_].assignedJobs_) {
                TrackedJob &assignedJob = state_.jobs_.at(id);
                const bool stopping = assignedJob.record_.state_ == JobState::Stopping || std::count(victims.begin(), victims.end(), &assignedJob) > 0;
                if (stopping) {
                    available += resourcesHeldOn(assignedJob, member.worker_);
                } else if (isPreemptible(assignedJob) && acceptable(assignedJob)) {
                    candidates.push_back(&assignedJob);
                }
            }
            std::stable_sort(candidates.begin(), candidates.end(), [this](const TrackedJob *left, const TrackedJob *right) {
                return preemptionCost(*left) < preemptionCost(*right);
            });
            for (TrackedJob *candidate : candidates) {
                if (available.covers(need)) {
                    break;
                }
                available += resourcesHeldOn(*candidate, member.worker_);
                victims.push_back(candidate);
            }
            if (!available.covers(need)) {
                return std::nullopt;
            }
        }
        return victims;
    }

    static bool isPreemptible(const TrackedJob &assignedJob)
    {
        return assignedJob.record_.tenure_ == Tenure::Borrowed || assignedJob.record_.tenure_ == Tenure::Urgent;
    }

    static Resources resourcesHeldOn(const TrackedJob &job, WorkerIndex worker)
    {
        Resources held;
        for (const MemberState &member : job.members_) {
            if (member.worker_ == worker && member.holdsResources_) {
                held += job.record_.spec_.each_ * member.tasks_;
            }
        }
        return held;
    }

    /// Returns the work lost if \p job is preempted. Ordinary jobs sort before urgent ones, then by run time multiplied by tasks.
    std::pair<bool, double> preemptionCost(const TrackedJob &job) const
    {
        const double ran = job.record_.state_ == JobState::Running ? secondsBetween(job.startedAt_, now_) : 0;
        return {job.record_.tenure_ == Tenure::Urgent, ran * job.record_.spec_.tasks_};
    }

    void preemptAndPlace(TrackedJob &job, const GangPlacement &placement, Tenure tenure, const std::vector<TrackedJob *> &victims)
    {
        for (TrackedJob *victim : victims) {
            ++victim->preemptions_;
            stopJob(state_, *victim, JobReason::Preempted, now_);
        }
        placeJob(state_, job, placement, tenure, now_);
    }

    /// Returns whether \p placement must wait because its data centre has just returned to service; else starts the next interval.
    ///
    /// Spaces the placements of jobs that are not urgent.
    bool isDelayedByRamp(const TrackedJob &job, const GangPlacement &placement)
    {
        const DataCentreId &dataCentre = state_.fleet_.dataCentreId(state_.fleet_.worker(placement.front().worker_).dataCentre_);
        const auto returned = state_.returnedToServiceAt_.find(dataCentre);
        if (job.record_.spec_.urgent_ || returned == state_.returnedToServiceAt_.end() || now_ >= returned->second + state_.limits_.rampDuration_) {
            return false;
        }
        Instant &next = state_.nextRampPlacementAt_[dataCentre];
        if (now_ < next) {
            return true;
        }
        next = now_ + state_.limits_.rampInterval_;
        return false;
    }

    bool isKnownToFail(const PlacementRequest &request) const
    {
        return std::any_of(failedRequests_.begin(), failedRequests_.end(), [&request](const PlacementRequest &smaller) {
            return smaller.capacityView_ == request.capacityView_ && request.each_.covers(smaller.each_) && smaller.tasks_ <= request.tasks_
                && smaller.within_ >= request.within_;
        });
    }

    void recordFailedRequest(const PlacementRequest &request)
    {
        if (!request.excludedWorkers_ && failedRequests_.size() < maxFailedRequests) {
            failedRequests_.push_back(request);
        }
    }

    SchedulerState &state_;
    Instant now_;
    std::vector<PlacementRequest> failedRequests_;
};

auto modelKey(const TrackedJob &job)
{
    const JobSpec &spec = job.record_.spec_;
    return std::tuple(spec.workspace_, spec.tasks_, spec.each_.accelerators_);
}

void updateMean(double &mean, bool first, double seconds)
{
    mean = first ? seconds : mean + learningRate * (seconds - mean);
}

}

void placeQueued(SchedulerState &state, Instant now)
{
    if (!state.placementPending_) {
        return;
    }
    state.placementPending_ = false;
    state.jobsDelayedByRamp_ = 0;
    PlacementPass(state, now).run();
}

std::chrono::seconds expectedRunTime(const SchedulerState &state, const TrackedJob &job)
{
    double expected = defaultRunTimeS;
    if (!state.limits_.learnRunTimes_) {
        expected = static_cast<double>(std::max<std::int64_t>(job.record_.spec_.expectedRunTime_.count(), 1));
    } else if (const auto perShape = state.runTimes_.perShape_.find(modelKey(job)); perShape != state.runTimes_.perShape_.end()) {
        expected = perShape->second;
    } else if (const auto perWorkspace = state.runTimes_.perWorkspace_.find(job.record_.spec_.workspace_);
               perWorkspace != state.runTimes_.perWorkspace_.end()) {
        expected = perWorkspace->second;
    }
    const double left = std::max(1.0, expected - std::chrono::duration<double>(job.previousRunTime_).count());
    return std::chrono::seconds(static_cast<std::int64_t>(left));
}

void learnRunTime(SchedulerState &state, const TrackedJob &job, Duration actual)
{
    const double seconds = std::chrono::duration<double>(actual).count();
    const auto [perShape, firstOfShape] = state.runTimes_.perShape_.try_emplace(modelKey(job), 0);
    updateMean(perShape->second, firstOfShape, seconds);
    const auto [perWorkspace, firstOfWorkspace] = state.runTimes_.perWorkspace_.try_emplace(job.record_.spec_.workspace_, 0);
    updateMean(perWorkspace->second, firstOfWorkspace, seconds);
}

bool canEverFit(const Config &config, const JobSpec &spec)
{
    for (const auto &[region, regionConfig] : config.regions_) {
        for (const auto &[name, dataCentre] : regionConfig.dataCentres_) {
            const std::int32_t perWorker = dataCentre.worker_.timesFits(spec.each_, spec.tasks_);
            const std::int32_t perRack = (dataCentre.workers_ + dataCentre.racks_ - 1) / dataCentre.racks_;
            const std::int32_t workers = spec.within_ == Adjacency::Worker ? 1 : spec.within_ == Adjacency::Rack ? perRack : dataCentre.workers_;
            if (dataCentre.workers_ > 0 && static_cast<std::int64_t>(perWorker) * workers >= spec.tasks_) {
                return true;
            }
        }
    }
    return false;
}

}
