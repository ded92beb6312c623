#include "core/routing/admission.h"

#include "core/routing/answers.h"

#include <algorithm>

namespace bergamotwick {

namespace {

/// Returns why \p request is invalid, or Refusal::None.
Refusal validationRefusal(const RouterState &state, const Request &request)
{
    const auto service = state.config_->services_.find(request.service_);
    if (service == state.config_->services_.end()) {
        return Refusal::UnknownService;
    }
    if (!service->second.classes_.contains(request.class_)) {
        return Refusal::UnknownClass;
    }
    if (!state.config_->workspaces_.contains(request.workspace_)) {
        return Refusal::UnknownWorkspace;
    }
    return !request.repeatable_ && request.key_.empty() ? Refusal::MissingKey : Refusal::None;
}

/// Returns the expected wait behind the requests that are already queued in the same class.
Duration expectedWait(const RouterState &state, const Request &request, Instant now)
{
    const auto service = state.services_.find(request.service_);
    if (service == state.services_.end()) {
        return {};
    }
    const auto queue = service->second.classes_.find(request.class_);
    const std::int32_t slots = activeSlots(state, request.service_, now);
    if (queue == service->second.classes_.end() || slots == 0) {
        return {};
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(queue->second.serviceSeconds_ * queue->second.queued_ / slots));
}

Refusal overloadRefusal(const RouterState &state, const Request &request, Duration timeout, Instant now)
{
    if (state.stopping_) {
        return Refusal::Stopping;
    }
    const auto service = state.services_.find(request.service_);
    if (service != state.services_.end() && service->second.queued_ >= state.config_->services_.at(request.service_).maxQueued_) {
        return Refusal::QueueFull;
    }
    return expectedWait(state, request, now) > timeout ? Refusal::DeadlineTooShort : Refusal::None;
}

/// Joins or answers a request whose key this entry already knows. Returns whether \p request was handled.
bool handleRepeatedKey(RouterState &state, const Request &request, RouterOutputs &outputs)
{
    if (request.repeatable_) {
        return false;
    }
    const std::string digest = claimDigest(request);
    if (const auto inFlight = state.inFlightByDigest_.find(digest); inFlight != state.inFlightByDigest_.end()) {
        PendingRequest &pending = state.pending_.at(inFlight->second);
        if (contentDigest(pending.request_) != contentDigest(request)) {
            refuseRequest(state, request, Outcome::Invalid, Refusal::KeyReused, outputs);
        } else {
            pending.joinedTokens_.push_back(request.token_);
        }
        return true;
    }
    const auto cached = state.cachedAnswers_.find(digest);
    if (cached == state.cachedAnswers_.end()) {
        return false;
    }
    if (cached->second.requestDigest_ != contentDigest(request)) {
        refuseRequest(state, request, Outcome::Invalid, Refusal::KeyReused, outputs);
        return true;
    }
    replayAnswer(request, cached->second, outputs);
    return true;
}

}

void admitRequest(RouterState &state, const Request &request, Instant now, RouterOutputs &outputs)
{
    if (const Refusal invalidReason = validationRefusal(state, request); invalidReason != Refusal::None) {
        refuseRequest(state, request, Outcome::Invalid, invalidReason, outputs);
        return;
    }
    if (handleRepeatedKey(state, request, outputs)) {
        return;
    }
    const ClassConfig &config = state.config_->services_.at(request.service_).classes_.at(request.class_);
    const Duration timeout = request.timeout_ > Duration::zero() ? request.timeout_ : config.deadline_;
    if (const Refusal overloadReason = overloadRefusal(state, request, timeout, now); overloadReason != Refusal::None) {
        refuseRequest(state, request, Outcome::NotRun, overloadReason, outputs);
        return;
    }
    PendingRequest &pending = state.pending_[request.token_];
    pending.request_ = request;
    pending.arrivedAt_ = now;
    pending.deadline_ = now + timeout;
    state.deadlines_.emplace(pending.deadline_, request.token_);
    if (!request.repeatable_) {
        state.inFlightByDigest_[claimDigest(request)] = request.token_;
    }
    enqueue(state, pending, false);
}

void expireRequests(RouterState &state, Instant now, RouterOutputs &outputs)
{
    while (!state.deadlines_.empty() && state.deadlines_.begin()->first <= now) {
        const RequestToken token = state.deadlines_.begin()->second;
        state.deadlines_.erase(state.deadlines_.begin());
        const auto pending = state.pending_.find(token);
        if (pending == state.pending_.end()) {
            continue;
        }
        const bool hasExecutors = activeSlots(state, pending->second.request_.service_, now) > 0;
        finishRequest(state, token, {Outcome::NotRun, hasExecutors ? Refusal::DeadlinePassed : Refusal::NoExecutor, 0, {}}, now, outputs);
    }
}

void handleCallerGone(RouterState &state, RequestToken token, Instant now, RouterOutputs &outputs)
{
    const auto found = state.pending_.find(token);
    if (found == state.pending_.end() || !found->second.joinedTokens_.empty() || found->second.stage_ != RequestStage::Queued) {
        return; // other callers wait for it, or it may be running
    }
    finishRequest(state, token, {Outcome::NotRun, Refusal::CallerGone, 0, {}}, now, outputs);
}

void stopAdmission(RouterState &state, Instant now, RouterOutputs &outputs)
{
    state.stopping_ = true;
    std::vector<RequestToken> queued;
    for (const auto &[token, pending] : state.pending_) {
        if (pending.stage_ == RequestStage::Queued) {
            queued.push_back(token);
        }
    }
    for (const RequestToken token : queued) {
        finishRequest(state, token, {Outcome::NotRun, Refusal::Stopping, 0, {}}, now, outputs);
    }
}

}
