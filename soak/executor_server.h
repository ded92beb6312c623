#pragma once

#include "batch/executor_stand_in.h"
#include "batch/judge.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace bergamotwick::soak {

/// The judge of a run, shared by all executors.
struct SharedJudge
{
    std::mutex mutex_;
    test::Judge judge_;
};

/// An executor behind HTTP: answers orders of its agent, sends it heartbeats, and fails in its own ways.
///
/// Thread safety: all methods may be called from several threads at once.
class ExecutorServer
{
public:
    /// \p controlPort is where its agent takes heartbeats.
    ExecutorServer(int number, int controlPort, SharedJudge &judge);
    ~ExecutorServer();

    [[nodiscard]] std::string address() const;

    /// Ends it and begins a new life, under its old name or a new one.
    void restart(bool sameName);

    /// Fails all that it starts.
    void setFailing(bool failing) noexcept
    {
        failing_ = failing;
    }

    /// Leaves this share of orders unanswered and carries them out two seconds later.
    void setLateShare(double share) noexcept
    {
        lateShare_ = share;
    }

    /// Says whether orders may be held up on the way: what is begun then counts as an order that was carried out late.
    void setLinkDisturbed(bool disturbed) noexcept
    {
        linkDisturbed_ = disturbed;
    }

private:
    struct Server;

    void comeUp(bool sameName);
    void serve();
    void serveOrders();
    void serveHolds();
    void beat();
    [[nodiscard]] bool isLate();

    int number_;
    int controlPort_;
    SharedJudge &judge_;
    std::unique_ptr<Server> server_;
    std::mutex mutex_;
    std::unique_ptr<test::ExecutorStandIn> executor_;
    int names_ = 0;
    std::int64_t lastBorn_ = 0;
    std::int64_t beats_ = 0;
    bool lateOrder_ = false;
    std::atomic<bool> failing_{false};
    std::atomic<bool> linkDisturbed_{false};
    std::atomic<double> lateShare_{0};
    std::atomic<unsigned> rolls_{0};
    std::atomic<bool> stopping_{false};
};

/// Returns the time that judge and executors share. Thread-safe.
[[nodiscard]] Instant soakNow();

}
