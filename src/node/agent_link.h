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

/// The longest report or directive that either end takes.
constexpr std::size_t maxAgentFrame = std::size_t{4} * 1024 * 1024;

/// Takes agents' connections on an entry.
///
/// Thread safety: all methods may be called from several threads at once.
class AgentListener
{
public:
    using Take = std::function<void(batch::Report)>;
    using FindLeader = std::function<std::optional<Address>()>;

    /// \p findLeader tells where agents are sent that come while this entry doesn't lead.
    AgentListener(Address address, Take take, FindLeader findLeader);

    /// Starts listening. Errors: SocketError.
    [[nodiscard]] Result<void> start();

    /// Sends to an agent that is connected; to others nothing is sent, they come back by themselves.
    void send(const std::string &agent, const batch::Directive &directive);

    /// Says whether agents are welcome; others' connections are closed, so that they look for the leader again.
    void welcome(bool leading);

private:
    void accept();
    void serve(const std::shared_ptr<Socket> &socket);
    void redirect(const Socket &socket) const;

    Address address_;
    Take take_;
    FindLeader findLeader_;
    Socket listener_;
    std::atomic<bool> leading_{false};
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<Socket>> agents_;
};

}
