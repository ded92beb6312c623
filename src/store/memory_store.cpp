#include "store/memory_store.h"

namespace bergamotwick {

StoreReply MemoryStore::call(const StoreCall &call, std::chrono::steady_clock::time_point now)
{
    const std::lock_guard lock(mutex_);
    now_ = now;
    dropOverdue();
    return std::visit([this](const auto &any) { return run(any); }, call);
}

StoreReply MemoryStore::run(const ReadKey &read)
{
    const auto found = items_.find(read.key_);
    if (found == items_.end()) {
        return KeyRead{read.call_, std::nullopt};
    }
    return KeyRead{read.call_, KeyValue{read.key_, found->second.value_, found->second.modRevision_}};
}

StoreReply MemoryStore::run(const CompareAndSwap &swap)
{
    const auto found = items_.find(swap.key_);
    const std::int64_t current = found == items_.end() ? 0 : found->second.modRevision_;
    const bool leased = swap.lease_ == 0 || leases_.contains(swap.lease_);
    if (current != swap.expected_ || !leased) {
        return SwapCompleted{swap.call_, false, current};
    }
    items_[swap.key_] = {swap.value_, ++revision_, swap.lease_};
    return SwapCompleted{swap.call_, true, revision_};
}

StoreReply MemoryStore::run(const GrantLease &grant)
{
    leases_[++lastLease_] = {grant.ttl_, now_ + grant.ttl_};
    return LeaseGranted{grant.call_, lastLease_};
}

StoreReply MemoryStore::run(const RenewLease &keep)
{
    const auto found = leases_.find(keep.lease_);
    if (found == leases_.end()) {
        return LeaseRenewed{keep.call_, false};
    }
    found->second.until_ = now_ + found->second.length_;
    return LeaseRenewed{keep.call_, true};
}

StoreReply MemoryStore::run(const RevokeLease &revoke)
{
    dropLease(revoke.lease_);
    return LeaseRevoked{revoke.call_};
}

StoreReply MemoryStore::run(const PollKeys &poll)
{
    KeysPolled polled{poll.call_, revision_, {}};
    for (const PollItem &item : poll.items_) {
        auto &found = polled.found_.emplace_back();
        for (auto at = items_.lower_bound(item.key_); at != items_.end(); ++at) {
            const bool matches = item.prefix_ ? at->first.starts_with(item.key_) : at->first == item.key_;
            if (!matches) {
                break;
            }
            if (at->second.modRevision_ >= item.minModRevision_) {
                found.push_back({at->first, at->second.value_, at->second.modRevision_});
            }
        }
    }
    return polled;
}

void MemoryStore::dropLease(std::int64_t lease)
{
    leases_.erase(lease);
    if (std::erase_if(items_, [lease](const auto &item) { return item.second.lease_ == lease; }) > 0) {
        ++revision_;
    }
}

void MemoryStore::dropOverdue()
{
    for (auto at = leases_.begin(); at != leases_.end();) {
        const auto lease = at++;
        if (lease->second.until_ <= now_) {
            dropLease(lease->first);
        }
    }
}

void MemoryStore::lapse(std::int64_t lease)
{
    const std::lock_guard lock(mutex_);
    dropLease(lease);
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
