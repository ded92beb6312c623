#pragma once

#include "bergamotwick/time.h"

#include <ctime>

namespace bergamotwick {

/// Returns the time since boot, including time in suspend: leases and ages keep running while a host is suspended. Thread-safe.
[[nodiscard]] inline Instant bootNow() noexcept
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

}
