#include "core/batch/yield_cost.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// Each priority counts twice as much as the one below it, up from this one.
constexpr std::int32_t lastPriority = 2;

/// Factors for work that would be in time without the delay and late with it, and for work that is late anyway.
constexpr double lateFactor = 2;
constexpr double lateAnywayFactor = 0.5;

}

std::int64_t costOfYielding(const YieldingWork &work, double callerWeight)
{
    double factor = std::exp2(lastPriority - std::clamp(work.priority_, 0, lastPriority));
    if (work.slack_ < Duration(0)) {
        factor *= lateAnywayFactor;
    } else if (work.slack_ < work.lostTime_) {
        factor *= lateFactor;
    }
    return std::max<std::int64_t>(1, std::llround(static_cast<double>(work.lostWork_) * std::pow(factor, callerWeight)));
}

}
