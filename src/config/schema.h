#pragma once

#include "bergamotwick/config.h"
#include "config/values.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick {

/// Keys of a path that match a "*" of the pattern, in order.
using WildcardKeys = std::vector<std::string>;

/// A schema rule: the pattern of the paths that it covers, and the function that reads their values.
struct SchemaRule
{
    std::string_view pattern_; ///< dotted path; "*" matches any one key
    Result<void> (*read_)(const ScalarRef &scalar, const WildcardKeys &wildcardKeys, Config &config);
};

/// Returns all rules. A setting that matches none of them is an unknown key. Thread-safe.
[[nodiscard]] std::span<const SchemaRule> schemaRules() noexcept;

/// Returns whether \p path matches \p pattern. On a match, \p wildcardKeys receives the matched keys.
[[nodiscard]] bool matchPattern(std::string_view pattern, std::string_view path, WildcardKeys &wildcardKeys);

/// Returns the known key with the smallest edit distance to the first unknown key of \p path.
[[nodiscard]] std::string nearestKnownKey(std::string_view path);

}
