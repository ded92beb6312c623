#pragma once

#include "core/batch/time.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// What is stored of a queue's run times: sums over its runs, see RunTimes.
struct StoredRunTimes
{
    std::string queue_;
    double count_ = 0;
    double x_ = 0;
    double y_ = 0;
    double xx_ = 0;
    double xy_ = 0;

    friend bool operator==(const StoredRunTimes &, const StoredRunTimes &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(queue_, count_, x_, y_, xx_, xy_);
    }
};

/// Predicts run times for each queue by correcting callers' estimates with the times of successful runs. Estimates of some queues are off
/// by a tenth, those of others carry no information.
///
/// Fits the logarithm of the run time as a linear function of the logarithm of the estimate; without runs, returns the estimate.
/// Thread safety: a value type.
class RunTimes
{
public:
    /// Records that a task with \p estimate ran for \p runTime.
    void record(const std::string &queue, milliseconds estimate, milliseconds runTime);

    /// Returns the expected run time of a task with \p estimate.
    [[nodiscard]] milliseconds expected(const std::string &queue, milliseconds estimate) const;

    /// Returns what is known of all queues, for the store.
    [[nodiscard]] std::vector<StoredRunTimes> toStore() const;

    /// Adds what former leaders have \p stored.
    void load(const std::vector<StoredRunTimes> &stored);

private:
    /// Sums over the recorded runs; x is the logarithm of the estimate, y the logarithm of the run time minus x.
    struct Sums
    {
        double count_ = 0;
        double x_ = 0;
        double y_ = 0;
        double xx_ = 0;
        double xy_ = 0;

        void scale(double factor) noexcept;

        /// Returns whether real runs can have these sums.
        [[nodiscard]] bool isPlausible() const noexcept;
    };

    std::map<std::string, Sums> sums_;
};

}
