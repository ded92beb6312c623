#include "metrics/burn.h"

namespace bergamotwick {

namespace {

std::int64_t minuteSinceEpoch(WallTime now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

double burnRate(std::uint64_t good, std::uint64_t total, double ratio)
{
    return total == 0 ? 0 : (static_cast<double>(total - good) / static_cast<double>(total)) / (1 - ratio);
}

}

void BurnRateTracker::record(WallTime now, const WorkspaceId &workspace, const ServiceId &service, bool good)
{
    const std::int64_t minute = minuteSinceEpoch(now);
    Bucket &bucket = rings_[{workspace, service}][static_cast<std::size_t>(minute) % bucketCount];
    if (bucket.minute_ != minute) {
        bucket = {minute, 0, 0};
    }
    bucket.good_ += good ? 1 : 0;
    ++bucket.total_;
}

BurnRateTracker::Bucket BurnRateTracker::sum(const Ring &ring, std::int64_t minute, Duration window)
{
    const std::int64_t oldest = minute - std::chrono::duration_cast<std::chrono::minutes>(window).count();
    Bucket totals;
    for (const Bucket &bucket : ring) {
        if (bucket.minute_ > oldest && bucket.minute_ <= minute) {
            totals.good_ += bucket.good_;
            totals.total_ += bucket.total_;
        }
    }
    return totals;
}

std::vector<ObjectiveBurn> BurnRateTracker::report(WallTime now, const Config &config) const
{
    std::vector<ObjectiveBurn> objectives;
    const std::int64_t minute = minuteSinceEpoch(now);
    for (const auto &[service, serviceConfig] : config.services_) {
        for (const auto &[workspace, objective] : serviceConfig.objectives_) {
            ObjectiveBurn objectiveBurn{workspace, service, objective, 0, 0, 0, 0, 1};
            const auto ring = rings_.find({workspace, service});
            if (ring != rings_.end()) {
                const Bucket shortSum = sum(ring->second, minute, shortWindow);
                const Bucket longSum = sum(ring->second, minute, longWindow);
                const Bucket budgetSum = sum(ring->second, minute, budgetWindow);
                objectiveBurn.good_ = longSum.good_;
                objectiveBurn.total_ = longSum.total_;
                objectiveBurn.shortBurnRate_ = burnRate(shortSum.good_, shortSum.total_, objective.ratio_);
                objectiveBurn.longBurnRate_ = burnRate(longSum.good_, longSum.total_, objective.ratio_);
                objectiveBurn.errorBudgetLeft_ = 1 - burnRate(budgetSum.good_, budgetSum.total_, objective.ratio_);
            }
            objectives.push_back(objectiveBurn);
        }
    }
    return objectives;
}

}
