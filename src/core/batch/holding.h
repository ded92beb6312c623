#pragma once

#include "core/batch/queueing.h"

#include <map>
#include <vector>

namespace bergamotwick::batch {

/// Executors that are held for higher priorities during one scheduling pass. Prevents starvation: without holds, single tasks of low
/// priority take each accelerator that becomes free before enough are free together for a gang of higher priority, and urgent work only
/// gets resources by preemption.
///
/// Thread safety: none; one thread owns the cluster state.
class ExecutorHolds
{
public:
    explicit ExecutorHolds(const ClusterState &cluster);

    /// Returns whether work of \p rank, see WaitingGroup::rank(), may use \p executor.
    [[nodiscard]] bool mayUse(const Executor &executor, std::int32_t rank) const;

    /// Holds some of \p candidates for the \p missing tasks of \p group that could not be placed. Returns the number of executors held.
    std::size_t holdFor(const WaitingGroup &group, const std::vector<Executor *> &candidates, std::size_t missing);

    /// Holds the emptiest executors of \p service for expected urgent work. Takes effect once for each service and pass.
    void holdUrgentReserve(const ServiceId &service);

private:
    void hold(const Executor &executor, std::int32_t rank);
    [[nodiscard]] bool isLimitReached() const;

    const ClusterState &cluster_;
    std::map<ExecutorId, std::int32_t> held_; ///< by executor: highest rank number that may use it
    std::set<ServiceId> reservedServices_;
    std::size_t schedulableExecutors_ = 0; ///< number of executors that get work
};

/// Adds \p accelerators to the urgent use of \p service; negative to subtract.
void recordUrgentUse(ClusterState &cluster, const ServiceId &service, std::int64_t accelerators);

}
