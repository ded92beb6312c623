#pragma once

#include "core/batch/time.h"

#include <algorithm>

namespace bergamotwick::batch {

/// A clock that leaders hand on to each other through the store: each goes on from the latest reading of its predecessors. It may stand still between two
/// leaders and never runs ahead of real time, so that what lies in its past by some time does so in real time as well.
///
/// Thread safety: none; one thread owns the cluster state.
class FleetClock
{
public:
    using duration = milliseconds;
    using time_point = std::chrono::time_point<FleetClock>;

    /// Creates a clock that reads zero at \p now.
    explicit FleetClock(Instant now = {}) noexcept
        : zero_(now)
    {
    }

    /// Goes on from \p reading, which was stored at least \p age before \p now, unless the clock is ahead of that already.
    void resume(time_point reading, Duration age, Instant now) noexcept
    {
        zero_ = std::min(zero_, now - age - reading.time_since_epoch());
    }

    /// Returns the last full millisecond that the clock has reached at \p at.
    [[nodiscard]] time_point readingAt(Instant at) const noexcept
    {
        return time_point(std::chrono::floor<duration>(at - zero_));
    }

    /// Returns when the clock reaches \p reading. May lie before the leader's term.
    [[nodiscard]] Instant instantOf(time_point reading) const noexcept
    {
        return zero_ + reading.time_since_epoch();
    }

private:
    Instant zero_;
};

/// A time on the clock of the leaders.
using FleetTime = FleetClock::time_point;

}
