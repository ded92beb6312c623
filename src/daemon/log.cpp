#include "daemon/log.h"

#include <algorithm>
#include <cctype>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bergamotwick {

namespace {

spdlog::level::level_enum levelOf(LogLevel level)
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

bool plain(unsigned char character)
{
    return std::isalnum(character) != 0 || character == '_' || character == '-' || character == '.' || character == ':' || character == '/';
}

std::string quoted(const std::string &value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), plain)) {
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

std::string pair(const std::string &key, const std::string &value)
{
    return " " + key + "=" + quoted(value);
}

void write(LogLevel level, std::string_view event, const std::string &pairs)
{
    spdlog::default_logger_raw()->log(levelOf(level), "event=" + std::string(event) + pairs);
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

void openLog(LogLevel least)
{
    auto logger = spdlog::stderr_logger_mt("bergamotwick");
    logger->set_pattern(linePattern);
    logger->set_level(levelOf(least));
    spdlog::set_default_logger(logger);
}

void openBoundedLog(LogLevel least)
{
    constexpr std::size_t queuedLines = 1'024;
    spdlog::init_thread_pool(queuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>("bergamotwick", std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(linePattern);
    logger->set_level(levelOf(least));
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
    std::string pairs;
    for (const auto &[key, value] : fields) {
        pairs += pair(key, value);
    }
    write(level, event, pairs);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string pairs;
    for (const LogField &field : fields) {
        pairs += pair(field.key_, field.value_);
    }
    write(level, event, pairs);
}

}
