#pragma once

#include "job_run.h"

namespace bergamotwick::bench {

/// The contest registry: long multi-accelerator jobs all day, and bursts of small jobs before each closing hour.
[[nodiscard]] Workload contestWorkload(std::uint64_t seed);

/// The school service: bursts of short jobs during lessons, and long stitching jobs.
[[nodiscard]] Workload schoolWorkload(std::uint64_t seed);

/// Returns \p workload with one data centre out of service for an hour.
[[nodiscard]] Workload withOutage(Workload workload);

}
