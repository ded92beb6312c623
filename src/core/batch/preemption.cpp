#include "core/batch/preemption.h"

#include "core/batch/guarantees.h"
#include "core/batch/health.h"
#include "core/batch/ledger.h"
#include "core/batch/pace.h"
#include "core/batch/placing.h"
#include "core/batch/racks.h"
#include "core/batch/runs.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace bergamotwick::batch {

namespace {

/// What a stop takes besides the executor's own time: the orders' way there and the end's way back.
constexpr milliseconds stopRoundTrip{700};

/// An accelerator's worth in thousandths of a core, to compare lost work.
constexpr std::int64_t acceleratorCpuMilli = 8'000;

/// A guaranteed group waits this long for work that is about to end, before it has any stopped: what is left of the time in which a
/// guarantee must be had back covers a stop and a start.
constexpr milliseconds guaranteedPatience{1'000};

/// What a run with checkpoints loses by a stop: it has to be loaded again.
constexpr milliseconds restoreLoss{500};

std::int64_t weightOf(const Step &step)
{
    return step.taskDemand_.cpuMilli_ + step.taskDemand_.accelerators_ * acceleratorCpuMilli;
}

/// Work that a stop of \p run, and with it of its gang, would throw away, in thousandths of core-milliseconds.
std::int64_t lostWork(const ClusterState &cluster, const Run &run)
{
    const Job &job = cluster.jobs_.at(run.id_.task_.job_);
    const Step &step = job.submission_.steps_[run.id_.task_.step_];
    const std::int64_t members = step.gang_ ? step.count_ : 1;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(cluster.now_ - run.startedAt_);
    const milliseconds lost = step.checkpointable_ ? std::min(restoreLoss, elapsed) : elapsed;
    return weightOf(step) * members * std::max<std::int64_t>(1, lost.count());
}

/// Work that \p group brings, in the same unit.
std::int64_t ownWork(const ClusterState &cluster, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    return weightOf(step) * static_cast<std::int64_t>(group.tasks_.size()) * cluster.expectedTime(*group.job_, step).count();
}

/// Returns how much longer \p run is likely to take, by its progress so far; nothing if it shows none yet.
std::optional<milliseconds> expectedRest(const ClusterState &cluster, const Run &run)
{
    constexpr std::int32_t leastPercent = 5;
    const bool gang = cluster.jobs_.at(run.id_.task_.job_).submission_.steps_[run.id_.task_.step_].gang_;
    if (gang || run.phase_ != RunPhase::Running || run.percent_ < leastPercent) {
        return std::nullopt; // members of a gang end with the slowest
    }
    return remainingTimeAtPace(cluster, run);
}

/// Work that is stopped as a whole: a task, or all members of a gang that one executor has.
struct Victim
{
    std::int64_t lost_ = 0;
    RunId run_; ///< one of them; a stop takes the rest along
    bool gang_ = false;
    ResourceVector resources_; ///< on this executor

    /// Returns whether a stop of one stops the other: they are members of one gang.
    [[nodiscard]] bool goesWith(const Victim &other) const noexcept
    {
        const TaskId &left = run_.task_;
        const TaskId &right = other.run_.task_;
        return gang_ && other.gang_ && left.job_ == right.job_ && left.occurrence_ == right.occurrence_ && left.step_ == right.step_;
    }
};

/// An executor while victims are chosen.
struct Site
{
    Executor *executor_ = nullptr;
    ResourceVector free_; ///< counting what is being stopped as free
    std::uint32_t allowance_ = 0;
    std::vector<Victim> victims_; ///< cheapest first
};

struct Plan
{
    std::vector<Incarnation> placements_;
    std::vector<RunId> victims_;
    std::int64_t lost_ = 0;
};

void addVictim(std::vector<Victim> &victims, const Victim &victim)
{
    const auto fellow = std::find_if(victims.begin(), victims.end(), [&victim](const Victim &other) { return other.goesWith(victim); });
    if (fellow == victims.end()) {
        victims.push_back(victim);
    } else {
        fellow->resources_ += victim.resources_;
    }
}

/// \p horizon counts what is likely to end within it as free.
Site siteOf(const ClusterState &cluster, Executor &executor, const WaitingGroup &group, milliseconds horizon)
{
    Site site{&executor, freeResources(executor, group.job_->submission_.id_, group.group_.first_), antiAffinityHeadroom(executor, group), {}};
    for (const RunId &id : executor.runs_) {
        const Run &run = cluster.runs_.at(id);
        const Job &job = cluster.jobs_.at(id.task_.job_);
        const Step &step = job.submission_.steps_[id.task_.step_];
        const auto rest = expectedRest(cluster, run);
        if (run.phase_ == RunPhase::Stopping || (rest && *rest < horizon)) {
            site.free_ += run.resources_;
        } else if (job.priority_ > group.job_->priority_ && !step.longRunning_) {
            addVictim(site.victims_, {lostWork(cluster, run), id, step.gang_, run.resources_});
        }
    }
    std::sort(site.victims_.begin(), site.victims_.end(), [](const Victim &left, const Victim &right) {
        return std::tie(left.lost_, left.run_) < std::tie(right.lost_, right.run_);
    });
    return site;
}

/// Returns how many of the site's cheapest victims have to go for \p each to fit; nothing if all aren't enough.
std::optional<std::size_t> victimsNeeded(const Site &site, const ResourceVector &each)
{
    ResourceVector free = site.free_;
    for (std::size_t count = 0; count <= site.victims_.size(); ++count) {
        if (free.covers(each)) {
            return count;
        }
        if (count < site.victims_.size()) {
            free += site.victims_[count].resources_;
        }
    }
    return std::nullopt;
}

/// Counts \p victim as stopped wherever its gang has members.
void freeRoomOf(std::vector<Site> &sites, const Site &at, const Victim &victim)
{
    for (Site &site : sites) {
        std::erase_if(site.victims_, [&](const Victim &other) {
            const bool goes = (&site == &at && other.run_ == victim.run_) || other.goesWith(victim);
            site.free_ += goes ? other.resources_ : ResourceVector();
            return goes;
        });
    }
}

void takeVictims(std::vector<Site> &sites, Site &from, std::size_t count, std::vector<Victim> &taken)
{
    const std::vector<Victim> chosen(from.victims_.begin(), from.victims_.begin() + static_cast<std::ptrdiff_t>(count));
    for (const Victim &victim : chosen) {
        taken.push_back(victim);
        freeRoomOf(sites, from, victim);
    }
}

/// Returns whether \p sites, less what \p victims hold, have room for as many tasks as are placed on each.
bool holds(std::vector<Site> sites, const std::vector<Victim> &victims, const ResourceVector &each, const std::map<ExecutorId, std::int64_t> &placed)
{
    for (const Victim &victim : victims) {
        const auto at = std::find_if(sites.begin(), sites.end(), [&victim](const Site &site) { return site.executor_->runs_.contains(victim.run_); });
        freeRoomOf(sites, *at, victim);
    }
    return std::all_of(sites.begin(), sites.end(), [&](const Site &site) {
        const auto tasks = placed.find(site.executor_->info_.incarnation_.executor_);
        const std::int64_t count = tasks == placed.end() ? 0 : tasks->second;
        return site.free_.countFitting(each, count) >= count;
    });
}

/// Drops victims that the room of a gang stopped later makes needless, the dearest first.
void spare(const std::vector<Site> &sites, std::vector<Victim> &victims, const ResourceVector &each, const std::vector<Incarnation> &places)
{
    std::map<ExecutorId, std::int64_t> placed;
    for (const Incarnation &place : places) {
        ++placed[place.executor_];
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) { return left.lost_ > right.lost_; });
    for (std::size_t at = 0; at < victims.size();) {
        std::vector<Victim> rest = victims;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(at));
        if (holds(sites, rest, each, placed)) {
            victims = std::move(rest);
        } else {
            ++at;
        }
    }
}

/// What a task on some site costs.
struct Offer
{
    Site *site_ = nullptr;
    std::size_t victims_ = 0;
    std::int64_t lost_ = 0; ///< with the task's own work once more where it would be slow
};

Offer cheapestOffer(const ClusterState &cluster, std::vector<Site> &sites, const WaitingGroup &group, std::size_t task)
{
    const ResourceVector each = group.job_->submission_.steps_[group.group_.step_].countedDemand();
    const std::int64_t slowCost = ownWork(cluster, group) / static_cast<std::int64_t>(group.tasks_.size());
    Offer best;
    for (Site &site : sites) {
        const bool open = site.allowance_ > 0 && mayRunOn(cluster, group, task, *site.executor_);
        const auto count = open ? victimsNeeded(site, each) : std::nullopt;
        if (!count) {
            continue;
        }
        std::int64_t lost = isSlowForUrgent(*site.executor_) ? slowCost : 0;
        for (std::size_t at = 0; at < *count; ++at) {
            lost += site.victims_[at].lost_;
        }
        if (best.site_ == nullptr || lost < best.lost_) {
            best = {&site, *count, lost};
        }
    }
    return best;
}

std::optional<Plan> planOn(const ClusterState &cluster, const std::vector<Site> &sites, const WaitingGroup &group)
{
    const ResourceVector each = group.job_->submission_.steps_[group.group_.step_].countedDemand();
    std::vector<Site> open = sites;
    std::vector<Victim> victims;
    Plan plan;
    for (const std::size_t task : group.tasks_) {
        const Offer offer = cheapestOffer(cluster, open, group, task);
        if (offer.site_ == nullptr) {
            return std::nullopt;
        }
        takeVictims(open, *offer.site_, offer.victims_, victims);
        offer.site_->free_ -= each;
        --offer.site_->allowance_;
        plan.placements_.push_back(offer.site_->executor_->info_.incarnation_);
    }
    spare(sites, victims, each, plan.placements_);
    for (const Victim &victim : victims) {
        plan.victims_.push_back(victim.run_);
        plan.lost_ += victim.lost_;
    }
    return plan;
}

/// Returns the plan that loses least on one of the racks where the group runs at full speed.
std::optional<Plan> cheapestNearPlan(const ClusterState &cluster, const std::vector<Site> &sites, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    std::map<std::string, std::vector<Site>> racks;
    for (const Site &site : sites) {
        if (step.sameRack_ || site.executor_->rack() == step.affinity_) {
            racks[site.executor_->rack()].push_back(site);
        }
    }
    std::optional<Plan> best;
    for (const auto &[rack, members] : racks) {
        auto plan = planOn(cluster, members, group);
        if (plan && (!best || plan->lost_ < best->lost_)) {
            best = std::move(plan);
        }
    }
    return best;
}

/// Weighs what a plan near the group's data or gang throws away against the time that the group would take longer elsewhere. A group that
/// isn't \p guaranteed goes elsewhere only when it has waited for its rack.
std::optional<Plan> cheapestPlan(const ClusterState &cluster, const std::vector<Site> &sites, const WaitingGroup &group, bool guaranteed)
{
    const bool bound = prefersRack(group.job_->submission_.steps_[group.group_.step_]);
    if (bound && !guaranteed && !hasWaitedForRack(cluster, group)) {
        return cheapestNearPlan(cluster, sites, group);
    }
    auto anywhere = planOn(cluster, sites, group);
    if (!bound) {
        return anywhere;
    }
    auto near = cheapestNearPlan(cluster, sites, group);
    const auto longer = static_cast<std::int64_t>(static_cast<double>(ownWork(cluster, group)) * (cluster.limits_.spreadFactor_ - 1));
    const bool worthIt = near && (!anywhere || near->lost_ <= anywhere->lost_ + longer);
    return worthIt ? near : anywhere;
}

}

void preemptFor(ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &executors)
{
    Job &job = *group.job_;
    const auto reserved = job.reservations_.find(group.group_.first_);
    if (reserved != job.reservations_.end()) {
        if (reserved->second.until_ > cluster.now_) {
            return;
        }
        release(cluster, job, group.group_.first_);
    }
    const bool guaranteed = isGuaranteed(cluster, job);
    if (group.late_ && !guaranteed) {
        return; // a stop would throw work away and buy nothing
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(cluster.now_ - job.acceptedAt_);
    const milliseconds horizon = std::max(milliseconds(0), guaranteedPatience - waited);
    std::vector<Site> sites;
    sites.reserve(executors.size());
    for (Executor *executor : executors) {
        sites.push_back(siteOf(cluster, *executor, group, horizon));
    }
    const auto plan = cheapestPlan(cluster, sites, group, guaranteed);
    if (!plan || (!guaranteed && plan->lost_ > ownWork(cluster, group))) {
        return;
    }
    const milliseconds wait = plan->victims_.empty() ? std::max(horizon, cluster.limits_.stopLimit_) : cluster.limits_.stopLimit_;
    reserve(cluster, job, group.group_, {plan->placements_, cluster.now_ + wait + stopRoundTrip});
    cluster.logEvent("room-cleared",
                     {{"job", job.submission_.id_.str()},
                      {"victims", std::to_string(plan->victims_.size())},
                      {"guaranteed", guaranteed ? "yes" : "no"},
                      {"lost", std::to_string(plan->lost_)}});
    for (const RunId &victim : plan->victims_) {
        stopRun(cluster, victim, "preempted");
    }
}

}
