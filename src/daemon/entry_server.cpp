#include "daemon/entry_server.h"

#include "core/overloaded.h"
#include "daemon/clock.h"
#include "daemon/log.h"
#include "wire/codec.h"

namespace bergamotwick {

namespace {

constexpr std::size_t storeThreads = 8;
constexpr Duration tickInterval = 50ms;
constexpr Duration receiveTimeout = 200ms;

std::string metricLabel(const char *name, const std::string &value)
{
    return std::string(name) + "=\"" + value + "\"";
}

}

Result<std::unique_ptr<EntryServer>> EntryServer::create(const Settings &settings, const StoreBackend &store, const EntryLimits &limits)
{
    BOOST_LEAF_AUTO(udp, openUdp(settings.udp_));
    return std::unique_ptr<EntryServer>(new EntryServer(settings, store, limits, std::move(udp)));
}

EntryServer::EntryServer(const Settings &settings, const StoreBackend &store, const EntryLimits &limits, Socket udp)
    : settings_(settings)
    , entry_(limits, {EntryId(settings.name_), settings.region_, settings.http_.str()}, randomIncarnation())
    , udp_(std::move(udp))
    , storeCalls_(std::make_unique<WorkQueue<StoreCall>>(storeThreads,
                                                         [this, store] {
                                                             auto client = std::make_shared<StoreClient>(store);
                                                             return [this, client](StoreCall &call) { step(client->call(call)); };
                                                         }))
    , receiver_([this] { receiveDatagrams(); })
    , ticker_([this] { tick(); })
{
    logEvent(LogLevel::Info, "entry_started", {{"name", settings.name_}, {"region", settings.region_.str()}, {"http", settings.http_.str()}});
}

EntryServer::~EntryServer()
{
    stopping_ = true;
    receiver_.join();
    ticker_.join();
    storeCalls_->stop();
    links_.clear();
    retiredLinks_.clear();
}

CallResult EntryServer::call(std::uint64_t token, const EntryInput &input)
{
    const auto pendingCall = std::make_shared<PendingCall>();
    {
        const std::lock_guard lock(mutex_);
        pendingCalls_[token] = pendingCall;
    }
    step(input);
    std::unique_lock lock(mutex_);
    pendingCall->ready_.wait(lock, [&pendingCall] { return pendingCall->result_.has_value(); });
    return std::move(*pendingCall->result_);
}

void EntryServer::step(const EntryInput &input)
{
    EntryOutputs outputs;
    {
        const std::lock_guard lock(mutex_);
        outputs = entry_.step(steadyNow(), wallNow(), input);
    }
    handleOutput(outputs);
}

void EntryServer::receiveDatagrams()
{
    while (!stopping_) {
        if (const auto received = receiveDatagram(udp_, receiveTimeout)) {
            handleDatagram(*received);
        }
    }
}

void EntryServer::handleDatagram(const Datagram &datagram)
{
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(datagram.bytes_));
            if (auto *report = std::get_if<AgentReport>(&message)) {
                recordAgentAddress(*report, datagram.from_);
                step(AgentReported{std::move(*report)});
            }
            return {};
        },
        [&](const WireError &error) { metrics_.count("bad_messages_total", metricLabel("reason", toString(error.code_))); },
        [] {});
}

void EntryServer::recordAgentAddress(const AgentReport &report, const Address &from)
{
    const std::lock_guard lock(linksMutex_);
    agentUdpAddresses_[report.name_] = from;
    if (report.kind_ == AgentKind::Executor) {
        agentTcpAddresses_[ExecutorId(report.name_)] = from.withPort(report.port_);
    }
}

void EntryServer::tick()
{
    while (!stopping_) {
        step(EntryTick{});
        std::vector<std::shared_ptr<ExecutorLink>> retiredLinks;
        {
            const std::lock_guard lock(linksMutex_);
            retiredLinks = std::exchange(retiredLinks_, {});
        }
        retiredLinks.clear();
        std::this_thread::sleep_for(tickInterval);
    }
}

void EntryServer::stopGracefully()
{
    logEvent(LogLevel::Info, "entry_stopping", {{"name", settings_.name_}});
    step(StopEntry{});
}

bool EntryServer::drained() const
{
    const std::lock_guard lock(mutex_);
    return entry_.drained() && pendingCalls_.empty();
}

// Outputs

void EntryServer::handleOutput(EntryOutputs &outputs)
{
    for (EntryOutput &output : outputs) {
        std::visit([this](auto &alternative) { handleOutput(alternative); }, output);
    }
}

void EntryServer::handleOutput(const StoreCall &call)
{
    metrics_.count("store_calls_total");
    storeCalls_->push(call);
}

void EntryServer::handleOutput(const SendDirective &send)
{
    std::optional<Address> to;
    {
        const std::lock_guard lock(linksMutex_);
        if (const auto known = agentUdpAddresses_.find(send.directive_.agent_); known != agentUdpAddresses_.end()) {
            to = known->second;
        }
    }
    if (to) {
        sendDatagram(udp_, *to, encodeMessage(send.directive_));
    }
}

std::shared_ptr<ExecutorLink> EntryServer::linkFor(const ExecutorId &executor)
{
    const std::lock_guard lock(linksMutex_);
    const auto address = agentTcpAddresses_.find(executor);
    if (address == agentTcpAddresses_.end()) {
        return nullptr;
    }
    std::shared_ptr<ExecutorLink> &link = links_[executor];
    if (!link || !(link->agent() == address->second)) {
        if (link) {
            retiredLinks_.push_back(std::move(link));
        }
        LinkCallbacks callbacks;
        callbacks.onReply_ = [this, executor](const AttemptReply &reply) { step(RouterInput(AttemptEnded{executor, reply})); };
        callbacks.onUnsent_ = [this, executor](const AttemptId &id) { step(RouterInput(AttemptUnsent{executor, id})); };
        callbacks.onConnectionLost_ = [this, executor] { step(RouterInput(ConnectionLost{executor})); };
        link = std::make_shared<ExecutorLink>(address->second, std::move(callbacks));
    }
    return link;
}

void EntryServer::handleOutput(RouterOutput &output)
{
    std::visit(Overloaded{
                   [&](SendAttempt &send) {
                       if (const auto link = linkFor(send.executor_)) {
                           link->send(std::move(send.attempt_));
                       } else {
                           step(RouterInput(AttemptUnsent{send.executor_, send.attempt_.id_}));
                       }
                   },
                   [&](const Answer &answer) { handleAnswer(answer); },
                   [&](const ExecutorPaused &paused) {
                       metrics_.count("executor_pauses_total");
                       logEvent(
                           LogLevel::Warning,
                           "executor_paused",
                           {{"executor", paused.executor_.str()}, {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(paused.duration_).count()}});
                   },
                   [](const auto &) {},
               },
               output);
}

void EntryServer::handleAnswer(const Answer &answer)
{
    const std::string outcome = metricLabel("outcome", toString(answer.outcome_));
    metrics_.count("requests_total", metricLabel("service", answer.service_.str()) + "," + outcome);
    metrics_.observe("request_seconds", answer.latency_, metricLabel("service", answer.service_.str()) + "," + metricLabel("class", answer.class_.str()));
    {
        const std::lock_guard lock(mutex_);
        const auto &services = entry_.config().services_;
        const auto service = services.find(answer.service_);
        if (service != services.end() && answer.outcome_ != Outcome::Invalid && answer.refusal_ != Refusal::CallerGone) {
            const auto objective = service->second.objectives_.find(answer.workspace_);
            const bool inTime = objective == service->second.objectives_.end() || answer.latency_ <= objective->second.within_;
            constexpr std::int32_t firstServerError = 500;
            const bool good = answer.outcome_ == Outcome::Duplicate || (answer.outcome_ == Outcome::Answered && answer.status_ < firstServerError);
            burn_.record(wallNow(), answer.workspace_, answer.service_, good && inTime);
        }
    }
    completeCall(answer.token_, answer);
}

void EntryServer::handleOutput(const JobAnswered &answered)
{
    completeCall(answered.token_, answered);
}

void EntryServer::handleOutput(const ControlAnswered &answered)
{
    logEvent(LogLevel::Info, "control_change", {{"result", toString(answered.refusal_)}, {"revision", answered.revision_}});
    completeCall(answered.token_, answered);
}

void EntryServer::completeCall(std::uint64_t token, CallResult result)
{
    const std::lock_guard lock(mutex_);
    const auto pendingCall = pendingCalls_.extract(token);
    if (pendingCall) {
        pendingCall.mapped()->result_ = std::move(result);
        pendingCall.mapped()->ready_.notify_one();
    }
}

void EntryServer::handleOutput(const ControlActivated &control)
{
    metrics_.set("config_revision", static_cast<double>(control.revision_));
    logEvent(LogLevel::Info, "config_in_force", {{"revision", control.revision_}});
}

void EntryServer::handleOutput(const BadDocument &bad)
{
    metrics_.count("bad_documents_total");
    logEvent(LogLevel::Error, "bad_document", {{"key", bad.key_}});
}

void EntryServer::handleOutput(const SchedulerOutput &output)
{
    std::visit(Overloaded{
                   [&](const JobChanged &changed) {
                       metrics_.count("job_changes_total", metricLabel("state", toString(changed.state_)));
                       logEvent(LogLevel::Info,
                                "job",
                                {{"job", changed.job_.str()},
                                 {"workspace", changed.workspace_.str()},
                                 {"state", toString(changed.state_)},
                                 {"reason", toString(changed.reason_)},
                                 {"generation", changed.generation_}});
                   },
                   [&](const WorkerQuarantined &quarantined) {
                       logEvent(LogLevel::Warning, "worker_set_aside", {{"worker", quarantined.worker_.str()}});
                   },
                   [&](const Fenced &) {
                       logEvent(LogLevel::Warning, "ownership_lost", {{"region", settings_.region_.str()}});
                   },
                   [&](const InvariantViolated &broken) {
                       metrics_.count("invariants_broken_total", metricLabel("invariant", toString(broken.invariant_)));
                       logEvent(LogLevel::Error, "invariant_broken", {{"invariant", toString(broken.invariant_)}, {"subject", broken.subject_}});
                   },
                   [](const auto &) {},
               },
               output);
}

}
