#pragma once

#include "core/batch/time.h"
#include "net/socket.h"
#include "store_client.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bergamotwick::node {

/// The leader and the entries, as last read from the store.
struct Members
{
    std::optional<Address> leader_; ///< nothing while there is no leader
    std::int64_t epoch_ = 0; ///< the leader's fencing token; 0 without a leader
    std::map<std::string, Address> entries_; ///< addresses by entry name
    std::int64_t revision_ = 0; ///< the store's revision at this read
};

/// Keeps a local copy of the membership keys in the store. The last copy is kept while the store can't be read.
///
/// Thread safety: members(), leaderEnded() and stop() may be called from any thread; run() belongs to one.
class Membership
{
public:
    /// \p changed is called from run()'s thread after each successful read or watch, and by leaderEnded().
    Membership(platform::StoreClient &store, std::function<void(const Members &)> changed);

    /// Reads and watches the keys until stop(). One watch waits for up to ten seconds.
    void run();
    void stop() noexcept;

    [[nodiscard]] Members members() const;

    /// Records that the leader's key of \p epoch is gone, as another call to the store has shown. Calls changed(), from this thread, if it was known.
    void leaderEnded(std::int64_t epoch);

    /// Returns how long ago the store's revision was first seen at \p revision or a later one; zero if it hasn't been.
    [[nodiscard]] Duration ageOf(std::int64_t revision) const;

    /// Returns whether the last read or watch succeeded.
    [[nodiscard]] bool connected() const noexcept
    {
        return connected_;
    }

private:
    /// A revision that the store had reached at a time.
    struct SeenRevision
    {
        std::int64_t revision_ = 0;
        Instant at_{};
    };

    [[nodiscard]] bool readAll();
    [[nodiscard]] bool watchOnce();

    /// Lets \p change modify the local copy, and announces it.
    void update(const std::function<void(Members &)> &change);

    platform::StoreClient &store_;
    std::function<void(const Members &)> changed_;
    mutable std::mutex mutex_;
    Members members_;
    std::deque<SeenRevision> seen_; ///< the latest ones, in order
    std::atomic<bool> connected_{false};
    std::atomic<bool> stopping_{false};
};

/// Registers this entry under its own key in the store, so that other processes find it, and renews the key's lease.
///
/// Thread safety: stop() may be called from any thread; run() belongs to one.
class Registration
{
public:
    Registration(platform::StoreClient &store, std::string name, std::string address);

    /// Keeps the entry registered until stop().
    void run();
    void stop() noexcept;

private:
    platform::StoreClient &store_;
    std::string name_;
    std::string address_;
    std::atomic<bool> stopping_{false};
};

}
