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

/// Work that a stop would throw away, in thousandths of core-milliseconds.
std::int64_t lostWork(const Board &board, const Run &run)
{
    const Job &job = board.jobs_.at(run.id_.task_.job_);
    const Step &step = job.submission_.steps_[run.id_.task_.step_];
    const std::int64_t weight = step.each_.cpuMilli_ + step.each_.accelerators_ * acceleratorCpuMilli;
    if (step.checkpoints_) {
        return weight;
    }
    return weight * std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(board.now_ - run.startedAt_).count());
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

Site siteOf(const Board &board, Executor &executor, const WaitingGroup &group)
{
    Site site{&executor, freeRoom(executor, group.job_->submission_.id_, group.group_.first_), allowance(executor, group), {}};
    for (const RunId &id : executor.runs_) {
        const Run &run = board.runs_.at(id);
        const Job &job = board.jobs_.at(id.task_.job_);
        if (run.phase_ == RunPhase::Stopping) {
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
    std::vector<Site> sites;
    for (Executor *executor : candidates(board, group)) {
        sites.push_back(siteOf(board, *executor, group));
    }
    const auto plan = cheapestPlan(board, sites, group);
    if (!plan) {
        return;
    }
    reserve(board, job, group.group_, {plan->places_, board.now_ + board.limits_.stopLimit_ + stopRoundTrip});
    board.decide("room-cleared", {{"job", job.submission_.id_.str()}, {"victims", std::to_string(plan->victims_.size())}});
    for (const RunId &victim : plan->victims_) {
        stopRun(board, victim, "preempted");
    }
}

}
