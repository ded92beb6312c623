#pragma once

#include "core/agent/board.h"

namespace bergamotwick {

/// Carries out the orders of \p directive as far as leases, epochs and permits allow.
void applyDirective(AgentState &state, const Directive &directive, Instant now, AgentOutputs &outputs);

/// Updates the member whose tasks have ended.
void handleMemberEvent(AgentState &state, const MemberEvent &event);

/// Compares the worker's list with the members. Recovers members from the first list; later stops unknown tasks and drops missing members.
void reconcile(AgentState &state, const WorkerTasksListed &listed, Instant now, AgentOutputs &outputs);

/// Stops members whose lease is about to expire.
void enforceLeases(AgentState &state, Instant now, AgentOutputs &outputs);

/// Returns the members in the form that is reported to entries.
[[nodiscard]] std::vector<MemberReport> memberReports(const AgentState &state);

}
