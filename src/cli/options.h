#pragma once

#include <string>
#include <vector>

namespace bergamotwick {

/// Exit codes of the command-line tool.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1, ///< the request was refused, or the object was not found
    Usage = 2, ///< invalid command line or configuration
    Conflict = 3, ///< the active configuration was changed concurrently
    Unreachable = 4, ///< no response from an entry
    Differs = 5, ///< diff found differences
};

/// Parsed command line.
struct CliOptions
{
    std::string server_ = "127.0.0.1:7400";
    bool json_ = false;
    std::string html_; ///< output file for the HTML burn report
    std::string operation_; ///< idempotency key of a change, for safe retries
    std::vector<std::string> arguments_; ///< the command and its arguments
};

}
