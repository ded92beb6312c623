#include "daemon/agent_server.h"

#include "daemon/clock.h"
#include "daemon/log.h"
#include "wire/codec.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr Duration tickInterval = 100ms;
constexpr Duration pollInterval = 200ms;
constexpr Duration receiveTimeout = 200ms;
constexpr std::size_t maxAttemptThreads = 256;

Endpoint makeEndpoint(const Settings &settings)
{
    if (settings.endpointUrl_.empty()) {
        return std::make_shared<SimulatedEndpoint>();
    }
    return HttpEndpoint{settings.endpointUrl_};
}

}

Result<std::unique_ptr<AgentServer>> AgentServer::create(const Settings &settings, const AgentLimits &limits)
{
    BOOST_LEAF_AUTO(udp, openUdp(settings.udp_));
    Socket listener;
    if (settings.agent_.kind_ == AgentKind::Executor) {
        BOOST_LEAF_ASSIGN(listener, listenTcp(settings.tcp_));
    }
    return std::unique_ptr<AgentServer>(new AgentServer(settings, limits, std::move(udp), std::move(listener)));
}

AgentServer::AgentServer(const Settings &settings, const AgentLimits &limits, Socket udp, Socket listener)
    : settings_(settings)
    , endpoint_(makeEndpoint(settings))
    , agent_(limits, settings.agent_, randomIncarnation(), settings.entries_.size())
    , udp_(std::move(udp))
    , listener_(std::move(listener))
{
    const auto handler = [this] { return [this](EndpointCall &call) { callEndpoint(call); }; };
    const auto slots = static_cast<std::size_t>(std::max(settings.agent_.slots_, 1));
    attemptQueue_ = std::make_unique<WorkQueue<EndpointCall>>(std::min(slots, maxAttemptThreads), handler);
    taskQueue_ = std::make_unique<WorkQueue<EndpointCall>>(1, handler);
    if (settings.agent_.kind_ == AgentKind::Worker) {
        poller_ = std::thread([this] { pollWorker(); });
    }
    receiver_ = std::thread([this] { receiveDatagrams(); });
    ticker_ = std::thread([this] { tick(); });
    if (listener_.valid()) {
        acceptor_ = std::thread([this] { acceptConnections(); });
    }
    logEvent(LogLevel::Info, "agent_started", {{"name", settings.name_}, {"datacentre", settings.agent_.dataCentre_.str()}});
}

AgentServer::~AgentServer()
{
    stopping_ = true;
    receiver_.join();
    ticker_.join();
    if (acceptor_.joinable()) {
        acceptor_.join();
    }
    if (poller_.joinable()) {
        poller_.join();
    }
    attemptQueue_->stop();
    taskQueue_->stop();
    for (const auto &[id, connection] : connections_) {
        connection->socket_.shutdown();
        connection->reader_.join();
    }
}

void AgentServer::step(const AgentInput &input)
{
    AgentOutputs outputs;
    {
        const std::lock_guard lock(mutex_);
        outputs = agent_.step(steadyNow(), input);
    }
    handleOutput(outputs);
}

void AgentServer::stopGracefully()
{
    logEvent(LogLevel::Info, "agent_leaving", {{"name", settings_.name_}});
    step(BeginDrain{});
}

bool AgentServer::drained() const
{
    const std::lock_guard lock(mutex_);
    return agent_.drained();
}

// Outputs

void AgentServer::handleOutput(AgentOutputs &outputs)
{
    for (AgentOutput &output : outputs) {
        std::visit([this](auto &alternative) { handleOutput(alternative); }, output);
    }
}

void AgentServer::handleOutput(const SendReport &send)
{
    sendDatagram(udp_, settings_.entries_[send.target_], encodeMessage(send.report_));
}

void AgentServer::handleOutput(const ReplyAttempt &reply)
{
    std::shared_ptr<Connection> connection;
    {
        const std::lock_guard lock(connectionsMutex_);
        if (const auto found = connections_.find(reply.connection_); found != connections_.end()) {
            connection = found->second;
        }
    }
    if (!connection) {
        return;
    }
    const std::string bytes = encodeMessage(reply.reply_);
    const std::lock_guard lock(connection->writeMutex_);
    if (writeFrame(connection->socket_, bytes) != FrameWriteResult::Complete) {
        connection->socket_.shutdown();
    }
}

void AgentServer::handleOutput(const OrderRefused &refused)
{
    logEvent(LogLevel::Warning, "order_refused", {{"job", refused.job_.str()}, {"reason", toString(refused.reason_)}});
}

void AgentServer::handleOutput(const RunAttempt &run)
{
    attemptQueue_->push(run);
}

void AgentServer::handleOutput(const StartTasks &start)
{
    logEvent(LogLevel::Info, "tasks_start", {{"job", start.job_.str()}, {"generation", start.generation_}, {"tasks", start.tasks_}});
    taskQueue_->push(start);
}

void AgentServer::handleOutput(const RenewTasks &renew)
{
    taskQueue_->push(renew);
}

void AgentServer::handleOutput(const StopTasks &stop)
{
    logEvent(LogLevel::Info, "tasks_stop", {{"job", stop.job_.str()}, {"generation", stop.generation_}});
    taskQueue_->push(stop);
}

void AgentServer::callEndpoint(const EndpointCall &call)
{
    if (const auto *run = std::get_if<RunAttempt>(&call)) {
        step(runAttempt(endpoint_, run->attempt_, run->timeout_));
    } else if (const auto *start = std::get_if<StartTasks>(&call)) {
        if (!startTasks(endpoint_, *start)) {
            step(MemberEvent{start->job_, start->generation_, MemberEventKind::Failed});
        }
    } else if (const auto *renew = std::get_if<RenewTasks>(&call)) {
        renewTasks(endpoint_, *renew);
    } else if (const auto *stop = std::get_if<StopTasks>(&call)) {
        stopTasks(endpoint_, *stop);
    }
}

// Thread functions

void AgentServer::receiveDatagrams()
{
    while (!stopping_) {
        if (const auto received = receiveDatagram(udp_, receiveTimeout)) {
            handleDatagram(*received);
        }
    }
}

void AgentServer::handleDatagram(const Datagram &datagram)
{
    const auto from = std::find(settings_.entries_.begin(), settings_.entries_.end(), datagram.from_);
    if (from == settings_.entries_.end()) {
        return;
    }
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(datagram.bytes_));
            if (auto *directive = std::get_if<Directive>(&message)) {
                step(DirectiveReceived{static_cast<std::size_t>(from - settings_.entries_.begin()), std::move(*directive)});
            }
            return {};
        },
        [](const WireError &error) {
            logEvent(LogLevel::Warning, "bad_message", {{"reason", toString(error.code_)}});
        },
        [] {});
}

void AgentServer::acceptConnections()
{
    ConnectionId lastId = 0;
    while (!stopping_) {
        Socket socket = acceptTcp(listener_, receiveTimeout);
        joinEndedConnections();
        if (!socket.valid()) {
            continue;
        }
        const auto connection = std::make_shared<Connection>();
        connection->socket_ = std::move(socket);
        const ConnectionId id = ++lastId;
        const std::lock_guard lock(connectionsMutex_);
        connections_[id] = connection;
        connection->reader_ = std::thread([this, id, connection] { readRequests(id, connection); });
    }
}

void AgentServer::readRequests(ConnectionId id, const std::shared_ptr<Connection> &connection)
{
    while (const auto frame = readFrame(connection->socket_, maxFrameBytes)) {
        const bool decoded = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(message, decodeMessage(*frame));
                if (auto *attempt = std::get_if<AttemptRequest>(&message)) {
                    step(AttemptReceived{id, std::move(*attempt)});
                }
                return true;
            },
            [] { return false; });
        if (!decoded) {
            break;
        }
    }
    connection->socket_.shutdown();
    connection->ended_ = true;
}

/// Joins the reader threads of ended connections and removes those connections.
void AgentServer::joinEndedConnections()
{
    const std::lock_guard lock(connectionsMutex_);
    for (auto next = connections_.begin(); next != connections_.end();) {
        const auto connection = next++;
        if (connection->second->ended_) {
            connection->second->reader_.join();
            connections_.erase(connection);
        }
    }
}

void AgentServer::tick()
{
    while (!stopping_) {
        step(AgentTick{});
        std::this_thread::sleep_for(tickInterval);
    }
}

void AgentServer::pollWorker()
{
    while (!stopping_) {
        if (const auto listed = listTasks(endpoint_)) {
            step(*listed);
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

}
