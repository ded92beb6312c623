#pragma once

#include "core/batch/time.h"

#include <ctime>

namespace bergamotwick::node {

/// Returns the time since boot, suspension included: leases and ages go on while a host is suspended. Thread-safe.
[[nodiscard]] inline Instant bootNow()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// Returns the calendar time, which may differ between hosts and jump. Thread-safe.
[[nodiscard]] inline batch::CalendarTime calendarNow()
{
    return std::chrono::time_point_cast<batch::milliseconds>(std::chrono::system_clock::now());
}

}
