#pragma once

#include "bergamotwick/time.h"

namespace bergamotwick {

/// Returns the current time of the steady clock. Thread-safe.
[[nodiscard]] inline Instant steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Returns the current time of the system clock, in whole seconds. Thread-safe.
[[nodiscard]] inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
}

/// Returns a random number that identifies one run of a process. A collision with an earlier run is unlikely, not impossible. Thread-safe.
[[nodiscard]] std::uint64_t randomIncarnation();

}
