#include "store/memory_store.h"

namespace bergamotwick {

StoreReply MemoryStore::call(const StoreCall &call, std::chrono::steady_clock::time_point now)
{
    const std::lock_guard lock(mutex_);
    now_ = now;
    removeExpiredLeases();
    return std::visit([this](const auto &alternative) { return execute(alternative); }, call);
}

StoreReply MemoryStore::execute(const ReadKey &read)
{
    const auto found = items_.find(read.key_);
    if (found == items_.end()) {
        return KeyRead{read.call_, std::nullopt};
    }
    return KeyRead{read.call_, KeyValue{read.key_, found->second.value_, found->second.modRevision_}};
}

StoreReply MemoryStore::execute(const CompareAndSwap &swap)
{
    const auto found = items_.find(swap.key_);
    const std::int64_t current = found == items_.end() ? 0 : found->second.modRevision_;
    const bool leaseValid = swap.lease_ == 0 || leases_.contains(swap.lease_);
    if (current != swap.expected_ || !leaseValid) {
        return SwapCompleted{swap.call_, false, current};
    }
    items_[swap.key_] = {swap.value_, ++revision_, swap.lease_};
    return SwapCompleted{swap.call_, true, revision_};
}

StoreReply MemoryStore::execute(const GrantLease &grant)
{
    leases_[++lastLease_] = {grant.ttl_, now_ + grant.ttl_};
    return LeaseGranted{grant.call_, lastLease_};
}

StoreReply MemoryStore::execute(const RenewLease &renew)
{
    const auto found = leases_.find(renew.lease_);
    if (found == leases_.end()) {
        return LeaseRenewed{renew.call_, false};
    }
    found->second.expiresAt_ = now_ + found->second.length_;
    return LeaseRenewed{renew.call_, true};
}

StoreReply MemoryStore::execute(const RevokeLease &revoke)
{
    removeLease(revoke.lease_);
    return LeaseRevoked{revoke.call_};
}

StoreReply MemoryStore::execute(const PollKeys &poll)
{
    KeysPolled polled{poll.call_, revision_, {}};
    for (const PollItem &item : poll.items_) {
        auto &found = polled.found_.emplace_back();
        for (auto position = items_.lower_bound(item.key_); position != items_.end(); ++position) {
            const bool matches = item.prefix_ ? position->first.starts_with(item.key_) : position->first == item.key_;
            if (!matches) {
                break;
            }
            if (position->second.modRevision_ >= item.minModRevision_) {
                found.push_back({position->first, position->second.value_, position->second.modRevision_});
            }
        }
    }
    return polled;
}

void MemoryStore::removeLease(std::int64_t lease)
{
    leases_.erase(lease);
    if (std::erase_if(items_, [lease](const auto &item) { return item.second.lease_ == lease; }) > 0) {
        ++revision_;
    }
}

void MemoryStore::removeExpiredLeases()
{
    for (auto next = leases_.begin(); next != leases_.end();) {
        const auto lease = next++;
        if (lease->second.expiresAt_ <= now_) {
            removeLease(lease->first);
        }
    }
}

void MemoryStore::expireLease(std::int64_t lease)
{
    const std::lock_guard lock(mutex_);
    removeLease(lease);
}

std::string MemoryStore::value(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value_;
}

std::int64_t MemoryStore::revision() const
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

}
