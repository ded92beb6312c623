#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Makes room on some of \p executors for a group of priority 0 that finds none, by stopping work of lower priority. Answers a guarantee that others have
/// borrowed: the least work is lost, and the room is kept for the group until what is stopped has ended.
///
/// Does nothing while room is already being cleared for it, or where no set of victims would be enough.
/// Thread safety: none; the board is one thread's.
void clearRoom(Board &board, const WaitingGroup &group, const std::vector<Executor *> &executors);

}
