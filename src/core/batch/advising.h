#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Placement policies that run as external services. A policy decides which executors may run a step and issues the tickets that start
/// orders must carry. Thread safety of all functions: none; one thread owns the cluster state.

/// Removes executors that the policy is not known to allow for \p group. Queues a request about the others if too few remain.
void filterByAdvice(ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> &executors);

/// Returns the ticket for \p run, or an empty string if it has none.
[[nodiscard]] std::string ticketFor(const ClusterState &cluster, const Run &run);

/// Records the policy's answer about \p step; \p validity counts from Advice::askedAt_. An empty \p asked means that there was no answer.
void applyAdvice(
    ClusterState &cluster, const StepId &step, const std::vector<ExecutorId> &asked, const std::map<ExecutorId, std::string> &tickets, milliseconds validity);

}
