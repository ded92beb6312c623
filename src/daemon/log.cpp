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
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
    logger->set_level(levelOf(least));
    spdlog::set_default_logger(logger);
}

void openBoundedLog(LogLevel least)
{
    constexpr std::size_t queuedLines = 1'024;
    spdlog::init_thread_pool(queuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>("bergamotwick", std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
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
    std::string line = "event=" + std::string(event);
    for (const auto &[key, value] : fields) {
        line += " " + key + "=" + quoted(value);
    }
    spdlog::default_logger_raw()->log(levelOf(level), line);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField &field : fields) {
        line += " " + field.key_ + "=" + quoted(field.value_);
    }
    spdlog::default_logger_raw()->log(levelOf(level), line);
}

}
