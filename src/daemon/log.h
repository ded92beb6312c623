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

/// One key=value pair of a log line.
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

/// Sets up logging to standard error. Call once, before any thread starts.
void openLog(LogLevel least);

/// Sets up logging to standard output through a bounded queue: a reader that doesn't read never holds a thread up, and the oldest lines are
/// dropped. Call once, before any thread starts.
void openBoundedLog(LogLevel least);

/// Returns how many lines openBoundedLog()'s queue has dropped. Thread-safe.
[[nodiscard]] std::size_t droppedLogLines();

/// Writes one line: the event, then its fields. Thread-safe.
void logEvent(LogLevel level, std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields);

/// Writes one line: the event, then its fields. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}
