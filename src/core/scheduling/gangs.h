#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Advances live jobs: starts prepared gangs, stops gangs that lost or failed a member, and requeues or ends stopped ones.
void advanceGangs(SchedulerState &state, Instant now);

/// Stops the jobs in data centres that operators have taken out of service.
void evacuateDataCentres(SchedulerState &state, Instant now);

/// Cancels the changed jobs for which a caller has requested it.
void cancelJobs(SchedulerState &state, Instant now);

}
