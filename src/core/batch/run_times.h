#pragma once

#include "core/batch/time.h"

#include <map>
#include <string>

namespace bergamotwick::batch {

/// Learns from runs that ended well what callers' estimates are worth, for each queue: some are off by a tenth, others say nothing. Answers
/// estimates that are far from reality.
///
/// The logarithm of the time taken is fitted as a line over that of the estimate; without runs, the estimate is believed.
/// Thread safety: a value type.
class RunTimes
{
public:
    /// Notes that a task with \p estimate took \p took.
    void note(const std::string &queue, milliseconds estimate, milliseconds took);

    /// Returns how long a task with \p estimate is likely to take.
    [[nodiscard]] milliseconds expected(const std::string &queue, milliseconds estimate) const;

private:
    /// Sums over the noted runs: of x, the logarithm of the estimate, and of y, how far that of the time taken lies above it.
    struct Sums
    {
        double count_ = 0;
        double x_ = 0;
        double y_ = 0;
        double xx_ = 0;
        double xy_ = 0;
    };

    std::map<std::string, Sums> sums_;
};

}
