#include "daemon/log.h"

#include <algorithm>
#include <cctype>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bergamotwick {

namespace {

spdlog::level::level_enum toSpdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        break;
    }
    return spdlog::level::err;
}

bool needsNoQuotes(unsigned char character)
{
    return std::isalnum(character) != 0 || character == '_' || character == '-' || character == '.' || character == ':' || character == '/';
}

std::string quoteIfNeeded(const std::string &value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), needsNoQuotes)) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += std::iscntrl(static_cast<unsigned char>(character)) != 0 ? ' ' : character;
    }
    return text + "\"";
}

constexpr const char *linePattern = "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v";

std::string formatField(const std::string &key, const std::string &value)
{
    return " " + key + "=" + quoteIfNeeded(value);
}

void logLine(LogLevel level, std::string_view event, const std::string &formattedFields)
{
    spdlog::default_logger_raw()->log(toSpdlogLevel(level), "event=" + std::string(event) + formattedFields);
}

}

LogField::LogField(std::string_view key, std::string_view value)
    : key_(key)
    , value_(value)
{
}

LogField::LogField(std::string_view key, const std::string &value)
    : key_(key)
    , value_(value)
{
}

LogField::LogField(std::string_view key, const char *value)
    : key_(key)
    , value_(value)
{
}

LogField::LogField(std::string_view key, bool value)
    : key_(key)
    , value_(value ? "yes" : "no")
{
}

void openLog(LogLevel minLevel)
{
    auto logger = spdlog::stderr_logger_mt("bergamotwick");
    logger->set_pattern(linePattern);
    logger->set_level(toSpdlogLevel(minLevel));
    spdlog::set_default_logger(logger);
}

void openBoundedLog(LogLevel minLevel)
{
    constexpr std::size_t maxQueuedLines = 1'024;
    spdlog::init_thread_pool(maxQueuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>("bergamotwick", std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(linePattern);
    logger->set_level(toSpdlogLevel(minLevel));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

std::size_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void logEvent(LogLevel level, std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields)
{
    std::string formattedFields;
    for (const auto &[key, value] : fields) {
        formattedFields += formatField(key, value);
    }
    logLine(level, event, formattedFields);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string formattedFields;
    for (const LogField &field : fields) {
        formattedFields += formatField(field.key_, field.value_);
    }
    logLine(level, event, formattedFields);
}

}
