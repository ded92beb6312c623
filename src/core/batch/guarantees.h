#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Returns whether all unfinished work of priority 0 of the workspace of \p job fits the workspace's guarantee, so that it has to be had at
/// once. Thread safety: none; the board is one thread's.
[[nodiscard]] bool isGuaranteed(const Board &board, const Job &job);

}
