#pragma once

#include "core/agent/board.h"

namespace bergamotwick {

/// Starts an attempt. Replies that it was not run if it is stale or no slot is free, and ignores duplicates.
void admitAttempt(AgentState &state, const AttemptReceived &received, Instant now, AgentOutputs &outputs);

/// Sends the endpoint's answer back on the connection of the attempt.
void completeAttempt(AgentState &state, const AttemptCompleted &completed, Instant now, AgentOutputs &outputs);

}
