#include "agent_link.h"

#include "core/batch/codec.h"
#include "daemon/log.h"

#include <thread>

namespace bergamotwick::node {

namespace {

constexpr Duration acceptWait = 1s;

/// An agent reports twice a second. The send timeout is short, so that a slow connection doesn't delay the directives of other agents.
constexpr SocketTimeouts connectionTimeouts{3s, 200ms, 2s};

}

AgentListener::AgentListener(Address address, ReportHandler reportHandler, FindLeader findLeader)
    : address_(address)
    , reportHandler_(std::move(reportHandler))
    , findLeader_(std::move(findLeader))
{
}

Result<void> AgentListener::start()
{
    BOOST_LEAF_AUTO(listener, listenTcpWithin(address_, listenRetryLimit));
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
        setSocketTimeouts(socket, connectionTimeouts);
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
    for (auto frame = readFrame(*socket, batch::maxAgentFrameBytes); frame && leading_; frame = readFrame(*socket, batch::maxAgentFrameBytes)) {
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(report, batch::decodeReport(*frame));
                if (name.empty()) {
                    name = report.agent_;
                    logEvent(LogLevel::Info, "agent-connected", {{"agent", name}});
                    const std::lock_guard lock(mutex_);
                    agents_[name] = socket;
                }
                reportHandler_(std::move(report));
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
    if (writeFrame(*socket, batch::encode(directive)) != FrameWriteResult::Complete) {
        socket->shutdown();
    }
}

void AgentListener::setLeading(bool leading)
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
