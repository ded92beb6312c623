#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Makes one reservation for each guaranteed shape of the configuration; keeps the blocks of those that stay.
void rebuildReservations(SchedulerBoard &board);

/// Gives up blocks that lost a worker, and binds every shape that has no block where room for one is left.
void bindReservations(SchedulerBoard &board);

/// Returns the block of slots that \p job may take under a guarantee of its workspace; \p guarantee names it.
[[nodiscard]] std::optional<GangPlacement> reservedBlockFor(const SchedulerBoard &board, const JobEntry &job, GuaranteeId &guarantee);

/// Returns how many shapes have no block at present.
[[nodiscard]] std::size_t unboundShapes(const SchedulerBoard &board);

}
