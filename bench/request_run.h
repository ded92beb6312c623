#pragma once

#include <cstdint>
#include <vector>

namespace bergamotwick::bench {

struct RequestOptions
{
    std::uint64_t seed_ = 1;
    bool slowLoad_ = false; ///< adds slow requests that exceed the capacity
    bool fair_ = true; ///< false: one queue and no slot limits per class
};

struct RequestResult
{
    std::vector<double> quickTimesS_; ///< time from arrival to answer of quick requests
    double jainIndex_ = 0; ///< Jain's fairness index over the towns' mean times to answer during the burst
    double worstTownToMean_ = 0; ///< the longest mean time of a town, relative to the mean over all towns of equal size
    double attemptsPerRequest_ = 0;
};

/// Runs the requests of a lesson through three routers and ten agents in virtual time.
[[nodiscard]] RequestResult runRequests(const RequestOptions &options);

}
