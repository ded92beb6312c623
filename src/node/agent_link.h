#pragma once

#include "core/batch/messages.h"
#include "net/socket.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bergamotwick::node {

/// Accepts the connections of agents on an entry.
///
/// Thread safety: all methods may be called from several threads at once.
class AgentListener
{
public:
    using ReportHandler = std::function<void(batch::Report)>;
    using FindLeader = std::function<std::optional<Address>()>;

    /// \p reportHandler is called from the connections' threads. \p findLeader returns the address to which agents are redirected while this
    /// entry isn't the leader.
    AgentListener(Address address, ReportHandler reportHandler, FindLeader findLeader);

    /// Starts listening; retries for listenRetryLimit if the address is in use. Errors: SocketError.
    [[nodiscard]] Result<void> start();

    /// Sends \p directive to \p agent if it is connected. Other agents reconnect by themselves.
    void send(const std::string &agent, const batch::Directive &directive);

    /// Sets whether this entry is the leader. If it isn't, all connections are closed so that the agents look for the leader again.
    void setLeading(bool leading);

private:
    void accept();
    void serve(const std::shared_ptr<Socket> &socket);
    void redirect(const Socket &socket) const;

    Address address_;
    ReportHandler reportHandler_;
    FindLeader findLeader_;
    Socket listener_;
    std::atomic<bool> leading_{false};
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<Socket>> agents_;
};

}
