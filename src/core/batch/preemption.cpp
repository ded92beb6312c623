#include "core/batch/preemption.h"

#include "core/batch/ledger.h"
#include "core/batch/placing.h"
#include "core/batch/runs.h"

#include <algorithm>
#include <map>
#include <optional>

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
    return step.each_.cpuMilli_ + step.each_.accelerators_ * acceleratorCpuMilli;
}

/// Work that a stop of \p run, and with it of its gang, would throw away, in thousandths of core-milliseconds.
std::int64_t lostWork(const Board &board, const Run &run)
{
    const Job &job = board.jobs_.at(run.id_.task_.job_);
    const Step &step = job.submission_.steps_[run.id_.task_.step_];
    const std::int64_t members = step.gang_ ? step.count_ : 1;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(board.now_ - run.startedAt_);
    const milliseconds lost = step.checkpoints_ ? std::min(restoreLoss, elapsed) : elapsed;
    return weightOf(step) * members * std::max<std::int64_t>(1, lost.count());
}

/// Work that \p group brings, in the same unit.
std::int64_t ownWork(const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    return weightOf(step) * static_cast<std::int64_t>(group.tasks_.size()) * step.estimate_.count();
}

/// Returns how much longer \p run is likely to take, by its progress so far; nothing if it shows none yet.
std::optional<milliseconds> expectedRest(const Board &board, const Run &run)
{
    constexpr std::int32_t leastPercent = 5;
    const bool gang = board.jobs_.at(run.id_.task_.job_).submission_.steps_[run.id_.task_.step_].gang_;
    if (gang || run.phase_ != RunPhase::Running || run.percent_ < leastPercent) {
        return std::nullopt; // members of a gang end with the slowest
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(board.now_ - run.startedAt_);
    return elapsed * (100 - run.percent_) / run.percent_;
}

/// Returns whether all unfinished work of priority 0 of the group's workspace fits its guarantee.
bool isGuaranteed(const Board &board, const Job &job)
{
    std::int64_t needed = 0;
    for (const auto &[id, other] : board.jobs_) {
        if (other.priority_ != 0 || isFinal(other.progress_.state_) || other.submission_.workspace_ != job.submission_.workspace_) {
            continue;
        }
        std::int64_t widest = 0;
        for (const Step &step : other.submission_.steps_) {
            widest = std::max(widest, step.count_ * step.each_.accelerators_);
        }
        needed += widest;
    }
    return needed <= board.config_.guaranteed(job.submission_.workspace_);
}

/// An executor while victims are chosen.
struct Site
{
    Executor *executor_ = nullptr;
    Room free_; ///< counting what is being stopped as free
    std::uint32_t allowance_ = 0;
    std::vector<std::pair<std::int64_t, RunId>> victims_; ///< cheapest first
};

struct Plan
{
    std::vector<Incarnation> places_;
    std::vector<RunId> victims_;
    std::int64_t lost_ = 0;
};

/// \p horizon counts what is likely to end within it as free.
Site siteOf(const Board &board, Executor &executor, const WaitingGroup &group, milliseconds horizon)
{
    Site site{&executor, freeRoom(executor, group.job_->submission_.id_, group.group_.first_), allowance(executor, group), {}};
    for (const RunId &id : executor.runs_) {
        const Run &run = board.runs_.at(id);
        const Job &job = board.jobs_.at(id.task_.job_);
        const auto rest = expectedRest(board, run);
        if (run.phase_ == RunPhase::Stopping || (rest && *rest < horizon)) {
            site.free_ += run.room_;
        } else if (job.priority_ > group.job_->priority_ && !job.submission_.steps_[id.task_.step_].longRunning_) {
            site.victims_.emplace_back(lostWork(board, run), id);
        }
    }
    std::sort(site.victims_.begin(), site.victims_.end());
    return site;
}

/// Returns how many of the site's cheapest victims have to go for \p each to fit; nothing if all aren't enough.
std::optional<std::size_t> victimsNeeded(const Board &board, const Site &site, const Room &each)
{
    Room free = site.free_;
    for (std::size_t count = 0; count <= site.victims_.size(); ++count) {
        if (free.covers(each)) {
            return count;
        }
        if (count < site.victims_.size()) {
            free += board.runs_.at(site.victims_[count].second).room_;
        }
    }
    return std::nullopt;
}

void takeVictims(const Board &board, Site &site, std::size_t count, Plan &plan)
{
    for (std::size_t at = 0; at < count; ++at) {
        const auto &[lost, id] = site.victims_[at];
        site.free_ += board.runs_.at(id).room_;
        plan.victims_.push_back(id);
        plan.lost_ += lost;
    }
    site.victims_.erase(site.victims_.begin(), site.victims_.begin() + static_cast<std::ptrdiff_t>(count));
}

std::optional<Plan> planOn(const Board &board, std::vector<Site> sites, const WaitingGroup &group)
{
    const Room each = group.job_->submission_.steps_[group.group_.step_].counted();
    Plan plan;
    for (const std::size_t task : group.tasks_) {
        const auto avoided = group.job_->avoid_.find(task);
        Site *best = nullptr;
        std::size_t bestCount = 0;
        std::int64_t bestLost = 0;
        for (Site &site : sites) {
            const bool shunned = avoided != group.job_->avoid_.end() && avoided->second.contains(site.executor_->facts_.life_.executor_);
            const auto count = site.allowance_ > 0 && !shunned ? victimsNeeded(board, site, each) : std::nullopt;
            if (!count) {
                continue;
            }
            std::int64_t lost = 0;
            for (std::size_t at = 0; at < *count; ++at) {
                lost += site.victims_[at].first;
            }
            if (best == nullptr || lost < bestLost) {
                best = &site;
                bestCount = *count;
                bestLost = lost;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        takeVictims(board, *best, bestCount, plan);
        best->free_ -= each;
        --best->allowance_;
        plan.places_.push_back(best->executor_->facts_.life_);
    }
    return plan;
}

std::optional<Plan> cheapestPlan(const Board &board, const std::vector<Site> &sites, const WaitingGroup &group)
{
    std::optional<Plan> best;
    if (group.job_->submission_.steps_[group.group_.step_].sameRack_) {
        std::map<std::string, std::vector<Site>> racks;
        for (const Site &site : sites) {
            racks[site.executor_->rack()].push_back(site);
        }
        for (const auto &[rack, members] : racks) {
            auto plan = planOn(board, members, group);
            if (plan && (!best || plan->lost_ < best->lost_)) {
                best = std::move(plan);
            }
        }
    }
    return best ? best : planOn(board, sites, group);
}

}

void clearRoom(Board &board, const WaitingGroup &group)
{
    Job &job = *group.job_;
    const auto reserved = job.reservations_.find(group.group_.first_);
    if (reserved != job.reservations_.end()) {
        if (reserved->second.until_ > board.now_) {
            return;
        }
        release(board, job, group.group_.first_);
    }
    const bool guaranteed = isGuaranteed(board, job);
    const auto waited = std::chrono::duration_cast<milliseconds>(board.now_ - job.acceptedAt_);
    const milliseconds horizon = std::max(milliseconds(0), guaranteedPatience - waited);
    std::vector<Site> sites;
    for (Executor *executor : candidates(board, group)) {
        sites.push_back(siteOf(board, *executor, group, horizon));
    }
    const auto plan = cheapestPlan(board, sites, group);
    if (!plan || (!guaranteed && plan->lost_ > ownWork(group))) {
        return;
    }
    const milliseconds wait = plan->victims_.empty() ? std::max(horizon, board.limits_.stopLimit_) : board.limits_.stopLimit_;
    reserve(board, job, group.group_, {plan->places_, board.now_ + wait + stopRoundTrip});
    board.decide("room-cleared",
                 {{"job", job.submission_.id_.str()},
                  {"victims", std::to_string(plan->victims_.size())},
                  {"guaranteed", guaranteed ? "yes" : "no"},
                  {"lost", std::to_string(plan->lost_)}});
    for (const RunId &victim : plan->victims_) {
        stopRun(board, victim, "preempted");
    }
}

}
