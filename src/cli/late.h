#pragma once

#include "bergamotwick/error.h"
#include "core/report/lateness.h"

#include <string>
#include <vector>

namespace bergamotwick {

/// Reads the logs in \p files, merged by the times of their lines. Fails with ConfigError if one can't be read.
[[nodiscard]] Result<report::LatenessReport> readLateness(const std::vector<std::string> &files);

/// Prints the late jobs and how many each cause made late, to standard output.
void printLateness(const report::LatenessReport &report, bool asJson);

}
