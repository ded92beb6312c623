#include "core/batch/placing.h"

#include "core/batch/advising.h"
#include "core/batch/folded_record.h"
#include "core/batch/guarantees.h"
#include "core/batch/health.h"
#include "core/batch/holding.h"
#include "core/batch/host_choice.h"
#include "core/batch/isolation.h"
#include "core/batch/ledger.h"
#include "core/batch/pace.h"
#include "core/batch/preemption.h"
#include "core/batch/racks.h"

#include <algorithm>
#include <limits>

namespace bergamotwick::batch {

namespace {

/// Maximum time for which a group that could start waits for faster hosts while most of the fleet is idle.
constexpr milliseconds maxIdleHostWait{2'000};

/// Executors for the waiting tasks of a group; shorter than the group if some tasks have to wait.
using Placement = std::vector<std::pair<std::size_t, Incarnation>>;

/// Returns the resources on \p executor that a group which is to be moved frees.
ResourceVector resourcesOfRuns(const ClusterState &cluster, const Executor &executor, const WaitingGroup &group)
{
    ResourceVector resources;
    if (!group.isRunning_) {
        return resources;
    }
    for (const std::size_t task : group.tasks_) {
        const TaskProgress &progress = group.job_->progress_.tasks_[task];
        if (progress.assigned_ && progress.placement_ == executor.info_.incarnation_) {
            resources += cluster.runs_.at({taskOf(group.job_->submission_, group.group_, task), progress.run_}).resources_;
        }
    }
    return resources;
}

/// Tracks the free resources of the candidate executors while a group is placed.
class TentativeAllocation
{
public:
    TentativeAllocation(const ClusterState &cluster, const std::vector<Executor *> &executors, const WaitingGroup &group, const HostChoice &hosts)
        : cluster_(cluster)
        , group_(group)
        , isolates_(!group.job_->crashes_.empty() && !mayStartUnisolated(cluster, group))
    {
        const bool ranksProof = prefersProven(group);
        for (const Executor *executor : executors) {
            ResourceVector free = freeResources(cluster, *executor, group);
            free += resourcesOfRuns(cluster, *executor, group);
            candidates_.push_back({executor,
                                   free,
                                   antiAffinityHeadroom(*executor, group),
                                   isSuspect(cluster, *executor),
                                   ranksProof && isProven(cluster, *executor),
                                   hosts.fitOf(*executor),
                                   group.job_->settings_.priority_ == 0 && isSlowForUrgent(cluster, *executor),
                                   isolates_ && isSettled(cluster, *executor),
                                   isolates_ ? recentCrashesOnHost(cluster, *executor) : 0});
        }
    }

    /// Allocates resources for \p task and returns the executor, or a null pointer if the task fits nowhere. Prefers executors that aren't
    /// suspect, then those on \p rack, then those whose host suits the group best, then (for retries) proven ones, then (for urgent
    /// work) those that aren't slow, then the fullest.
    [[nodiscard]] const Executor *allocate(std::size_t task, const std::string &rack, bool onlyRack)
    {
        const ResourceVector demand = step().countedDemand();
        const bool isolated = isolates_ && needsIsolation(*group_.job_, task);
        Candidate *best = nullptr;
        for (Candidate &candidate : candidates_) {
            const bool fits = candidate.free_.covers(demand) && candidate.headroom_ > 0 && (!onlyRack || candidate.executor_->rack() == rack);
            if (!fits || (isolated && !candidate.settled_) || !mayRunOn(cluster_, group_, task, *candidate.executor_)) {
                continue;
            }
            if (best == nullptr || (isolated ? isBetterInIsolation(candidate, *best) : isBetter(candidate, *best, rack))) {
                best = &candidate;
            }
        }
        if (best == nullptr) {
            return nullptr;
        }
        best->free_ -= demand;
        best->headroom_ = isolated ? 0 : best->headroom_ - 1;
        best->settled_ = false;
        return best->executor_;
    }

private:
    struct Candidate
    {
        const Executor *executor_ = nullptr;
        ResourceVector free_;
        std::uint32_t headroom_ = 0;
        bool suspect_ = false;
        bool proven_ = false; ///< isProven(); set only if the group prefers such executors
        HostFit fit_ = HostFit::Neutral;
        bool slow_ = false; ///< too slow for the group; set only for urgent work
        bool settled_ = false; ///< isSettled(); set only if the group has tasks to isolate
        std::size_t hostCrashes_ = 0; ///< recentCrashesOnHost(); likewise
    };

    [[nodiscard]] const Step &step() const
    {
        return group_.job_->submission_.steps_[group_.group_.step_];
    }

    /// Prefers hosts with the fewest recent crashes, then executors with the fewest runs.
    [[nodiscard]] static bool isBetterInIsolation(const Candidate &left, const Candidate &right)
    {
        return std::pair(left.hostCrashes_, left.executor_->runs_.size()) < std::pair(right.hostCrashes_, right.executor_->runs_.size());
    }

    [[nodiscard]] static bool isBetter(const Candidate &left, const Candidate &right, const std::string &rack)
    {
        if (left.suspect_ != right.suspect_) {
            return right.suspect_;
        }
        const bool leftOnRack = left.executor_->rack() == rack;
        const bool rightOnRack = right.executor_->rack() == rack;
        if (leftOnRack != rightOnRack) {
            return leftOnRack;
        }
        if (left.fit_ != right.fit_) {
            return left.fit_ < right.fit_;
        }
        if (left.proven_ != right.proven_) {
            return left.proven_;
        }
        if (left.slow_ != right.slow_) {
            return right.slow_;
        }
        if (left.free_.accelerators_ != right.free_.accelerators_) {
            return left.free_.accelerators_ < right.free_.accelerators_;
        }
        return left.free_.memoryMb_ < right.free_.memoryMb_;
    }

    const ClusterState &cluster_;
    const WaitingGroup &group_;
    bool isolates_; ///< suspected tasks start in isolation
    std::vector<Candidate> candidates_;
};

/// Places as many tasks as fit. Prefers \p rack, or uses no other one if \p onlyRack.
Placement placeTasks(const ClusterState &cluster,
                     const std::vector<Executor *> &executors,
                     const WaitingGroup &group,
                     const HostChoice &hosts,
                     const std::string &rack,
                     bool onlyRack)
{
    TentativeAllocation allocation(cluster, executors, group, hosts);
    Placement placement;
    for (const std::size_t task : group.tasks_) {
        const Executor *executor = allocation.allocate(task, rack, onlyRack);
        if (executor != nullptr) {
            placement.emplace_back(task, executor->info_.incarnation_);
        }
    }
    return placement;
}

/// Returns how well the least suitable host of \p placement suits its group.
HostFit worstFit(const ClusterState &cluster, const HostChoice &hosts, const Placement &placement)
{
    HostFit worst = HostFit::Preferred;
    for (const auto &[task, incarnation] : placement) {
        worst = std::max(worst, hosts.fitOf(cluster.executors_.at(incarnation.executor_)));
    }
    return worst;
}

/// Places a group that is slower away from its data or spread over racks. Of the racks with room for all tasks, takes the one whose hosts suit best. Uses other
/// racks only if mayUseOtherRacks().
Placement placeWithRackPreference(const ClusterState &cluster, const std::vector<Executor *> &executors, const WaitingGroup &group, const HostChoice &hosts)
{
    Placement best;
    for (const std::string &rack : preferredRacks(cluster, group, executors)) {
        Placement placement = placeTasks(cluster, executors, group, hosts, rack, true);
        const bool isComplete = placement.size() == group.tasks_.size();
        const bool suitsBetter = isComplete && placement.size() == best.size() && worstFit(cluster, hosts, placement) < worstFit(cluster, hosts, best);
        if (placement.size() > best.size() || suitsBetter) {
            best = std::move(placement);
        }
        if (best.size() == group.tasks_.size() && !hosts.distinguishes()) {
            return best;
        }
    }
    if (best.size() == group.tasks_.size() || !mayUseOtherRacks(cluster, group)) {
        return best;
    }
    return placeTasks(cluster, executors, group, hosts, group.job_->submission_.steps_[group.group_.step_].affinity_, false);
}

Placement findPlacement(const ClusterState &cluster, const std::vector<Executor *> &executors, const WaitingGroup &group, const HostChoice &hosts)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    Placement placement
        = prefersRack(step) ? placeWithRackPreference(cluster, executors, group, hosts) : placeTasks(cluster, executors, group, hosts, "", false);
    if (step.gang_ && placement.size() < group.tasks_.size()) {
        placement.clear();
    }
    return placement;
}

std::string executorNames(const Placement &placement)
{
    std::string text;
    for (const auto &[task, incarnation] : placement) {
        text += (text.empty() ? "" : ",") + incarnation.executor_.str();
    }
    return text;
}

/// Returns whether a task of \p step must be kept apart from tasks that run on \p executor. CPU backfill tasks slow down serving tasks on the
/// same executor by an unpredictable amount.
bool wouldInterfere(const ClusterState &cluster, const Executor &executor, const Step &step)
{
    const bool isServing = step.target_.count() > 0;
    if (!step.cpuBackfill_ && !isServing) {
        return false;
    }
    return std::any_of(executor.runs_.begin(), executor.runs_.end(), [&](const RunId &run) {
        const Step &other = cluster.jobs_.at(run.task_.job_).submission_.steps_[run.task_.step_];
        return step.cpuBackfill_ ? other.target_.count() > 0 : other.cpuBackfill_;
    });
}

/// Returns the executors that may run tasks of \p group, regardless of their free resources.
std::vector<Executor *> findCandidates(ClusterState &cluster, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const std::set<ExecutorId> reserved = executorsReservedForIsolation(cluster);
    std::vector<Executor *> found;
    for (auto &[id, executor] : cluster.executors_) {
        const auto &labels = executor.info_.labels_;
        const bool hasLabel = step.constraint_.empty() || std::find(labels.begin(), labels.end(), step.constraint_) != labels.end();
        if (hasLabel && isSchedulable(cluster, executor, group.job_->submission_.service_) && !wouldInterfere(cluster, executor, step)
            && !reserved.contains(id)) {
            found.push_back(&executor);
        }
    }
    removeDisallowed(cluster, group, found);
    return found;
}

/// Returns the age of the oldest report among those of the executors in \p placement.
milliseconds oldestReportAge(const ClusterState &cluster, const Placement &placement)
{
    Duration oldest{0};
    for (const auto &[task, incarnation] : placement) {
        oldest = std::max(oldest, cluster.now_ - cluster.executors_.at(incarnation.executor_).lastReport_);
    }
    return std::chrono::duration_cast<milliseconds>(oldest);
}

/// Assigns the tasks of \p placement and updates their job's record. Start orders are sent once the record is stored.
void assign(ClusterState &cluster, const WaitingGroup &group, const Placement &placement)
{
    Job &job = *group.job_;
    const Step &step = job.submission_.steps_[group.group_.step_];
    std::vector<Incarnation> used;
    used.reserve(placement.size());
    for (const auto &[index, incarnation] : placement) {
        used.push_back(incarnation);
        endIsolationOn(cluster, cluster.executors_.at(incarnation.executor_));
    }
    if (placement.size() == group.tasks_.size()) {
        job.waitingSince_.erase(group.group_.first_);
    }
    useReservation(cluster, job, group.group_, used, group.tasks_.size() - placement.size());
    std::uint32_t gangRun = 0;
    std::string gangCheckpoint;
    for (const std::size_t task : group.tasks_) {
        gangRun = std::max(gangRun, job.progress_.tasks_[task].run_ + 1);
        gangCheckpoint = std::max(gangCheckpoint, job.progress_.tasks_[task].checkpoint_);
    }
    job.markChanged();
    job.progress_.started_ = true;
    job.progress_.state_ = JobState::Running;
    for (const auto &[index, incarnation] : placement) {
        TaskProgress &task = job.progress_.tasks_[index];
        task.run_ = step.gang_ ? gangRun : task.run_ + 1;
        task.checkpoint_ = step.gang_ ? gangCheckpoint : task.checkpoint_;
        task.assigned_ = true;
        task.placement_ = incarnation;
        Run run;
        run.id_ = {taskOf(job.submission_, group.group_, index), task.run_};
        run.placement_ = incarnation;
        run.resources_ = step.countedDemand();
        run.version_ = job.version_;
        run.isolated_ = needsIsolation(job, index);
        run.startedAt_ = cluster.now_;
        addRun(cluster, std::move(run));
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(cluster.now_ - job.acceptedAt_);
    cluster.logEvent("assigned",
                     {{"job", job.submission_.id_.str()},
                      {"step", std::to_string(group.group_.step_)},
                      {"tasks", std::to_string(placement.size())},
                      {"places", executorNames(placement)},
                      {"waited_ms", std::to_string(waited.count())},
                      {"report_age_ms", std::to_string(oldestReportAge(cluster, placement).count())},
                      {"priority", std::to_string(job.settings_.priority_)},
                      {"rack_slowdown", std::to_string(rackSlowdown(cluster, step, used))},
                      {"restored", gangCheckpoint.empty() ? "no" : "yes"}});
}

/// Returns whether a suspected task of \p group still waits for an executor of its own.
bool waitsForIsolation(const ClusterState &cluster, const WaitingGroup &group)
{
    return needsIsolation(*group.job_, group.tasks_.front()) && !mayStartUnisolated(cluster, group);
}

/// Leaves out the tasks of \p group with which its job's record could become larger than the store takes.
void limitToRecord(const ClusterState &cluster, WaitingGroup &group)
{
    const Job &job = *group.job_;
    const bool together = job.submission_.steps_[group.group_.step_].gang_;
    const auto limit = job.isFolded_ ? tasksWithinFoldedRecord : tasksWithinRecord;
    group.tasks_ = limit(job.submission_, job.progress_, std::move(group.tasks_), together, cluster.limits_.maxRecordBytes_);
}

/// Logs, once for each group, that \p held executors are held for it.
void logHold(ClusterState &cluster, const WaitingGroup &group, std::size_t missing, std::size_t held)
{
    if (held > 0 && group.job_->reportedHolds_.insert(group.group_.first_).second) {
        cluster.logEvent("room-held",
                         {{"job", group.job_->submission_.id_.str()},
                          {"step", std::to_string(group.group_.step_)},
                          {"missing", std::to_string(missing)},
                          {"executors", std::to_string(held)},
                          {"priority", std::to_string(group.job_->settings_.priority_)}});
    }
}

bool mayPreempt(const ClusterState &cluster, const WaitingGroup &group)
{
    return group.job_->settings_.priority_ == 0 && cluster.hasDiscoveredAgents();
}

/// Prepares room for \p group on those of the \p executors whose hosts aren't too slow. Returns whether it is being cleared, or about to be free.
bool preemptOnSuitableHosts(ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> executors, const HostChoice &hosts)
{
    const auto tooSlow = std::erase_if(executors, [&hosts](const Executor *executor) { return hosts.fitOf(*executor) == HostFit::TooSlow; });
    return tooSlow > 0 && preemptFor(cluster, group, executors);
}

/// Returns whether \p group has waited long enough for faster hosts: the others aren't left unused for longer while most of the fleet is idle.
bool hasWaitedForFasterHosts(const ClusterState &cluster, const WaitingGroup &group)
{
    const bool hasWaited = cluster.now_ - group.job_->waitingSince_.at(group.group_.first_) > maxIdleHostWait;
    return hasWaited && isMostlyIdle(cluster, group.job_->submission_.service_);
}

/// Returns whether \p group, which could start now by \p placement, should wait for hosts on which it ends in time: it would miss its objective on some of
/// those, and room on others is being cleared.
bool waitsForFasterHosts(
    ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &executors, const HostChoice &hosts, const Placement &placement)
{
    const bool startsTogether = group.job_->submission_.steps_[group.group_.step_].gang_ || group.tasks_.size() == 1;
    return startsTogether && !placement.empty() && worstFit(cluster, hosts, placement) == HostFit::TooSlow && mayPreempt(cluster, group)
        && !hasWaitedForFasterHosts(cluster, group) && preemptOnSuitableHosts(cluster, group, executors, hosts);
}

/// Places the waiting tasks of \p group as far as possible, and prepares for the others: asks for tickets, stops other work or holds executors.
void placeGroup(ClusterState &cluster, const WaitingGroup &group, ExecutorHolds &holds, std::vector<AdviceProposal> &proposals)
{
    std::vector<Executor *> candidates = findCandidates(cluster, group);
    relaxExclusionsIfNeeded(cluster, *group.job_, group.group_, candidates);
    std::erase_if(candidates, [&](const Executor *executor) { return !holds.mayUse(*executor, group.rank()); });
    std::vector<Executor *> executors = candidates;
    keepWithTickets(cluster, group, executors);
    const HostChoice hosts(cluster, group);
    const Placement placement = findPlacement(cluster, executors, group, hosts);
    if (waitsForFasterHosts(cluster, group, executors, hosts, placement)) {
        return;
    }
    if (!placement.empty()) {
        assign(cluster, group, placement);
    }
    const std::size_t missing = group.tasks_.size() - placement.size();
    if (missing > 0) {
        if (auto proposal = proposeAdvice(cluster, group, candidates)) {
            proposals.push_back(std::move(*proposal));
        }
    }
    const bool isUnplaced = placement.empty();
    if (isUnplaced && waitsForIsolation(cluster, group)) {
        return; // an executor of its own may be free soon; nothing is stopped or held for it
    }
    if (isUnplaced && mayPreempt(cluster, group) && !preemptOnSuitableHosts(cluster, group, executors, hosts)) {
        preemptFor(cluster, group, executors);
    }
    if (missing > 0 && !group.zeroValue_) {
        logHold(cluster, group, missing, holds.holdFor(group, executors, missing));
    }
}

}

std::vector<Incarnation> findFasterPlacement(ClusterState &cluster, const WaitingGroup &group)
{
    const HostChoice hosts(cluster, group);
    std::vector<Executor *> executors = findCandidates(cluster, group);
    std::erase_if(executors, [&hosts](const Executor *executor) { return hosts.fitOf(*executor) > HostFit::Neutral; });
    keepWithTickets(cluster, group, executors);
    std::vector<Incarnation> placements;
    for (const auto &[task, incarnation] : findPlacement(cluster, executors, group, hosts)) {
        placements.push_back(incarnation);
    }
    return placements;
}

std::uint32_t antiAffinityHeadroom(const Executor &executor, const WaitingGroup &group)
{
    const std::uint32_t limit = group.job_->submission_.steps_[group.group_.step_].antiAffinity_;
    if (limit == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const auto isSameStep = [&group](const RunId &run) {
        return run.task_.job_ == group.job_->submission_.id_ && run.task_.occurrence_ == group.group_.occurrence_ && run.task_.step_ == group.group_.step_;
    };
    const auto used = static_cast<std::uint32_t>(std::count_if(executor.runs_.begin(), executor.runs_.end(), isSameStep));
    return used < limit ? limit - used : 0;
}

void placeWaiting(ClusterState &cluster)
{
    if (!cluster.mayIssueOrders()) {
        return;
    }
    updateGuarantees(cluster);
    std::vector<WaitingGroup> waiting = waitingGroups(cluster);
    if (waiting.empty()) {
        return; // the usual case: most steps only process reports
    }
    ExecutorHolds holds(cluster);
    std::vector<AdviceProposal> proposals;
    for (WaitingGroup &group : waiting) {
        limitIsolatedStarts(cluster, group);
        limitToRecord(cluster, group);
        if (group.tasks_.empty()) {
            continue;
        }
        group.job_->waitingSince_.try_emplace(group.group_.first_, cluster.now_);
        assessHealth(cluster, group);
        if (group.job_->settings_.priority_ > 0) {
            holds.holdUrgentReserve(group.job_->submission_.service_);
        }
        placeGroup(cluster, group, holds, proposals);
    }
    requestAdvice(cluster, proposals);
}

}
