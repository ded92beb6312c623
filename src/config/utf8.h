#pragma once

#include <string_view>

namespace bergamotwick {

/// Returns whether \p text is well-formed UTF-8. Thread-safe.
[[nodiscard]] bool isUtf8(std::string_view text) noexcept;

}
