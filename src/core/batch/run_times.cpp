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

/// Runs that a queue's sums count for at most; from then on, older ones count less with each new one.
constexpr double maxCount = 500;

/// Runs of former leaders count for at most this many, so that a queue whose work has changed is learned anew soon.
constexpr double maxStoredCount = 50;

/// Relative rounding error that sums may have.
constexpr double rounding = 1e-9;

/// Most queues of which run times are read.
constexpr std::size_t maxQueues = 2'048;

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
    if (sums.count_ >= maxCount) {
        sums.scale((maxCount - 1) / sums.count_);
    }
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

std::vector<StoredRunTimes> RunTimes::toStore() const
{
    std::vector<StoredRunTimes> stored;
    stored.reserve(sums_.size());
    for (const auto &[queue, sums] : sums_) {
        stored.push_back({queue, sums.count_, sums.x_, sums.y_, sums.xx_, sums.xy_});
    }
    return stored;
}

void RunTimes::load(const std::vector<StoredRunTimes> &stored)
{
    for (const StoredRunTimes &times : stored) {
        Sums sums{times.count_, times.x_, times.y_, times.xx_, times.xy_};
        if (!sums.isPlausible() || (sums_.size() >= maxQueues && !sums_.contains(times.queue_))) {
            continue;
        }
        sums.scale(std::min(1.0, maxStoredCount / sums.count_));
        Sums &known = sums_[times.queue_];
        known.count_ += sums.count_;
        known.x_ += sums.x_;
        known.y_ += sums.y_;
        known.xx_ += sums.xx_;
        known.xy_ += sums.xy_;
    }
}

void RunTimes::Sums::scale(double factor) noexcept
{
    count_ *= factor;
    x_ *= factor;
    y_ *= factor;
    xx_ *= factor;
    xy_ *= factor;
}

bool RunTimes::Sums::isPlausible() const noexcept
{
    const bool isFinite = std::isfinite(x_) && std::isfinite(y_) && std::isfinite(xx_) && std::isfinite(xy_);
    return isFinite && count_ >= 1 && count_ <= maxCount && xx_ * count_ >= x_ * x_ * (1 - rounding);
}

}
