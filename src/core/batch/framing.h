#pragma once

#include "bergamotwick/error.h"
#include "wire/archive.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include <xxhash.h>

namespace bergamotwick::batch {

/// Type of an encoded payload; prevents decoding one type as another.
enum class PayloadKind : std::uint8_t {
    Submission = 1,
    Progress,
    Report,
    Directive,
    ForwardedCall,
    ForwardedAnswer,
    CrashHistory,
    LongSubmission, ///< of a job whose progress is folded
    FoldedProgress,
    StartRecord,
    AcceptedSettings,
    FleetProfile,
};

/// All types of payloads. Releases that run side by side read each other's, so each has a sample in tests/support/formats.cpp.
constexpr std::array payloadKinds{PayloadKind::Submission,
                                  PayloadKind::Progress,
                                  PayloadKind::Report,
                                  PayloadKind::Directive,
                                  PayloadKind::ForwardedCall,
                                  PayloadKind::ForwardedAnswer,
                                  PayloadKind::CrashHistory,
                                  PayloadKind::LongSubmission,
                                  PayloadKind::FoldedProgress,
                                  PayloadKind::StartRecord,
                                  PayloadKind::AcceptedSettings,
                                  PayloadKind::FleetProfile};

[[nodiscard]] constexpr bool isListed(PayloadKind kind) noexcept
{
    return std::find(payloadKinds.begin(), payloadKinds.end(), kind) != payloadKinds.end();
}

constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t headerBytes = 2 + sizeof(std::uint32_t);

[[nodiscard]] inline std::uint32_t checksum(std::string_view body, PayloadKind kind)
{
    return XXH32(body.data(), body.size(), static_cast<std::uint32_t>(kind));
}

/// Returns whether the header of \p bytes names \p kind. Thread-safe.
[[nodiscard]] inline bool isOfKind(std::string_view bytes, PayloadKind kind) noexcept
{
    return bytes.size() >= headerBytes && static_cast<PayloadKind>(bytes[1]) == kind;
}

/// Encodes \p value behind a header of format version, kind and checksum. Thread-safe.
template<PayloadKind kind, class Value>
[[nodiscard]] std::string encodeAs(const Value &value)
{
    static_assert(isListed(kind));
    std::string body;
    OutputArchive archive(body);
    archive(value);
    const std::uint32_t sum = checksum(body, kind);
    std::string bytes;
    bytes.reserve(headerBytes + body.size());
    bytes.push_back(static_cast<char>(formatVersion));
    bytes.push_back(static_cast<char>(kind));
    bytes.append(reinterpret_cast<const char *>(&sum), sizeof(sum));
    return bytes + body;
}

/// Decodes the output of encodeAs(). Errors: WireError (truncated, wrong version, corrupt). Thread-safe.
template<PayloadKind kind, class Value>
[[nodiscard]] Result<Value> decodeAs(std::string_view bytes)
{
    static_assert(isListed(kind));
    if (bytes.size() < headerBytes) {
        return leaf::new_error(WireError{WireErrc::Truncated});
    }
    if (static_cast<std::uint8_t>(bytes[0]) != formatVersion) {
        return leaf::new_error(WireError{WireErrc::WrongVersion});
    }
    std::uint32_t sum = 0;
    std::memcpy(&sum, bytes.data() + 2, sizeof(sum));
    const std::string_view body = bytes.substr(headerBytes);
    if (static_cast<PayloadKind>(bytes[1]) != kind || sum != checksum(body, kind)) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    Value value{};
    try {
        InputArchive archive(body);
        archive(value);
        if (archive.remaining() != 0) {
            return leaf::new_error(WireError{WireErrc::Corrupt});
        }
    } catch (const ArchiveError &) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return value;
}

}
