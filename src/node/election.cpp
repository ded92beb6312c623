#include "election.h"

#include "clock.h"
#include "core/batch/board.h"
#include "daemon/log.h"
#include "keys.h"
#include "store_calls.h"

#include <algorithm>
#include <optional>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds writeTimeout{900};
constexpr milliseconds retryDelay{150};

/// The lease is renewed this many times within its length.
constexpr int renewalsPerLease = 3;

/// A leader without a connection to the store gives no orders, but keeps its agents and its state for this long. Leases in the store may be
/// paused during the outage, and then the leader continues its term. The limit is the longest time for which agents may go on extending
/// the leases of their executors with this leader's permission.
constexpr milliseconds storeOutageLimit = batch::maxRenewalAgeForPermits + batch::permitDuration;

}

Election::Election(
    platform::StoreClient &store, Membership &membership, std::string address, milliseconds ttl, milliseconds candidacyDelay, Callbacks callbacks)
    : store_(store)
    , membership_(membership)
    , address_(std::move(address))
    , ttl_(ttl)
    , candidacyDelay_(candidacyDelay)
    , callbacks_(std::move(callbacks))
{
}

void Election::run()
{
    std::optional<Instant> keyFreeSince;
    while (!stopping_) {
        const Members members = membership_.members();
        const bool keyFree = membership_.connected() && !members.leader_;
        if (members.leader_ && members.leader_->str() == address_) {
            endFormerTerm(members.epoch_);
        }
        if (!keyFree) {
            keyFreeSince.reset();
        } else if (!keyFreeSince) {
            keyFreeSince = bootNow();
        }
        if (keyFreeSince && bootNow() - *keyFreeSince >= candidacyDelay_.load()) {
            campaign();
        }
        std::unique_lock lock(mutex_);
        wakeCondition_.wait_for(lock, retryDelay);
    }
}

void Election::stop()
{
    stopping_ = true;
    wake();
}

void Election::wake()
{
    {
        const std::lock_guard lock(mutex_);
    }
    wakeCondition_.notify_all();
}

void Election::endFormerTerm(std::int64_t epoch)
{
    const bool gone = tryStoreCalls("former-term-not-ended", [&]() -> Result<bool> {
        platform::Transaction transaction;
        transaction.expected_ = {{keys::leader, epoch}}; // the key is written once per term, so its revision is the epoch
        transaction.removals_ = {keys::leader};
        BOOST_LEAF_AUTO(result, store_.apply(transaction, writeTimeout));
        return result.applied_ || std::ranges::any_of(result.current_, [epoch](const platform::Item &item) { return item.revision_ != epoch; });
    });
    if (gone) {
        logEvent(LogLevel::Info, "former-term-ended", {{"epoch", epoch}});
        membership_.leaderEnded(epoch);
    }
}

void Election::campaign()
{
    if (stopping_) {
        return;
    }
    const Instant since = bootNow();
    (void)tryStoreCalls("election-failed", [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(lease, store_.grantLease(ttl_, writeTimeout));
        platform::Transaction transaction;
        transaction.expected_ = {{keys::leader, 0}};
        transaction.puts_ = {{keys::leader, address_, lease}};
        BOOST_LEAF_AUTO(result, store_.apply(transaction, writeTimeout));
        if (result.applied_) {
            lead(lease, result.revision_, since);
        } else {
            BOOST_LEAF_CHECK(store_.revokeLease(lease, writeTimeout));
        }
        return result.applied_;
    });
}

Election::Renewal Election::renew(std::int64_t lease)
{
    return leaf::try_handle_all(
        [&]() -> Result<Renewal> {
            BOOST_LEAF_AUTO(renewed, store_.renewLease(lease, ttl_ / renewalsPerLease));
            return renewed ? Renewal::Renewed : Renewal::Expired;
        },
        [](const StoreError &error) {
            logEvent(LogLevel::Warning, "leader-lease-not-renewed", {{"error", toString(error.code_)}});
            return Renewal::NoReply;
        },
        [] { return Renewal::NoReply; });
}

void Election::lead(std::int64_t lease, std::int64_t epoch, Instant since)
{
    logEvent(LogLevel::Info, "leader-won", {{"epoch", epoch}, {"lease", lease}});
    callbacks_.won_(epoch, since);
    Instant lastRenewal = since;
    bool replied = true;
    const char *reason = "stopping";
    while (!stopping_) {
        {
            std::unique_lock lock(mutex_);
            const milliseconds pause = replied ? ttl_ / renewalsPerLease : retryDelay;
            wakeCondition_.wait_for(lock, pause, [this] { return stopping_.load(); });
        }
        if (stopping_) {
            break;
        }
        const Instant sentAt = bootNow();
        const Renewal renewal = renew(lease);
        replied = renewal != Renewal::NoReply;
        if (renewal == Renewal::Expired) {
            reason = "lease-ended";
            membership_.leaderEnded(epoch);
            break;
        }
        if (renewal == Renewal::Renewed) {
            lastRenewal = sentAt;
            callbacks_.renewed_(sentAt);
        } else if (bootNow() - lastRenewal > storeOutageLimit) {
            reason = "store-unreachable";
            break;
        }
    }
    logEvent(LogLevel::Info, "leader-lost", {{"epoch", epoch}, {"reason", reason}, {"seen_ms", (bootNow() - lastRenewal).count() / 1000}});
    callbacks_.lost_(reason);
    leaf::try_handle_all([&]() -> Result<void> { return store_.revokeLease(lease, writeTimeout); }, [] {});
}

}
