#pragma once

#include "core/commit/store_call.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bergamotwick {

/// An in-memory key-value store with compare-and-swap, leases and revisions.
///
/// Used for local development and tests. The data is lost when the process ends.
///
/// Thread safety: all methods may be called from several threads at once.
class MemoryStore
{
public:
    /// Removes the leases that have expired by \p now, then executes \p call.
    [[nodiscard]] StoreReply call(const StoreCall &call, std::chrono::steady_clock::time_point now);

    /// Expires \p lease, as if its holder had not renewed it in time.
    void expireLease(std::int64_t lease);

    /// Returns the value of \p key, or an empty string if the key is absent.
    [[nodiscard]] std::string value(const std::string &key) const;

    [[nodiscard]] std::int64_t revision() const;

private:
    struct Item
    {
        std::string value_;
        std::int64_t modRevision_ = 0;
        std::int64_t lease_ = 0;
    };

    struct Lease
    {
        std::chrono::seconds length_{};
        std::chrono::steady_clock::time_point expiresAt_{};
    };

    StoreReply execute(const ReadKey &read);
    StoreReply execute(const CompareAndSwap &swap);
    StoreReply execute(const GrantLease &grant);
    StoreReply execute(const RenewLease &renew);
    StoreReply execute(const RevokeLease &revoke);
    StoreReply execute(const PollKeys &poll);
    void removeLease(std::int64_t lease);
    void removeExpiredLeases();

    mutable std::mutex mutex_;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 0;
    std::chrono::steady_clock::time_point now_{};
};

}
