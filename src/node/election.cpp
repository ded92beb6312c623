#include "election.h"

#include "clock.h"
#include "core/batch/board.h"
#include "daemon/log.h"
#include "keys.h"
#include "store_calls.h"

#include <optional>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds writeTimeout{900};
constexpr milliseconds retryPause{150};

/// The lease is renewed this many times within its length.
constexpr int renewalsPerLease = 3;

/// A leader that can't reach the store gives no orders, but keeps its agents and its view for this long: the store's leases may have paused
/// with it, and then it goes on where it was. As long as its permits and the leases that follow from them may last.
constexpr milliseconds dormantLimit = batch::permitFreshness + batch::permitLength;

}

Election::Election(platform::StoreClient &store, const Membership &membership, std::string address, milliseconds ttl, milliseconds standBack, Events events)
    : store_(store)
    , membership_(membership)
    , address_(std::move(address))
    , ttl_(ttl)
    , standBack_(standBack)
    , events_(std::move(events))
{
}

void Election::run()
{
    std::optional<Instant> vacantSince;
    while (!stopping_) {
        const Members members = membership_.members();
        const bool vacant = membership_.connected() && !members.leader_;
        if (members.leader_ && members.leader_->str() == address_) {
            endFormerTerm(members.epoch_);
        }
        if (!vacant) {
            vacantSince.reset();
        } else if (!vacantSince) {
            vacantSince = bootNow();
        }
        if (vacantSince && bootNow() - *vacantSince >= standBack_) {
            compete();
        }
        std::unique_lock lock(mutex_);
        woken_.wait_for(lock, retryPause);
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
    woken_.notify_all();
}

void Election::endFormerTerm(std::int64_t epoch)
{
    const bool ended = succeeds("former-term-not-ended", [&]() -> Result<bool> {
        platform::Transaction transaction;
        transaction.expected_ = {{keys::leader, epoch}}; // the key is written once in a term
        transaction.removals_ = {keys::leader};
        BOOST_LEAF_AUTO(result, store_.apply(transaction, writeTimeout));
        return result.applied_;
    });
    if (ended) {
        logEvent(LogLevel::Info, "former-term-ended", {{"epoch", epoch}});
    }
}

void Election::compete()
{
    if (stopping_) {
        return;
    }
    const Instant since = bootNow();
    (void)succeeds("election-failed", [&]() -> Result<bool> {
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
            BOOST_LEAF_AUTO(alive, store_.renewLease(lease, ttl_ / renewalsPerLease));
            return alive ? Renewal::Kept : Renewal::Ended;
        },
        [](const StoreError &error) {
            logEvent(LogLevel::Warning, "leader-lease-not-renewed", {{"error", toString(error.code_)}});
            return Renewal::NoAnswer;
        },
        [] { return Renewal::NoAnswer; });
}

void Election::lead(std::int64_t lease, std::int64_t epoch, Instant since)
{
    logEvent(LogLevel::Info, "leader-won", {{"epoch", epoch}, {"lease", lease}});
    events_.won_(epoch, since);
    Instant seen = since;
    bool answered = true;
    const char *reason = "stopping";
    while (!stopping_) {
        {
            std::unique_lock lock(mutex_);
            const milliseconds pause = answered ? ttl_ / renewalsPerLease : retryPause;
            woken_.wait_for(lock, pause, [this] { return stopping_.load(); });
        }
        if (stopping_) {
            break;
        }
        const Instant sent = bootNow();
        const Renewal renewal = renew(lease);
        answered = renewal != Renewal::NoAnswer;
        if (renewal == Renewal::Ended) {
            reason = "lease-ended";
            break;
        }
        if (renewal == Renewal::Kept) {
            seen = sent;
            events_.renewed_(sent);
        } else if (bootNow() - seen > dormantLimit) {
            reason = "store-unreachable";
            break;
        }
    }
    logEvent(LogLevel::Info, "leader-lost", {{"epoch", epoch}, {"reason", reason}, {"seen_ms", (bootNow() - seen).count() / 1000}});
    events_.lost_(reason);
    leaf::try_handle_all([&]() -> Result<void> { return store_.revokeLease(lease, writeTimeout); }, [] {});
}

}
