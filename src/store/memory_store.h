#pragma once

#include "core/commit/store_call.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bergamotwick {

/// A key-value service in memory with the semantics that the system needs: compare-and-swap, leases and revisions.
///
/// For a laptop and for stand-ins; nothing of it outlives the process.
///
/// Thread safety: all methods may be called from several threads at once.
class MemoryStore
{
public:
    /// Carries out \p call as of \p now, after lapsing the leases that are over.
    [[nodiscard]] StoreReply call(const StoreCall &call, std::chrono::steady_clock::time_point now);

    /// Ends \p lease as if its holder had been silent.
    void lapse(std::int64_t lease);

    /// Returns the value of \p key, or an empty text.
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
        std::chrono::steady_clock::time_point until_{};
    };

    StoreReply run(const ReadKey &read);
    StoreReply run(const CompareAndSwap &swap);
    StoreReply run(const GrantLease &grant);
    StoreReply run(const RenewLease &keep);
    StoreReply run(const RevokeLease &revoke);
    StoreReply run(const PollKeys &poll);
    void dropLease(std::int64_t lease);
    void dropOverdue();

    mutable std::mutex mutex_;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 0;
    std::chrono::steady_clock::time_point now_{};
};

}
