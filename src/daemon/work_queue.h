#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bergamotwick {

/// A fixed number of threads that process jobs in first-in, first-out order.
///
/// Thread safety: push() may be called from several threads; construction, stop() and destruction from one.
template<class Job>
class WorkQueue
{
public:
    /// Creates the handler of one thread. Each thread has its own, so that a handler can own a connection.
    using HandlerFactory = std::function<std::function<void(Job &)>()>;

    WorkQueue(std::size_t threads, const HandlerFactory &makeHandler)
    {
        for (std::size_t i = 0; i < threads; ++i) {
            threads_.emplace_back([this, handler = makeHandler()] { run(handler); });
        }
    }

    ~WorkQueue()
    {
        stop();
    }

    WorkQueue(const WorkQueue &) = delete;
    WorkQueue &operator=(const WorkQueue &) = delete;

    void push(Job job)
    {
        {
            const std::lock_guard lock(mutex_);
            jobs_.push_back(std::move(job));
        }
        stateChanged_.notify_one();
    }

    /// Waits for the jobs in progress and discards the queued ones.
    void stop()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        stateChanged_.notify_all();
        for (std::thread &thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

private:
    void run(const std::function<void(Job &)> &handler)
    {
        while (true) {
            std::unique_lock lock(mutex_);
            stateChanged_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
            if (stopping_) {
                return;
            }
            Job job = std::move(jobs_.front());
            jobs_.pop_front();
            lock.unlock();
            handler(job);
        }
    }

    std::mutex mutex_;
    std::condition_variable stateChanged_;
    std::deque<Job> jobs_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

}
