#include "common.h"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include <httplib.h>

namespace review {

namespace {

using Steady = std::chrono::steady_clock;

constexpr std::int64_t holdMaxMs = 10'000;
constexpr std::int64_t stopTakesMs = 100;
constexpr milliseconds heartbeatPeriod{1'500};

/// Runs on their own thread for each connection.
class Threads : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        std::thread(std::move(task)).detach();
    }

    void shutdown() override
    {
    }
};

/// What a task does: "work MS", "lasts", "advised MS" (work that needs a ticket), or "fails-first MS": its first run fails after that time by its own
/// fault, later ones end done.
struct Spec
{
    std::string kind_;
    std::int64_t ms_ = 0;
};

Spec parseSpec(const std::string &text)
{
    Spec spec;
    std::istringstream(text) >> spec.kind_ >> spec.ms_;
    return spec;
}

struct Run
{
    std::int64_t startedMs_ = 0; ///< on the executor's clock
    std::int64_t endsMs_ = 0; ///< 0: when its lease ends or it is stopped
    std::string how_;
    bool stopping_ = false;
};

struct End
{
    std::int64_t number_ = 0;
    std::string task_;
    std::int64_t run_ = 0;
    std::string how_;
};

using RunKey = std::pair<std::string, std::int64_t>;

/// One life of an executor, as PROTOCOL.md tells it.
class Executor
{
public:
    Executor(std::string id, Json about, std::string control, const std::string &events)
        : id_(std::move(id))
        , about_(std::move(about))
        , control_(std::move(control))
        , events_(events)
        , born_(unixMs())
        , startedAt_(Steady::now())
    {
    }

    int serve(const std::string &host, int port)
    {
        httplib::Server http;
        http.new_task_queue = [] { return new Threads; };
        http.set_keep_alive_max_count(1'000'000);
        http.set_keep_alive_timeout(60);
        http.set_tcp_nodelay(true);
        const auto route = [&](const char *path, auto method) {
            http.Post(path, [this, method](const httplib::Request &request, httplib::Response &response) {
                if (request.has_header("X-Expect-Instance") && request.get_header_value("X-Expect-Instance") != id_) {
                    response.status = 421;
                    return;
                }
                const Json body = Json::parse(request.body, nullptr, false);
                if (!body.is_object()) {
                    response.status = 400;
                    return;
                }
                Json answer = Json::object();
                response.status = (this->*method)(body, answer);
                answer["clock_ms"] = clockMs();
                answer["born"] = born_;
                response.set_content(answer.dump(), "application/json");
            });
        };
        route("/bergamotwick/run-start", &Executor::start);
        route("/bergamotwick/run-stop", &Executor::stop);
        route("/bergamotwick/hold", &Executor::hold);
        http.Get("/health", [this](const httplib::Request &, httplib::Response &response) { response.set_header("X-Instance-Id", id_); });
        if (!http.bind_to_port(host, port)) {
            return 2;
        }
        events_.add("executor-up", {{"executor", id_}, {"born", born_}});
        std::thread([this] { sendHeartbeats(); }).detach();
        std::thread([this] {
            for (;;) {
                {
                    const std::lock_guard lock(mutex_);
                    advance();
                }
                std::this_thread::sleep_for(milliseconds(10));
            }
        }).detach();
        http.listen_after_bind();
        return 0;
    }

private:
    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<milliseconds>(Steady::now() - startedAt_).count();
    }

    bool accepts(const Json &body, Json &answer)
    {
        const auto token = body.value("fence_token", std::int64_t{0});
        if (token < fence_) {
            answer["reason"] = "fence";
            return false;
        }
        fence_ = token;
        return true;
    }

    /// A ticket is "EXECUTOR/END": until when it is valid.
    bool isValid(const std::string &ticket) const
    {
        const auto slash = ticket.find('/');
        return slash != std::string::npos && ticket.substr(0, slash) == id_ && std::atoll(ticket.c_str() + slash + 1) >= unixMs();
    }

    void extend(const Json &body)
    {
        if (body.contains("deadline_ms")) {
            leaseMs_ = std::max(leaseMs_, std::min(body["deadline_ms"].get<std::int64_t>(), clockMs() + holdMaxMs));
        }
    }

    int start(const Json &body, Json &answer)
    {
        const std::lock_guard lock(mutex_);
        advance();
        if (!accepts(body, answer)) {
            return 409;
        }
        const std::string task = body.at("task");
        const auto run = body.at("run").get<std::int64_t>();
        if (running_.contains({task, run})) {
            extend(body);
            return 200;
        }
        if (highest_.contains(task) && run <= highest_[task]) {
            extend(body);
            answer["reason"] = "old";
            return 409;
        }
        if (body.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
            answer["reason"] = "late";
            return 409;
        }
        const Spec spec = parseSpec(body.at("spec"));
        if (spec.kind_ == "advised" && !isValid(body.value("ticket", ""))) {
            events_.add("no-ticket", {{"executor", id_}, {"task", task}, {"run", run}, {"ticket", body.value("ticket", "")}});
            answer["reason"] = "ticket";
            return 409;
        }
        extend(body);
        Run started;
        started.startedMs_ = clockMs();
        started.endsMs_ = spec.kind_ == "lasts" ? 0 : started.startedMs_ + spec.ms_;
        started.how_ = spec.kind_ == "fails-first" && run == 1 ? "failed" : "done";
        running_[{task, run}] = started;
        events_.add("start", {{"executor", id_}, {"task", task}, {"run", run}, {"spec", body.at("spec")}});
        return 200;
    }

    int stop(const Json &body, Json &answer)
    {
        const std::lock_guard lock(mutex_);
        advance();
        if (!accepts(body, answer)) {
            return 409;
        }
        const std::string task = body.at("task");
        const auto run = body.at("run").get<std::int64_t>();
        highest_[task] = std::max(highest_[task], run);
        const auto found = running_.find({task, run});
        if (found != running_.end() && !found->second.stopping_) {
            found->second.stopping_ = true;
            found->second.how_ = "stopped";
            found->second.endsMs_ = clockMs() + stopTakesMs;
        }
        return 200;
    }

    int hold(const Json &body, Json &answer)
    {
        std::unique_lock lock(mutex_);
        advance();
        if (!accepts(body, answer)) {
            return 409;
        }
        extend(body);
        const auto cursor = body.value("ack_cursor", std::int64_t{0});
        std::erase_if(ended_, [&](const End &end) {
            const bool acknowledged = end.number_ <= cursor;
            if (acknowledged) {
                events_.add("end-taken-note-of", {{"executor", id_}, {"task", end.task_}, {"run", end.run_}, {"how", end.how_}, {"ack_cursor", cursor}});
            }
            return acknowledged;
        });
        const milliseconds wait(std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2'000));
        changed_.wait_for(lock, wait, [this] { return !ended_.empty(); });
        Json running = Json::array();
        for (const auto &[key, run] : running_) {
            const std::int64_t done = clockMs() - run.startedMs_;
            const std::int64_t total = std::max<std::int64_t>(1, run.endsMs_ - run.startedMs_);
            const std::int64_t percent = run.endsMs_ == 0 ? (done > 500 ? 100 : 0) : std::min<std::int64_t>(99, done * 100 / total);
            running.push_back({key.first, key.second, "", percent, 0});
        }
        Json ends = Json::array();
        for (const End &end : ended_) {
            if (ends.size() < 500) {
                ends.push_back({end.number_, end.task_, end.run_, end.how_, ""});
            }
        }
        answer["running"] = running;
        answer["ended_runs"] = ends;
        return 200;
    }

    /// Ends what is over. Precondition: mutex_ is locked.
    void advance()
    {
        const std::int64_t now = clockMs();
        std::vector<std::pair<RunKey, std::string>> over;
        for (const auto &[key, run] : running_) {
            if (run.endsMs_ != 0 && run.endsMs_ <= now) {
                over.emplace_back(key, run.how_);
            } else if (leaseMs_ <= now) {
                over.emplace_back(key, "lapsed");
            }
        }
        for (const auto &[key, how] : over) {
            running_.erase(key);
            highest_[key.first] = std::max(highest_[key.first], key.second);
            ended_.push_back({++lastEnd_, key.first, key.second, how});
            events_.add("end", {{"executor", id_}, {"task", key.first}, {"run", key.second}, {"how", how}});
        }
        if (!over.empty()) {
            changed_.notify_all();
        }
    }

    void sendHeartbeats()
    {
        for (std::int64_t sequence = 1;; ++sequence) {
            Json beat = about_;
            beat["seq"] = sequence;
            beat["clock_ms"] = clockMs();
            beat["born"] = born_;
            httplib::Client client("http://" + control_);
            client.set_connection_timeout(milliseconds(500));
            client.set_read_timeout(milliseconds(1'000));
            const auto reply = client.Post("/bergamotwick/instances/" + id_ + "/heartbeat", beat.dump(), "application/json");
            events_.add("heartbeat", {{"executor", id_}, {"seq", sequence}, {"status", reply ? reply->status : 0}});
            std::this_thread::sleep_for(reply && reply->status == 200 ? heartbeatPeriod : milliseconds(300));
        }
    }

    std::string id_;
    Json about_;
    std::string control_;
    Events events_;
    std::int64_t born_;
    Steady::time_point startedAt_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t fence_ = 0;
    std::int64_t leaseMs_ = 0;
    std::map<RunKey, Run> running_;
    std::map<std::string, std::int64_t> highest_;
    std::vector<End> ended_;
    std::int64_t lastEnd_ = 0;
};

}

int runExecutor(int argc, char **argv)
{
    if (argc != 8) {
        return 2;
    }
    // executor ID HOST PORT CONTROL HEARTBEAT EVENTS
    Executor executor(argv[2], Json::parse(argv[6]), argv[5], argv[7]);
    return executor.serve(argv[3], std::atoi(argv[4]));
}

}
