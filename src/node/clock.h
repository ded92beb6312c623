#pragma once

#include "core/batch/time.h"
#include "net/boot_clock.h"

namespace bergamotwick::node {

using bergamotwick::bootNow;

/// Returns the wall-clock time. It may differ between hosts and may jump. Thread-safe.
[[nodiscard]] inline batch::CalendarTime calendarNow()
{
    return std::chrono::time_point_cast<batch::milliseconds>(std::chrono::system_clock::now());
}

}
