#pragma once

#include "common.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/// A link of one machine to the platform's store, which can hold up one call and lose its answer.
class HeldLink
{
public:
    /// Forwards connections to \p target, "127.0.0.1:port".
    explicit HeldLink(std::string target);
    ~HeldLink();
    HeldLink(const HeldLink &) = delete;
    HeldLink &operator=(const HeldLink &) = delete;

    [[nodiscard]] std::string address() const;

    /// The next call that writes and whose bytes hold \p text is passed on after \p delay only; its connection returns nothing further.
    void holdNext(const std::string &text, milliseconds delay);

    /// Returns whether a call has been held up.
    [[nodiscard]] bool hasHeld() const
    {
        return held_;
    }

private:
    void accept();
    void serve(int client);
    bool takeHold(const std::string &bytes);

    std::string target_;
    int listener_ = -1;
    std::mutex mutex_;
    std::string heldText_;
    milliseconds delay_{0};
    std::atomic<bool> held_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    std::thread thread_;
};

}
