#pragma once

#include "core/batch/queueing.h"

#include <optional>
#include <vector>

namespace bergamotwick::batch {

/// Placement policies that run as external services. A policy decides which executors may run a step and issues the tickets that start orders must carry. It
/// answers one request at a time. Thread safety of all functions: none; one thread owns the cluster state.

/// A request that would help a group whose tasks couldn't be placed.
struct AdviceProposal
{
    AdviceRequest request_;
    bool canStart_ = false; ///< the executors have room: the group could start with the tickets
    Instant askedAt_{}; ///< when the policy was last asked about the step; zero if it wasn't
};

/// Removes executors that the policy doesn't allow for \p group.
void removeDisallowed(const ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> &executors);

/// Removes executors for which \p group has no ticket that can be used now.
void keepWithTickets(const ClusterState &cluster, const WaitingGroup &group, std::vector<Executor *> &executors);

/// Returns what the policy should be asked about \p group, of which not all tasks could be placed on those of the \p candidates that have tickets. It is asked
/// about executors with room, for urgent work also about others, and not again soon if the tickets for the same room were of no use.
[[nodiscard]] std::optional<AdviceProposal> proposeAdvice(ClusterState &cluster, const WaitingGroup &group, const std::vector<Executor *> &candidates);

/// Makes the most useful of the \p proposals, which are in the order of their groups' urgency, unless a request is pending: those that let a group start go
/// first, then those of steps that the policy was asked about the longest time ago.
void requestAdvice(ClusterState &cluster, const std::vector<AdviceProposal> &proposals);

/// Returns the ticket for \p run, or an empty string if it has none.
[[nodiscard]] std::string ticketFor(const ClusterState &cluster, const Run &run);

/// A policy's answer about a step.
struct AdviceAnswer
{
    StepId step_;
    std::vector<ExecutorId> asked_; ///< empty if there was no answer
    std::map<ExecutorId, std::string> tickets_; ///< by executor that may run the step
    milliseconds validFor_{0}; ///< counted from the answer
    Instant answeredAt_{};
};

/// Records \p answer.
void applyAdvice(ClusterState &cluster, const AdviceAnswer &answer);

}
