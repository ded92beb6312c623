#include "election.h"

#include "clock.h"
#include "daemon/log.h"
#include "keys.h"

#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr milliseconds readTimeout{700};
constexpr milliseconds writeTimeout{900};
constexpr milliseconds watchWait{10'000};
constexpr milliseconds retryPause{150};

/// The lease is renewed this many times within its length.
constexpr int renewalsPerLease = 3;

}

Election::Election(platform::StoreClient &store, std::string address, milliseconds ttl, Events events)
    : store_(store)
    , address_(std::move(address))
    , ttl_(ttl)
    , events_(std::move(events))
{
}

void Election::run()
{
    while (!stopping_) {
        if (waitForVacancy()) {
            compete();
        } else {
            std::this_thread::sleep_for(retryPause);
        }
    }
}

void Election::stop() noexcept
{
    stopping_ = true;
}

bool Election::waitForVacancy()
{
    return leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(range, store_.range(keys::leader, readTimeout));
            if (range.items_.empty()) {
                return true;
            }
            std::int64_t revision = range.atRevision_;
            while (!stopping_) {
                BOOST_LEAF_AUTO(changes, store_.watch(keys::leader, revision, watchWait));
                if (changes.historyLost_) {
                    return false;
                }
                if (!changes.events_.empty() && changes.events_.back().removed_) {
                    return true;
                }
                revision = std::max(revision, changes.atRevision_);
            }
            return false;
        },
        [](const StoreError &error) {
            logEvent(LogLevel::Warning, "leader-key-unread", {{"error", toString(error.code_)}});
            return false;
        },
        [] { return false; });
}

void Election::compete()
{
    if (stopping_) {
        return;
    }
    const Instant since = bootNow();
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(lease, store_.grantLease(ttl_, writeTimeout));
            platform::Transaction transaction;
            transaction.expected_ = {{keys::leader, 0}};
            transaction.puts_ = {{keys::leader, address_, lease}};
            BOOST_LEAF_AUTO(result, store_.apply(transaction, writeTimeout));
            if (result.applied_) {
                lead(lease, result.revision_, since);
            } else {
                BOOST_LEAF_CHECK(store_.endLease(lease, writeTimeout));
            }
            return {};
        },
        [](const StoreError &error) {
            logEvent(LogLevel::Warning, "election-failed", {{"error", toString(error.code_)}});
        },
        [] {});
}

void Election::lead(std::int64_t lease, std::int64_t epoch, Instant since)
{
    logEvent(LogLevel::Info, "leader-won", {{"epoch", epoch}, {"lease", lease}});
    events_.won_(epoch, since);
    Instant seen = since;
    const char *reason = "stopping";
    while (!stopping_) {
        std::this_thread::sleep_for(ttl_ / renewalsPerLease);
        const Instant sent = bootNow();
        const auto kept = leaf::try_handle_all(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(alive, store_.keepLease(lease, ttl_ / renewalsPerLease));
                return alive ? 1 : 0;
            },
            [](const StoreError &error) {
                logEvent(LogLevel::Warning, "leader-lease-not-renewed", {{"error", toString(error.code_)}});
                return -1;
            },
            [] { return -1; });
        if (kept == 0) {
            reason = "lease-ended";
            break;
        }
        if (kept == 1) {
            seen = sent;
            events_.renewed_(sent);
        }
    }
    logEvent(LogLevel::Info, "leader-lost", {{"epoch", epoch}, {"reason", reason}, {"seen_ms", (bootNow() - seen).count() / 1000}});
    events_.lost_(reason);
    leaf::try_handle_all([&]() -> Result<void> { return store_.endLease(lease, writeTimeout); }, [] {});
}

}
