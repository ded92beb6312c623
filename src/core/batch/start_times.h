#pragma once

#include <cstdint>
#include <map>

namespace bergamotwick::batch {

/// Start times of the incarnations of a host's executor, corrected so that each is later than that of its predecessor. The executor takes its start
/// time from a clock that may have been set back.
///
/// Thread safety: none; the caller serialises calls.
class StartTimes
{
public:
    /// Returns the corrected start time in ms of the incarnation that says that it started at \p startTimeMs.
    [[nodiscard]] std::int64_t corrected(std::int64_t startTimeMs);

    /// Records that the incarnation that says that it started at \p startTimeMs has followed the one with the corrected start time \p former, and
    /// returns its own corrected one.
    std::int64_t recordSuccessor(std::int64_t startTimeMs, std::int64_t former);

private:
    void forgetOldest();

    std::int64_t correctionMs_ = 0; ///< for incarnations that aren't known yet
    std::map<std::int64_t, std::int64_t> known_; ///< corrected start times, by start time; messages of former incarnations may come late
};

}
