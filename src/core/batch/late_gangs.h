#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Moves gangs of priority 0 that a slow host makes late: stops a gang that is sure to miss its objective where it runs, if others have room for it and it
/// would still be in time there. At most once a job. Reserves the room until the gang has stopped.
///
/// Thread safety: none; one thread owns the cluster state.
void moveLateGangs(ClusterState &cluster);

}
