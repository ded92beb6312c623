#pragma once

#include "record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

/// The platform's store as in PROTOCOL.md, "The platform's metadata store". It has one port for each machine, so that it can turn a machine away. Thread-safe.
class Store
{
public:
    explicit Store(Record &record);
    ~Store();

    /// Opens a port for one more machine and returns its number.
    std::size_t addPort(const std::string &ip);

    /// Returns "ip:port" of port \p number.
    [[nodiscard]] std::string address(std::size_t number) const;

    /// From now on each call at port \p number is answered 429 and does nothing; a watch that waits there is cut. 0 serves again.
    void turnAway(std::size_t number, bool away);

    /// Writes without a lease, as the operator.
    void put(const std::string &key, const std::string &value);

    /// Returns the value as it was written, or an empty string.
    [[nodiscard]] std::string value(const std::string &key);

    /// Returns how many watches of \p prefix have begun.
    [[nodiscard]] int watches(const std::string &prefix);

private:
    struct Item
    {
        std::string value_;
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
        std::int64_t lease_ = 0;
    };

    struct Lease
    {
        milliseconds ttl_{0};
        Clock::time_point until_;
    };

    struct Port
    {
        httplib::Server http_;
        std::string address_;
        std::thread thread_;
        std::atomic<bool> away_{false};
    };

    struct Answer
    {
        int status_ = 200;
        Json body_ = Json::object();
    };

    /// Counts a call against the rates of the platform, as in SYSTEM.md. Returns whether it is within them.
    [[nodiscard]] bool admit(bool isWrite, double price);
    void serve(Port &port);
    [[nodiscard]] Json toJson(const std::string &key, const Item &item) const;
    [[nodiscard]] Answer get(const std::string &key);
    [[nodiscard]] Answer range(const std::string &prefix, const std::string &after);
    [[nodiscard]] Answer watch(const Port &port, const std::string &prefix, std::int64_t after, milliseconds wait);
    [[nodiscard]] Answer transact(const Json &body);
    void set(const std::string &key, const std::string &value, std::int64_t lease);
    void remove(const std::string &key);
    void endLease(std::int64_t id);
    void expireLeases();

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<std::pair<std::int64_t, Json>> history_;
    std::map<std::int64_t, Lease> leases_;
    std::map<std::string, int> watches_;
    std::map<bool, std::pair<Clock::time_point, double>> spent_; ///< by whether they write: the present second and what it has seen
    std::int64_t revision_ = 100;
    std::int64_t lastLease_ = 0;
    std::vector<std::unique_ptr<Port>> ports_;
    std::atomic<bool> stopping_{false};
    std::thread expiry_;
};

}
