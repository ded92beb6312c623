#pragma once

#include "bergamotwick/error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotwick {

using CallId = std::uint64_t;

/// Generates call ids. One generator per process ensures that a late reply never matches another call.
class CallIdGenerator
{
public:
    [[nodiscard]] CallId next() noexcept
    {
        return ++last_;
    }

private:
    CallId last_ = 0;
};

/// A stored key and value with the revision of the last change.
struct KeyValue
{
    std::string key_;
    std::string value_;
    std::int64_t modRevision_ = 0;
};

// Calls

struct ReadKey
{
    CallId call_ = 0;
    std::string key_;
};

/// Writes the value if the key's modification revision equals expected_; 0 requires that the key does not exist.
struct CompareAndSwap
{
    CallId call_ = 0;
    std::string key_;
    std::int64_t expected_ = 0;
    std::string value_;
    std::int64_t lease_ = 0; ///< the key is deleted when this lease expires; 0 for a permanent key
};

struct GrantLease
{
    CallId call_ = 0;
    std::chrono::seconds ttl_{};
};

struct RenewLease
{
    CallId call_ = 0;
    std::int64_t lease_ = 0;
};

/// Revokes a lease and deletes the keys attached to it.
struct RevokeLease
{
    CallId call_ = 0;
    std::int64_t lease_ = 0;
};

/// One item of a poll: a single key, or all keys with that prefix.
struct PollItem
{
    std::string key_;
    bool prefix_ = false;
    std::int64_t minModRevision_ = 0; ///< skips values whose last change is older
};

/// Reads several keys at the same store revision in one call.
struct PollKeys
{
    CallId call_ = 0;
    std::vector<PollItem> items_;
};

using StoreCall = std::variant<ReadKey, CompareAndSwap, GrantLease, RenewLease, RevokeLease, PollKeys>;

// Replies

struct KeyRead
{
    CallId call_ = 0;
    std::optional<KeyValue> found_;
};

struct SwapCompleted
{
    CallId call_ = 0;
    bool succeeded_ = false;
    std::int64_t modRevision_ = 0;
};

struct CallFailed
{
    CallId call_ = 0;
    StoreErrc code_ = StoreErrc::Unavailable;
};

struct LeaseGranted
{
    CallId call_ = 0;
    std::int64_t lease_ = 0;
};

struct LeaseRenewed
{
    CallId call_ = 0;
    bool alive_ = false;
};

struct LeaseRevoked
{
    CallId call_ = 0;
};

struct KeysPolled
{
    CallId call_ = 0;
    std::int64_t storeRevision_ = 0; ///< of the whole store; a reply with a lower revision than an earlier one is outdated
    std::vector<std::vector<KeyValue>> found_; ///< one list per item
};

using StoreReply = std::variant<KeyRead, SwapCompleted, LeaseGranted, LeaseRenewed, LeaseRevoked, KeysPolled, CallFailed>;

/// Returns the call that \p reply answers. Thread-safe.
[[nodiscard]] inline CallId callOf(const StoreReply &reply)
{
    return std::visit([](const auto &any) { return any.call_; }, reply);
}

}
