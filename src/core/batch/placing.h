#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Gives waiting tasks their executors. Answers fragmentation: the fullest executor that fits is taken, so that whole blocks of
/// accelerators stay free for those who need them.
///
/// Thread safety: none; the board is one thread's.
void placeWaiting(Board &board);

/// Returns how many more tasks of the group's step anti-affinity lets \p executor run.
[[nodiscard]] std::uint32_t allowance(const Executor &executor, const WaitingGroup &group);

}
