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

/// Result of a call by a caller or an operator.
using CallResult = std::variant<Answer, JobAnswered, ControlAnswered>;

/// Runs an Entry: owns its socket and threads, feeds it input and executes its outputs.
///
/// Thread safety: call(), readState() and the getters may be called from several threads at once.
class EntryServer
{
public:
    /// Opens the socket and starts the threads. Errors: SocketError.
    static Result<std::unique_ptr<EntryServer>> create(const Settings &settings, const StoreBackend &store, const EntryLimits &limits);

    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Returns a token that identifies a new call. Thread-safe.
    [[nodiscard]] std::uint64_t nextToken() noexcept
    {
        return ++lastToken_;
    }

    /// Passes \p input to the entry and blocks until the result for \p token arrives. \p input must carry the same token.
    [[nodiscard]] CallResult call(std::uint64_t token, const EntryInput &input);

    /// Calls \p reader with the entry and the burn rates while holding the mutex. \p reader must not block.
    template<class Reader>
    auto readState(Reader reader) const
    {
        const std::lock_guard lock(mutex_);
        return reader(entry_, burn_);
    }

    [[nodiscard]] Metrics &metrics() noexcept
    {
        return metrics_;
    }

    /// Starts a graceful shutdown: the entry accepts no new work and finishes the work that already runs.
    void stopGracefully();

    /// Returns whether a graceful shutdown has finished.
    [[nodiscard]] bool drained() const;

private:
    /// A call that waits for its result.
    struct PendingCall
    {
        std::optional<CallResult> result_;
        std::condition_variable ready_;
    };

    EntryServer(const Settings &settings, const StoreBackend &store, const EntryLimits &limits, Socket udp);

    void step(const EntryInput &input);
    void receiveDatagrams();
    void tick();
    void handleDatagram(const Datagram &datagram);
    void handleOutput(EntryOutputs &outputs);
    void handleOutput(const StoreCall &call);
    void handleOutput(const SendDirective &send);
    void handleOutput(RouterOutput &output);
    void handleOutput(const SchedulerOutput &output);
    void handleOutput(const JobAnswered &answered);
    void handleOutput(const ControlAnswered &answered);
    void handleOutput(const ControlActivated &control);
    void handleOutput(const BadDocument &bad);
    void handleAnswer(const Answer &answer);
    void completeCall(std::uint64_t token, CallResult result);
    std::shared_ptr<ExecutorLink> linkFor(const ExecutorId &executor);
    void recordAgentAddress(const AgentReport &report, const Address &from);

    Settings settings_;
    Metrics metrics_;
    mutable std::mutex mutex_; ///< guards entry_, burn_ and pendingCalls_
    Entry entry_;
    BurnRateTracker burn_;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> pendingCalls_;
    std::atomic<std::uint64_t> lastToken_{0};

    std::mutex linksMutex_; ///< guards the next four members
    std::map<std::string, Address> agentUdpAddresses_;
    std::map<ExecutorId, Address> agentTcpAddresses_;
    std::map<ExecutorId, std::shared_ptr<ExecutorLink>> links_;
    std::vector<std::shared_ptr<ExecutorLink>> retiredLinks_; ///< destroyed by the ticker; a link cannot join its own threads

    Socket udp_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<WorkQueue<StoreCall>> storeCalls_;
    std::thread receiver_;
    std::thread ticker_;
};

}
