#include "executor.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::int64_t holdMaxMs = 10'000;
constexpr milliseconds stopTime{300};
constexpr milliseconds startupTime{300};
constexpr milliseconds heartbeatPeriod{1'500};
constexpr milliseconds beatCheck{50};

/// Within this time the link has reset all connections, so that no answer leaves any more.
constexpr milliseconds linkTime{60};

}

Executor::Executor(Record &record, std::string name, const std::string &ip, const std::string &address, std::string control, std::string zone)
    : record_(record)
    , name_(std::move(name))
    , address_(address)
    , control_(std::move(control))
    , zone_(std::move(zone))
{
    beginLife();
    http_.new_task_queue = [] { return new httplib::ThreadPool(16); };
    http_.set_tcp_nodelay(true);
    http_.set_keep_alive_max_count(1'000'000);
    http_.set_keep_alive_timeout(2);
    http_.Post("/bergamotwick/run-start", [this](const httplib::Request &request, httplib::Response &response) { start(request, response); });
    http_.Post("/bergamotwick/run-stop", [this](const httplib::Request &request, httplib::Response &response) { stop(request, response); });
    http_.Post("/bergamotwick/hold", [this](const httplib::Request &request, httplib::Response &response) { hold(request, response); });
    const int port = http_.bind_to_any_port(ip);
    link_ = std::make_unique<Link>(address, ip + ":" + std::to_string(port));
    server_ = std::thread([this] { http_.listen_after_bind(); });
    clock_ = std::thread([this] { advance(); });
    heart_ = std::thread([this] { beat(); });
}

Executor::~Executor()
{
    stopping_ = true;
    changed_.notify_all();
    http_.stop();
    server_.join();
    clock_.join();
    heart_.join();
}

void Executor::beginLife()
{
    ++life_;
    id_ = "i-" + name_ + "-" + std::to_string(life_);
    born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    bornAt_ = Clock::now();
    highestFence_ = 0;
    deadlineMs_ = 0;
    lastEnd_ = 0;
    sequence_ = 0;
    running_.clear();
    over_.clear();
    ends_.clear();
}

void Executor::crash()
{
    up_ = false;
    link_->down();
    std::this_thread::sleep_for(linkTime);
    loseAll("crashes");
}

void Executor::loseForGood()
{
    up_ = false;
    link_->dark();
    std::this_thread::sleep_for(linkTime);
    loseAll("is lost for good");
}

void Executor::loseAll(const std::string &how)
{
    const std::lock_guard lock(mutex_);
    record_.line(id_ + " " + how + ", with " + std::to_string(running_.size()) + " tasks");
    for (const auto &[task, run] : running_) {
        work_[run.work_].endedMs_ = record_.nowMs();
        work_[run.work_].how_ = "lost";
    }
    running_.clear();
    changed_.notify_all();
}

void Executor::restart()
{
    const std::lock_guard lock(mutex_);
    beginLife();
    up_ = true;
    link_->up();
    record_.line(id_ + " starts");
}

std::vector<Work> Executor::work()
{
    const std::lock_guard lock(mutex_);
    return work_;
}

std::int64_t Executor::clockMs() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - bornAt_).count();
}

int Executor::percentOf(const Run &run) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - run.beganAt_);
    if (run.spec_ == "last") {
        return age > startupTime ? 100 : 0;
    }
    return static_cast<int>(std::min<std::int64_t>(99, age.count() * 100 / std::max(1, std::stoi(run.spec_))));
}

/// Answers a call that is for another incarnation, or has a lower fencing token. Precondition: mutex_ is locked.
bool Executor::isRefused(const httplib::Request &request, const Json &body, httplib::Response &response)
{
    const std::int64_t fence = body.value("fence_token", std::int64_t{0});
    Json answer = {{"clock_ms", clockMs()}, {"born", born_}};
    if (!up_ || request.get_header_value("X-Expect-Instance") != id_) {
        response.status = 421;
    } else if (fence < highestFence_) {
        response.status = 409;
        answer["reason"] = "fence";
    } else {
        highestFence_ = fence;
        return false;
    }
    response.set_content(answer.dump(), "application/json");
    return true;
}

void Executor::extendLease(const Json &body)
{
    if (body.contains("deadline_ms")) {
        deadlineMs_ = std::max(deadlineMs_, std::min(body.at("deadline_ms").get<std::int64_t>(), clockMs() + holdMaxMs));
    }
}

void Executor::start(const httplib::Request &request, httplib::Response &response)
{
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(mutex_);
    if (isRefused(request, body, response)) {
        return;
    }
    const std::string task = body.at("task");
    const int number = body.at("run");
    Json answer = {{"clock_ms", clockMs()}, {"born", born_}};
    const auto present = running_.find(task);
    const auto over = over_.find(task);
    if (present != running_.end() && present->second.run_ == number) {
        extendLease(body);
    } else if (present != running_.end() || (over != over_.end() && number <= over->second)) {
        extendLease(body);
        response.status = 409;
        answer["reason"] = "old";
    } else if (body.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
        response.status = 409;
        answer["reason"] = "late";
    } else {
        extendLease(body);
        work_.push_back({task, number, record_.nowMs(), -1, ""});
        running_[task] = {number, body.at("spec"), Clock::now(), std::nullopt, work_.size() - 1};
        record_.line(id_ + " starts " + task + " run " + std::to_string(number));
    }
    response.set_content(answer.dump(), "application/json");
}

void Executor::stop(const httplib::Request &request, httplib::Response &response)
{
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(mutex_);
    if (isRefused(request, body, response)) {
        return;
    }
    const std::string task = body.at("task");
    const int number = body.at("run");
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run_ == number && !found->second.stopsAt_) {
        found->second.stopsAt_ = Clock::now() + stopTime;
        record_.line(id_ + " is told to stop " + task + " run " + std::to_string(number));
    }
    over_[task] = std::max(over_[task], number);
    response.set_content(Json({{"clock_ms", clockMs()}, {"born", born_}}).dump(), "application/json");
}

Json Executor::lists()
{
    Json running = Json::array();
    for (const auto &[task, run] : running_) {
        running.push_back({task, run.run_, "", percentOf(run), run.spec_ == "last" ? 1 : 1'000});
    }
    Json ended = Json::array();
    for (const End &end : ends_) {
        ended.push_back({end.number_, end.task_, end.run_, end.how_, ""});
    }
    return {{"clock_ms", clockMs()}, {"born", born_}, {"running", running}, {"ended_runs", ended}};
}

void Executor::hold(const httplib::Request &request, httplib::Response &response)
{
    const Json body = Json::parse(request.body);
    const auto until = Clock::now() + milliseconds(std::min<std::int64_t>(2'000, body.value("wait_ms", std::int64_t{0})));
    std::unique_lock lock(mutex_);
    if (isRefused(request, body, response)) {
        return;
    }
    extendLease(body);
    const std::int64_t cursor = body.value("ack_cursor", std::int64_t{0});
    std::erase_if(ends_, [cursor](const End &end) { return end.number_ <= cursor; });
    const int life = life_;
    changed_.wait_until(lock, until, [&] { return stopping_ || !up_ || life != life_ || !ends_.empty(); });
    response.set_content(lists().dump(), "application/json");
}

/// Precondition: mutex_ is locked.
void Executor::end(const std::string &task, const std::string &how)
{
    const Run run = running_.at(task);
    running_.erase(task);
    ends_.push_back({++lastEnd_, task, run.run_, how});
    over_[task] = std::max(over_[task], run.run_);
    work_[run.work_].endedMs_ = record_.nowMs();
    work_[run.work_].how_ = how;
    record_.line(id_ + " ends " + task + " run " + std::to_string(run.run_) + ": " + how);
    changed_.notify_all();
}

void Executor::advance()
{
    while (!stopping_) {
        std::this_thread::sleep_for(milliseconds(10));
        const std::lock_guard lock(mutex_);
        std::vector<std::pair<std::string, std::string>> over;
        const auto now = Clock::now();
        for (const auto &[task, run] : running_) {
            const bool isDone = run.spec_ != "last" && now >= run.beganAt_ + milliseconds(std::stoi(run.spec_));
            if (run.stopsAt_ && now >= *run.stopsAt_) {
                over.emplace_back(task, "stopped");
            } else if (isDone) {
                over.emplace_back(task, "done");
            } else if (clockMs() >= deadlineMs_) {
                over.emplace_back(task, "lapsed");
            }
        }
        for (const auto &[task, how] : over) {
            end(task, how);
        }
    }
}

void Executor::beat()
{
    httplib::Client client("http://" + control_);
    client.set_connection_timeout(milliseconds(300));
    client.set_read_timeout(milliseconds(1'000));
    int beatenLife = 0;
    auto next = Clock::now();
    while (!stopping_) {
        std::this_thread::sleep_for(beatCheck);
        std::string path;
        Json body;
        {
            const std::lock_guard lock(mutex_);
            if (!up_ || (life_ == beatenLife && Clock::now() < next)) {
                continue;
            }
            beatenLife = life_;
            path = "/bergamotwick/instances/" + id_ + "/heartbeat";
            body = {{"service", "svc"},
                    {"address", address_},
                    {"zone", zone_},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_left_ms", 0},
                    {"capacity", {{"cpu", 64'000}, {"mem_mb", 131'072}, {"gpu", 8}}},
                    {"labels", {"a", "r1-1"}},
                    {"clock_ms", clockMs()},
                    {"born", born_},
                    {"seq", ++sequence_}};
        }
        const auto result = client.Post(path, body.dump(), "application/json");
        next = Clock::now() + (result && result->status == 200 ? heartbeatPeriod : milliseconds(200));
    }
}

}
