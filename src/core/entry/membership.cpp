#include "core/entry/membership.h"

#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr std::chrono::seconds leaseTtl{6};
constexpr Duration leaseRenewalInterval = 2s;
constexpr const char *entriesPrefix = "entries/";

}

Membership::Membership(CallIdGenerator &ids, const EntryId &entry, const RegionId &region, std::string address)
    : ids_(ids)
    , entry_(entry)
    , region_(region)
    , address_(std::move(address))
{
}

std::string Membership::ownerKey() const
{
    return "owner/" + region_.str();
}

void Membership::requestLease(std::vector<StoreCall> &calls)
{
    leaseCall_ = ids_.next();
    calls.emplace_back(GrantLease{leaseCall_, leaseTtl});
}

void Membership::registerEntry(std::vector<StoreCall> &calls)
{
    registrationCall_ = ids_.next();
    calls.emplace_back(CompareAndSwap{registrationCall_, entriesPrefix + entry_.str(), 0, address_, lease_});
}

void Membership::campaign(std::vector<StoreCall> &calls)
{
    campaignCall_ = ids_.next();
    calls.emplace_back(CompareAndSwap{campaignCall_, ownerKey(), 0, entry_.str(), lease_});
}

void Membership::tick(Instant now, bool stopping, std::vector<StoreCall> &calls)
{
    if (now < nextRenewal_ || leaseReleased_) {
        return;
    }
    nextRenewal_ = now + leaseRenewalInterval;
    if (stopping) {
        leaving_ = true;
        isOwner_ = false;
        if (lease_ == 0) {
            leaseReleased_ = true;
            return;
        }
        leaseCall_ = ids_.next();
        calls.emplace_back(RevokeLease{leaseCall_, lease_});
        return;
    }
    if (lease_ == 0) {
        requestLease(calls);
        return;
    }
    leaseCall_ = ids_.next();
    calls.emplace_back(RenewLease{leaseCall_, lease_});
}

bool Membership::handleReply(const StoreReply &reply, Instant now, std::vector<StoreCall> &calls)
{
    const CallId call = callOf(reply);
    if (call == 0 || (call != leaseCall_ && call != registrationCall_ && call != campaignCall_)) {
        return false;
    }
    std::visit(Overloaded{
                   [&](const LeaseGranted &granted) {
                       lease_ = granted.lease_;
                       nextRenewal_ = now + leaseRenewalInterval;
                       registerEntry(calls);
                   },
                   [&](const LeaseRenewed &renewed) {
                       if (!renewed.alive_) {
                           lease_ = 0;
                           isOwner_ = false;
                           requestLease(calls);
                       }
                   },
                   [&](const LeaseRevoked &) { leaseReleased_ = true; },
                   [&](const SwapCompleted &swapped) { isOwner_ = call == campaignCall_ ? swapped.succeeded_ : isOwner_; },
                   [](const auto &) {},
               },
               reply);
    return true;
}

void Membership::observe(const std::vector<KeyValue> &owner, const std::vector<KeyValue> &entries, std::vector<StoreCall> &calls)
{
    ownerName_ = owner.empty() ? std::string() : owner.front().value_;
    isOwner_ = !leaving_ && ownerName_ == entry_.str();
    entries_.clear();
    for (const KeyValue &entry : entries) {
        entries_[EntryId(entry.key_.substr(std::string(entriesPrefix).size()))] = entry.value_;
    }
    if (lease_ == 0 || leaving_) {
        return;
    }
    if (!entries_.contains(entry_)) {
        registerEntry(calls);
    }
    if (owner.empty()) {
        campaign(calls);
    }
}

}
