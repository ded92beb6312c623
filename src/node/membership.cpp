#include "membership.h"

#include "clock.h"
#include "daemon/log.h"
#include "keys.h"
#include "store_calls.h"

#include <algorithm>
#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds readTimeout{700};
constexpr milliseconds writeTimeout{900};
constexpr milliseconds watchWait{10'000};
constexpr milliseconds retryDelay{150};

/// An entry that has failed stays listed for this long. Until then, calls to its address fail.
constexpr milliseconds entryTtl{12'000};
constexpr milliseconds entryRenewal{4'000};

/// The membership changes rarely, so that these reach back for longer than a start may be late.
constexpr std::size_t maxSeenRevisions = 64;

void apply(const platform::Item &item, Members &members)
{
    if (item.key_ == keys::leader) {
        members.leader_ = item.removed_ ? std::nullopt : Address::parse(item.value_);
        members.epoch_ = item.removed_ ? 0 : item.createdRevision_;
        return;
    }
    if (!item.key_.starts_with(keys::entries)) {
        return;
    }
    const std::string name = item.key_.substr(keys::entries.size());
    const auto address = Address::parse(item.value_);
    if (item.removed_ || !address) {
        members.entries_.erase(name);
    } else {
        members.entries_[name] = *address;
    }
}

}

Membership::Membership(platform::StoreClient &store, std::function<void(const Members &)> changed)
    : store_(store)
    , changed_(std::move(changed))
{
}

void Membership::run()
{
    while (!stopping_) {
        connected_ = readAll();
        while (connected_ && !stopping_) {
            connected_ = watchOnce();
        }
        std::this_thread::sleep_for(retryDelay);
    }
}

void Membership::stop() noexcept
{
    stopping_ = true;
}

Members Membership::members() const
{
    const std::lock_guard lock(mutex_);
    return members_;
}

bool Membership::readAll()
{
    return tryStoreCalls("members-read-failed", [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(range, store_.range(keys::members, readTimeout));
        Members next;
        for (const platform::Item &item : range.items_) {
            apply(item, next);
        }
        next.revision_ = range.atRevision_;
        update([&next](Members &members) { members = std::move(next); });
        return true;
    });
}

bool Membership::watchOnce()
{
    return tryStoreCalls("members-watch-failed", [&]() -> Result<bool> {
        const std::int64_t revision = members().revision_;
        BOOST_LEAF_AUTO(changes, store_.watch(keys::members, revision, watchWait));
        if (changes.compacted_) {
            logEvent(LogLevel::Info, "members-history-lost", {{"revision", revision}});
            return false;
        }
        update([&changes](Members &members) {
            for (const platform::Item &item : changes.events_) {
                apply(item, members);
            }
            members.revision_ = std::max(members.revision_, changes.atRevision_);
        });
        return true;
    });
}

Duration Membership::ageOf(std::int64_t revision) const
{
    const std::lock_guard lock(mutex_);
    const auto seen = std::find_if(seen_.begin(), seen_.end(), [revision](const SeenRevision &each) { return each.revision_ >= revision; });
    return seen == seen_.end() ? Duration(0) : bootNow() - seen->at_;
}

void Membership::leaderEnded(std::int64_t epoch)
{
    if (members().epoch_ != epoch) {
        return;
    }
    update([epoch](Members &members) {
        if (members.epoch_ == epoch) {
            members.leader_.reset();
            members.epoch_ = 0;
        }
    });
}

void Membership::update(const std::function<void(Members &)> &change)
{
    Members next;
    {
        const std::lock_guard lock(mutex_);
        change(members_);
        next = members_;
        if (seen_.empty() || next.revision_ > seen_.back().revision_) {
            seen_.push_back({next.revision_, bootNow()});
        }
        if (seen_.size() > maxSeenRevisions) {
            seen_.pop_front();
        }
    }
    changed_(next);
}

Registration::Registration(platform::StoreClient &store, std::string name, std::string address)
    : store_(store)
    , name_(std::move(name))
    , address_(std::move(address))
{
}

void Registration::run()
{
    std::int64_t lease = 0;
    while (!stopping_) {
        const bool registered = tryStoreCalls("registration-failed", [&]() -> Result<bool> {
            if (lease != 0) {
                BOOST_LEAF_AUTO(renewed, store_.renewLease(lease, writeTimeout));
                lease = renewed ? lease : 0;
                return renewed;
            }
            BOOST_LEAF_AUTO(granted, store_.grantLease(entryTtl, writeTimeout));
            platform::Transaction transaction;
            transaction.puts_ = {{keys::entries + name_, address_, granted}};
            BOOST_LEAF_AUTO(result, store_.apply(transaction, writeTimeout));
            lease = result.applied_ ? granted : 0;
            return result.applied_;
        });
        const Instant until = bootNow() + (registered ? entryRenewal : retryDelay * 4);
        while (!stopping_ && bootNow() < until) {
            std::this_thread::sleep_for(retryDelay);
        }
    }
    if (lease != 0) {
        leaf::try_handle_all([&]() -> Result<void> { return store_.revokeLease(lease, writeTimeout); },
                             [] { logEvent(LogLevel::Info, "registration-lease-not-revoked", {}); });
    }
}

void Registration::stop() noexcept
{
    stopping_ = true;
}

}
