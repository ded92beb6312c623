#pragma once

#include "bergamotwick/time.h"

namespace bergamotwick::batch {

using std::chrono::milliseconds;

/// Calendar time in milliseconds since 1970. Calendar clocks differ between hosts, so it is used only for due times, for when a job was
/// submitted and for when it ended.
using CalendarTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// A time on an executor's own steady clock, which may run up to 2 % slow.
using ExecutorTime = milliseconds;

}
