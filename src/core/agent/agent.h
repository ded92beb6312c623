#pragma once

#include "core/agent/board.h"

namespace bergamotwick {

/// State machine of the agent of one endpoint: decides which tasks and requests run there.
///
/// Leases, permits and slots are checked immediately before each use.
///
/// Thread safety: none; the caller serialises all calls.
class Agent
{
public:
    /// Precondition: \p incarnation differs from that of every earlier run. \p entries is the number of entry addresses that receive reports.
    Agent(const AgentLimits &limits, const AgentIdentity &identity, std::uint64_t incarnation, std::size_t entries);

    /// Processes one input and returns the actions to carry out. Precondition: \p now never decreases.
    [[nodiscard]] AgentOutputs step(Instant now, const AgentInput &input);

    [[nodiscard]] const AgentState &state() const noexcept
    {
        return state_;
    }

    /// Returns whether the agent is leaving and has neither members nor running attempts.
    [[nodiscard]] bool drained() const noexcept;

private:
    AgentState state_;
};

}
