#pragma once

#include "bergamotwick/error.h"
#include "core/messages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace bergamotwick {

/// The messages between entries and agents.
using Message = std::variant<AgentReport, Directive, AttemptRequest, AttemptReply>;

constexpr std::size_t maxFrameBytes = std::size_t{16} * 1024 * 1024;

/// Encodes \p message behind a header with a version and a checksum. Thread-safe.
[[nodiscard]] std::string encodeMessage(const Message &message);

/// Decodes the output of encodeMessage(). Also rejects messages with values that no process of this system sends. Thread-safe.
///
/// Errors: WireError (truncated, oversized, wrong version, corrupt).
[[nodiscard]] Result<Message> decodeMessage(std::string_view bytes);

}
