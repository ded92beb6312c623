#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Stops runs that stand still, that crawl beside their fellows, or that can't end before their executor leaves; they start again
/// elsewhere. Answers hung, slowed and leaving workers. Judges the executors that have reported in this step: without a report there is
/// nothing new to judge by. Thread safety: none; the board is one thread's.
void moveStuckRuns(Board &board);

}
