#pragma once

#include "bergamotwick/source.h"

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

namespace bergamotwick {

namespace leaf = boost::leaf;

/// A value or a typed error.
template<class T>
using Result = leaf::result<T>;

/// Error codes of reading and checking a configuration.
enum class ConfigErrc : std::uint8_t {
    EmptyFolder,
    UnreadableFile,
    NotYaml,
    NotUtf8,
    UnknownKey,
    WrongType,
    WrongUnit,
    OutOfRange,
    DuplicateName,
    UnknownReference,
    MissingKey,
    GuaranteesDoNotFit,
    TooLarge,
};

/// A configuration error and its location.
struct ConfigError
{
    ConfigErrc code_{};
    Source location_;
    std::string subject_; ///< path of the setting, or name of the file
    std::string hint_; ///< closest known key, or the expected form; may be empty

    /// Returns a one-line message for operators. Thread-safe on a const object.
    [[nodiscard]] std::string str() const;
};

/// Error codes of calls to the key-value store.
enum class StoreErrc : std::uint8_t {
    Unavailable, ///< the call had no effect
    Ambiguous, ///< the call may have taken effect; the caller has to read the data back to find out
    RateLimited,
    BadReply,
    Rejected, ///< the store rejects what the call contains; it had no effect, and repeating it without a change has none either
};

struct StoreError
{
    StoreErrc code_{};
};

/// Error codes of decoding messages from other processes.
enum class WireErrc : std::uint8_t {
    Truncated,
    Oversized,
    WrongVersion,
    Corrupt,
};

struct WireError
{
    WireErrc code_{};
};

/// Error codes of decoding stored documents and request bodies.
enum class DocumentErrc : std::uint8_t {
    NotJson,
    WrongField,
    TooLarge,
    WrongVersion,
};

struct DocumentError
{
    DocumentErrc code_{};
    std::string field_;
};

/// A failed socket operation, with the value of errno.
struct SocketError
{
    int errno_ = 0;
};

[[nodiscard]] const char *toString(ConfigErrc code) noexcept;
[[nodiscard]] const char *toString(StoreErrc code) noexcept;
[[nodiscard]] const char *toString(WireErrc code) noexcept;
[[nodiscard]] const char *toString(DocumentErrc code) noexcept;

}
