#pragma once

#include "core/batch/board.h"
#include "core/batch/queueing.h"

#include <functional>
#include <optional>

namespace bergamotwick::batch {

/// Where each waiting task of a group goes; shorter than the group if some have to wait.
using Placement = std::vector<std::pair<std::size_t, Incarnation>>;

/// Gives waiting tasks their executors. Answers fragmentation: the fullest executor that fits is taken, so that whole blocks of
/// accelerators stay free for those who need them.
///
/// Thread safety: none; the board is one thread's.
void placeWaiting(Board &board);

/// Returns the executors that may run tasks of \p group, whatever room they have.
[[nodiscard]] std::vector<Executor *> candidates(Board &board, const WaitingGroup &group);

/// Returns how many more tasks of the group's step anti-affinity lets \p executor run.
[[nodiscard]] std::uint32_t allowance(const Executor &executor, const WaitingGroup &group);

/// Gives out the tasks of \p placement: their record is changed, and the orders leave once it is stored.
void assign(Board &board, const WaitingGroup &group, const Placement &placement);

}
