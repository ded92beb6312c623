#include "core/routing/executors.h"

#include "core/routing/answers.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bergamotwick {

namespace {

constexpr std::array<Duration, 4> pauseSteps{100ms, 500ms, 2s, 5s};
constexpr double serviceTimeSmoothing = 0.2;
constexpr double slotShareIncrease = 0.25; // growth of slotShare_ per answer, after a refusal has reduced it
constexpr std::int32_t timeoutsUntilRemoval = 20;

/// Returns the request that \p id belongs to, if \p id is its current attempt.
PendingRequest *currentAttempt(RouterState &state, const ExecutorId &executor, const AttemptId &id)
{
    if (id.requestIdHigh_ != state.incarnation_) {
        return nullptr; // reply to an earlier incarnation of this entry
    }
    const auto found = state.pending_.find(id.requestIdLow_);
    if (found == state.pending_.end() || found->second.stage_ != RequestStage::Sent) {
        return nullptr;
    }
    PendingRequest &pending = found->second;
    return pending.attempt_ == id.attempt_ && pending.executor_ == executor ? &pending : nullptr;
}

void pauseExecutor(RouterState &state, const ExecutorId &id, Instant now, RouterOutputs &outputs)
{
    const auto found = state.executors_.find(id);
    if (found == state.executors_.end()) {
        return;
    }
    Executor &executor = found->second;
    const auto step = std::min(static_cast<std::size_t>(executor.consecutiveFailures_), pauseSteps.size() - 1);
    ++executor.consecutiveFailures_;
    executor.pausedUntil_ = now + pauseSteps[step];
    outputs.emplace_back(ExecutorPaused{id, pauseSteps[step]});
}

void updateServiceTime(RouterState &state, const PendingRequest &pending, Instant now)
{
    ClassQueue &queue = state.services_[pending.request_.service_].classes_[pending.request_.class_];
    const double seconds = std::chrono::duration<double>(now - pending.sentAt_).count();
    queue.serviceSeconds_ = queue.serviceSeconds_ > 0 ? queue.serviceSeconds_ + serviceTimeSmoothing * (seconds - queue.serviceSeconds_) : seconds;
}

void addRetryTokens(RouterState &state, const ServiceId &id)
{
    const auto config = state.config_->services_.find(id);
    if (config != state.config_->services_.end()) {
        double &tokens = state.services_[id].retryTokens_;
        tokens = std::min(tokens + config->second.retryBudgetPercent_ / 100.0, static_cast<double>(state.limits_.maxRetryTokens_));
    }
}

bool takeRetryToken(RouterState &state, const ServiceId &id)
{
    double &tokens = state.services_[id].retryTokens_;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

void requeue(RouterState &state, PendingRequest &pending)
{
    releaseSlot(state, pending);
    enqueue(state, pending, true);
}

/// Handles an attempt with an unknown outcome: a repeatable request is retried within the retry budget.
void handleUnknownOutcome(RouterState &state, PendingRequest &pending, Instant now, RouterOutputs &outputs)
{
    const RequestToken token = pending.request_.token_;
    const bool retry = pending.request_.repeatable_ && !state.stopping_ && ++pending.unknownAttempts_ < state.limits_.maxUnknownAttempts_;
    pending.mayHaveRun_ = state.limits_.treatLostAsUnknown_;
    if (retry && takeRetryToken(state, pending.request_.service_)) {
        requeue(state, pending);
        return;
    }
    const Outcome outcome = state.limits_.treatLostAsUnknown_ ? Outcome::Unknown : Outcome::NotRun;
    if (!state.limits_.treatLostAsUnknown_) {
        requeue(state, pending);
    }
    finishRequest(state, token, {outcome, Refusal::None, 0, {}}, now, outputs);
}

/// Handles an attempt that was refused or not sent: nothing ran, so any request may be retried.
void handleNotRun(RouterState &state, PendingRequest &pending, const AttemptReply &reply, Instant now, RouterOutputs &outputs)
{
    const auto found = state.executors_.find(pending.executor_);
    if (found != state.executors_.end()) {
        found->second.leaving_ = found->second.leaving_ || reply.leaving_;
        found->second.pausedUntil_ = std::max(found->second.pausedUntil_, now + state.limits_.refusalPause_);
        found->second.slotShare_ = std::max(1.0, found->second.inUse_ - 1.0);
    }
    requeue(state, pending); // retried without a limit until its deadline, because a refusal costs the executor nothing
    if (!state.stopping_) {
        return;
    }
    finishRequest(state, pending.request_.token_, {Outcome::NotRun, Refusal::Stopping, 0, {}}, now, outputs);
}

std::vector<AttemptId> attemptsAt(const RouterState &state, const ExecutorId &executor)
{
    std::vector<AttemptId> ids;
    for (const auto &[token, pending] : state.pending_) {
        if (pending.stage_ == RequestStage::Sent && pending.executor_ == executor) {
            ids.push_back({state.incarnation_, token, pending.attempt_});
        }
    }
    return ids;
}

void endAttemptsAsUnknown(RouterState &state, const ExecutorId &executor, Instant now, RouterOutputs &outputs)
{
    for (const AttemptId &id : attemptsAt(state, executor)) {
        if (PendingRequest *pending = currentAttempt(state, executor, id)) {
            handleUnknownOutcome(state, *pending, now, outputs);
        }
    }
}

}

void applyExecutorReport(RouterState &state, const AgentReport &report, Instant now, RouterOutputs &outputs)
{
    const ExecutorId id(report.name_);
    Executor &executor = state.executors_[id];
    if (executor.incarnation_ == report.incarnation_ && report.sequence_ <= executor.sequence_) {
        return;
    }
    if (executor.incarnation_ != report.incarnation_ && executor.incarnation_ != 0) {
        endAttemptsAsUnknown(state, id, now, outputs);
        executor.consecutiveFailures_ = 0;
        executor.pausedUntil_ = Instant();
    }
    executor.id_ = id;
    executor.service_ = report.service_;
    executor.dataCentre_ = report.dataCentre_;
    executor.incarnation_ = report.incarnation_;
    const std::int32_t slots = std::min(report.slots_, report.connections_);
    if (executor.slots_ != slots) {
        executor.slots_ = slots;
        executor.slotShare_ = slots;
    }
    executor.sequence_ = report.sequence_;
    executor.leaving_ = report.leaving_;
    executor.lastReportAt_ = now;
    state.readyServices_.insert(report.service_);
}

void handleAttemptEnded(RouterState &state, const ExecutorId &executor, const AttemptReply &reply, Instant now, RouterOutputs &outputs)
{
    PendingRequest *pending = currentAttempt(state, executor, reply.id_);
    if (!pending) {
        return; // late or duplicate reply, or one to another attempt
    }
    switch (reply.outcome_) {
    case AttemptOutcome::NotRun:
        handleNotRun(state, *pending, reply, now, outputs);
        return;
    case AttemptOutcome::Unknown:
        pauseExecutor(state, executor, now, outputs);
        handleUnknownOutcome(state, *pending, now, outputs);
        return;
    case AttemptOutcome::Answered:
        break;
    }
    if (const auto found = state.executors_.find(executor); found != state.executors_.end()) {
        found->second.consecutiveFailures_ = 0;
        found->second.slotShare_ = std::min<double>(found->second.slotShare_ + slotShareIncrease, found->second.slots_);
    }
    updateServiceTime(state, *pending, now);
    addRetryTokens(state, pending->request_.service_);
    finishRequest(state, pending->request_.token_, {Outcome::Answered, Refusal::None, reply.status_, reply.body_}, now, outputs);
}

void handleConnectionLost(RouterState &state, const ExecutorId &executor, Instant now, RouterOutputs &outputs)
{
    pauseExecutor(state, executor, now, outputs);
    endAttemptsAsUnknown(state, executor, now, outputs);
}

void handleAttemptUnsent(RouterState &state, const ExecutorId &executor, const AttemptId &id, Instant now, RouterOutputs &outputs)
{
    if (PendingRequest *pending = currentAttempt(state, executor, id)) {
        pauseExecutor(state, executor, now, outputs);
        handleNotRun(state, *pending, {}, now, outputs);
    }
}

void tickExecutors(RouterState &state, Instant now)
{
    for (const auto &[id, service] : state.services_) {
        if (service.queued_ > 0) {
            state.readyServices_.insert(id);
        }
    }
    std::erase_if(state.executors_, [&](const auto &item) {
        const Executor &executor = item.second;
        return executor.inUse_ == 0 && now - executor.lastReportAt_ > state.limits_.reportTimeout_ * timeoutsUntilRemoval;
    });
}

}
