#pragma once

#include "core/entry/entry.h"
#include "daemon/executor_link.h"
#include "daemon/settings.h"
#include "daemon/work_queue.h"
#include "metrics/burn.h"
#include "metrics/metrics.h"
#include "net/socket.h"
#include "store/store_client.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace bergamotwick {

/// What a caller's or operator's call ended with.
using CallResult = std::variant<Answer, JobAnswered, ControlAnswered>;

/// The threads and sockets around an entry's decisions.
///
/// Thread safety: call(), view() and the getters may be called from several threads at once.
class EntryServer
{
public:
    /// Opens the sockets and starts the threads. Throws nothing; errors come from create().
    static Result<std::unique_ptr<EntryServer>> create(const Settings &settings, const StoreBackend &store, const EntryLimits &limits);

    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Returns a number for a new call.
    [[nodiscard]] std::uint64_t nextToken() noexcept
    {
        return ++lastToken_;
    }

    /// Hands \p input, whose token is \p token, to the decisions and waits for its one result.
    [[nodiscard]] CallResult call(std::uint64_t token, const EntryInput &input);

    /// Calls \p reader with the decisions' state under the lock; \p reader must not block.
    template<class Reader>
    auto view(Reader reader) const
    {
        const std::lock_guard lock(mutex_);
        return reader(entry_, burn_);
    }

    [[nodiscard]] Metrics &metrics() noexcept
    {
        return metrics_;
    }

    /// Begins a planned stop: nothing new is taken in, what runs is finished.
    void stopGracefully();

    /// Returns whether a planned stop has finished.
    [[nodiscard]] bool drained() const;

private:
    struct Waiter
    {
        std::optional<CallResult> result_;
        std::condition_variable ready_;
    };

    EntryServer(const Settings &settings, const StoreBackend &store, const EntryLimits &limits, Socket udp);

    void step(const EntryInput &input);
    void receive();
    void tick();
    void datagram(const Datagram &datagram);
    void carryOut(EntryOutputs &outputs);
    void carryOut(const StoreCall &call);
    void carryOut(const SendDirective &send);
    void carryOut(RouterOutput &output);
    void carryOut(const SchedulerOutput &output);
    void carryOut(const JobAnswered &answered);
    void carryOut(const ControlAnswered &answered);
    void carryOut(const ControlActivated &inForce);
    void carryOut(const BadDocument &bad);
    void answer(const Answer &answer);
    void finish(std::uint64_t token, CallResult result);
    std::shared_ptr<ExecutorLink> linkTo(const ExecutorId &executor);
    void noteAddress(const AgentReport &report, const Address &from);

    Settings settings_;
    Metrics metrics_;
    mutable std::mutex mutex_; ///< guards entry_, burn_ and waiters_
    Entry entry_;
    BurnRateTracker burn_;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
    std::atomic<std::uint64_t> lastToken_{0};

    std::mutex linksMutex_; ///< guards what follows
    std::map<std::string, Address> agentUdp_;
    std::map<ExecutorId, Address> agentTcp_;
    std::map<ExecutorId, std::shared_ptr<ExecutorLink>> links_;
    std::vector<std::shared_ptr<ExecutorLink>> retired_; ///< ended by the ticker, never by their own threads

    Socket udp_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<WorkQueue<StoreCall>> storeCalls_;
    std::thread receiver_;
    std::thread ticker_;
};

}
