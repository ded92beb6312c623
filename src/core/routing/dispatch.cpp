#include "core/routing/dispatch.h"

#include "core/routing/answers.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick {

namespace {

constexpr double defaultServiceSeconds = 0.05;

/// Returns the executor of \p service with the largest proportion of free slots, or nullptr.
Executor *leastLoadedExecutor(RouterState &state, const ServiceId &service, Instant now)
{
    Executor *best = nullptr;
    double bestShare = 0;
    for (auto &[id, executor] : state.executors_) {
        if (executor.service_ != service || executor.inUse_ >= std::min(executor.slots_, static_cast<std::int32_t>(executor.slotShare_))
            || !acceptsRequests(state, executor, now)) {
            continue;
        }
        const bool probing = executor.consecutiveFailures_ > 0; // gets one request at a time until it answers
        if (probing && executor.inUse_ > 0) {
            continue;
        }
        const double share = static_cast<double>(executor.slots_ - executor.inUse_) / executor.slots_;
        if (!best || share > bestShare) {
            best = &executor;
            bestShare = share;
        }
    }
    return best;
}

bool belowSlotLimit(const RouterState &state, const ClassQueue &queue, const ClassConfig &config, std::int32_t slots)
{
    if (!state.limits_.limitClassSlots_ || config.maxSlotsPercent_ == 100) {
        return true;
    }
    const auto maxSlots = static_cast<std::int32_t>(std::floor(slots * config.maxSlotsPercent_ / 100.0 / static_cast<double>(state.entries_)));
    return queue.inUse_ < std::max(maxSlots, 1);
}

/// Returns the settings of class \p id; default settings if a new configuration has removed the class while its requests wait.
const ClassConfig &classConfigOf(const ServiceConfig &service, const ClassId &id)
{
    static const ClassConfig removedClass;
    const auto found = service.classes_.find(id);
    return found == service.classes_.end() ? removedClass : found->second;
}

/// Returns the waiting class with the lowest start tag, or nullptr.
ClassQueue *nextClass(RouterState &state, const ServiceId &service, Instant now, ClassId &chosen)
{
    const auto config = state.config_->services_.find(service);
    if (config == state.config_->services_.end()) {
        return nullptr;
    }
    const std::int32_t slots = activeSlots(state, service, now);
    ClassQueue *best = nullptr;
    for (auto &[id, queue] : state.services_[service].classes_) {
        if (queue.queued_ > 0 && belowSlotLimit(state, queue, classConfigOf(config->second, id), slots) && (!best || queue.startTag_ < best->startTag_)) {
            best = &queue;
            chosen = id;
        }
    }
    return best;
}

RequestToken popNext(ClassQueue &queue, double cost)
{
    const WorkspaceId workspace = queue.workspaces_.next();
    WorkspaceQueue &groups = queue.workspaces_.flow(workspace);
    const GroupId group = groups.groups_.next();
    auto &tokens = groups.groups_.flow(group);
    const RequestToken token = tokens.front();
    tokens.pop_front();
    groups.groups_.charge(group, cost);
    groups.groups_.removeIdleFlows();
    queue.workspaces_.charge(workspace, cost);
    queue.workspaces_.removeIdleFlows();
    --queue.queued_;
    return token;
}

void sendAttempt(RouterState &state, PendingRequest &pending, Executor &executor, Instant now, RouterOutputs &outputs)
{
    pending.stage_ = RequestStage::Sent;
    pending.sentAt_ = now;
    ++pending.attempt_;
    AttemptRequest attempt;
    attempt.id_ = {state.incarnation_, pending.request_.token_, pending.attempt_};
    attempt.entry_ = state.entry_;
    attempt.entryIncarnation_ = state.incarnation_;
    attempt.agentIncarnation_ = executor.incarnation_;
    attempt.sentAt_ = now;
    attempt.timeout_ = pending.deadline_ - now;
    attempt.repeatable_ = pending.request_.repeatable_;
    attempt.path_ = pending.request_.path_;
    attempt.body_ = pending.request_.body_;
    outputs.emplace_back(SendAttempt{executor.id_, std::move(attempt)});
}

void startRequest(RouterState &state, PendingRequest &pending, Executor &executor, Instant now, RouterOutputs &outputs)
{
    ++executor.inUse_;
    pending.executor_ = executor.id_;
    if (pending.request_.repeatable_ || pending.claimed_) {
        sendAttempt(state, pending, executor, now, outputs);
        return;
    }
    pending.stage_ = RequestStage::Claiming;
    pending.claimMayBeHeld_ = true;
    outputs.emplace_back(ClaimKey{pending.request_.token_, claimDigest(pending.request_), pending.deadline_});
}

/// Starts one request of \p service. Returns whether it started one, so that more may follow.
bool dispatchOne(RouterState &state, const ServiceId &service, Instant now, RouterOutputs &outputs)
{
    ClassId chosen;
    ClassQueue *queue = nextClass(state, service, now, chosen);
    if (!queue) {
        return false;
    }
    Executor *executor = leastLoadedExecutor(state, service, now);
    if (!executor) {
        return false;
    }
    ServiceQueue &serviceQueue = state.services_[service];
    const ClassConfig &config = classConfigOf(state.config_->services_.at(service), chosen);
    const double seconds = queue->serviceSeconds_ > 0 ? queue->serviceSeconds_ : defaultServiceSeconds;
    const RequestToken token = popNext(*queue, seconds);
    serviceQueue.virtualTime_ = std::max(serviceQueue.virtualTime_, queue->startTag_);
    queue->startTag_ += seconds / config.weight_;
    ++queue->inUse_;
    --serviceQueue.queued_;
    startRequest(state, state.pending_.at(token), *executor, now, outputs);
    return true;
}

}

void dispatchReady(RouterState &state, Instant now, RouterOutputs &outputs)
{
    for (const ServiceId &service : state.readyServices_) {
        while (dispatchOne(state, service, now, outputs)) { }
    }
    state.readyServices_.clear();
}

void sendClaimed(RouterState &state, RequestToken token, Instant now, RouterOutputs &outputs)
{
    PendingRequest &pending = state.pending_.at(token);
    pending.claimed_ = true;
    const auto executor = state.executors_.find(pending.executor_);
    if (executor == state.executors_.end() || !acceptsRequests(state, executor->second, now)) {
        releaseSlot(state, pending);
        enqueue(state, pending, true);
        return;
    }
    sendAttempt(state, pending, executor->second, now, outputs);
}

}
