#include "config_replica.h"

#include "clock.h"
#include "config_codec.h"
#include "daemon/log.h"
#include "operator_keys.h"
#include "store_calls.h"

#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

/// A watch that starts while the store compacts its history may receive no events for a second. A watch that waits longer without an event
/// has received all changes made before its start.
constexpr milliseconds watchWait{1'500};
constexpr milliseconds readTimeout{700};
constexpr milliseconds retryDelay{150};

}

ConfigReplica::ConfigReplica(platform::StoreClient &store, std::function<void()> changed)
    : store_(store)
    , changed_(std::move(changed))
{
}

void ConfigReplica::run()
{
    while (!stopping_) {
        if (!readAll()) {
            std::this_thread::sleep_for(retryDelay);
            continue;
        }
        while (!stopping_ && watchOnce()) { }
    }
}

void ConfigReplica::stop() noexcept
{
    stopping_ = true;
}

std::shared_ptr<const OperatorSnapshot> ConfigReplica::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return snapshot_;
}

Duration ConfigReplica::age() const
{
    const std::lock_guard lock(mutex_);
    return snapshot_ ? bootNow() - upToDateAt_ : Duration::max();
}

bool ConfigReplica::readAll()
{
    const Instant startedAt = bootNow();
    return tryStoreCalls("operator-keys-read-failed", [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(range, store_.range(platform::operator_keys::prefix, readTimeout));
        OperatorSnapshot next;
        if (const auto current = snapshot()) {
            next.config_ = current->config_;
        }
        apply(range.items_, next);
        revision_ = range.atRevision_;
        if (next.config_.version_ > 0) {
            publish(std::move(next), startedAt);
        }
        return true;
    });
}

bool ConfigReplica::watchOnce()
{
    const Instant startedAt = bootNow();
    return tryStoreCalls("operator-keys-watch-failed", [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(changes, store_.watch(platform::operator_keys::prefix, revision_, watchWait));
        if (changes.compacted_) {
            logEvent(LogLevel::Info, "operator-keys-history-lost", {{"revision", revision_}});
            return false;
        }
        OperatorSnapshot next;
        if (const auto current = snapshot()) {
            next = *current;
        }
        apply(changes.events_, next);
        revision_ = std::max(revision_, changes.atRevision_);
        if (next.config_.version_ > 0) {
            publish(std::move(next), startedAt);
        }
        return true;
    });
}

void ConfigReplica::apply(const std::vector<platform::Item> &items, OperatorSnapshot &snapshot)
{
    for (const platform::Item &item : items) {
        if (item.key_.starts_with(platform::operator_keys::evacuationPrefix)) {
            const DataCentreId dataCentre(item.key_.substr(platform::operator_keys::evacuationPrefix.size()));
            if (item.removed_) {
                snapshot.evacuated_.erase(dataCentre);
            } else {
                snapshot.evacuated_.insert(dataCentre);
            }
            continue;
        }
        if (item.key_ != platform::operator_keys::config || item.removed_) {
            continue;
        }
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(config, platform::decodeConfig(item.value_));
                if (config.version_ > snapshot.config_.version_) {
                    snapshot.config_ = std::move(config);
                }
                return {};
            },
            [&](const DocumentError &error) {
                logEvent(LogLevel::Error, "config-unreadable", {{"field", error.field_}});
            },
            [] {
                logEvent(LogLevel::Error, "config-unreadable", {{"field", "unknown"}});
            });
    }
}

void ConfigReplica::publish(OperatorSnapshot snapshot, Instant startedAt)
{
    bool isNew = false;
    {
        const std::lock_guard lock(mutex_);
        isNew = !snapshot_ || snapshot_->config_.version_ != snapshot.config_.version_ || snapshot_->evacuated_ != snapshot.evacuated_;
        if (isNew) {
            snapshot_ = std::make_shared<const OperatorSnapshot>(std::move(snapshot));
        }
        upToDateAt_ = startedAt;
    }
    if (isNew) {
        logEvent(LogLevel::Info, "config-read", {{"version", this->snapshot()->config_.version_}, {"store_revision", revision_}});
        changed_();
    }
}

}
