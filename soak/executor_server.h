#pragma once

#include "batch/executor_stand_in.h"
#include "batch/judge.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace bergamotwick::soak {

/// The invariant checker of one soak run, shared by executors and callers.
///
/// Hold \p mutex_ while \p judge_ is in use.
struct SharedJudge
{
    std::mutex mutex_;
    test::Judge judge_;
};

/// A simulated executor with an HTTP interface: executes orders from its agent, sends heartbeats to it, and injects faults.
///
/// Thread safety: all methods may be called from several threads at once.
class ExecutorServer
{
public:
    /// \p controlPort is the port on which its agent accepts heartbeats.
    ExecutorServer(int number, int controlPort, SharedJudge &judge);
    ~ExecutorServer();

    [[nodiscard]] std::string address() const;

    /// Ends the current incarnation, as a crash with all that runs on it, and starts another one, under the same or a new name.
    void restart(bool sameName);

    /// If \p failing is true, every run that starts from now on fails.
    void setFailing(bool failing) noexcept
    {
        failing_ = failing;
    }

    /// Leaves this share of orders unanswered and executes them two seconds later.
    void setDelayedOrderRate(double rate) noexcept
    {
        delayedOrderRate_ = rate;
    }

    /// Sets whether the link may delay orders: runs that start meanwhile count as started by a delayed order.
    void setLinkFaulty(bool faulty) noexcept
    {
        linkFaulty_ = faulty;
    }

private:
    struct Server;

    void startIncarnation(bool sameName);
    void crashSoon();
    void serve();
    void serveOrders();
    void servePolls();
    void sendHeartbeats();
    [[nodiscard]] bool shouldDelayOrder();

    int number_;
    int controlPort_;
    SharedJudge &judge_;
    std::unique_ptr<Server> server_;
    std::mutex mutex_;
    std::unique_ptr<test::ExecutorStandIn> executor_;
    int nameCount_ = 0;
    std::int64_t lastStartTimeMs_ = 0;
    std::int64_t heartbeatSequence_ = 0;
    bool executingDelayedOrder_ = false;
    std::atomic<bool> failing_{false};
    std::atomic<bool> linkFaulty_{false};
    std::atomic<double> delayedOrderRate_{0};
    std::atomic<unsigned> orderCount_{0};
    std::atomic<bool> crashing_{false};
    std::atomic<bool> stopping_{false};
};

/// Suffix of the spec of a job whose first task crashes each executor on which it starts.
constexpr const char *crashingSpec = "crash";

/// Returns the current time of the clock that judge and executors share. Thread-safe.
[[nodiscard]] Instant soakNow();

}
