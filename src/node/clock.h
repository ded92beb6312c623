#pragma once

#include "core/batch/time.h"
#include "net/boot_clock.h"

namespace bergamotwick::node {

using bergamotwick::bootNow;

/// Returns the calendar time, which may differ between hosts and jump. Thread-safe.
[[nodiscard]] inline batch::CalendarTime calendarNow()
{
    return std::chrono::time_point_cast<batch::milliseconds>(std::chrono::system_clock::now());
}

}
