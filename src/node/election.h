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

/// Campaigns for the leader key in the store and renews its lease while this entry leads.
///
/// Thread safety: stop() may be called from any thread; run() belongs to one.
class Election
{
public:
    struct Callbacks
    {
        std::function<void(std::int64_t epoch, Instant since)> won_; ///< \p since is the time at which the lease was requested
        std::function<void(Instant sentAt)> renewed_; ///< with the time at which the renewal was sent
        std::function<void(const char *reason)> lost_; ///< returns after the last write under this epoch
    };

    /// \p address is the address that agents connect to. This entry doesn't campaign until the key has been free for \p candidacyDelay, which
    /// gives precedence to entries on larger hosts.
    Election(platform::StoreClient &store,
             Membership &membership,
             std::string address,
             batch::milliseconds ttl,
             batch::milliseconds candidacyDelay,
             Callbacks callbacks);

    /// Campaigns and leads until stop(). Releases the key before it returns.
    void run();
    void stop();

    /// Replaces the time for which the key has to be free. Thread-safe.
    void setCandidacyDelay(batch::milliseconds candidacyDelay) noexcept
    {
        candidacyDelay_ = candidacyDelay;
    }

    /// Makes run() check the membership, which has changed.
    void wake();

private:
    enum class Renewal : std::uint8_t {
        Renewed,
        Expired, ///< another entry may lead
        NoReply,
    };

    /// Removes the key with \p epoch that a former process on this host or a former term of this process has left. Tells the membership if it is gone.
    void endFormerTerm(std::int64_t epoch);
    void campaign();
    [[nodiscard]] Renewal renew(std::int64_t lease);
    void lead(std::int64_t lease, std::int64_t epoch, Instant since);

    platform::StoreClient &store_;
    Membership &membership_;
    std::string address_;
    batch::milliseconds ttl_;
    std::atomic<batch::milliseconds> candidacyDelay_;
    Callbacks callbacks_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::condition_variable wakeCondition_;
};

}
