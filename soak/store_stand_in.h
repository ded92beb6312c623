#pragma once

#include "bergamotwick/time.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bergamotwick::soak {

using std::chrono::milliseconds;

/// Largest value that the store takes.
constexpr std::size_t maxValueBytes = 1'048'576;

/// The faults that the store injects.
struct StoreFaults
{
    bool down_ = false; ///< every request is answered with status 503 and not processed
    milliseconds delay_{0}; ///< before each request is processed
    bool leaseExpiryPaused_ = false; ///< the remaining time of leases stays constant
    double lostReplyRate_ = 0; ///< share of writes that are applied without an answer
    double delayedWriteRate_ = 0; ///< share of writes that get no answer and are applied a second later
    double unreadableReplyRate_ = 0; ///< share of writes that are applied and answered with a body that isn't JSON
};

/// A stand-in for the platform's key-value store over HTTP: transactions, leases, watches and injected faults.
///
/// Thread safety: all methods may be called from several threads at once.
class StoreStandIn
{
public:
    explicit StoreStandIn(std::uint64_t seed);
    ~StoreStandIn();

    [[nodiscard]] std::string address() const;

    /// Writes a key without a lease, as an operator does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Ends all leases, which removes their keys.
    void endLeases();

    /// Returns the values of all keys that begin with \p prefix, whatever faults are injected.
    [[nodiscard]] std::vector<std::string> values(const std::string &prefix) const;

    /// Calls \p observer with the value of each write below \p prefix from now on, in their order and one at a time. It mustn't call the store.
    void observeWrites(const std::string &prefix, std::function<void(const std::string &value)> observer);

    /// Waits up to \p timeout for a change below \p prefix and returns whether there was one.
    [[nodiscard]] bool waitForChange(const std::string &prefix, milliseconds timeout);

    void setFaults(const StoreFaults &faults);

    /// Discards the event history: watches from earlier revisions are answered with status 410.
    void compact();

    /// Returns the number of requests received so far.
    [[nodiscard]] std::size_t requestCount() const noexcept
    {
        return requestCount_;
    }

private:
    using Json = nlohmann::json;

    struct Item
    {
        std::string value_; ///< encoded as base64
        std::int64_t revision_ = 0;
        std::int64_t createdRevision_ = 0;
        std::int64_t lease_ = 0;
    };

    struct Event
    {
        std::string key_;
        std::int64_t revision_ = 0;
        Json json_;
    };

    struct Lease
    {
        milliseconds ttl_{0};
        std::chrono::steady_clock::time_point expiresAt_; ///< on the clock of leases
    };

    struct Server;

    struct Reply
    {
        int status_ = 200;
        Json body_;
        bool dropConnection_ = false; ///< the connection is closed without a complete answer
        bool unreadable_ = false; ///< the body isn't JSON
    };

    [[nodiscard]] Reply get(const std::string &key);
    [[nodiscard]] Reply range(const std::string &prefix, const std::string &after);
    [[nodiscard]] Reply watch(const std::string &prefix, std::int64_t after, milliseconds wait);
    [[nodiscard]] Reply transact(const Json &body);
    [[nodiscard]] Reply transactWithFaults(const Json &body);
    [[nodiscard]] Reply grantLease(const Json &body);
    [[nodiscard]] Reply renewLease(std::int64_t lease);
    [[nodiscard]] Reply endLease(std::int64_t lease);
    [[nodiscard]] Json toJson(const std::string &key, const Item &item) const;
    void setLocked(const std::string &key, const std::string &value, std::int64_t lease);
    void removeLocked(const std::string &key);
    void endLeaseLocked(std::int64_t lease);
    void expireLeases();

    /// Returns the time on the clock of leases, which stands still while their expiry is paused. Precondition: mutex_ is locked.
    [[nodiscard]] std::chrono::steady_clock::time_point leaseNowLocked() const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::string observedPrefix_;
    std::function<void(const std::string &)> writeObserver_;
    std::int64_t compactedRevision_ = 0; ///< events up to this revision were discarded
    std::int64_t revision_ = 1;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t lastLease_ = 0;
    StoreFaults faults_;
    std::chrono::steady_clock::time_point pausedAt_; ///< when faults were set last
    std::chrono::steady_clock::duration pausedTime_{0}; ///< of all earlier pauses
    std::mt19937_64 random_;
    std::atomic<std::size_t> requestCount_{0};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<Server> server_;
};

}
