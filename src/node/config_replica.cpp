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

/// A watch that begins while the store is losing its history may hear nothing for a second; one that waits longer than that and hears
/// nothing has seen all changes up to its beginning.
constexpr milliseconds watchWait{1'500};
constexpr milliseconds readTimeout{700};
constexpr milliseconds retryPause{150};

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
            std::this_thread::sleep_for(retryPause);
            continue;
        }
        while (!stopping_ && follow()) { }
    }
}

void ConfigReplica::stop() noexcept
{
    stopping_ = true;
}

std::shared_ptr<const OperatorView> ConfigReplica::view() const
{
    const std::lock_guard lock(mutex_);
    return view_;
}

Duration ConfigReplica::age() const
{
    const std::lock_guard lock(mutex_);
    return view_ ? bootNow() - fresh_ : Duration::max();
}

bool ConfigReplica::readAll()
{
    const Instant began = bootNow();
    return succeeds("operators-keys-unread", [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(range, store_.range(platform::operator_keys::prefix, readTimeout));
        OperatorView next;
        if (const auto now = view()) {
            next.config_ = now->config_;
        }
        apply(range.items_, next);
        revision_ = range.atRevision_;
        if (next.config_.version_ > 0) {
            publish(std::move(next), began);
        }
        return true;
    });
}

bool ConfigReplica::follow()
{
    const Instant began = bootNow();
    return succeeds("operators-watch-failed", [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(changes, store_.watch(platform::operator_keys::prefix, revision_, watchWait));
        if (changes.compacted_) {
            logEvent(LogLevel::Info, "operators-history-lost", {{"revision", revision_}});
            return false;
        }
        OperatorView next;
        if (const auto now = view()) {
            next = *now;
        }
        apply(changes.events_, next);
        revision_ = std::max(revision_, changes.atRevision_);
        if (next.config_.version_ > 0) {
            publish(std::move(next), began);
        }
        return true;
    });
}

void ConfigReplica::apply(const std::vector<platform::Item> &items, OperatorView &view)
{
    for (const platform::Item &item : items) {
        if (item.key_.starts_with(platform::operator_keys::evacuationPrefix)) {
            const DataCentreId dataCentre(item.key_.substr(platform::operator_keys::evacuationPrefix.size()));
            if (item.removed_) {
                view.evacuated_.erase(dataCentre);
            } else {
                view.evacuated_.insert(dataCentre);
            }
            continue;
        }
        if (item.key_ != platform::operator_keys::config || item.removed_) {
            continue;
        }
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(config, platform::decodeConfig(item.value_));
                if (config.version_ > view.config_.version_) {
                    view.config_ = std::move(config);
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

void ConfigReplica::publish(OperatorView view, Instant began)
{
    bool news = false;
    {
        const std::lock_guard lock(mutex_);
        news = !view_ || view_->config_.version_ != view.config_.version_ || view_->evacuated_ != view.evacuated_;
        if (news) {
            view_ = std::make_shared<const OperatorView>(std::move(view));
        }
        fresh_ = began;
    }
    if (news) {
        logEvent(LogLevel::Info, "config-read", {{"version", this->view()->config_.version_}, {"store_revision", revision_}});
        changed_();
    }
}

}
