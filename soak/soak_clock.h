#pragma once

#include "bergamotwick/time.h"

#include <chrono>

namespace bergamotwick::soak {

/// Returns the current time of the clock that judge and executors share. Thread-safe.
[[nodiscard]] inline Instant soakNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

}
