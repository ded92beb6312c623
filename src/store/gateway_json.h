#pragma once

#include "bergamotwick/error.h"
#include "core/commit/store_call.h"

#include <string>

namespace bergamotwick {

/// A store call in the format of the key-value store's HTTP/JSON gateway.
struct GatewayRequest
{
    std::string path_;
    std::string body_;
    bool mutating_ = false; ///< the call changes the store; if the reply is lost, its effect is unknown
};

/// Encodes \p call as a request to the gateway. Thread-safe.
[[nodiscard]] GatewayRequest encodeGatewayCall(const StoreCall &call);

/// Decodes the gateway's reply to \p call. Thread-safe. Errors: StoreError BadReply.
[[nodiscard]] Result<StoreReply> decodeGatewayReply(const StoreCall &call, const std::string &body);

/// Encodes \p bytes in base64. Thread-safe.
[[nodiscard]] std::string toBase64(const std::string &bytes);

/// Decodes \p text from base64. Returns an empty string for invalid input. Thread-safe.
[[nodiscard]] std::string fromBase64(const std::string &text);

}
