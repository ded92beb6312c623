#pragma once

#include "bergamotwick/time.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
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

/// What the store does wrong at the moment.
struct StoreFaults
{
    bool down_ = false; ///< answers 503 and does nothing
    milliseconds delay_{0}; ///< before each answer
    bool leasesPause_ = false; ///< leases keep what they have left
    double lost_ = 0; ///< share of writes that are done without an answer
    double late_ = 0; ///< share of writes that get no answer and are done a second later
};

/// The platform's key-value store over HTTP: transactions, leases, watches, and its faults.
///
/// Thread safety: all methods may be called from several threads at once.
class StoreStandIn
{
public:
    explicit StoreStandIn(std::uint64_t seed);
    ~StoreStandIn();

    [[nodiscard]] std::string address() const;

    /// Writes as the operator does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    void setFaults(const StoreFaults &faults);

    /// Forgets the history: watches are answered 410.
    void compact();

    /// Returns how many calls have come so far.
    [[nodiscard]] std::size_t calls() const noexcept
    {
        return calls_;
    }

private:
    using Json = nlohmann::json;

    struct Item
    {
        std::string value_; ///< base64 text
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
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
        std::chrono::steady_clock::time_point until_;
    };

    struct Server;

    struct Reply
    {
        int status_ = 200;
        Json body_;
        bool silent_ = false; ///< the connection ends without an answer
    };

    [[nodiscard]] Reply get(const std::string &key);
    [[nodiscard]] Reply range(const std::string &prefix, const std::string &after);
    [[nodiscard]] Reply watch(const std::string &prefix, std::int64_t after, milliseconds wait);
    [[nodiscard]] Reply transact(const Json &body);
    [[nodiscard]] Reply transactWithFaults(const Json &body);
    [[nodiscard]] Reply grant(const Json &body);
    [[nodiscard]] Reply keep(std::int64_t lease);
    [[nodiscard]] Reply endLease(std::int64_t lease);
    [[nodiscard]] Json jsonOf(const std::string &key, const Item &item) const;
    void setLocked(const std::string &key, const std::string &value, std::int64_t lease);
    void removeLocked(const std::string &key);
    void endLocked(std::int64_t lease);
    void sweepLeases();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::int64_t oldest_ = 0; ///< events up to this revision are forgotten
    std::int64_t revision_ = 1;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t lastLease_ = 0;
    StoreFaults faults_;
    std::mt19937_64 random_;
    std::atomic<std::size_t> calls_{0};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<Server> server_;
};

}
