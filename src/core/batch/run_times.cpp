#include "core/batch/run_times.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// The line is fitted relative to this estimate, so that its offset and slope are estimated separately.
constexpr double referenceEstimateMs = 3'000;

/// Weight of the caller's estimate in runs, for the offset of the line and for its slope.
constexpr double priorOffsetWeight = 1;
constexpr double priorSlopeWeight = 1;

/// Maximum factor by which an estimate is corrected.
constexpr double maxCorrection = 20;

/// Returns the logarithm of the ratio of \p duration to the reference estimate.
double logRatioToReference(milliseconds duration)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, duration.count())) / referenceEstimateMs);
}

}

void RunTimes::record(const std::string &queue, milliseconds estimate, milliseconds runTime)
{
    const double x = logRatioToReference(estimate);
    const double y = logRatioToReference(runTime) - x;
    Sums &sums = sums_[queue];
    sums.count_ += 1;
    sums.x_ += x;
    sums.y_ += y;
    sums.xx_ += x * x;
    sums.xy_ += x * y;
}

milliseconds RunTimes::expected(const std::string &queue, milliseconds estimate) const
{
    const auto entry = sums_.find(queue);
    if (entry == sums_.end()) {
        return estimate;
    }
    const Sums &sums = entry->second;
    const double offsetWeight = sums.count_ + priorOffsetWeight;
    const double slopeWeight = sums.xx_ + priorSlopeWeight;
    const double determinant = offsetWeight * slopeWeight - sums.x_ * sums.x_; // positive, as both prior weights are
    const double offset = (sums.y_ * slopeWeight - sums.x_ * sums.xy_) / determinant;
    const double slope = (sums.xy_ * offsetWeight - sums.x_ * sums.y_) / determinant;
    const double factor = std::clamp(std::exp(offset + slope * logRatioToReference(estimate)), 1 / maxCorrection, maxCorrection);
    return milliseconds(std::max<std::int64_t>(1, std::llround(static_cast<double>(estimate.count()) * factor)));
}

}
