#include "core/scheduling/queue.h"

#include "core/scheduling/guarantees.h"
#include "core/scheduling/ledger.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick {

namespace {

constexpr double unknownRunTimeS = 600;
constexpr double learningRate = 0.3;
constexpr double displacedBonus = 2; // in doublings of the expected run time
constexpr std::size_t maxFailedShapes = 64;

enum class Urgency : std::uint8_t {
    Urgent,
    Guaranteed,
    Ordinary,
};

struct Waiting
{
    JobEntry *job_ = nullptr;
    Urgency urgency_ = Urgency::Ordinary;
    double score_ = 0; ///< less goes first
};

bool displaced(const JobEntry &job)
{
    const JobReason reason = job.record_.reason_;
    return reason == JobReason::DataCentreOut || reason == JobReason::Preempted || reason == JobReason::WorkerLost;
}

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

double scoreOf(const SchedulerBoard &board, const JobEntry &job, Instant now)
{
    const double expected = static_cast<double>(std::max<std::int64_t>(expectedRunTime(board, job).count(), 1));
    const double aged = secondsBetween(job.queuedAt_, now) / std::chrono::duration<double>(board.limits_.ageStep_).count();
    return std::log2(expected) - aged - (displaced(job) ? displacedBonus : 0);
}

/// One pass over the queue.
class Pass
{
public:
    Pass(SchedulerBoard &board, Instant now)
        : board_(board)
        , now_(now)
    {
    }

    void run()
    {
        for (const Waiting &waiting : order()) {
            if (!place(*waiting.job_) && !board_.limits_.shortestFirst_) {
                return;
            }
        }
    }

private:
    std::vector<Waiting> order()
    {
        std::vector<Waiting> order;
        for (const JobId &id : board_.queued_) {
            JobEntry &job = board_.jobs_.at(id);
            if (now_ < job.notBefore_) {
                continue;
            }
            if (!board_.limits_.shortestFirst_) {
                order.push_back({&job, Urgency::Ordinary, secondsBetween(Instant(), job.queuedAt_)});
                continue;
            }
            GuaranteeId guarantee;
            const bool guaranteed = reservedBlockFor(board_, job, guarantee).has_value();
            const Urgency urgency = job.record_.spec_.urgent_ ? Urgency::Urgent : guaranteed ? Urgency::Guaranteed : Urgency::Ordinary;
            order.push_back({&job, urgency, scoreOf(board_, job, now_)});
        }
        std::stable_sort(order.begin(), order.end(), [](const Waiting &left, const Waiting &right) {
            return std::tie(left.urgency_, left.score_) < std::tie(right.urgency_, right.score_);
        });
        return order;
    }

    bool place(JobEntry &job)
    {
        if (placeReserved(job)) {
            return true;
        }
        if (overQuota(job)) {
            return false;
        }
        const PlacementRequest demand = demandOf(job);
        if (knownToFail(demand)) {
            return preempt(job, demand);
        }
        const auto block = findPlacement(board_.fleet_, demand, board_.policy_);
        if (!block) {
            remember(demand);
            return preempt(job, demand);
        }
        if (rampHolds(job, *block)) {
            ++board_.rampBlocked_;
            return false;
        }
        placeJob(board_, job, *block, tenureOf(job), now_);
        return true;
    }

    bool placeReserved(JobEntry &job)
    {
        GuaranteeId guarantee;
        const auto block = reservedBlockFor(board_, job, guarantee);
        if (!block) {
            return false;
        }
        const auto victims = victimsFor(*block, job, [](const JobEntry &) { return true; });
        if (!victims) {
            return false;
        }
        job.record_.guarantee_ = guarantee;
        take(job, *block, Tenure::Guaranteed, *victims);
        return true;
    }

    bool overQuota(const JobEntry &job) const
    {
        const JobSpec &spec = job.record_.spec_;
        const auto workspace = board_.config_->workspaces_.find(spec.workspace_);
        if (workspace == board_.config_->workspaces_.end()) {
            return false;
        }
        const auto used = board_.inUse_.find(spec.workspace_);
        const Resources already = used == board_.inUse_.end() ? Resources() : used->second;
        return !workspace->second.quota_.covers(already + spec.each_ * spec.tasks_);
    }

    PlacementRequest demandOf(const JobEntry &job) const
    {
        const JobSpec &spec = job.record_.spec_;
        const bool borrow = spec.stoppable_ && board_.limits_.lendGuarantees_;
        return {spec.tasks_,
                spec.each_,
                spec.within_,
                borrow ? CapacityView::Free : CapacityView::FreeUnreserved,
                job.failedOn_.empty() ? nullptr : &job.failedOn_};
    }

    static Tenure tenureOf(const JobEntry &job)
    {
        const JobSpec &spec = job.record_.spec_;
        return !spec.stoppable_ ? Tenure::Firm : spec.urgent_ ? Tenure::Urgent : Tenure::Borrowed;
    }

    /// Stops others for an urgent job, or for a gang that work which came later has overtaken.
    bool preempt(JobEntry &job, PlacementRequest demand)
    {
        const JobSpec &spec = job.record_.spec_;
        const bool aged = now_ - job.queuedAt_ >= board_.limits_.preemptAfter_;
        const bool moving = !aged && mayMove(demand);
        if (!spec.stoppable_ || !board_.limits_.shortestFirst_ || (!spec.urgent_ && !aged && !moving)) {
            return false;
        }
        demand.capacityView_ = CapacityView::FreeAfterPreemption;
        const auto block = findPreemptingPlacement(board_.fleet_, demand);
        if (!block || rampHolds(job, *block)) {
            return false;
        }
        const auto victims
            = victimsFor(*block, job, [&](const JobEntry &victim) { return spec.urgent_ || (aged ? overtook(victim, job) : movable(victim, job)); });
        if (!victims) {
            return false;
        }
        if (moving) {
            board_.lastMove_ = now_;
        }
        take(job, *block, tenureOf(job), *victims);
        return true;
    }

    /// A move pays when enough accelerators are free, but scattered.
    bool mayMove(const PlacementRequest &demand) const
    {
        return board_.limits_.moveToDefragment_ && demand.each_.accelerators_ > 0 && now_ - board_.lastMove_ >= board_.limits_.moveEvery_
            && board_.fleet_.maxAcceleratorsInOneDataCentre(CapacityView::Free) >= demand.each_.accelerators_ * demand.tasks_;
    }

    bool overtook(const JobEntry &victim, const JobEntry &job) const
    {
        return victim.startedAt_ > job.queuedAt_ && victim.preemptions_ < board_.limits_.maxPreemptions_;
    }

    bool movable(const JobEntry &victim, const JobEntry &job) const
    {
        const JobSpec &small = victim.record_.spec_;
        const JobSpec &large = job.record_.spec_;
        if (victim.preemptions_ >= board_.limits_.maxPreemptions_ || small.each_.accelerators_ * small.tasks_ * 2 > large.each_.accelerators_ * large.tasks_) {
            return false;
        }
        return findPlacement(board_.fleet_, demandOf(victim), board_.policy_).has_value();
    }

    template<class Acceptable>
    std::optional<std::vector<JobEntry *>> victimsFor(const GangPlacement &block, const JobEntry &job, Acceptable acceptable)
    {
        std::vector<JobEntry *> victims;
        for (const MemberPlacement &member : block) {
            const Resources need = job.record_.spec_.each_ * member.tasks_;
            Resources room = board_.fleet_.worker(member.worker_).free();
            std::vector<JobEntry *> candidates;
            for (const JobId &id : board_.contacts_[member.worker_].residents_) {
                JobEntry &resident = board_.jobs_.at(id);
                const bool leaving = resident.record_.state_ == JobState::Stopping || std::count(victims.begin(), victims.end(), &resident) > 0;
                if (leaving) {
                    room += heldOn(resident, member.worker_);
                } else if (mayStop(resident) && acceptable(resident)) {
                    candidates.push_back(&resident);
                }
            }
            std::stable_sort(candidates.begin(), candidates.end(), [this](const JobEntry *left, const JobEntry *right) { return loss(*left) < loss(*right); });
            for (JobEntry *candidate : candidates) {
                if (room.covers(need)) {
                    break;
                }
                room += heldOn(*candidate, member.worker_);
                victims.push_back(candidate);
            }
            if (!room.covers(need)) {
                return std::nullopt;
            }
        }
        return victims;
    }

    static bool mayStop(const JobEntry &resident)
    {
        return resident.record_.tenure_ == Tenure::Borrowed || resident.record_.tenure_ == Tenure::Urgent;
    }

    static Resources heldOn(const JobEntry &job, WorkerIndex worker)
    {
        Resources held;
        for (const MemberState &member : job.members_) {
            if (member.worker_ == worker && member.holdsRoom_) {
                held += job.record_.spec_.each_ * member.tasks_;
            }
        }
        return held;
    }

    /// Work that stopping \p job throws away: ordinary before urgent, then what has run least.
    std::pair<bool, double> loss(const JobEntry &job) const
    {
        const double ran = job.record_.state_ == JobState::Running ? secondsBetween(job.startedAt_, now_) : 0;
        return {job.record_.tenure_ == Tenure::Urgent, ran * job.record_.spec_.tasks_};
    }

    void take(JobEntry &job, const GangPlacement &block, Tenure tenure, const std::vector<JobEntry *> &victims)
    {
        for (JobEntry *victim : victims) {
            ++victim->preemptions_;
            stopJob(board_, *victim, JobReason::Preempted, now_);
        }
        placeJob(board_, job, block, tenure, now_);
    }

    /// After a data centre has returned, ordinary work enters it one gang at a time.
    bool rampHolds(const JobEntry &job, const GangPlacement &block)
    {
        const DataCentreId &dataCentre = board_.fleet_.dataCentreId(board_.fleet_.worker(block.front().worker_).dataCentre_);
        const auto returned = board_.returnedAt_.find(dataCentre);
        if (job.record_.spec_.urgent_ || returned == board_.returnedAt_.end() || now_ >= returned->second + board_.limits_.rampLength_) {
            return false;
        }
        Instant &next = board_.rampNext_[dataCentre];
        if (now_ < next) {
            return true;
        }
        next = now_ + board_.limits_.rampInterval_;
        return false;
    }

    bool knownToFail(const PlacementRequest &demand) const
    {
        return std::any_of(failed_.begin(), failed_.end(), [&demand](const PlacementRequest &smaller) {
            return smaller.capacityView_ == demand.capacityView_ && demand.each_.covers(smaller.each_) && smaller.tasks_ <= demand.tasks_
                && smaller.within_ >= demand.within_;
        });
    }

    void remember(const PlacementRequest &demand)
    {
        if (!demand.excludedWorkers_ && failed_.size() < maxFailedShapes) {
            failed_.push_back(demand);
        }
    }

    SchedulerBoard &board_;
    Instant now_;
    std::vector<PlacementRequest> failed_;
};

auto modelKey(const JobEntry &job)
{
    const JobSpec &spec = job.record_.spec_;
    return std::tuple(spec.workspace_, spec.tasks_, spec.each_.accelerators_);
}

void learn(double &mean, bool fresh, double seconds)
{
    mean = fresh ? seconds : mean + learningRate * (seconds - mean);
}

}

void placeQueued(SchedulerBoard &board, Instant now)
{
    if (!board.placeAgain_) {
        return;
    }
    board.placeAgain_ = false;
    board.rampBlocked_ = 0;
    Pass(board, now).run();
}

std::chrono::seconds expectedRunTime(const SchedulerBoard &board, const JobEntry &job)
{
    double expected = unknownRunTimeS;
    if (!board.limits_.learnRunTimes_) {
        expected = static_cast<double>(std::max<std::int64_t>(job.record_.spec_.expectedRunTime_.count(), 1));
    } else if (const auto exact = board.runTimes_.seconds_.find(modelKey(job)); exact != board.runTimes_.seconds_.end()) {
        expected = exact->second;
    } else if (const auto rough = board.runTimes_.perWorkspace_.find(job.record_.spec_.workspace_); rough != board.runTimes_.perWorkspace_.end()) {
        expected = rough->second;
    }
    const double left = std::max(1.0, expected - std::chrono::duration<double>(job.ranFor_).count());
    return std::chrono::seconds(static_cast<std::int64_t>(left));
}

void learnRunTime(SchedulerBoard &board, const JobEntry &job, Duration actual)
{
    const double seconds = std::chrono::duration<double>(actual).count();
    const auto [exact, freshExact] = board.runTimes_.seconds_.try_emplace(modelKey(job), 0);
    learn(exact->second, freshExact, seconds);
    const auto [rough, freshRough] = board.runTimes_.perWorkspace_.try_emplace(job.record_.spec_.workspace_, 0);
    learn(rough->second, freshRough, seconds);
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
