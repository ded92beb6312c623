#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamotwick {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// A field of a log line, written as key=value.
struct LogField
{
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, bool value);

    template<class Number>
    LogField(std::string_view key, Number value)
        : key_(key)
        , value_(std::to_string(value))
    {
    }

    std::string key_;
    std::string value_;
};

/// Sets up logging to standard error, from \p minLevel up. Must be called once, before any thread starts.
void openLog(LogLevel minLevel);

/// Sets up logging to standard output through a bounded queue, from \p minLevel up. If standard output is not read, the queue drops its
/// oldest lines and no logging thread blocks. Must be called once, before any thread starts.
void openBoundedLog(LogLevel minLevel);

/// Returns the number of lines that the queue of openBoundedLog() has dropped. Thread-safe.
[[nodiscard]] std::size_t droppedLogLines();

/// Logs one line: the name of the event, then its fields. Thread-safe.
void logEvent(LogLevel level, std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields);

/// Logs one line: the name of the event, then its fields. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}
