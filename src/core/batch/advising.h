#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Queues whose placement policy is a service of its own: it says who may run a step, and gives tickets that orders have to carry.
/// Thread safety of all functions: none; the board is one thread's.

/// Leaves those of \p executors that may run the group, as far as is known; asks about others when there is need.
void filterByAdvice(Board &board, const WaitingGroup &group, std::vector<Executor *> &executors);

/// Returns the ticket for \p run, or an empty text.
[[nodiscard]] std::string ticketFor(const Board &board, const Run &run);

/// Takes in what the policy has said of \p step; \p valid counts from \p askedAt. An empty \p asked means that there was no answer.
void takeAdvice(Board &board, const StepId &step, const std::vector<ExecutorId> &asked, const std::map<ExecutorId, std::string> &tickets, milliseconds valid);

}
