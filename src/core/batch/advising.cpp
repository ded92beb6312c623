#include "core/batch/advising.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// Limits the executors in one request, as the response time of the policy grows with their number.
constexpr std::size_t maxExecutorsPerRequest = 30;

/// Minimum remaining validity of an issued ticket: covers the time that a start order may take to arrive.
constexpr milliseconds minTicketValidity{1'500};

/// A request without an answer may be repeated after this time.
constexpr milliseconds requestTimeout{8'000};

StepId stepIdOf(const WaitingGroup &group)
{
    return {group.job_->submission_.id_, group.group_.occurrence_, group.group_.step_};
}

}

void filterByAdvice(ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> &executors)
{
    if (!group.job_->settings_.placementPolicy_) {
        return;
    }
    const StepId step = stepIdOf(group);
    Advice &advice = cluster.advice_[step];
    if (advice.validUntil_ < cluster.now_ + minTicketValidity) {
        advice.tickets_.clear();
        advice.asked_.clear();
    }
    std::vector<ExecutorId> unknown;
    for (const Executor *executor : executors) {
        const ExecutorId &id = executor->info_.incarnation_.executor_;
        if (!advice.asked_.contains(id) && unknown.size() < maxExecutorsPerRequest) {
            unknown.push_back(id);
        }
    }
    std::erase_if(executors, [&advice](const Executor *executor) { return !advice.tickets_.contains(executor->info_.incarnation_.executor_); });
    const bool requestPending = advice.asking_ && cluster.now_ - advice.askedAt_ < requestTimeout;
    const bool hasEnough = executors.size() >= 2 * group.tasks_.size();
    if (!requestPending && !hasEnough && !unknown.empty()) {
        advice.asking_ = true;
        advice.askedAt_ = cluster.now_;
        cluster.logEvent("advice-asked", {{"job", step.job_.str()}, {"step", std::to_string(step.step_)}, {"executors", std::to_string(unknown.size())}});
        cluster.adviceRequests_.push_back({step, std::move(unknown)});
    }
}

std::string ticketFor(const ClusterState &cluster, const Run &run)
{
    const auto advice = cluster.advice_.find({run.id_.task_.job_, run.id_.task_.occurrence_, run.id_.task_.step_});
    if (advice == cluster.advice_.end()) {
        return "";
    }
    const auto ticket = advice->second.tickets_.find(run.placement_.executor_);
    return ticket == advice->second.tickets_.end() ? "" : ticket->second;
}

void applyAdvice(
    ClusterState &cluster, const StepId &step, const std::vector<ExecutorId> &asked, const std::map<ExecutorId, std::string> &tickets, milliseconds validity)
{
    Advice &advice = cluster.advice_[step];
    advice.asking_ = false;
    if (asked.empty()) {
        return;
    }
    const Instant until = advice.askedAt_ + validity;
    advice.validUntil_ = advice.asked_.empty() ? until : std::min(advice.validUntil_, until);
    advice.asked_.insert(asked.begin(), asked.end());
    advice.tickets_.insert(tickets.begin(), tickets.end());
    cluster.logEvent("advice-given", {{"job", step.job_.str()}, {"step", std::to_string(step.step_)}, {"allowed", std::to_string(tickets.size())}});
}

}
