#pragma once

#include "bergamotwick/ids.h"
#include "bergamotwick/time.h"
#include "core/commit/store_call.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotwick {

/// Maintains this entry's lease and membership key in the store, and campaigns for ownership of its region.
///
/// Ownership only avoids duplicate work. The epoch in the job documents fences off former owners.
///
/// Thread safety: none; the caller serialises all calls.
class Membership
{
public:
    Membership(CallIdGenerator &ids, const EntryId &entry, const RegionId &region, std::string address);

    /// Requests or renews the lease; revokes it if \p stopping.
    void tick(Instant now, bool stopping, std::vector<StoreCall> &calls);

    /// Processes a reply. Returns whether it belongs to one of this object's calls.
    bool handleReply(const StoreReply &reply, Instant now, std::vector<StoreCall> &calls);

    /// Updates the region's owner and the list of entries from a read of the store.
    void observe(const std::vector<KeyValue> &owner, const std::vector<KeyValue> &entries, std::vector<StoreCall> &calls);

    /// Returns whether this entry is the region's owner according to the store.
    [[nodiscard]] bool isOwner() const noexcept
    {
        return isOwner_;
    }

    /// Returns the owner's name as last read.
    [[nodiscard]] const std::string &ownerName() const noexcept
    {
        return ownerName_;
    }

    /// Returns the addresses of all entries as last read, by name.
    [[nodiscard]] const std::map<EntryId, std::string> &entries() const noexcept
    {
        return entries_;
    }

    [[nodiscard]] std::string ownerKey() const;

    /// Returns whether the lease was revoked, or none was held when the entry stopped.
    [[nodiscard]] bool leaseReleased() const noexcept
    {
        return leaseReleased_;
    }

private:
    void requestLease(std::vector<StoreCall> &calls);
    void registerEntry(std::vector<StoreCall> &calls);
    void campaign(std::vector<StoreCall> &calls);

    CallIdGenerator &ids_;
    EntryId entry_;
    RegionId region_;
    std::string address_;
    std::int64_t lease_ = 0;
    CallId leaseCall_ = 0;
    CallId registrationCall_ = 0;
    CallId campaignCall_ = 0;
    Instant nextRenewal_{};
    bool isOwner_ = false;
    bool leaseReleased_ = false;
    bool leaving_ = false;
    std::string ownerName_;
    std::map<EntryId, std::string> entries_;
};

}
