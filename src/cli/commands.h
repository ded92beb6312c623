#pragma once

#include "cli/options.h"

namespace bergamotwick {

/// Runs one command. Results go to standard output, errors to standard error; with `--json`, configuration errors go to standard output.
[[nodiscard]] ExitCode runCommand(const CliOptions &options);

}
