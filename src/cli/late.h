#pragma once

#include "bergamotwick/error.h"
#include "core/report/lateness.h"

#include <string>
#include <vector>

namespace bergamotwick {

/// Reads the logs in \p files, merged by timestamp. Errors: ConfigError if a file cannot be opened.
[[nodiscard]] Result<report::LatenessReport> readLateness(const std::vector<std::string> &files);

/// Prints the late jobs, and their number per priority and cause and per slow host, to standard output.
void printLateness(const report::LatenessReport &report, bool asJson);

}
