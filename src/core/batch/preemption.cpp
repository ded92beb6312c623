#include "core/batch/preemption.h"

#include "core/batch/health.h"
#include "core/batch/ledger.h"
#include "core/batch/pace.h"
#include "core/batch/placing.h"
#include "core/batch/racks.h"
#include "core/batch/runs.h"
#include "core/batch/yield_cost.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace bergamotwick::batch {

namespace {

/// Time that a stop takes in addition to the executor's own: delivery of the stop order and of the reported end.
constexpr milliseconds stopRoundTrip{700};

/// Value of an accelerator in thousandths of a core, for comparisons of lost work.
constexpr std::int64_t acceleratorCpuMilli = 8'000;

/// Time that a run with checkpoints loses by a stop, as its checkpoint has to be loaded again.
constexpr milliseconds restoreCost{500};

/// Returns the CPU and accelerators of a task of \p step as thousandths of a core.
std::int64_t cpuEquivalent(const Step &step)
{
    return step.taskDemand_.cpuMilli_ + step.taskDemand_.accelerators_ * acceleratorCpuMilli;
}

/// Returns the time by which \p run is thrown back if it is stopped.
milliseconds lostTime(const ClusterState &cluster, const Run &run, const Step &step)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(cluster.now_ - run.startedAt_);
    return step.checkpointable_ ? std::min(restoreCost, elapsed) : elapsed;
}

/// Returns the work that is lost if \p run, and with it its gang, is stopped, in thousandths of a core times milliseconds.
std::int64_t lostWork(const ClusterState &cluster, const Run &run)
{
    const Step &step = cluster.jobs_.at(run.id_.task_.job_).submission_.steps_[run.id_.task_.step_];
    const std::int64_t members = step.gang_ ? step.count_ : 1;
    return cpuEquivalent(step) * members * std::max<std::int64_t>(1, lostTime(cluster, run, step).count());
}

/// Returns the time that the job of \p run has left if it goes on as expected.
Duration slackOf(const ClusterState &cluster, const Job &job, const Run &run)
{
    const Step &step = job.submission_.steps_[run.id_.task_.step_];
    const Duration done = Duration(cluster.expectedTime(job, step)) * run.percent_ / 100;
    const Duration remaining = remainingCriticalPath(cluster, job, run.id_.task_.step_) - done;
    return job.acceptedAt_ + objectiveOf(cluster, job) - cluster.now_ - remaining;
}

/// Returns what it costs the callers if \p run, and with it its gang, is stopped.
std::int64_t costOfStop(const ClusterState &cluster, const Run &run)
{
    if (cluster.limits_.callerWeight_ == 0) {
        return lostWork(cluster, run); // the usual case: objectives needn't be computed for each run
    }
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const Step &step = job.submission_.steps_[run.id_.task_.step_];
    const YieldingWork work{job.settings_.priority_, lostWork(cluster, run), lostTime(cluster, run, step) + stopRoundTrip, slackOf(cluster, job, run)};
    return costOfYielding(work, cluster.limits_.callerWeight_);
}

/// Returns the expected work of the waiting tasks of \p group, in the unit of lostWork().
std::int64_t groupWork(const ClusterState &cluster, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    return cpuEquivalent(step) * static_cast<std::int64_t>(group.tasks_.size()) * cluster.expectedTime(*group.job_, step).count();
}

/// Returns the remaining time of \p run, extrapolated from its progress, or std::nullopt if it has progressed too little to tell, or its task lasts: the
/// progress of such a task doesn't tell of its end.
std::optional<milliseconds> expectedRemainingTime(const ClusterState &cluster, const Run &run)
{
    constexpr std::int32_t minProgressPercent = 5;
    const Step &step = cluster.jobs_.at(run.id_.task_.job_).submission_.steps_[run.id_.task_.step_];
    if (step.gang_ || step.longRunning_ || run.phase_ != RunPhase::Running || run.percent_ < minProgressPercent) {
        return std::nullopt; // a gang ends with its slowest member
    }
    return remainingTimeAtPace(cluster, run);
}

/// Returns how long \p group may wait for runs that are about to end before others are stopped for it: as long as it can start in time for its
/// objective, and a guaranteed group no longer than the limit for reclaiming allows, less a stop and a start. Precondition: the time since
/// which \p group waits has been recorded.
milliseconds maxWaitForEnds(const ClusterState &cluster, const WaitingGroup &group)
{
    Instant until = group.latestStart_;
    if (group.guaranteed_) {
        const Job &job = *group.job_;
        const Instant since = job.progress_.started_ ? job.waitingSince_.at(group.group_.first_) : job.acceptedAt_;
        until = std::min(until, since + cluster.limits_.reclaimLimit_ - cluster.limits_.stopLimit_ - stopRoundTrip);
    }
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(until - cluster.now_));
}

/// Unit of preemption on one executor: a task, or all members of a gang that run there.
struct Victim
{
    std::int64_t cost_ = 0; ///< costOfStop()
    std::int64_t lostWork_ = 0;
    RunId run_; ///< any of its runs; a stop of one stops all
    bool gang_ = false;
    ResourceVector resources_; ///< used on this executor

    /// Returns whether both belong to one gang, so that a stop of one stops the other.
    [[nodiscard]] bool isSameGang(const Victim &other) const noexcept
    {
        const TaskId &left = run_.task_;
        const TaskId &right = other.run_.task_;
        return gang_ && other.gang_ && left.job_ == right.job_ && left.occurrence_ == right.occurrence_ && left.step_ == right.step_;
    }
};

/// An executor on which tasks may be placed by preemption.
struct Candidate
{
    Executor *executor_ = nullptr;
    ResourceVector free_; ///< includes the resources of runs that are stopping or about to end
    std::uint32_t headroom_ = 0;
    std::vector<Victim> victims_; ///< possible victims, cheapest first
};

struct PreemptionPlan
{
    std::vector<Incarnation> placements_;
    std::vector<RunId> victims_;
    std::int64_t cost_ = 0; ///< to the callers of the victims
    std::int64_t lostWork_ = 0;
};

void addVictim(std::vector<Victim> &victims, const Victim &victim)
{
    const auto sameGang = std::find_if(victims.begin(), victims.end(), [&victim](const Victim &other) { return other.isSameGang(victim); });
    if (sameGang == victims.end()) {
        victims.push_back(victim);
    } else {
        sameGang->resources_ += victim.resources_;
    }
}

/// Returns whether tasks of \p step of \p job may be stopped for \p group. Work of the same priority yields only to a guaranteed group, and
/// only if it isn't guaranteed itself.
bool mayStop(const WaitingGroup &group, const Job &job, const Step &step)
{
    const bool yields = job.settings_.priority_ > group.job_->settings_.priority_ || (group.guaranteed_ && !job.guaranteed_);
    return yields && !step.longRunning_;
}

/// Returns \p executor as a candidate for \p group. Counts the resources of runs that are expected to end within \p horizon as free.
Candidate candidateFor(const ClusterState &cluster, Executor &executor, const WaitingGroup &group, milliseconds horizon)
{
    Candidate candidate{&executor, freeResources(cluster, executor, group), antiAffinityHeadroom(executor, group), {}};
    for (const RunId &id : executor.runs_) {
        const Run &run = cluster.runs_.at(id);
        const Job &job = cluster.jobs_.at(id.task_.job_);
        const Step &step = job.submission_.steps_[id.task_.step_];
        const auto remaining = expectedRemainingTime(cluster, run);
        if (run.phase_ == RunPhase::Stopping || (remaining && *remaining < horizon)) {
            candidate.free_ += run.resources_;
        } else if (mayStop(group, job, step)) {
            addVictim(candidate.victims_, {costOfStop(cluster, run), lostWork(cluster, run), id, step.gang_, run.resources_});
        }
    }
    std::sort(candidate.victims_.begin(), candidate.victims_.end(), [](const Victim &left, const Victim &right) {
        return std::tie(left.cost_, left.run_) < std::tie(right.cost_, right.run_);
    });
    return candidate;
}

/// Returns how many of the candidate's cheapest victims must be stopped for \p demand to fit, or std::nullopt if all aren't enough.
std::optional<std::size_t> victimsNeeded(const Candidate &candidate, const ResourceVector &demand)
{
    ResourceVector free = candidate.free_;
    for (std::size_t count = 0; count <= candidate.victims_.size(); ++count) {
        if (free.covers(demand)) {
            return count;
        }
        if (count < candidate.victims_.size()) {
            free += candidate.victims_[count].resources_;
        }
    }
    return std::nullopt;
}

/// Counts the resources of \p victim as free on \p origin and, if it is part of a gang, on all executors of the gang.
void freeVictimResources(std::vector<Candidate> &candidates, const Candidate &origin, const Victim &victim)
{
    for (Candidate &candidate : candidates) {
        std::erase_if(candidate.victims_, [&](const Victim &other) {
            const bool isStopped = (&candidate == &origin && other.run_ == victim.run_) || other.isSameGang(victim);
            candidate.free_ += isStopped ? other.resources_ : ResourceVector();
            return isStopped;
        });
    }
}

/// Adds the \p count cheapest victims of \p origin to \p selected and counts their resources as free.
void selectVictims(std::vector<Candidate> &candidates, Candidate &origin, std::size_t count, std::vector<Victim> &selected)
{
    const std::vector<Victim> chosen(origin.victims_.begin(), origin.victims_.begin() + static_cast<std::ptrdiff_t>(count));
    for (const Victim &victim : chosen) {
        selected.push_back(victim);
        freeVictimResources(candidates, origin, victim);
    }
}

/// Returns whether the tasks \p placed on each candidate fit once \p victims have been stopped.
bool victimsSuffice(std::vector<Candidate> candidates,
                    const std::vector<Victim> &victims,
                    const ResourceVector &demand,
                    const std::map<ExecutorId, std::int64_t> &placed)
{
    for (const Victim &victim : victims) {
        const auto origin = std::find_if(
            candidates.begin(), candidates.end(), [&victim](const Candidate &candidate) { return candidate.executor_->runs_.contains(victim.run_); });
        freeVictimResources(candidates, *origin, victim);
    }
    return std::all_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        const auto tasks = placed.find(candidate.executor_->info_.incarnation_.executor_);
        const std::int64_t count = tasks == placed.end() ? 0 : tasks->second;
        return candidate.free_.countFitting(demand, count) >= count;
    });
}

/// Drops victims that a gang chosen later has made unnecessary, the dearest first.
void dropNeedlessVictims(const std::vector<Candidate> &candidates,
                         std::vector<Victim> &victims,
                         const ResourceVector &demand,
                         const std::vector<Incarnation> &placements)
{
    std::map<ExecutorId, std::int64_t> placed;
    for (const Incarnation &incarnation : placements) {
        ++placed[incarnation.executor_];
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) { return left.cost_ > right.cost_; });
    for (std::size_t at = 0; at < victims.size();) {
        std::vector<Victim> others = victims;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
        if (victimsSuffice(candidates, others, demand, placed)) {
            victims = std::move(others);
        } else {
            ++at;
        }
    }
}

/// Cost of the placement of one task on a candidate.
struct PlacementOption
{
    Candidate *candidate_ = nullptr;
    std::size_t victimCount_ = 0;
    std::int64_t cost_ = 0; ///< of the victims, plus the task's own work if the executor is slow
};

/// Returns the cheapest option for \p task; its candidate is null if there is none.
PlacementOption cheapestOption(const ClusterState &cluster, std::vector<Candidate> &candidates, const WaitingGroup &group, std::size_t task)
{
    const ResourceVector demand = group.job_->submission_.steps_[group.group_.step_].countedDemand();
    const std::int64_t slowCost = groupWork(cluster, group) / static_cast<std::int64_t>(group.tasks_.size());
    PlacementOption best;
    for (Candidate &candidate : candidates) {
        const bool isEligible = candidate.headroom_ > 0 && mayRunOn(cluster, group, task, *candidate.executor_);
        const auto count = isEligible ? victimsNeeded(candidate, demand) : std::nullopt;
        if (!count) {
            continue;
        }
        std::int64_t cost = isSlowForUrgent(cluster, *candidate.executor_) ? slowCost : 0;
        for (std::size_t at = 0; at < *count; ++at) {
            cost += candidate.victims_[at].cost_;
        }
        if (best.candidate_ == nullptr || cost < best.cost_) {
            best = {&candidate, *count, cost};
        }
    }
    return best;
}

/// Plans the placement of all waiting tasks of \p group on \p candidates. Returns std::nullopt if they don't fit even with preemption.
std::optional<PreemptionPlan> planPreemption(const ClusterState &cluster, const std::vector<Candidate> &candidates, const WaitingGroup &group)
{
    const ResourceVector demand = group.job_->submission_.steps_[group.group_.step_].countedDemand();
    std::vector<Candidate> updated = candidates;
    std::vector<Victim> victims;
    PreemptionPlan plan;
    for (const std::size_t task : group.tasks_) {
        const PlacementOption option = cheapestOption(cluster, updated, group, task);
        if (option.candidate_ == nullptr) {
            return std::nullopt;
        }
        selectVictims(updated, *option.candidate_, option.victimCount_, victims);
        option.candidate_->free_ -= demand;
        --option.candidate_->headroom_;
        plan.placements_.push_back(option.candidate_->executor_->info_.incarnation_);
    }
    dropNeedlessVictims(candidates, victims, demand, plan.placements_);
    for (const Victim &victim : victims) {
        plan.victims_.push_back(victim.run_);
        plan.cost_ += victim.cost_;
        plan.lostWork_ += victim.lostWork_;
    }
    return plan;
}

/// Returns the cheapest plan on one of the racks where \p group runs at full speed, or std::nullopt if there is none.
std::optional<PreemptionPlan> cheapestRackLocalPlan(const ClusterState &cluster, const std::vector<Candidate> &candidates, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    std::map<std::string, std::vector<Candidate>> racks;
    for (const Candidate &candidate : candidates) {
        if (step.sameRack_ || candidate.executor_->rack() == step.affinity_) {
            racks[candidate.executor_->rack()].push_back(candidate);
        }
    }
    std::optional<PreemptionPlan> best;
    for (const auto &[rack, rackCandidates] : racks) {
        auto plan = planPreemption(cluster, rackCandidates, group);
        if (plan && (!best || plan->cost_ < best->cost_)) {
            best = std::move(plan);
        }
    }
    return best;
}

/// Returns the cheapest plan. Compares the cost of a rack-local plan with the time that the group would lose on other racks. A group that
/// isn't guaranteed uses other racks only after it has waited for its rack.
std::optional<PreemptionPlan> cheapestPlan(const ClusterState &cluster, const std::vector<Candidate> &candidates, const WaitingGroup &group)
{
    const bool isRackSensitive = prefersRack(group.job_->submission_.steps_[group.group_.step_]);
    if (isRackSensitive && !group.guaranteed_ && !hasWaitedForRack(cluster, group)) {
        return cheapestRackLocalPlan(cluster, candidates, group);
    }
    auto anyRack = planPreemption(cluster, candidates, group);
    if (!isRackSensitive) {
        return anyRack;
    }
    auto rackLocal = cheapestRackLocalPlan(cluster, candidates, group);
    const auto slowdownCost = static_cast<std::int64_t>(static_cast<double>(groupWork(cluster, group)) * (cluster.limits_.spreadFactor_ - 1));
    const bool isWorthwhile = rackLocal && (!anyRack || rackLocal->cost_ <= anyRack->cost_ + slowdownCost);
    return isWorthwhile ? rackLocal : anyRack;
}

}

bool preemptFor(ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &executors)
{
    Job &job = *group.job_;
    const auto reserved = job.reservations_.find(group.group_.first_);
    if (reserved != job.reservations_.end()) {
        if (reserved->second.until_ > cluster.now_) {
            return true;
        }
        release(cluster, job, group.group_.first_);
    }
    if (group.late_ && !group.guaranteed_) {
        return false; // preemption would lose work and the group would miss its objective anyway
    }
    const milliseconds horizon = maxWaitForEnds(cluster, group);
    std::vector<Candidate> candidates;
    candidates.reserve(executors.size());
    for (Executor *executor : executors) {
        candidates.push_back(candidateFor(cluster, *executor, group, horizon));
    }
    const auto plan = cheapestPlan(cluster, candidates, group);
    if (!plan || (!group.guaranteed_ && plan->lostWork_ > groupWork(cluster, group))) {
        return false;
    }
    const milliseconds stopTime = cluster.limits_.stopLimit_ + stopRoundTrip;
    const bool waitsForEnds = plan->victims_.empty() && horizon.count() > 0;
    reserve(cluster, job, group.group_, {plan->placements_, cluster.now_ + (waitsForEnds ? horizon : stopTime)});
    cluster.logEvent("room-cleared",
                     {{"job", job.submission_.id_.str()},
                      {"victims", std::to_string(plan->victims_.size())},
                      {"guaranteed", group.guaranteed_ ? "yes" : "no"},
                      {"cost", std::to_string(plan->cost_)},
                      {"lost", std::to_string(plan->lostWork_)}});
    for (const RunId &victim : plan->victims_) {
        stopRun(cluster, victim, "preempted");
    }
    return true;
}

}
