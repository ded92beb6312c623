#pragma once

#include "core/routing/board.h"

namespace bergamotwick {

/// Applies an executor's report. Attempts at an earlier incarnation end with an unknown outcome.
void applyExecutorReport(RouterState &state, const AgentReport &report, Instant now, RouterOutputs &outputs);

/// Handles the reply to an attempt: answers the caller, or queues the request again if that is safe.
void handleAttemptEnded(RouterState &state, const ExecutorId &executor, const AttemptReply &reply, Instant now, RouterOutputs &outputs);

/// Ends all attempts at \p executor with an unknown outcome.
void handleConnectionLost(RouterState &state, const ExecutorId &executor, Instant now, RouterOutputs &outputs);

/// Queues a request again whose attempt never left this process.
void handleAttemptUnsent(RouterState &state, const ExecutorId &executor, const AttemptId &id, Instant now, RouterOutputs &outputs);

/// Marks all services with queued requests for dispatch, since pauses may have ended, and removes executors that stopped reporting.
void tickExecutors(RouterState &state, Instant now);

}
