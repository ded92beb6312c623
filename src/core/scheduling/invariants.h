#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Checks the invariants of the workers and jobs that changed in this step.
void checkInvariants(const SchedulerState &state, SchedulerOutputs &outputs);

}
