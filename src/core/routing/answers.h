#pragma once

#include "core/routing/board.h"

namespace bergamotwick {

/// Final result of a request, as sent to its callers.
struct CompletionResult
{
    Outcome outcome_{};
    Refusal refusal_ = Refusal::None;
    std::int32_t status_ = 0;
    std::string body_;
};

/// Ends the request \p token: answers its callers with \p result and releases its slot or its place in the queue.
///
/// Replaces Outcome::NotRun with Outcome::Unknown if the request may have run.
void finishRequest(RouterState &state, RequestToken token, CompletionResult result, Instant now, RouterOutputs &outputs);

/// Answers a request that was not admitted.
void refuseRequest(const RouterState &state, const Request &request, Outcome outcome, Refusal refusal, RouterOutputs &outputs);

/// Answers a request with the cached answer to an earlier request with the same key.
void replayAnswer(const Request &request, const CachedAnswer &cached, RouterOutputs &outputs);

/// Releases the executor slot that \p pending holds.
void releaseSlot(RouterState &state, PendingRequest &pending);

/// Removes \p pending from its queue. Precondition: it is queued.
void removeFromQueue(RouterState &state, PendingRequest &pending);

/// Adds \p pending to its queue. \p front is set for requests that are queued again.
void enqueue(RouterState &state, PendingRequest &pending, bool front);

/// Returns the delay after which a refused caller of \p service should retry.
[[nodiscard]] Duration retryAfter(const RouterState &state, const ServiceId &service);

/// Returns the total slots of the executors of \p service that report and are not leaving. Includes paused executors.
[[nodiscard]] std::int32_t activeSlots(const RouterState &state, const ServiceId &service, Instant now);

/// Returns whether \p executor accepts requests now: it reports, is not leaving and is not paused.
[[nodiscard]] bool acceptsRequests(const RouterState &state, const Executor &executor, Instant now);

/// Returns the digest of workspace, service and key that identifies the claim of \p request.
[[nodiscard]] std::string claimDigest(const Request &request);

/// Returns a digest of the path and body of \p request.
[[nodiscard]] std::uint64_t contentDigest(const Request &request);

}
