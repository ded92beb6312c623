#include "core/batch/run_times.h"

#include <algorithm>
#include <cmath>

namespace bergamotwick::batch {

namespace {

/// The line is fitted around this estimate, so that its height and slope are learned apart.
constexpr double referenceEstimateMs = 3'000;

/// The caller's estimate weighs as much as this many runs, for the offset of the line and for its slope.
constexpr double priorOffsetWeight = 1;
constexpr double priorSlopeWeight = 1;

/// No estimate is taken to be further off than this.
constexpr double maxCorrection = 20;

double logOf(milliseconds length)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, length.count())) / referenceEstimateMs);
}

}

void RunTimes::record(const std::string &queue, milliseconds estimate, milliseconds took)
{
    const double x = logOf(estimate);
    const double y = logOf(took) - x;
    Sums &sums = sums_[queue];
    sums.count_ += 1;
    sums.x_ += x;
    sums.y_ += y;
    sums.xx_ += x * x;
    sums.xy_ += x * y;
}

milliseconds RunTimes::expected(const std::string &queue, milliseconds estimate) const
{
    const auto found = sums_.find(queue);
    if (found == sums_.end()) {
        return estimate;
    }
    const Sums &sums = found->second;
    const double height = sums.count_ + priorOffsetWeight;
    const double slope = sums.xx_ + priorSlopeWeight;
    const double determinant = height * slope - sums.x_ * sums.x_; // above zero: both prior weights are
    const double base = (sums.y_ * slope - sums.x_ * sums.xy_) / determinant;
    const double rise = (sums.xy_ * height - sums.x_ * sums.y_) / determinant;
    const double factor = std::clamp(std::exp(base + rise * logOf(estimate)), 1 / maxCorrection, maxCorrection);
    return milliseconds(std::max<std::int64_t>(1, std::llround(static_cast<double>(estimate.count()) * factor)));
}

}
