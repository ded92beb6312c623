#pragma once

#include "bergamotwick/error.h"
#include "callers_server.h"

#include <string>
#include <string_view>

namespace bergamotwick::node {

/// Serialises a message to another entry. Thread-safe.
[[nodiscard]] std::string encode(const platform::Call &call);
[[nodiscard]] std::string encode(const platform::Answer &answer);

/// Deserialises the result of encode(). Errors: WireError. Thread-safe.
[[nodiscard]] Result<platform::Call> decodeCall(std::string_view bytes);
[[nodiscard]] Result<platform::Answer> decodeAnswer(std::string_view bytes);

}
