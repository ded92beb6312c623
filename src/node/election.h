#pragma once

#include "core/batch/time.h"
#include "membership.h"
#include "store_client.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace bergamotwick::node {

/// Competes for the leader's key and keeps it alive.
///
/// Thread safety: stop() may be called from any thread; run() belongs to one.
class Election
{
public:
    struct Events
    {
        std::function<void(std::int64_t epoch, Instant since)> won_;
        std::function<void(Instant seen)> renewed_; ///< with the time at which the renewal was sent
        std::function<void(const char *reason)> lost_; ///< returns when nothing more is written under the key
    };

    /// \p address is what agents connect to. For \p standBack after the key has become free, entries that carry more may take it first.
    Election(
        platform::StoreClient &store, const Membership &membership, std::string address, batch::milliseconds ttl, batch::milliseconds standBack, Events events);

    /// Competes until stop(); gives the key up before it returns.
    void run();
    void stop();

    /// Tells that the membership has changed.
    void wake();

private:
    enum class Renewal : std::uint8_t {
        Kept,
        Ended, ///< the lease is over: somebody else may lead
        NoAnswer,
    };

    /// Removes the key that a former process on this host, or a former term of this one, has left under \p epoch.
    void endFormerTerm(std::int64_t epoch);
    void compete();
    [[nodiscard]] Renewal renew(std::int64_t lease);
    void lead(std::int64_t lease, std::int64_t epoch, Instant since);

    platform::StoreClient &store_;
    const Membership &membership_;
    std::string address_;
    batch::milliseconds ttl_;
    batch::milliseconds standBack_;
    Events events_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::condition_variable woken_;
};

}
