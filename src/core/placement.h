#pragma once

#include "core/fleet.h"

#include <optional>
#include <variant>
#include <vector>

namespace bergamotwick {

/// The tasks of one gang that are placed on the same worker.
struct MemberPlacement
{
    WorkerIndex worker_ = 0;
    std::int32_t tasks_ = 0;

    friend bool operator==(const MemberPlacement &, const MemberPlacement &) = default;
};

/// Placement of a whole gang, in a single data centre.
using GangPlacement = std::vector<MemberPlacement>;

/// Input of a placement search.
struct PlacementRequest
{
    std::int32_t tasks_ = 1;
    Resources each_; ///< resources per task
    Adjacency within_ = Adjacency::DataCentre;
    CapacityView capacityView_ = CapacityView::Free;
    const std::set<WorkerIndex> *excludedWorkers_ = nullptr; ///< workers on which the job has failed; nullptr for none

    [[nodiscard]] bool excludes(WorkerIndex worker) const
    {
        return excludedWorkers_ && excludedWorkers_->contains(worker);
    }
};

/// Takes the first workers with enough available capacity, in order of their index. A baseline.
struct FirstFit
{
};

/// Fills workers in ascending order of available accelerators. A baseline.
struct BestFit
{
};

/// Places the gang on one worker, else in one rack, else across a data centre, and prefers the tightest fit.
///
/// Keeps large blocks of free capacity whole for wide gangs.
struct TopologyAwareFit
{
};

using PlacementPolicy = std::variant<FirstFit, BestFit, TopologyAwareFit>;

/// Finds a placement for a whole gang in one data centre.
///
/// Thread safety: reads \p fleet only. Returns nothing if no data centre in service has enough available capacity.
[[nodiscard]] std::optional<GangPlacement> findPlacement(const Fleet &fleet, const PlacementRequest &request, const PlacementPolicy &policy);

/// Finds the placement that has to preempt the fewest borrowed accelerators, then cores, for a gang that may preempt.
///
/// Thread safety: reads \p fleet only. Returns nothing if the gang does not fit even after all borrowing jobs have been stopped.
[[nodiscard]] std::optional<GangPlacement> findPreemptingPlacement(const Fleet &fleet, const PlacementRequest &request);

}
