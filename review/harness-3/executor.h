#pragma once

#include "link.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

/// An order for work that an executor has carried out.
struct Work
{
    std::string task_;
    int run_ = 0;
    std::int64_t beganMs_ = 0; ///< by the record's clock
    std::int64_t endedMs_ = -1; ///< -1 while it runs
    std::string how_; ///< "lost" if the executor crashed
};

/// A sound executor as in PROTOCOL.md, "Running tasks" and "Service discovery". The spec of a task is the milliseconds that it works, or "last" for one that
/// runs until it is stopped. Thread-safe.
class Executor
{
public:
    /// Its agent calls it at \p address, and gets its heartbeats at \p control.
    Executor(Record &record, std::string name, const std::string &ip, const std::string &address, std::string control, std::string zone);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /// All that runs is gone, and connections are refused until restart().
    void crash();

    /// The machine loses its power for good: all that runs is gone, and nothing is answered any more.
    void loseForGood();

    /// Starts again under another id, with nothing from before.
    void restart();

    /// Returns all that was carried out so far.
    [[nodiscard]] std::vector<Work> work();

    [[nodiscard]] bool isUp() const noexcept
    {
        return up_;
    }

    [[nodiscard]] const std::string &name() const noexcept
    {
        return name_;
    }

private:
    struct Run
    {
        int run_ = 0;
        std::string spec_;
        Clock::time_point beganAt_;
        std::optional<Clock::time_point> stopsAt_;
        std::size_t work_ = 0; ///< index in work_
    };

    struct End
    {
        std::int64_t number_ = 0;
        std::string task_;
        int run_ = 0;
        std::string how_;
    };

    void beginLife();
    void loseAll(const std::string &how);
    void start(const httplib::Request &request, httplib::Response &response);
    void stop(const httplib::Request &request, httplib::Response &response);
    void hold(const httplib::Request &request, httplib::Response &response);
    [[nodiscard]] bool isRefused(const httplib::Request &request, const Json &body, httplib::Response &response);
    void extendLease(const Json &body);
    void end(const std::string &task, const std::string &how);
    void advance();
    void beat();
    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] int percentOf(const Run &run) const;
    [[nodiscard]] Json lists();

    Record &record_;
    std::string name_;
    std::string address_;
    std::string control_;
    std::string zone_;
    httplib::Server http_;
    std::unique_ptr<Link> link_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int life_ = 0;
    std::string id_;
    std::int64_t born_ = 0;
    Clock::time_point bornAt_;
    std::int64_t highestFence_ = 0;
    std::int64_t deadlineMs_ = 0;
    std::int64_t lastEnd_ = 0;
    std::int64_t sequence_ = 0;
    std::map<std::string, Run> running_;
    std::map<std::string, int> over_; ///< the highest run of a task that was stopped or has ended here
    std::vector<End> ends_;
    std::vector<Work> work_;
    std::atomic<bool> up_{true};
    std::atomic<bool> stopping_{false};
    std::thread server_;
    std::thread clock_;
    std::thread heart_;
};

}
