#pragma once

#include "core/batch/queueing.h"

#include <string>
#include <vector>

namespace bergamotwick::batch {

/// Work that is slower away from its data, or when its gang lies on more than one rack: where it wants to be, and how long that is worth
/// waiting for. Answers full racks. Thread safety of all functions: none; the board is one thread's.

/// Returns whether it matters to \p step on which rack it runs.
[[nodiscard]] bool prefersRack(const Step &step) noexcept;

/// Returns the racks on which \p group would run at full speed, the one with the fewest free accelerators first, so that the others stay
/// whole. Precondition: prefersRack().
[[nodiscard]] std::vector<std::string> preferredRacks(const WaitingGroup &group, const std::vector<Executor *> &candidates);

/// Returns whether the tasks of \p group lie where they run at full speed. Precondition: each has been given out.
[[nodiscard]] bool liesNear(const Board &board, const Job &job, const Group &group);

/// Returns whether \p group has waited for its rack for as long as that is worth. Where the fleet is busy it takes longer: work that is
/// slowed takes room from all that waits.
[[nodiscard]] bool hasWaitedForRack(const Board &board, const WaitingGroup &group);

/// Returns whether \p group may run away from its rack by now: it has waited for it, or room is being cleared for it that lies on several
/// racks.
[[nodiscard]] bool mayLeaveRack(const Board &board, const WaitingGroup &group);

}
