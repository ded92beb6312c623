#pragma once

#include "core/batch/time.h"

#include <cstdint>

namespace bergamotwick::batch {

/// Running work that could be stopped so that more urgent work gets its room.
struct YieldingWork
{
    std::int32_t priority_ = 0; ///< of its queue
    std::int64_t lostWork_ = 0; ///< work that has to be done again, in thousandths of a core times milliseconds
    Duration lostTime_{}; ///< by how much later it ends
    Duration slack_{}; ///< time that it has left when it ends as expected now; negative if it is late anyway
};

/// Returns what it costs the callers if \p work is delayed, in units of lost work: the work that is done again, which counts twice as much with each higher
/// priority, more if the delay makes it miss its objective and less if it is late anyway. \p callerWeight tells how much of that counts beside the work: 0 for
/// nothing, 1 for all of it, more to exaggerate it. Thread-safe.
[[nodiscard]] std::int64_t costOfYielding(const YieldingWork &work, double callerWeight);

}
