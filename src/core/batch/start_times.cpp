#include "core/batch/start_times.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// Time in ms by which a corrected start time is later than its predecessor's; the fencing tokens of both must differ.
constexpr std::int64_t correctedDistanceMs = 1'000;

/// Number of incarnations that are remembered.
constexpr std::size_t maxKnown = 64;

}

std::int64_t StartTimes::corrected(std::int64_t startTimeMs)
{
    const std::int64_t corrected = known_.try_emplace(startTimeMs, startTimeMs + correctionMs_).first->second;
    if (known_.size() > maxKnown) {
        forgetOldest();
    }
    return corrected;
}

std::int64_t StartTimes::recordSuccessor(std::int64_t startTimeMs, std::int64_t former)
{
    const std::int64_t corrected = former + correctedDistanceMs;
    known_[startTimeMs] = corrected;
    correctionMs_ = corrected - startTimeMs;
    return corrected;
}

void StartTimes::forgetOldest()
{
    known_.erase(std::min_element(known_.begin(), known_.end(), [](const auto &left, const auto &right) { return left.second < right.second; }));
}

}
