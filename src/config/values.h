#pragma once

#include "bergamotwick/error.h"
#include "bergamotwick/job.h"
#include "bergamotwick/settings_tree.h"
#include "bergamotwick/time.h"

#include <cstdint>
#include <string>

namespace bergamotwick {

/// A scalar to be converted to a typed value. Errors carry its path and source.
struct ScalarRef
{
    const std::string &path_;
    const Setting &setting_;

    /// Creates a ConfigError for this scalar. \p hint describes the expected form.
    [[nodiscard]] leaf::error_id error(ConfigErrc code, const std::string &hint) const;
};

/// Reads a whole number between \p min and \p max. Errors: ConfigError.
[[nodiscard]] Result<std::int32_t> readCount(const ScalarRef &scalar, std::int32_t min, std::int32_t max);

/// Reads a ratio between 0 and 1, both excluded. Errors: ConfigError.
[[nodiscard]] Result<double> readRatio(const ScalarRef &scalar);

/// Reads a duration such as "250ms", "2s", "5m" or "1h". Errors: ConfigError.
[[nodiscard]] Result<Duration> readDuration(const ScalarRef &scalar);

/// Reads an amount of memory such as "512MB" or "64GB", in megabytes. Errors: ConfigError.
[[nodiscard]] Result<std::int32_t> readMemoryMb(const ScalarRef &scalar);

/// Reads "worker", "rack" or "datacentre". Errors: ConfigError.
[[nodiscard]] Result<Adjacency> readAdjacency(const ScalarRef &scalar);

}
