#pragma once

#include "core/agent/agent.h"
#include "daemon/endpoint.h"
#include "daemon/settings.h"
#include "daemon/work_queue.h"
#include "net/socket.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace bergamotwick {

/// Runs an Agent: owns its sockets and threads, feeds it input and executes its outputs.
///
/// Thread safety: stopGracefully() and drained() may be called from any thread.
class AgentServer
{
public:
    /// Opens the sockets and starts the threads. Errors: SocketError.
    static Result<std::unique_ptr<AgentServer>> create(const Settings &settings, const AgentLimits &limits);

    ~AgentServer();
    AgentServer(const AgentServer &) = delete;
    AgentServer &operator=(const AgentServer &) = delete;

    /// Starts a graceful shutdown: the agent reports that the endpoint is leaving and finishes the work that already runs.
    void stopGracefully();

    /// Returns whether a graceful shutdown has finished.
    [[nodiscard]] bool drained() const;

private:
    /// A call to the endpoint, executed on a queue's thread.
    using EndpointCall = std::variant<RunAttempt, StartTasks, RenewTasks, StopTasks>;

    /// A connection opened by an entry.
    struct Connection
    {
        Socket socket_;
        std::mutex writeMutex_;
        std::thread reader_;
        std::atomic<bool> ended_{false};
    };

    AgentServer(const Settings &settings, const AgentLimits &limits, Socket udp, Socket listener);

    void step(const AgentInput &input);
    void handleOutput(AgentOutputs &outputs);
    void handleOutput(const SendReport &send);
    void handleOutput(const ReplyAttempt &reply);
    void handleOutput(const OrderRefused &refused);
    void handleOutput(const RunAttempt &run);
    void handleOutput(const StartTasks &start);
    void handleOutput(const RenewTasks &renew);
    void handleOutput(const StopTasks &stop);
    void callEndpoint(const EndpointCall &call);
    void receiveDatagrams();
    void handleDatagram(const Datagram &datagram);
    void acceptConnections();
    void readRequests(ConnectionId id, const std::shared_ptr<Connection> &connection);
    void joinEndedConnections();
    void tick();
    void pollWorker();

    Settings settings_;
    Endpoint endpoint_;
    mutable std::mutex mutex_; ///< guards agent_
    Agent agent_;
    std::mutex connectionsMutex_; ///< guards connections_
    std::map<ConnectionId, std::shared_ptr<Connection>> connections_;
    Socket udp_;
    Socket listener_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<WorkQueue<EndpointCall>> attemptQueue_;
    std::unique_ptr<WorkQueue<EndpointCall>> taskQueue_; ///< has one thread, which keeps the calls for a member in order
    std::thread receiver_;
    std::thread ticker_;
    std::thread acceptor_;
    std::thread poller_;
};

}
