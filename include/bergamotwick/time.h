#pragma once

#include <chrono>

namespace bergamotwick {

using Duration = std::chrono::microseconds;

/// A time on the process's steady clock. The core never reads a clock; callers pass the current time.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Calendar time, comparable across processes.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

using namespace std::chrono_literals;

}
