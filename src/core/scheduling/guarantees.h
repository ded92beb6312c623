#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Creates one reservation per guaranteed shape of the configuration; unchanged shapes keep their slots.
void rebuildReservations(SchedulerState &state);

/// Unbinds unused reservations that lost a worker, then binds every unbound one for which enough capacity is left.
void bindReservations(SchedulerState &state);

/// Returns a placement of \p job on free slots of a guarantee of its workspace, if any; sets \p guarantee to its id.
[[nodiscard]] std::optional<GangPlacement> findReservedPlacement(const SchedulerState &state, const TrackedJob &job, GuaranteeId &guarantee);

/// Returns the number of reservations without slots.
[[nodiscard]] std::size_t unboundReservationCount(const SchedulerState &state);

}
