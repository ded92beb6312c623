#pragma once

#include "core/routing/board.h"

namespace bergamotwick {

/// Dispatches queued requests of the services in readyServices_ to executors with a free slot.
void dispatchReady(RouterState &state, Instant now, RouterOutputs &outputs);

/// Sends the request \p token, whose key has been claimed, to the executor whose slot it holds.
///
/// Queues the request again if the executor no longer accepts requests.
void sendClaimed(RouterState &state, RequestToken token, Instant now, RouterOutputs &outputs);

}
