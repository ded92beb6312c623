#pragma once

#include "common.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A link of one machine to the platform's store or to its executor, which can hold up calls and lose their answers.
class HeldLink
{
public:
    /// Forwards connections to \p target, "HOST:PORT". Listens on \p address, or on a free port if it is empty.
    explicit HeldLink(std::string target, const std::string &address = {});
    ~HeldLink();
    HeldLink(const HeldLink &) = delete;
    HeldLink &operator=(const HeldLink &) = delete;

    [[nodiscard]] std::string address() const;

    /// The next whole call for which \p matches returns true is passed on only after \p delay, on a connection of its own; nobody gets its answer.
    void holdNext(std::function<bool(const std::string &request)> matches, milliseconds delay);

    /// Returns how many calls have been held up.
    [[nodiscard]] int held() const
    {
        return held_;
    }

private:
    void accept();
    void serve(int client);
    [[nodiscard]] int connectToTarget() const;
    bool takeHold(const std::string &request);
    void passOnLate(const std::string &request, milliseconds delay) const;

    struct Hold
    {
        std::function<bool(const std::string &)> matches_;
        milliseconds delay_{0};
    };

    std::string target_;
    int listener_ = -1;
    std::mutex mutex_;
    std::vector<Hold> holds_;
    std::atomic<int> held_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    std::thread thread_;
};

}
