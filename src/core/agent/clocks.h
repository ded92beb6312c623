#pragma once

#include "core/agent/board.h"

namespace bergamotwick {

/// Updates the bound on the entry's clock from a directive. Returns whether the directive is newer than all earlier ones of this run of the entry.
bool updateEntryClock(AgentState &state, const Directive &directive, Instant now);

/// Returns an upper bound of the entry's current clock time, or nullopt if no round trip has been measured yet.
[[nodiscard]] std::optional<Instant> latestEntryTime(const AgentState &state, const EntryId &entry, std::uint64_t incarnation, Instant now);

}
