#pragma once

#include "core/batch/time.h"
#include "net/socket.h"
#include "store_client.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bergamotwick::node {

/// Who leads and which entries there are, as the store last said.
struct Members
{
    std::optional<Address> leader_; ///< nothing while nobody leads
    std::int64_t epoch_ = 0; ///< of the leader
    std::map<std::string, Address> entries_; ///< by name
    std::int64_t revision_ = 0; ///< of the store, at this view
};

/// Follows the members' keys of the store. What was known last is kept while the store can't be read.
///
/// Thread safety: members() and stop() may be called from any thread; run() belongs to one.
class Membership
{
public:
    /// \p changed is called from run()'s thread after each change.
    Membership(platform::StoreClient &store, std::function<void(const Members &)> changed);

    /// Follows until stop(). Each pass waits for up to ten seconds.
    void run();
    void stop() noexcept;

    [[nodiscard]] Members members() const;

    /// Returns whether the last read succeeded.
    [[nodiscard]] bool connected() const noexcept
    {
        return connected_;
    }

private:
    [[nodiscard]] bool readAll();
    [[nodiscard]] bool follow();
    void publish(const Members &next);

    platform::StoreClient &store_;
    std::function<void(const Members &)> changed_;
    mutable std::mutex mutex_;
    Members members_;
    std::atomic<bool> connected_{false};
    std::atomic<bool> stopping_{false};
};

/// Keeps this entry's own key alive, so that others find it.
///
/// Thread safety: stop() may be called from any thread; run() belongs to one.
class Registration
{
public:
    Registration(platform::StoreClient &store, std::string name, std::string address);

    /// Registers until stop().
    void run();
    void stop() noexcept;

private:
    platform::StoreClient &store_;
    std::string name_;
    std::string address_;
    std::atomic<bool> stopping_{false};
};

}
