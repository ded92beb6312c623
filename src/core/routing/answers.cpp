#include "core/routing/answers.h"

#include "core/commit/claims.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace bergamotwick {

namespace {

void cacheAnswer(RouterState &state, const PendingRequest &pending, const CompletionResult &result, Instant now)
{
    const std::string digest = claimDigest(pending.request_);
    state.cachedAnswers_[digest] = {result.status_, result.body_, contentDigest(pending.request_), now};
    state.cachedAnswerOrder_.emplace_back(now, digest);
    while (state.cachedAnswerOrder_.size() > state.limits_.maxCachedAnswers_
           || now - state.cachedAnswerOrder_.front().first > state.limits_.cachedAnswerLifetime_) {
        state.cachedAnswers_.erase(state.cachedAnswerOrder_.front().second);
        state.cachedAnswerOrder_.pop_front();
    }
}

Answer makeAnswer(const Request &request, const CompletionResult &result)
{
    Answer answer;
    answer.token_ = request.token_;
    answer.outcome_ = result.outcome_;
    answer.refusal_ = result.refusal_;
    answer.status_ = result.status_;
    answer.body_ = result.body_;
    answer.workspace_ = request.workspace_;
    answer.service_ = request.service_;
    answer.class_ = request.class_;
    answer.group_ = request.group_;
    return answer;
}

/// Returns a retry delay that grows with the length of the store outage and differs by \p token, to spread the retries.
Duration storeRetryAfter(const RouterState &state, RequestToken token, Instant now)
{
    constexpr std::int64_t steps = 16;
    const Duration outage = state.storeUnavailableSince_ ? now - *state.storeUnavailableSince_ : Duration::zero();
    const Duration base = std::clamp(outage / 4, state.limits_.minRetryAfter_, state.limits_.maxStoreRetryAfter_);
    return base / 2 + base * (static_cast<std::int64_t>(token) % steps) / steps + state.limits_.minRetryAfter_ / 2;
}

/// Resolves the claim of a finished request: caches the answer if there is one, releases the claim if the request did not run.
void resolveClaim(RouterState &state, const PendingRequest &pending, const CompletionResult &result, Instant now, RouterOutputs &outputs)
{
    if (pending.request_.repeatable_) {
        return;
    }
    state.inFlightByDigest_.erase(claimDigest(pending.request_));
    if (result.outcome_ == Outcome::Answered) {
        cacheAnswer(state, pending, result, now);
    } else if (result.outcome_ == Outcome::NotRun && pending.claimMayBeHeld_) {
        outputs.emplace_back(ReleaseKey{pending.request_.token_, claimDigest(pending.request_)});
    }
}

}

const char *toString(Outcome outcome) noexcept
{
    constexpr const char *names[] = {"answered", "not_run", "unknown", "duplicate", "invalid"};
    return names[static_cast<std::size_t>(outcome)];
}

const char *toString(Refusal refusal) noexcept
{
    constexpr const char *names[] = {"none",
                                     "queue_full",
                                     "deadline_too_short",
                                     "deadline_passed",
                                     "no_executor",
                                     "store_unavailable",
                                     "stopping",
                                     "caller_gone",
                                     "unknown_service",
                                     "unknown_class",
                                     "unknown_workspace",
                                     "missing_key",
                                     "key_reused"};
    return names[static_cast<std::size_t>(refusal)];
}

void finishRequest(RouterState &state, RequestToken token, CompletionResult result, Instant now, RouterOutputs &outputs)
{
    const auto found = state.pending_.find(token);
    if (found == state.pending_.end()) {
        return;
    }
    PendingRequest &pending = found->second;
    if (result.outcome_ == Outcome::NotRun && (pending.mayHaveRun_ || pending.stage_ == RequestStage::Sent)) {
        result.outcome_ = Outcome::Unknown;
    }
    if (pending.stage_ == RequestStage::Queued) {
        removeFromQueue(state, pending);
    } else {
        releaseSlot(state, pending);
    }
    resolveClaim(state, pending, result, now, outputs);
    Answer answer = makeAnswer(pending.request_, result);
    answer.latency_ = now - pending.arrivedAt_;
    if (result.outcome_ != Outcome::Answered) {
        const bool storeUnavailable = result.refusal_ == Refusal::StoreUnavailable;
        answer.retryAfter_ = storeUnavailable ? storeRetryAfter(state, token, now) : retryAfter(state, pending.request_.service_);
    }
    outputs.emplace_back(answer);
    for (const RequestToken joinedToken : pending.joinedTokens_) {
        answer.token_ = joinedToken;
        outputs.emplace_back(answer);
    }
    state.readyServices_.insert(pending.request_.service_);
    state.pending_.erase(found);
}

void refuseRequest(const RouterState &state, const Request &request, Outcome outcome, Refusal refusal, RouterOutputs &outputs)
{
    Answer answer = makeAnswer(request, {outcome, refusal, 0, {}});
    answer.retryAfter_ = retryAfter(state, request.service_);
    outputs.emplace_back(std::move(answer));
}

void replayAnswer(const Request &request, const CachedAnswer &cached, RouterOutputs &outputs)
{
    outputs.emplace_back(makeAnswer(request, {Outcome::Answered, Refusal::None, cached.status_, cached.body_}));
}

void releaseSlot(RouterState &state, PendingRequest &pending)
{
    if (const auto executor = state.executors_.find(pending.executor_); executor != state.executors_.end()) {
        --executor->second.inUse_;
    }
    --state.services_[pending.request_.service_].classes_[pending.request_.class_].inUse_;
    pending.executor_ = ExecutorId();
    state.readyServices_.insert(pending.request_.service_);
}

void removeFromQueue(RouterState &state, PendingRequest &pending)
{
    const Request &request = pending.request_;
    ServiceQueue &service = state.services_[request.service_];
    ClassQueue &queue = service.classes_[request.class_];
    const GroupId group = state.limits_.fairQueueing_ ? request.group_ : GroupId();
    const WorkspaceId workspace = state.limits_.fairQueueing_ ? request.workspace_ : WorkspaceId();
    std::erase(queue.workspaces_.flow(workspace).groups_.flow(group), request.token_);
    --queue.queued_;
    --service.queued_;
}

void enqueue(RouterState &state, PendingRequest &pending, bool front)
{
    const Request &request = pending.request_;
    ServiceQueue &service = state.services_[request.service_];
    ClassQueue &queue = service.classes_[request.class_];
    if (queue.queued_ == 0) {
        queue.startTag_ = std::max(queue.startTag_, service.virtualTime_);
    }
    const GroupId group = state.limits_.fairQueueing_ ? request.group_ : GroupId();
    const WorkspaceId workspace = state.limits_.fairQueueing_ ? request.workspace_ : WorkspaceId();
    auto &flow = queue.workspaces_.flow(workspace).groups_.flow(group);
    if (front) {
        flow.push_front(request.token_);
    } else {
        flow.push_back(request.token_);
    }
    pending.stage_ = RequestStage::Queued;
    ++queue.queued_;
    ++service.queued_;
    state.readyServices_.insert(request.service_);
}

Duration retryAfter(const RouterState &state, const ServiceId &id)
{
    const auto service = state.services_.find(id);
    if (service == state.services_.end()) {
        return state.limits_.minRetryAfter_;
    }
    double queuedSeconds = 0;
    for (const auto &[name, queue] : service->second.classes_) {
        queuedSeconds += queue.serviceSeconds_ * queue.queued_;
    }
    std::int32_t slots = 0;
    for (const auto &[name, executor] : state.executors_) {
        slots += executor.service_ == id && !executor.leaving_ ? executor.slots_ : 0;
    }
    const auto drainTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(queuedSeconds / std::max(slots, 1)));
    return std::max(state.limits_.minRetryAfter_, drainTime);
}

bool acceptsRequests(const RouterState &state, const Executor &executor, Instant now)
{
    return !executor.leaving_ && now >= executor.pausedUntil_ && now - executor.lastReportAt_ <= state.limits_.reportTimeout_;
}

std::int32_t activeSlots(const RouterState &state, const ServiceId &service, Instant now)
{
    std::int32_t slots = 0;
    for (const auto &[id, executor] : state.executors_) {
        if (executor.service_ == service && !executor.leaving_ && now - executor.lastReportAt_ <= state.limits_.reportTimeout_) {
            slots += executor.slots_;
        }
    }
    return slots;
}

std::string claimDigest(const Request &request)
{
    return ClaimRegistry::digestOf(request.workspace_.str(), request.service_.str(), request.key_);
}

std::uint64_t contentDigest(const Request &request)
{
    const std::uint64_t path = XXH64(request.path_.data(), request.path_.size(), 1);
    return XXH64(request.body_.data(), request.body_.size(), path);
}

}
