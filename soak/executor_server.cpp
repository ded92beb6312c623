#include "executor_server.h"

#include "http_threads.h"
#include "job_codec.h"
#include "json_reader.h"

namespace bergamotwick::soak {

namespace {

using batch::milliseconds;
using platform::Json;

constexpr milliseconds stopTakes{200};
constexpr milliseconds lateBy{2'000};
constexpr milliseconds beatPeriod{500};
constexpr milliseconds failsAfter{200};
constexpr std::chrono::seconds idle{5};

const char *reasonOf(test::OrderResult taken)
{
    switch (taken) {
    case test::OrderResult::Fenced:
        return "fence";
    case test::OrderResult::StaleRun:
        return "old";
    case test::OrderResult::LeaseExpired:
    case test::OrderResult::Accepted:
    case test::OrderResult::OtherIncarnation:
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
    std::thread serving_;
    std::thread beating_;
};

ExecutorServer::ExecutorServer(int number, int controlPort, SharedJudge &judge)
    : number_(number)
    , controlPort_(controlPort)
    , judge_(judge)
    , server_(std::make_unique<Server>())
{
    comeUp(false);
    serve();
    server_->beating_ = std::thread([this] { beat(); });
}

ExecutorServer::~ExecutorServer()
{
    stopping_ = true;
    server_->http_.stop();
    server_->serving_.join();
    server_->beating_.join();
}

std::string ExecutorServer::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port_);
}

bool ExecutorServer::isLate()
{
    return static_cast<double>(rolls_++ * 7'919 % 1'000) / 1'000 < lateShare_;
}

void ExecutorServer::comeUp(bool sameName)
{
    const auto wall = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    names_ += sameName ? 0 : 1;
    lastBorn_ = std::max<std::int64_t>(lastBorn_ + 100, wall);
    batch::ExecutorInfo facts;
    facts.incarnation_ = {ExecutorId("x" + std::to_string(number_) + "-" + std::to_string(names_)), lastBorn_, ""};
    facts.service_ = ServiceId("service");
    facts.dataCentre_ = DataCentreId("dc");
    facts.capacity_ = {64'000, 131'072, 8};
    facts.labels_ = {"kind", "rack-" + std::to_string(number_ / 3)};
    {
        const std::lock_guard lock(judge_.mutex_);
        judge_.judge_.executorUp(facts);
    }
    executor_
        = std::make_unique<test::ExecutorStandIn>(facts,
                                                  soakNow(),
                                                  stopTakes,
                                                  test::RunObserver{[this](const auto &life, const auto &run, const auto &checkpoint) {
                                                                        const std::lock_guard lock(judge_.mutex_);
                                                                        judge_.judge_.began(life, run, checkpoint, soakNow(), lateOrder_ || linkDisturbed_);
                                                                    },
                                                                    [this](const auto &life, const auto &run, batch::EndKind how) {
                                                                        const std::lock_guard lock(judge_.mutex_);
                                                                        judge_.judge_.ended(life, run, how);
                                                                    }});
}

void ExecutorServer::restart(bool sameName)
{
    const std::lock_guard lock(mutex_);
    {
        const std::lock_guard judging(judge_.mutex_);
        judge_.judge_.executorDown(executor_->info().incarnation_);
    }
    comeUp(sameName);
}

void ExecutorServer::serve()
{
    httplib::Server &http = server_->http_;
    platform::configure(http, idle);
    serveOrders();
    serveHolds();
    server_->port_ = http.bind_to_any_port("127.0.0.1");
    server_->serving_ = std::thread([this] { server_->http_.listen_after_bind(); });
}

void ExecutorServer::serveOrders()
{
    httplib::Server &http = server_->http_;
    const auto answer = [this](httplib::Response &response, test::OrderResult taken) {
        Json body = {{"clock_ms", executor_->clock(soakNow()).count()}, {"born", executor_->info().incarnation_.startTimeMs_}};
        response.status = taken == test::OrderResult::Accepted ? 200 : taken == test::OrderResult::OtherIncarnation ? 421 : 409;
        if (response.status == 409) {
            body["reason"] = reasonOf(taken);
        }
        response.set_content(body.dump(), "application/json");
    };
    const auto order = [this, answer](auto carryOut) {
        return [this, answer, carryOut](const httplib::Request &request, httplib::Response &response) {
            if (isLate()) {
                std::thread([this, carryOut, request] {
                    std::this_thread::sleep_for(lateBy);
                    const std::lock_guard lock(mutex_);
                    if (!stopping_) {
                        lateOrder_ = true;
                        (void)carryOut(request);
                        lateOrder_ = false;
                    }
                }).detach();
                response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
                return;
            }
            const std::lock_guard lock(mutex_);
            answer(response, carryOut(request));
        };
    };
    http.Post("/bergamotwick/run-start", order([this](const httplib::Request &request) {
                  const Json body = Json::parse(request.body);
                  batch::CallStart call;
                  call.incarnation_.executor_ = ExecutorId(request.get_header_value("X-Expect-Instance"));
                  call.order_.run_ = {*platform::parseTaskName(body.at("task")), body.at("run").get<std::uint32_t>()};
                  call.order_.checkpoint_ = body.value("last_checkpoint", "");
                  call.leaseEnd_ = milliseconds(body.at("deadline_ms").get<std::int64_t>());
                  call.epoch_ = body.at("fence_token");
                  const milliseconds length(std::stoll(body.at("spec").get<std::string>()));
                  return executor_->start(call, soakNow(), failing_ ? std::min(length, failsAfter) : length, failing_);
              }));
    http.Post("/bergamotwick/run-stop", order([this](const httplib::Request &request) {
                  const Json body = Json::parse(request.body);
                  batch::CallStop call;
                  call.incarnation_.executor_ = ExecutorId(request.get_header_value("X-Expect-Instance"));
                  call.run_ = {*platform::parseTaskName(body.at("task")), body.at("run").get<std::uint32_t>()};
                  call.epoch_ = body.at("fence_token");
                  return executor_->stop(call, soakNow());
              }));
}

void ExecutorServer::serveHolds()
{
    server_->http_.Post("/bergamotwick/hold", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body);
        batch::PollCall call;
        call.incarnation_.executor_ = ExecutorId(request.get_header_value("X-Expect-Instance"));
        call.epoch_ = body.at("fence_token");
        call.acknowledged_ = body.at("ack_cursor");
        if (body.contains("deadline_ms")) {
            call.leaseEnd_ = milliseconds(body.at("deadline_ms").get<std::int64_t>());
        }
        std::this_thread::sleep_for(milliseconds(std::min<std::int64_t>(100, body.value("wait_ms", 0))));
        const std::lock_guard lock(mutex_);
        const auto listed = executor_->poll({call.incarnation_, call.epoch_, 0, std::nullopt}, soakNow());
        const auto held = executor_->poll(call, soakNow());
        if (!held) {
            response.status = call.incarnation_.executor_ == executor_->info().incarnation_.executor_ ? 409 : 421;
            return;
        }
        for (const batch::EndedRun &end : listed ? listed->ended_ : std::vector<batch::EndedRun>()) {
            if (end.number_ <= call.acknowledged_) {
                const std::lock_guard judging(judge_.mutex_);
                judge_.judge_.acknowledged(end);
            }
        }
        Json running = Json::array();
        for (const batch::RunningTask &task : held->running_) {
            running.push_back({platform::taskName(task.run_.task_), task.run_.run_, task.checkpoint_, task.percent_, 0});
        }
        Json ended = Json::array();
        for (const batch::EndedRun &end : held->ended_) {
            ended.push_back({end.number_, platform::taskName(end.run_.task_), end.run_.run_, platform::endKindName(end.kind_), end.checkpoint_});
        }
        response.set_content(Json({{"clock_ms", held->clock_.count()}, {"born", held->startTimeMs_}, {"running", running}, {"ended_runs", ended}}).dump(),
                             "application/json");
    });
}

void ExecutorServer::beat()
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
            const batch::ExecutorInfo &facts = executor_->info();
            id = facts.incarnation_.executor_.str();
            body = {{"service", facts.service_.str()},
                    {"address", address()},
                    {"zone", facts.dataCentre_.str()},
                    {"state", "ready"},
                    {"labels", facts.labels_},
                    {"born", facts.incarnation_.startTimeMs_},
                    {"seq", ++beats_},
                    {"capacity", {{"cpu", facts.capacity_.cpuMilli_}, {"mem_mb", facts.capacity_.memoryMb_}, {"gpu", facts.capacity_.accelerators_}}}};
        }
        (void)client.Post("/bergamotwick/instances/" + id + "/heartbeat", body.dump(), "application/json");
        std::this_thread::sleep_for(beatPeriod);
    }
}

}
