#pragma once

#include "bergamotwick/time.h"

namespace bergamotwick::batch {

using std::chrono::milliseconds;

/// Milliseconds since 1970; hosts' calendars differ, so it is used only for due times and for when a job was handed in.
using CalendarTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// An instant of an executor's own steady clock, which may run up to 2 % slow.
using ExecutorTime = milliseconds;

}
