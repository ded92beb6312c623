#include "executor_server.h"

#include "http_threads.h"
#include "job_codec.h"
#include "json_reader.h"

namespace bergamotwick::soak {

namespace {

using batch::milliseconds;
using platform::Json;

constexpr milliseconds stopDuration{200};
constexpr milliseconds orderDelay{2'000};
constexpr milliseconds heartbeatPeriod{500};
constexpr milliseconds failureDelay{200};
constexpr milliseconds crashDelay{10};
constexpr std::chrono::seconds idleTimeout{5};

const char *refusalReason(test::OrderResult result)
{
    switch (result) {
    case test::OrderResult::Fenced:
        return "fence";
    case test::OrderResult::StaleRun:
        return "old";
    case test::OrderResult::LeaseExpired:
    case test::OrderResult::Accepted:
    case test::OrderResult::OtherExecutor:
        break;
    }
    return "late";
}

}

Instant soakNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

struct ExecutorServer::Server
{
    httplib::Server http_;
    int port_ = 0;
    std::thread serverThread_;
    std::thread heartbeatThread_;
};

ExecutorServer::ExecutorServer(int number, int controlPort, SharedJudge &judge)
    : number_(number)
    , controlPort_(controlPort)
    , judge_(judge)
    , server_(std::make_unique<Server>())
{
    startIncarnation(false);
    serve();
    server_->heartbeatThread_ = std::thread([this] { sendHeartbeats(); });
}

ExecutorServer::~ExecutorServer()
{
    stopping_ = true;
    server_->http_.stop();
    server_->serverThread_.join();
    server_->heartbeatThread_.join();
}

std::string ExecutorServer::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port_);
}

bool ExecutorServer::shouldDelayOrder()
{
    return static_cast<double>(orderCount_++ * 7'919 % 1'000) / 1'000 < delayedOrderRate_;
}

void ExecutorServer::startIncarnation(bool sameName)
{
    const auto wallTimeMs = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    nameCount_ += sameName ? 0 : 1;
    lastStartTimeMs_ = std::max<std::int64_t>(lastStartTimeMs_ + 100, wallTimeMs);
    batch::ExecutorInfo executorInfo;
    executorInfo.incarnation_ = {ExecutorId("x" + std::to_string(number_) + "-" + std::to_string(nameCount_)), lastStartTimeMs_, ""};
    executorInfo.service_ = ServiceId("service");
    executorInfo.dataCentre_ = DataCentreId("dc");
    executorInfo.capacity_ = {64'000, 131'072, 8};
    executorInfo.labels_ = {"kind", "rack-" + std::to_string(number_ / 3)};
    {
        const std::lock_guard lock(judge_.mutex_);
        judge_.judge_.executorUp(executorInfo);
    }
    executor_ = std::make_unique<test::ExecutorStandIn>(
        executorInfo,
        soakNow(),
        stopDuration,
        test::RunObserver{[this](const auto &incarnation, const auto &run, const auto &checkpoint) {
                              const std::lock_guard lock(judge_.mutex_);
                              judge_.judge_.began(incarnation, run, checkpoint, soakNow(), executingDelayedOrder_ || linkFaulty_);
                          },
                          [this](const auto &incarnation, const auto &run, batch::EndKind kind) {
                              const std::lock_guard lock(judge_.mutex_);
                              judge_.judge_.ended(incarnation, run, kind);
                          }});
}

void ExecutorServer::restart(bool sameName)
{
    const std::lock_guard lock(mutex_);
    {
        const std::lock_guard judging(judge_.mutex_);
        judge_.judge_.executorCrashed(executor_->info().incarnation_);
    }
    startIncarnation(sameName);
}

/// Crashes the current incarnation a moment later, so that the start may still be answered.
void ExecutorServer::crashSoon()
{
    if (crashing_.exchange(true)) {
        return;
    }
    std::thread([this] {
        std::this_thread::sleep_for(crashDelay);
        if (!stopping_) {
            restart(false);
        }
        crashing_ = false;
    }).detach();
}

void ExecutorServer::serve()
{
    httplib::Server &http = server_->http_;
    platform::configure(http, idleTimeout);
    serveOrders();
    servePolls();
    server_->port_ = http.bind_to_any_port("127.0.0.1");
    server_->serverThread_ = std::thread([this] { server_->http_.listen_after_bind(); });
}

void ExecutorServer::serveOrders()
{
    httplib::Server &http = server_->http_;
    const auto sendReply = [this](httplib::Response &response, test::OrderResult result) {
        Json body = {{"clock_ms", executor_->clock(soakNow()).count()}, {"born", executor_->info().incarnation_.startTimeMs_}};
        response.status = result == test::OrderResult::Accepted ? 200 : result == test::OrderResult::OtherExecutor ? 421 : 409;
        if (response.status == 409) {
            body["reason"] = refusalReason(result);
        }
        response.set_content(body.dump(), "application/json");
    };
    const auto orderHandler = [this, sendReply](auto execute) {
        return [this, sendReply, execute](const httplib::Request &request, httplib::Response &response) {
            if (shouldDelayOrder()) {
                std::thread([this, execute, request] {
                    std::this_thread::sleep_for(orderDelay);
                    const std::lock_guard lock(mutex_);
                    if (!stopping_) {
                        executingDelayedOrder_ = true;
                        (void)execute(request);
                        executingDelayedOrder_ = false;
                    }
                }).detach();
                response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
                return;
            }
            const std::lock_guard lock(mutex_);
            sendReply(response, execute(request));
        };
    };
    http.Post("/bergamotwick/run-start", orderHandler([this](const httplib::Request &request) {
                  const Json body = Json::parse(request.body);
                  batch::CallStart call;
                  call.incarnation_.executor_ = ExecutorId(request.get_header_value("X-Expect-Instance"));
                  call.order_.run_ = {*platform::parseTaskName(body.at("task")), body.at("run").get<std::uint32_t>()};
                  call.order_.checkpoint_ = body.value("last_checkpoint", "");
                  call.leaseEnd_ = milliseconds(body.at("deadline_ms").get<std::int64_t>());
                  call.fencingToken_ = body.at("fence_token");
                  const auto spec = body.at("spec").get<std::string>();
                  const milliseconds runTime(std::stoll(spec));
                  const auto result = executor_->start(call, soakNow(), failing_ ? std::min(runTime, failureDelay) : runTime, failing_);
                  if (result == test::OrderResult::Accepted && spec.ends_with(crashingSpec) && call.order_.run_.task_.index_ == 0) {
                      crashSoon();
                  }
                  return result;
              }));
    http.Post("/bergamotwick/run-stop", orderHandler([this](const httplib::Request &request) {
                  const Json body = Json::parse(request.body);
                  batch::CallStop call;
                  call.incarnation_.executor_ = ExecutorId(request.get_header_value("X-Expect-Instance"));
                  call.run_ = {*platform::parseTaskName(body.at("task")), body.at("run").get<std::uint32_t>()};
                  call.fencingToken_ = body.at("fence_token");
                  return executor_->stop(call, soakNow());
              }));
}

void ExecutorServer::servePolls()
{
    server_->http_.Post("/bergamotwick/hold", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body);
        batch::PollCall call;
        call.incarnation_.executor_ = ExecutorId(request.get_header_value("X-Expect-Instance"));
        call.fencingToken_ = body.at("fence_token");
        call.acknowledged_ = body.at("ack_cursor");
        if (body.contains("deadline_ms")) {
            call.leaseEnd_ = milliseconds(body.at("deadline_ms").get<std::int64_t>());
        }
        std::this_thread::sleep_for(milliseconds(std::min<std::int64_t>(100, body.value("wait_ms", 0))));
        const std::lock_guard lock(mutex_);
        const auto unacknowledged = executor_->poll({call.incarnation_, call.fencingToken_, 0, std::nullopt}, soakNow());
        const auto pollReply = executor_->poll(call, soakNow());
        if (!pollReply) {
            response.status = call.incarnation_.executor_ == executor_->info().incarnation_.executor_ ? 409 : 421;
            return;
        }
        for (const batch::EndedRun &end : unacknowledged ? unacknowledged->ended_ : std::vector<batch::EndedRun>()) {
            if (end.number_ <= call.acknowledged_) {
                const std::lock_guard judging(judge_.mutex_);
                judge_.judge_.acknowledged(end);
            }
        }
        Json running = Json::array();
        for (const batch::RunningTask &task : pollReply->running_) {
            running.push_back({platform::taskName(task.run_.task_), task.run_.run_, task.checkpoint_, task.percent_, 0});
        }
        Json ended = Json::array();
        for (const batch::EndedRun &end : pollReply->ended_) {
            ended.push_back({end.number_, platform::taskName(end.run_.task_), end.run_.run_, platform::endKindName(end.kind_), end.checkpoint_});
        }
        response.set_content(
            Json({{"clock_ms", pollReply->clock_.count()}, {"born", pollReply->startTimeMs_}, {"running", running}, {"ended_runs", ended}}).dump(),
            "application/json");
    });
}

void ExecutorServer::sendHeartbeats()
{
    httplib::Client client("127.0.0.1", controlPort_);
    client.set_connection_timeout(milliseconds(300));
    client.set_read_timeout(milliseconds(1'000));
    while (!stopping_) {
        Json body;
        std::string id;
        {
            const std::lock_guard lock(mutex_);
            executor_->advance(soakNow());
            const batch::ExecutorInfo &executorInfo = executor_->info();
            id = executorInfo.incarnation_.executor_.str();
            body = {{"service", executorInfo.service_.str()},
                    {"address", address()},
                    {"zone", executorInfo.dataCentre_.str()},
                    {"state", "ready"},
                    {"labels", executorInfo.labels_},
                    {"born", executorInfo.incarnation_.startTimeMs_},
                    {"seq", ++heartbeatSequence_},
                    {"capacity",
                     {{"cpu", executorInfo.capacity_.cpuMilli_}, {"mem_mb", executorInfo.capacity_.memoryMb_}, {"gpu", executorInfo.capacity_.accelerators_}}}};
        }
        (void)client.Post("/bergamotwick/instances/" + id + "/heartbeat", body.dump(), "application/json");
        std::this_thread::sleep_for(heartbeatPeriod);
    }
}

}
