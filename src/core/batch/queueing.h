#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Tasks of one group that wait for a place.
struct WaitingGroup
{
    Job *job_ = nullptr;
    Group group_;
    std::vector<std::size_t> tasks_; ///< indexes into Progress::tasks_; all of a gang or none
    bool late_ = false; ///< it is likely to miss its objective
    bool worthless_ = false; ///< it is likely to end too late to be of any use
};

/// Returns what may start now, most pressing first: by priority, then what can still meet its objective before what can't, then by the
/// instant at which it has to start. Answers bursts: late work never holds up work that is still in time.
[[nodiscard]] std::vector<WaitingGroup> waitingGroups(Board &board);

/// Returns the longest chain of likely run times from \p step to the end of its job.
[[nodiscard]] milliseconds remainingChain(const Board &board, const Job &job, std::uint32_t step);

}
