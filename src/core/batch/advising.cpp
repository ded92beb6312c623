#include "core/batch/advising.h"

#include "core/batch/ledger.h"
#include "core/batch/placing.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <tuple>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Limits the executors in one request, as the response time of the policy grows with their number.
constexpr std::size_t maxExecutorsPerRequest = 30;

/// Remaining validity of a ticket that covers the time until a start order arrives. Of shorter tickets, half of their validity is used.
constexpr milliseconds orderTransitTime{1'500};

/// Time beyond the policy's own response time after which a request counts as lost.
constexpr milliseconds answerSlack{6'000};

/// Time beyond a request's timeout in which its result arrives here.
constexpr milliseconds resultSlack{1'000};

/// A step that the policy gave no answer about is asked about again after this time: others go first.
constexpr milliseconds retryDelay{500};

/// As above, if all executors with room had tickets and nothing could be placed, unless the room changes.
constexpr milliseconds unplaceableRetryDelay{5'000};

StepId stepIdOf(const WaitingGroup &group)
{
    return {group.job_->submission_.id_, group.group_.occurrence_, group.group_.step_};
}

const Advice *adviceFor(const ClusterState &cluster, const StepId &step)
{
    const auto found = cluster.advice_.find(step);
    return found == cluster.advice_.end() ? nullptr : &found->second;
}

bool hasTicket(const ClusterState &cluster, const Advice &advice, const Executor &executor)
{
    const Incarnation &incarnation = executor.info_.incarnation_;
    const auto ticket = advice.tickets_.find(incarnation.executor_);
    return ticket != advice.tickets_.end() && ticket->second.startTimeMs_ == incarnation.startTimeMs_ && cluster.now_ <= ticket->second.usableUntil_;
}

/// Returns how many tasks of \p group have room on \p executor now.
std::int64_t roomFor(const ClusterState &cluster, const WaitingGroup &group, const Executor &executor)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const std::int64_t limit = std::min<std::int64_t>(step.count_, antiAffinityHeadroom(executor, group));
    return freeResources(cluster, executor, group).countFitting(step.countedDemand(), limit);
}

/// The candidates for a group that have no ticket, by how useful one would be, and the room on all of them.
struct TicketNeeds
{
    std::vector<ExecutorId> allowed_; ///< with room; their tickets have expired
    std::vector<ExecutorId> unknown_; ///< with room
    std::vector<ExecutorId> full_;
    std::map<ExecutorId, std::int64_t> room_;
};

TicketNeeds ticketNeeds(const ClusterState &cluster, const WaitingGroup &group, const Advice &advice, const std::vector<Executor *> &candidates)
{
    TicketNeeds needs;
    for (const Executor *executor : candidates) {
        const ExecutorId &id = executor->info_.incarnation_.executor_;
        const std::int64_t room = roomFor(cluster, group, *executor);
        if (room > 0) {
            needs.room_.emplace(id, room);
        }
        if (hasTicket(cluster, advice, *executor)) {
            continue;
        }
        const bool isAllowed = advice.tickets_.contains(id);
        (room == 0 ? needs.full_ : isAllowed ? needs.allowed_ : needs.unknown_).push_back(id);
    }
    return needs;
}

milliseconds timeoutOf(const PlacementPolicy &policy, std::size_t executors)
{
    return policy.decisionTime_ + policy.timePerExecutor_ * executors + answerSlack;
}

}

void removeDisallowed(const ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> &executors)
{
    const Advice *advice = group.job_->settings_.placementPolicy_ ? adviceFor(cluster, stepIdOf(group)) : nullptr;
    if (advice == nullptr) {
        return;
    }
    std::erase_if(executors, [advice](const Executor *executor) {
        const auto disallowed = advice->disallowed_.find(executor->info_.incarnation_.executor_);
        return disallowed != advice->disallowed_.end() && disallowed->second == executor->info_.incarnation_.startTimeMs_;
    });
}

void keepWithTickets(const ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> &executors)
{
    if (!group.job_->settings_.placementPolicy_) {
        return;
    }
    const Advice *advice = adviceFor(cluster, stepIdOf(group));
    std::erase_if(executors, [&](const Executor *executor) { return advice == nullptr || !hasTicket(cluster, *advice, *executor); });
}

std::optional<AdviceProposal> proposeAdvice(ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &candidates)
{
    const auto &policy = group.job_->settings_.placementPolicy_;
    if (!policy) {
        return std::nullopt;
    }
    Advice &advice = cluster.advice_[stepIdOf(group)];
    TicketNeeds needs = ticketNeeds(cluster, group, advice, candidates);
    std::vector<ExecutorId> executors = std::move(needs.allowed_);
    std::move(needs.unknown_.begin(), needs.unknown_.end(), std::back_inserter(executors));
    const bool canStart = !executors.empty();
    if (!canStart) {
        advice.unplaceable_ = needs.room_;
    }
    if (!canStart && group.job_->settings_.priority_ == 0) {
        executors = std::move(needs.full_); // other work may be stopped there
    }
    const bool wasOfNoUse = canStart && needs.room_ == advice.unplaceable_ && cluster.now_ - advice.askedAt_ < unplaceableRetryDelay;
    if (executors.empty() || wasOfNoUse || cluster.now_ - advice.failedAt_ < retryDelay) {
        return std::nullopt;
    }
    executors.resize(std::min(executors.size(), maxExecutorsPerRequest));
    const milliseconds timeout = timeoutOf(*policy, executors.size());
    return AdviceProposal{{stepIdOf(group), std::move(executors), timeout}, canStart, advice.askedAt_};
}

void requestAdvice(ClusterState &cluster, const std::vector<AdviceProposal> &proposals)
{
    const bool isPending = cluster.pendingAdvice_ && cluster.now_ < cluster.pendingAdvice_->lostAt_;
    if (isPending || proposals.empty()) {
        return;
    }
    const auto rank = [](const AdviceProposal &proposal) { return std::tuple(!proposal.canStart_, proposal.askedAt_); };
    const auto chosen = std::min_element(
        proposals.begin(), proposals.end(), [&rank](const AdviceProposal &left, const AdviceProposal &right) { return rank(left) < rank(right); });
    const AdviceRequest &request = chosen->request_;
    PendingAdvice pending{request.step_, {}, cluster.now_, cluster.now_ + request.timeout_ + resultSlack};
    for (const ExecutorId &id : request.executors_) {
        pending.startTimes_.emplace(id, cluster.executors_.at(id).info_.incarnation_.startTimeMs_);
    }
    cluster.pendingAdvice_ = std::move(pending);
    cluster.advice_[request.step_].askedAt_ = cluster.now_;
    cluster.logEvent("advice-asked",
                     {{"job", request.step_.job_.str()},
                      {"step", std::to_string(request.step_.step_)},
                      {"executors", std::to_string(request.executors_.size())},
                      {"can_start", chosen->canStart_ ? "yes" : "no"},
                      {"steps_waiting", std::to_string(proposals.size())}});
    cluster.adviceRequests_.push_back(request);
}

std::string ticketFor(const ClusterState &cluster, const Run &run)
{
    const Advice *advice = adviceFor(cluster, {run.id_.task_.job_, run.id_.task_.occurrence_, run.id_.task_.step_});
    if (advice == nullptr) {
        return "";
    }
    const auto ticket = advice->tickets_.find(run.placement_.executor_);
    return ticket == advice->tickets_.end() ? "" : ticket->second.text_;
}

void applyAdvice(ClusterState &cluster, const AdviceAnswer &answer)
{
    if (!cluster.pendingAdvice_ || cluster.pendingAdvice_->step_ != answer.step_) {
        return; // it was given up
    }
    const PendingAdvice pending = *std::exchange(cluster.pendingAdvice_, std::nullopt);
    Advice &advice = cluster.advice_[answer.step_];
    if (answer.asked_.empty()) {
        advice.failedAt_ = cluster.now_;
        return;
    }
    const milliseconds usableFor = answer.validFor_ - std::min(orderTransitTime, answer.validFor_ / 2);
    for (const auto &[id, startTimeMs] : pending.startTimes_) {
        const auto ticket = answer.tickets_.find(id);
        if (ticket == answer.tickets_.end()) {
            advice.disallowed_[id] = startTimeMs;
            advice.tickets_.erase(id);
        } else {
            advice.tickets_[id] = {ticket->second, startTimeMs, answer.answeredAt_ + usableFor};
        }
    }
    cluster.logEvent("advice-given",
                     {{"job", answer.step_.job_.str()},
                      {"step", std::to_string(answer.step_.step_)},
                      {"allowed", std::to_string(answer.tickets_.size())},
                      {"took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(answer.answeredAt_ - pending.askedAt_).count())}});
}

}
