#pragma once

#include "batch/executor_stand_in.h"
#include "batch/judge.h"
#include "delayed_tasks.h"
#include "proxy.h"
#include "run_lives.h"
#include "soak_clock.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include <nlohmann/json_fwd.hpp>

namespace httplib {
struct Request;
struct Response;
}

namespace bergamotwick::soak {

using std::chrono::milliseconds;

/// The invariant checker of one soak run, shared by executors and callers.
///
/// Hold \p mutex_ while \p judge_ is in use.
struct SharedJudge
{
    std::mutex mutex_;
    test::Judge judge_;
    RunLives lives_; ///< has its own lock
};

/// Shares of the orders to an executor that meet a fault.
struct OrderFaults
{
    double delayedRate_ = 0; ///< not answered, and executed 2 to 12 s later
    double lostAnswerRate_ = 0; ///< executed at once and not answered
    double rejectedRate_ = 0; ///< answered with status 503 and not executed
};

/// How an executor ends as planned.
struct Departure
{
    milliseconds draining_{0}; ///< time from its announcement to its call that it leaves
    bool acknowledgementLost_ = false;
    milliseconds remaining_{0}; ///< after a lost acknowledgement it goes on for this time
    bool sameName_ = false; ///< the next incarnation has the same name
    milliseconds absence_{0}; ///< time until the next incarnation starts
    milliseconds duplicateAfter_{0}; ///< if it isn't 0, the call arrives once more, this long after the next incarnation started
};

/// A simulated executor with an HTTP interface: executes orders from its agent, sends heartbeats to it, and injects faults.
///
/// Thread safety: all methods may be called from several threads at once.
class ExecutorServer
{
public:
    /// Serves on the loopback address \p host. \p controlAddress is where its agent accepts heartbeats.
    ExecutorServer(int number, std::uint64_t seed, const std::string &host, std::string controlAddress, SharedJudge &judge);
    ~ExecutorServer();

    /// The address for its agent: that of link().
    [[nodiscard]] std::string address() const;

    /// The link over which its agent calls it.
    [[nodiscard]] Proxy &link() noexcept
    {
        return link_;
    }

    /// Ends the current incarnation, as a crash with all that runs on it, and starts another one at once, under the same or a new name.
    void restart(bool sameName);

    /// Ends the current incarnation likewise. Connections are refused until the next one starts after \p absence.
    void crash(bool sameName, milliseconds absence);

    /// Begins a planned end of the current incarnation.
    void leave(const Departure &departure);

    /// Changes the capacity of this incarnation and later ones to \p factor of the full one.
    void setCapacityFactor(double factor);

    /// If \p failing is true, every run that starts from now on fails.
    void setFailing(bool failing) noexcept
    {
        failing_ = failing;
    }

    void setOrderFaults(const OrderFaults &faults);

    /// Answers no call and sends no heartbeat for \p duration from now on. Calls that arrive meanwhile are executed late; leases go on.
    void freeze(milliseconds duration) noexcept;

private:
    struct Server;
    using Json = nlohmann::json;
    using OrderFunction = std::function<test::OrderResult(const Json &, const ExecutorId &)>;

    /// What happens to one order.
    enum class OrderFate : std::uint8_t {
        Executed,
        Delayed,
        AnswerLost,
        Rejected,
    };

    void startIncarnation(bool sameName);
    void endIncarnation(bool sameName, milliseconds absence, std::function<void()> whenStarted);
    void announceLeave(const batch::Incarnation &incarnation, const Departure &departure);
    void endDeparted(const batch::Incarnation &incarnation, const Departure &departure);
    [[nodiscard]] bool sendLeave(const batch::Incarnation &incarnation) const;
    void crashSoon();
    void crashIfDue();
    void crashNow(bool sameName, milliseconds absence);
    void serve();
    void serveOrders();
    void servePolls();
    void handleOrder(const OrderFunction &execute, const httplib::Request &request, httplib::Response &response);
    [[nodiscard]] test::OrderResult executeStart(const Json &body, const ExecutorId &executor);
    void sendHeartbeats();
    void advance();
    [[nodiscard]] Json heartbeat();
    [[nodiscard]] std::optional<Instant> lateCallTime() const;
    bool waitWhileFrozen() const;
    [[nodiscard]] OrderFate drawOrderFate();
    [[nodiscard]] milliseconds draw(milliseconds least, milliseconds most);

    int number_;
    std::string controlAddress_;
    SharedJudge &judge_;
    std::unique_ptr<Server> server_;
    Proxy link_;
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::unique_ptr<test::ExecutorStandIn> executor_;
    bool absent_ = false; ///< no incarnation lives; executor_ is the last one
    bool leaving_ = false; ///< the incarnation has begun its planned end
    Instant leavesAt_{}; ///< valid if it is leaving
    double capacityFactor_ = 1;
    OrderFaults orderFaults_;
    int nameCount_ = 0;
    std::int64_t lastStartTimeMs_ = 0;
    std::int64_t heartbeatSequence_ = 0;
    std::optional<Instant> delayedSince_; ///< when the order arrived that is being executed, if it was delayed here
    std::optional<Instant> crashesAt_; ///< when the current incarnation crashes under the task that has started
    std::atomic<bool> failing_{false};
    std::atomic<Instant> frozenUntil_{Instant()};
    std::atomic<bool> stopping_{false};
    DelayedTasks delayed_; ///< destroyed first, as its tasks use the other members
};

/// Suffix of the spec of a job whose first task crashes each executor on which it starts.
constexpr const char *crashingSpec = "crash";

/// The capacity of an executor that hasn't shrunk.
constexpr batch::ResourceVector fullCapacity{64'000, 131'072, 8};

}
