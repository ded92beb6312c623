#include "executor_server.h"

#include "http_threads.h"
#include "job_codec.h"
#include "json_reader.h"

namespace bergamotwick::soak {

namespace {

using platform::Json;

constexpr int executorPort = 8'000;
constexpr int linkPort = 8'001;
constexpr milliseconds stopDuration{200};
constexpr milliseconds heartbeatPeriod{500};
constexpr milliseconds advanceInterval{20};
constexpr milliseconds failureDelay{200};
constexpr milliseconds crashDelay{10};
constexpr std::chrono::seconds idleTimeout{5};
constexpr milliseconds connectTimeout{300};
constexpr milliseconds callTimeout{1'000};

/// An order that the link has held up is executed within this time after the link has passed it on.
constexpr milliseconds releaseTime{500};

/// How long some of the calls without an answer keep their connection open; longer than agents wait.
constexpr milliseconds silence{1'000};

/// Limits of the time after which a delayed order is executed.
constexpr milliseconds shortestOrderDelay{2'000};
constexpr milliseconds longestOrderDelay{12'000};

/// Limits of the time without an executor after a crash by a task.
constexpr milliseconds shortestAbsence{0};
constexpr milliseconds longestAbsence{4'000};

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

/// Closes the connection before the announced body is sent, so that the call gets no answer.
void dropAnswer(httplib::Response &response)
{
    response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

ExecutorId addressee(const httplib::Request &request)
{
    return ExecutorId(request.get_header_value("X-Expect-Instance"));
}

batch::ResourceVector scaled(const batch::ResourceVector &capacity, double factor)
{
    const auto scale = [factor](auto amount) { return static_cast<decltype(amount)>(static_cast<double>(amount) * factor); };
    return {scale(capacity.cpuMilli_), scale(capacity.memoryMb_), scale(capacity.accelerators_)};
}

}

struct ExecutorServer::Server
{
    httplib::Server http_;
    std::thread serverThread_;
    std::thread heartbeatThread_;
    std::thread advanceThread_;
};

ExecutorServer::ExecutorServer(int number, std::uint64_t seed, const std::string &host, std::string controlAddress, SharedJudge &judge)
    : number_(number)
    , controlAddress_(std::move(controlAddress))
    , judge_(judge)
    , server_(std::make_unique<Server>())
    , link_(host + ":" + std::to_string(executorPort), host + ":" + std::to_string(linkPort))
    , random_(seed * 1'009 + static_cast<std::uint64_t>(number))
{
    startIncarnation(false);
    serve();
    server_->http_.bind_to_port(host, executorPort);
    server_->serverThread_ = std::thread([this] { server_->http_.listen_after_bind(); });
    server_->heartbeatThread_ = std::thread([this] { sendHeartbeats(); });
    server_->advanceThread_ = std::thread([this] { advance(); });
}

ExecutorServer::~ExecutorServer()
{
    stopping_ = true;
    server_->http_.stop();
    server_->serverThread_.join();
    server_->heartbeatThread_.join();
    server_->advanceThread_.join();
}

std::string ExecutorServer::address() const
{
    return link_.address();
}

milliseconds ExecutorServer::draw(milliseconds least, milliseconds most)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
}

ExecutorServer::OrderFate ExecutorServer::drawOrderFate()
{
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    if (drawn < orderFaults_.delayedRate_) {
        return OrderFate::Delayed;
    }
    if (drawn < orderFaults_.delayedRate_ + orderFaults_.lostAnswerRate_) {
        return OrderFate::AnswerLost;
    }
    const bool rejected = drawn < orderFaults_.delayedRate_ + orderFaults_.lostAnswerRate_ + orderFaults_.rejectedRate_;
    return rejected ? OrderFate::Rejected : OrderFate::Executed;
}

void ExecutorServer::startIncarnation(bool sameName)
{
    const auto wallTimeMs = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    nameCount_ += sameName ? 0 : 1;
    lastStartTimeMs_ = std::max<std::int64_t>(lastStartTimeMs_ + 100, wallTimeMs);
    heartbeatSequence_ = 0;
    absent_ = false;
    leaving_ = false;
    crashesAt_.reset();
    batch::ExecutorInfo executorInfo;
    executorInfo.incarnation_ = {ExecutorId("x" + std::to_string(number_) + "-" + std::to_string(nameCount_)), lastStartTimeMs_, ""};
    executorInfo.service_ = ServiceId("service");
    executorInfo.dataCentre_ = DataCentreId("dc");
    executorInfo.capacity_ = scaled(fullCapacity, capacityFactor_);
    executorInfo.labels_ = {"kind", "rack-" + std::to_string(number_ / 3)};
    {
        const std::lock_guard lock(judge_.mutex_);
        judge_.judge_.executorUp(executorInfo, soakNow());
    }
    executor_ = std::make_unique<test::ExecutorStandIn>(executorInfo,
                                                        soakNow(),
                                                        stopDuration,
                                                        test::RunObserver{[this](const auto &incarnation, const auto &run, const auto &checkpoint) {
                                                                              judge_.lives_.began(incarnation, run, soakNow());
                                                                              const std::lock_guard lock(judge_.mutex_);
                                                                              judge_.judge_.began(incarnation, run, checkpoint, {soakNow(), lateCallTime()});
                                                                          },
                                                                          [this](const auto &incarnation, const auto &run, batch::EndKind kind) {
                                                                              judge_.lives_.ended(incarnation, run, soakNow());
                                                                              const std::lock_guard lock(judge_.mutex_);
                                                                              judge_.judge_.ended(incarnation, run, kind);
                                                                          },
                                                                          [this](const auto &incarnation, const auto &end) {
                                                                              const std::lock_guard lock(judge_.mutex_);
                                                                              judge_.judge_.acknowledged(incarnation, end);
                                                                          },
                                                                          [this](const auto &incarnation) {
                                                                              const std::lock_guard lock(judge_.mutex_);
                                                                              judge_.judge_.leaseLapsed(incarnation);
                                                                          }});
    link_.setAddress(LinkAddress::Open);
}

/// Returns when the order that is being executed was called, if it was held up on its way or here. Precondition: mutex_ is locked.
std::optional<Instant> ExecutorServer::lateCallTime() const
{
    const Proxy::Hold hold = link_.lastHold();
    if (delayedSince_ || std::chrono::steady_clock::now() - hold.releasedAt_ >= releaseTime) {
        return delayedSince_;
    }
    return std::chrono::time_point_cast<Duration>(hold.receivedAt_);
}

/// Starts the next incarnation after \p absence. Precondition: mutex_ is locked, an incarnation lives, and the judge knows that it ends.
void ExecutorServer::endIncarnation(bool sameName, milliseconds absence, std::function<void()> whenStarted)
{
    absent_ = true;
    crashesAt_.reset();
    link_.setAddress(LinkAddress::Gone);
    delayed_.after(absence, [this, sameName, whenStarted = std::move(whenStarted)] {
        {
            const std::lock_guard lock(mutex_);
            startIncarnation(sameName);
        }
        whenStarted();
    });
}

void ExecutorServer::restart(bool sameName)
{
    const std::lock_guard lock(mutex_);
    if (absent_) {
        return;
    }
    {
        const std::lock_guard judging(judge_.mutex_);
        judge_.judge_.executorCrashed(executor_->info().incarnation_);
        judge_.lives_.executorEnded(executor_->info().incarnation_, soakNow());
    }
    startIncarnation(sameName);
}

void ExecutorServer::crash(bool sameName, milliseconds absence)
{
    const std::lock_guard lock(mutex_);
    crashNow(sameName, absence);
}

/// Precondition: mutex_ is locked.
void ExecutorServer::crashNow(bool sameName, milliseconds absence)
{
    if (absent_) {
        return;
    }
    {
        const std::lock_guard judging(judge_.mutex_);
        judge_.judge_.executorCrashed(executor_->info().incarnation_);
        judge_.lives_.executorEnded(executor_->info().incarnation_, soakNow());
    }
    endIncarnation(sameName, absence, [] {});
}

/// Crashes the current incarnation a moment later, so that the start may still be answered. Precondition: mutex_ is locked.
void ExecutorServer::crashSoon()
{
    crashesAt_ = crashesAt_.value_or(soakNow() + crashDelay);
}

/// Every call and heartbeat looks at this first, so that no delayed thread lets a task that crashes its executor be seen alive for longer.
/// Precondition: mutex_ is locked.
void ExecutorServer::crashIfDue()
{
    if (crashesAt_ && soakNow() >= *crashesAt_) {
        crashNow(false, draw(shortestAbsence, longestAbsence));
    }
}

void ExecutorServer::leave(const Departure &departure)
{
    const std::lock_guard lock(mutex_);
    if (absent_ || std::exchange(leaving_, true)) {
        return;
    }
    leavesAt_ = soakNow() + departure.draining_;
    const auto incarnation = executor_->info().incarnation_;
    delayed_.after(departure.draining_, [this, incarnation, departure] { announceLeave(incarnation, departure); });
}

void ExecutorServer::announceLeave(const batch::Incarnation &incarnation, const Departure &departure)
{
    {
        const std::lock_guard lock(mutex_);
        if (absent_ || executor_->info().incarnation_ != incarnation) {
            return;
        }
    }
    const bool acknowledged = sendLeave(incarnation) && !departure.acknowledgementLost_;
    delayed_.after(acknowledged ? milliseconds(0) : departure.remaining_, [this, incarnation, departure] { endDeparted(incarnation, departure); });
}

void ExecutorServer::endDeparted(const batch::Incarnation &incarnation, const Departure &departure)
{
    const std::lock_guard lock(mutex_);
    if (absent_ || executor_->info().incarnation_ != incarnation) {
        return;
    }
    executor_->advance(soakNow());
    {
        const std::lock_guard judging(judge_.mutex_);
        judge_.judge_.executorDown(incarnation);
        judge_.lives_.executorEnded(incarnation, soakNow());
    }
    endIncarnation(departure.sameName_, departure.absence_, [this, incarnation, departure] {
        if (departure.duplicateAfter_.count() > 0) {
            delayed_.after(departure.duplicateAfter_, [this, incarnation] { (void)sendLeave(incarnation); });
        }
    });
}

bool ExecutorServer::sendLeave(const batch::Incarnation &incarnation) const
{
    httplib::Client client("http://" + controlAddress_);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(callTimeout);
    const auto result = client.Post(
        "/bergamotwick/instances/" + incarnation.executor_.str() + "/leave", Json({{"born", incarnation.startTimeMs_}}).dump(), "application/json");
    return result && result->status == 200;
}

void ExecutorServer::setCapacityFactor(double factor)
{
    const std::lock_guard lock(mutex_);
    capacityFactor_ = factor;
    if (absent_) {
        return;
    }
    const batch::ResourceVector capacity = scaled(fullCapacity, factor);
    executor_->setCapacity(capacity);
    const std::lock_guard judging(judge_.mutex_);
    judge_.judge_.capacityChanged(executor_->info().incarnation_, capacity, soakNow());
}

void ExecutorServer::setOrderFaults(const OrderFaults &faults)
{
    const std::lock_guard lock(mutex_);
    orderFaults_ = faults;
}

void ExecutorServer::freeze(milliseconds duration) noexcept
{
    frozenUntil_ = std::max(frozenUntil_.load(), soakNow() + duration);
}

/// Returns whether the executor was frozen.
bool ExecutorServer::waitWhileFrozen() const
{
    bool frozen = false;
    while (!stopping_ && soakNow() < frozenUntil_.load()) {
        frozen = true;
        std::this_thread::sleep_for(advanceInterval);
    }
    return frozen;
}

void ExecutorServer::serve()
{
    platform::configure(server_->http_, idleTimeout);
    serveOrders();
    servePolls();
}

void ExecutorServer::handleOrder(const OrderFunction &execute, const httplib::Request &request, httplib::Response &response)
{
    const Json body = Json::parse(request.body);
    const ExecutorId executor = addressee(request);
    const Instant arrivedAt = soakNow();
    const bool wasFrozen = waitWhileFrozen();
    std::unique_lock lock(mutex_);
    crashIfDue();
    const OrderFate fate = absent_ ? OrderFate::AnswerLost : drawOrderFate();
    const auto leaveUnanswered = [&] {
        const bool silent = random_() % 2 == 0;
        lock.unlock();
        std::this_thread::sleep_for(silent ? silence : milliseconds(0));
        dropAnswer(response);
    };
    if (fate == OrderFate::Delayed) {
        delayed_.after(draw(shortestOrderDelay, longestOrderDelay), [this, execute, body, executor, arrivedAt] {
            const std::lock_guard delayedLock(mutex_);
            crashIfDue();
            delayedSince_ = arrivedAt;
            (void)(absent_ ? test::OrderResult::OtherExecutor : execute(body, executor));
            delayedSince_.reset();
        });
        return leaveUnanswered();
    }
    if (fate == OrderFate::Rejected) {
        response.status = 503;
        return;
    }
    if (absent_) {
        return dropAnswer(response);
    }
    delayedSince_ = wasFrozen ? std::optional(arrivedAt) : std::nullopt;
    const test::OrderResult result = execute(body, executor);
    delayedSince_.reset();
    if (fate == OrderFate::AnswerLost) {
        return leaveUnanswered();
    }
    Json answer = {{"clock_ms", executor_->clock(soakNow()).count()}, {"born", executor_->info().incarnation_.startTimeMs_}};
    response.status = result == test::OrderResult::Accepted ? 200 : result == test::OrderResult::OtherExecutor ? 421 : 409;
    if (response.status == 409) {
        answer["reason"] = refusalReason(result);
    }
    response.set_content(answer.dump(), "application/json");
}

test::OrderResult ExecutorServer::executeStart(const Json &body, const ExecutorId &executor)
{
    batch::CallStart call;
    call.incarnation_.executor_ = executor;
    call.order_.run_ = {*platform::parseTaskName(body.at("task")), body.at("run").get<std::uint32_t>()};
    call.order_.checkpoint_ = body.value("last_checkpoint", "");
    call.leaseEnd_ = milliseconds(body.at("deadline_ms").get<std::int64_t>());
    call.fencingToken_ = body.at("fence_token");
    const auto spec = body.at("spec").get<std::string>();
    const milliseconds runTime(std::stoll(spec));
    const bool fails = failing_;
    const auto result = executor_->start(call, soakNow(), fails ? std::min(runTime, failureDelay) : runTime, fails);
    if (result == test::OrderResult::Accepted && spec.ends_with(crashingSpec) && call.order_.run_.task_.index_ == 0) {
        crashSoon();
    }
    return result;
}

void ExecutorServer::serveOrders()
{
    const auto addOrder = [this](const char *path, OrderFunction execute) {
        server_->http_.Post(path, [this, execute = std::move(execute)](const httplib::Request &request, httplib::Response &response) {
            handleOrder(execute, request, response);
        });
    };
    addOrder("/bergamotwick/run-start", [this](const Json &body, const ExecutorId &executor) { return executeStart(body, executor); });
    addOrder("/bergamotwick/run-stop", [this](const Json &body, const ExecutorId &executor) {
        batch::CallStop call;
        call.incarnation_.executor_ = executor;
        call.run_ = {*platform::parseTaskName(body.at("task")), body.at("run").get<std::uint32_t>()};
        call.fencingToken_ = body.at("fence_token");
        return executor_->stop(call, soakNow());
    });
}

void ExecutorServer::servePolls()
{
    server_->http_.Post("/bergamotwick/hold", [this](const httplib::Request &request, httplib::Response &response) {
        const Json body = Json::parse(request.body);
        batch::PollCall call;
        call.incarnation_.executor_ = addressee(request);
        call.fencingToken_ = body.at("fence_token");
        call.acknowledged_ = body.at("ack_cursor");
        if (body.contains("deadline_ms")) {
            call.leaseEnd_ = milliseconds(body.at("deadline_ms").get<std::int64_t>());
        }
        std::this_thread::sleep_for(milliseconds(std::min<std::int64_t>(100, body.value("wait_ms", 0))));
        waitWhileFrozen();
        const std::lock_guard lock(mutex_);
        crashIfDue();
        if (absent_) {
            return dropAnswer(response);
        }
        const auto pollReply = executor_->poll(call, soakNow());
        if (!pollReply) {
            response.status = call.incarnation_.executor_ == executor_->info().incarnation_.executor_ ? 409 : 421;
            return;
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

/// Precondition: mutex_ is locked and an incarnation lives.
ExecutorServer::Json ExecutorServer::heartbeat()
{
    const batch::ExecutorInfo &info = executor_->info();
    Json body = {{"service", info.service_.str()},
                 {"address", address()},
                 {"zone", info.dataCentre_.str()},
                 {"state", leaving_ ? "draining" : "ready"},
                 {"labels", info.labels_},
                 {"born", info.incarnation_.startTimeMs_},
                 {"seq", ++heartbeatSequence_},
                 {"capacity", {{"cpu", info.capacity_.cpuMilli_}, {"mem_mb", info.capacity_.memoryMb_}, {"gpu", info.capacity_.accelerators_}}}};
    if (leaving_) {
        body["remaining_ms"] = std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(leavesAt_ - soakNow()).count());
    }
    return body;
}

/// Ends runs in time, also while no call arrives.
void ExecutorServer::advance()
{
    while (!stopping_) {
        {
            const std::lock_guard lock(mutex_);
            crashIfDue();
            if (!absent_) {
                executor_->advance(soakNow());
            }
        }
        std::this_thread::sleep_for(advanceInterval);
    }
}

void ExecutorServer::sendHeartbeats()
{
    httplib::Client client("http://" + controlAddress_);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(callTimeout);
    while (!stopping_) {
        waitWhileFrozen();
        std::string path;
        Json body;
        {
            const std::lock_guard lock(mutex_);
            crashIfDue();
            if (!absent_) {
                path = "/bergamotwick/instances/" + executor_->info().incarnation_.executor_.str() + "/heartbeat";
                body = heartbeat();
            }
        }
        if (!path.empty()) {
            (void)client.Post(path, body.dump(), "application/json");
        }
        std::this_thread::sleep_for(heartbeatPeriod);
    }
}

}
