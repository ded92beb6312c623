#pragma once

#include "core/batch/queueing.h"

#include <map>
#include <vector>

namespace bergamotwick::batch {

/// Executors that less pressing work keeps off during one pass over what waits. Answers starvation: without it, single tasks of low
/// priority take every accelerator that comes free before a gang of higher priority sees enough of them together, and urgent work finds
/// no room but what it has cleared.
///
/// Thread safety: none; the board is one thread's.
class Holding
{
public:
    explicit Holding(const Board &board);

    /// Returns whether work of \p priority may take \p executor.
    [[nodiscard]] bool isOpen(const Executor &executor, std::int32_t priority) const;

    /// Sets some of \p candidates apart for the \p missing tasks of \p group that found no place. Returns how many.
    std::size_t holdFor(const WaitingGroup &group, const std::vector<Executor *> &candidates, std::size_t missing);

    /// Sets the emptiest executors of \p service apart for urgent work that is likely to come. Once for each service and pass.
    void holdReserve(const ServiceId &service);

private:
    void hold(const Executor &executor, std::int32_t priority);
    [[nodiscard]] bool isFull() const;

    const Board &board_;
    std::map<ExecutorId, std::int32_t> held_; ///< the least pressing priority that may take it
    std::set<ServiceId> reserved_;
    std::size_t live_ = 0; ///< executors that report
};

/// Notes that urgent work of \p service has taken \p accelerators more; fewer, if negative.
void noteUrgentUse(Board &board, const ServiceId &service, std::int64_t accelerators);

}
