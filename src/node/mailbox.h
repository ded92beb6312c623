#pragma once

#include "bergamotwick/time.h"

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace bergamotwick::node {

/// Unbounded queue that passes values between threads.
///
/// Thread safety: all methods may be called from several threads at once.
template<class Value>
class Mailbox
{
public:
    void put(Value value)
    {
        {
            const std::lock_guard lock(mutex_);
            values_.push_back(std::move(value));
        }
        available_.notify_one();
    }

    /// Waits up to \p wait for values and returns all of them; empty after a timeout or close(). Several threads may
    /// consume values this way.
    [[nodiscard]] std::vector<Value> takeAll(Duration wait)
    {
        std::unique_lock lock(mutex_);
        available_.wait_for(lock, wait, [this] { return !values_.empty() || closed_; });
        return std::exchange(values_, {});
    }

    /// Waits for a value and returns the oldest one. Several threads may consume values this way.
    [[nodiscard]] Value takeOne()
    {
        std::unique_lock lock(mutex_);
        available_.wait(lock, [this] { return !values_.empty(); });
        Value value = std::move(values_.front());
        values_.erase(values_.begin());
        return value;
    }

    /// Makes all waiting and later calls of takeAll() return at once.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        available_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable available_;
    std::vector<Value> values_;
    bool closed_ = false;
};

}
