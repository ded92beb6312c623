#pragma once

#include "bergamotwick/config.h"
#include "bergamotwick/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace bergamotwick {

/// Burn rates and remaining error budget of one service level objective.
struct ObjectiveBurn
{
    WorkspaceId workspace_;
    ServiceId service_;
    ObjectiveConfig objective_;
    std::uint64_t good_ = 0; ///< good answers in the long window
    std::uint64_t total_ = 0; ///< all answers in the long window
    double shortBurnRate_ = 0; ///< failure ratio in the short window, relative to the ratio that the objective allows
    double longBurnRate_ = 0; ///< the same for the long window
    double errorBudgetLeft_ = 1; ///< unused share of the failures allowed in the budget window; negative when exceeded
};

/// Counts good and bad answers per workspace and service in one-minute buckets over a day.
///
/// Thread safety: none; the caller must serialise all calls.
class BurnRateTracker
{
public:
    static constexpr Duration shortWindow = 5min;
    static constexpr Duration longWindow = 60min;
    static constexpr Duration budgetWindow = 24h;

    /// Counts one answer.
    void record(WallTime now, const WorkspaceId &workspace, const ServiceId &service, bool good);

    /// Returns the burn rates of each objective in \p config.
    [[nodiscard]] std::vector<ObjectiveBurn> report(WallTime now, const Config &config) const;

private:
    static constexpr std::size_t bucketCount = 1'440; ///< one per minute of budgetWindow

    struct Bucket
    {
        std::int64_t minute_ = -1; ///< minutes since the Unix epoch; -1 if unused
        std::uint64_t good_ = 0;
        std::uint64_t total_ = 0;
    };

    using Ring = std::array<Bucket, bucketCount>;

    static Bucket sum(const Ring &ring, std::int64_t minute, Duration window);

    std::map<std::pair<WorkspaceId, ServiceId>, Ring> rings_;
};

}
