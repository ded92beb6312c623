#include "agent_link.h"

#include "core/batch/codec.h"
#include "daemon/log.h"

#include <thread>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bergamotwick::node {

namespace {

constexpr std::size_t maxFrame = std::size_t{4} * 1024 * 1024;
constexpr Duration acceptWait = 1s;

/// An agent reports twice a second; a connection that is silent for this long is dead.
constexpr std::chrono::seconds silence{3};

/// Unacknowledged bytes end the connection after this.
constexpr unsigned unacknowledgedMs = 2'000;

void limitSilence(const Socket &socket)
{
    const timeval wait{silence.count(), 0};
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    const timeval send{0, 200'000};
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &send, sizeof(send));
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs, sizeof(unacknowledgedMs));
}

}

AgentListener::AgentListener(Address address, Take take, FindLeader findLeader)
    : address_(address)
    , take_(std::move(take))
    , findLeader_(std::move(findLeader))
{
}

Result<void> AgentListener::start()
{
    BOOST_LEAF_AUTO(listener, listenTcp(address_));
    listener_ = std::move(listener);
    std::thread([this] { accept(); }).detach();
    return {};
}

void AgentListener::accept()
{
    for (;;) {
        Socket socket = acceptTcp(listener_, acceptWait);
        if (!socket.valid()) {
            continue;
        }
        limitSilence(socket);
        if (!leading_) {
            redirect(socket);
            continue;
        }
        std::thread([this, shared = std::make_shared<Socket>(std::move(socket))] { serve(shared); }).detach();
    }
}

void AgentListener::redirect(const Socket &socket) const
{
    batch::Directive directive;
    if (const auto leader = findLeader_()) {
        directive.leaderAddress_ = leader->str();
    }
    (void)writeFrame(socket, batch::encode(directive));
}

void AgentListener::serve(const std::shared_ptr<Socket> &socket)
{
    std::string name;
    for (auto frame = readFrame(*socket, maxFrame); frame && leading_; frame = readFrame(*socket, maxFrame)) {
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(report, batch::decodeReport(*frame));
                if (name.empty()) {
                    name = report.agent_;
                    logEvent(LogLevel::Info, "agent-connected", {{"agent", name}});
                    const std::lock_guard lock(mutex_);
                    agents_[name] = socket;
                }
                take_(std::move(report));
                return {};
            },
            [&](const WireError &error) {
                logEvent(LogLevel::Warning, "report-unreadable", {{"error", toString(error.code_)}});
            },
            [] {});
    }
    logEvent(LogLevel::Info, "agent-disconnected", {{"agent", name}});
    socket->shutdown();
    const std::lock_guard lock(mutex_);
    const auto found = agents_.find(name);
    if (found != agents_.end() && found->second == socket) {
        agents_.erase(found);
    }
}

void AgentListener::send(const std::string &agent, const batch::Directive &directive)
{
    std::shared_ptr<Socket> socket;
    {
        const std::lock_guard lock(mutex_);
        const auto found = agents_.find(agent);
        if (found == agents_.end()) {
            return;
        }
        socket = found->second;
    }
    if (writeFrame(*socket, batch::encode(directive)) != FrameWrite::Whole) {
        socket->shutdown();
    }
}

void AgentListener::welcome(bool leading)
{
    leading_ = leading;
    if (leading) {
        return;
    }
    const std::lock_guard lock(mutex_);
    for (const auto &[name, socket] : agents_) {
        socket->shutdown();
    }
}

}
