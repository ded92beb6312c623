#pragma once

#include "core/batch/queueing.h"

#include <cstdint>

namespace bergamotwick::batch {

/// How well a host suits a group by its speed, best first.
enum class HostFit : std::uint8_t {
    Preferred, ///< the group has time for it, and more urgent work has no use for it
    Neutral,
    Unmeasured, ///< the group has no time for a slow host, and this may be one
    TooSlow, ///< the group would miss its objective there
};

/// Chooses hosts by when a group's tasks would end there. In a fleet without slow hosts, all are neutral: a host is slow if it takes longer than the tightest
/// queue of the service allows.
///
/// Thread safety: none; one thread owns the cluster state.
class HostChoice
{
public:
    /// Precondition: \p cluster outlives the object and doesn't change meanwhile.
    HostChoice(const ClusterState &cluster, const WaitingGroup &group);

    [[nodiscard]] HostFit fitOf(const Executor &executor) const;

    /// Returns whether hosts may differ in how well they suit the group.
    [[nodiscard]] bool distinguishes() const noexcept
    {
        return slowRatio_ > 0 && allowed_ >= 1;
    }

private:
    const ClusterState &cluster_;
    double slowRatio_ = 0; ///< slowness from which a host is slow; 0 if there is no slow host
    double allowed_ = 0; ///< slowness with which the group ends in time; below 1 if it can't, or its tasks don't end by themselves
    double preferred_ = 0; ///< slowness of a slow host up to which the group is in time with certainty
};

/// Returns the slowness from which hosts of \p service are slow: longer than the tightest of its queues allows.
[[nodiscard]] double slowRatioOf(const ClusterState &cluster, const ServiceId &service);

}
