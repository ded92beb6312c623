#include "bergamotwick/error.h"
#include "bergamotwick/job.h"

namespace bergamotwick {

const char *toString(JobState state) noexcept
{
    constexpr const char *words[] = {"queued", "placed", "running", "stopping", "done", "failed", "cancelled"};
    return words[static_cast<std::size_t>(state)];
}

const char *toString(Adjacency adjacency) noexcept
{
    constexpr const char *words[] = {"worker", "rack", "datacentre"};
    return words[static_cast<std::size_t>(adjacency)];
}

const char *toString(ConfigErrc code) noexcept
{
    constexpr const char *words[] = {"empty_folder",
                                     "unreadable_file",
                                     "not_yaml",
                                     "not_utf8",
                                     "unknown_key",
                                     "wrong_type",
                                     "wrong_unit",
                                     "out_of_range",
                                     "duplicate_name",
                                     "unknown_reference",
                                     "missing_key",
                                     "guarantees_do_not_fit",
                                     "too_large"};
    return words[static_cast<std::size_t>(code)];
}

const char *toString(StoreErrc code) noexcept
{
    constexpr const char *words[] = {"unavailable", "ambiguous", "rate_limited", "bad_reply", "rejected"};
    return words[static_cast<std::size_t>(code)];
}

const char *toString(WireErrc code) noexcept
{
    constexpr const char *words[] = {"truncated", "oversized", "wrong_version", "corrupt"};
    return words[static_cast<std::size_t>(code)];
}

const char *toString(DocumentErrc code) noexcept
{
    constexpr const char *words[] = {"not_json", "wrong_field", "too_large", "wrong_version"};
    return words[static_cast<std::size_t>(code)];
}

std::string ConfigError::str() const
{
    std::string line = location_.str() + ": " + toString(code_) + ": " + subject_;
    if (!hint_.empty()) {
        line += code_ == ConfigErrc::UnknownKey ? " (did you mean " + hint_ + "?)" : " (" + hint_ + ")";
    }
    return line;
}

}
