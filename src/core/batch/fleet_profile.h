#pragma once

#include "core/batch/host_profiles.h"
#include "core/batch/run_times.h"

#include <vector>

namespace bergamotwick::batch {

/// What leaders have learned of a fleet and its work, handed on through the store. Written only by the leader. It has a key of its own, as releases that don't
/// know of it leave that key alone. A leader without it schedules as well, only less well.
struct FleetProfile
{
    std::vector<StoredHostSpeed> hosts_;
    std::vector<StoredRunTimes> queues_;

    friend bool operator==(const FleetProfile &, const FleetProfile &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(hosts_, queues_);
    }
};

}
