#pragma once

#include "bergamotwick/time.h"
#include "store/memory_store.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Server;
}

namespace bergamotwick::test {

/// HTTP server on a free loopback port; base class of the stand-ins.
class LoopbackServer
{
public:
    LoopbackServer();
    virtual ~LoopbackServer();
    LoopbackServer(const LoopbackServer &) = delete;
    LoopbackServer &operator=(const LoopbackServer &) = delete;

    [[nodiscard]] std::string url() const;
    [[nodiscard]] int port() const noexcept
    {
        return port_;
    }

protected:
    void serve();
    void stop();

    std::unique_ptr<httplib::Server> server_;
    int port_ = 0;

private:
    std::thread thread_;
};

/// Stand-in for the platform's key-value store and its JSON gateway, with injectable faults.
class StandInStore : public LoopbackServer
{
public:
    enum class Mode { Up, Down, Slow, LosesReplies, RateLimited, MalformedReplies };

    StandInStore();
    ~StandInStore() override;

    void setMode(Mode mode)
    {
        mode_ = mode;
    }

    [[nodiscard]] int calls() const noexcept
    {
        return calls_;
    }

    [[nodiscard]] MemoryStore &memory() noexcept
    {
        return memory_;
    }

private:
    MemoryStore memory_;
    std::atomic<Mode> mode_{Mode::Up};
    std::atomic<int> calls_{0};
};

/// Stand-in for an executor. Counts the requests by their body.
class StandInExecutor : public LoopbackServer
{
public:
    StandInExecutor();
    ~StandInExecutor() override;

    void setServiceTime(Duration length)
    {
        serviceTime_ = length.count();
    }

    /// If \p drops, closes the connection after each run without a complete response.
    void setDropsReplies(bool drops)
    {
        dropsReplies_ = drops;
    }

    [[nodiscard]] int runsOf(const std::string &body) const;
    [[nodiscard]] int totalRuns() const;
    [[nodiscard]] int maxConcurrentRuns() const noexcept
    {
        return maxConcurrentRuns_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::atomic<std::int64_t> serviceTime_{0};
    std::atomic<bool> dropsReplies_{false};
    std::atomic<int> activeRuns_{0};
    std::atomic<int> maxConcurrentRuns_{0};
};

/// Stand-in for a worker that runs tasks under leases. Tasks with the payload "fail" fail; a number in the payload is the run time in seconds.
class StandInWorker : public LoopbackServer
{
public:
    StandInWorker();
    ~StandInWorker() override;

    /// Returns how often tasks of \p job have been started on this worker.
    [[nodiscard]] int startsOf(const std::string &job) const;

    [[nodiscard]] bool isRunning(const std::string &job) const;

private:
    struct Task
    {
        std::uint32_t generation_ = 0;
        int tasks_ = 0;
        int cores_ = 0;
        int memoryMb_ = 0;
        int accelerators_ = 0;
        std::string state_;
        std::chrono::steady_clock::time_point endsAt_;
        std::chrono::steady_clock::time_point leaseExpiresAt_;
        bool fails_ = false;
    };

    void updateStates();

    mutable std::mutex mutex_;
    std::map<std::string, Task> tasks_;
    std::map<std::string, int> starts_;
};

}
