#pragma once

#include "core/routing/board.h"

namespace bergamotwick {

/// Validates a request, then queues it, joins it to a request in flight with the same key, or answers it immediately.
void admitRequest(RouterState &state, const Request &request, Instant now, RouterOutputs &outputs);

/// Ends all requests whose deadline has passed and answers their callers.
void expireRequests(RouterState &state, Instant now, RouterOutputs &outputs);

/// Ends a queued request whose caller has disconnected. Requests that may be running, or that other callers joined, continue.
void handleCallerGone(RouterState &state, RequestToken token, Instant now, RouterOutputs &outputs);

/// Answers every queued request with Outcome::NotRun and stops admitting new ones.
void stopAdmission(RouterState &state, Instant now, RouterOutputs &outputs);

}
