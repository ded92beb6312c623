#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Tasks of one group that wait for a place.
struct WaitingGroup
{
    Job *job_ = nullptr;
    Group group_;
    std::vector<std::size_t> tasks_; ///< indexes into Progress::tasks_; all of a gang or none
    bool worthless_ = false; ///< by its estimates it ends too late to be of use
};

/// Returns what may start now, most pressing first: by priority, then what can still meet its objective before what can't, then by the
/// instant at which it has to start. Answers bursts: late work never holds up work that is still in time.
[[nodiscard]] std::vector<WaitingGroup> waitingGroups(Board &board);

/// Returns the longest chain of estimates from \p step to the end of its job. Thread-safe on const objects.
[[nodiscard]] milliseconds remainingChain(const Submission &job, std::uint32_t step);

}
