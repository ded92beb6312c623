#include "fleet.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int frontPort = 8'080;
constexpr int readinessPort = 8'081;
constexpr int internalPort = 7'000;
constexpr int controlPort = 7'100;
constexpr int appPort = 8'000;
constexpr int storePort = 8'524;
constexpr milliseconds graceTime{6'000};
constexpr milliseconds callTimeout{3'000};

constexpr const char *commonSettings = "region=r\ncounts_toward_loss=false\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.link_mbps=1000.0\n"
                                       "limits.max_fds=4100\nlimits.disk_mb=0\ndiscovery=local\nentry=vip\nheartbeat_ms=1500\norders=call\n"
                                       "platform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n"
                                       "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
                                       "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
                                       "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms=5000\nbounds.strict_revoke=true\n"
                                       "bounds.revoke_ms=5000\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\nbounds.hold_max_ms=10000\n"
                                       "bounds.stop_ms=400\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
                                       "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.spread_factor=3\nbounds.checkpoint_s=1\n"
                                       "bounds.restore_ms=600\nbounds.notice_ms=4500\nbounds.lease_ms=3000\nbounds.reclaim_ms=2900\n";

/// Returns the loopback address of machine \p number of this process.
std::string addressOf(int number)
{
    constexpr int values = 200;
    const int process = ::getpid();
    return "127." + std::to_string(16 + process % values) + "." + std::to_string(16 + process / values % values) + "." + std::to_string(number + 1);
}

std::string at(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

}

std::string makeConfig(int version, const std::vector<std::string> &more)
{
    Json routes = Json::array();
    const auto add = [&routes](const std::string &prefix, int priority) {
        routes.push_back({{"name", "r" + std::to_string(routes.size())},
                          {"host", "h.example"},
                          {"prefix", prefix},
                          {"service", "svc"},
                          {"priority", priority},
                          {"max_attempts", 3},
                          {"stretch", 3.0},
                          {"target_latency_ms", 1'000}});
    };
    add("/urgent/", 0);
    add("/usual/", 1);
    for (const std::string &prefix : more) {
        add(prefix, 1);
    }
    return Json({{"version", version},
                 {"routes", routes},
                 {"services", {{{"name", "svc"}, {"admission_check", false}}}},
                 {"tenants",
                  {{{"name", "t1"}, {"api_keys", {firstTenant}}, {"guaranteed", {{"gpu", 8}}}},
                   {{"name", "t2"}, {"api_keys", {secondTenant}}, {"guaranteed", {{"gpu", 8}}}}}},
                 {"limits", {{"max_body_bytes", 262'144}}}})
        .dump();
}

std::string jobId(int number)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08x%08x", static_cast<unsigned>(::getpid()), static_cast<unsigned>(number));
    return text.data();
}

Node::Node(std::string program, std::string role, std::string name, const std::string &folder, const std::string &settings)
    : program_(std::move(program))
    , role_(std::move(role))
    , name_(std::move(name))
    , settingsFile_(folder + "/" + name_ + ".conf")
    , logFile_(folder + "/" + name_ + ".log")
{
    std::ofstream(settingsFile_) << commonSettings << settings << "node_name=" << name_ << "\n";
}

Node::~Node()
{
    end(milliseconds(0));
}

void Node::start()
{
    std::string settings = "BERGAMOTWICK_SETTINGS=" + settingsFile_;
    const std::array<char *, 3> arguments{program_.data(), role_.data(), nullptr};
    const std::array<char *, 2> environment{settings.data(), nullptr};
    const int log = ::open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing is left if the case itself is ended
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program_.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
}

void Node::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void Node::end(milliseconds wait)
{
    if (pid_ <= 0) {
        return;
    }
    ::kill(pid_, SIGCONT);
    const auto until = Clock::now() + wait;
    while (::waitpid(pid_, nullptr, WNOHANG) == 0) {
        if (Clock::now() >= until) {
            ::kill(pid_, SIGKILL);
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    pid_ = -1;
}

Fleet::Fleet(Record &record, const std::string &program, const std::string &folder, int entries, int sides, const std::string &config)
    : record_(record)
    , store_(record)
{
    const auto settingsOf = [&](int number, const std::string &ip, const std::string &storeAddress) {
        const std::string zone = "z" + std::to_string(number % 2);
        return "ip=" + ip + "\nzone=" + zone + "\nplatform.address=" + storeAddress + "\ninternal_ports=" + std::to_string(internalPort) + ","
            + std::to_string(internalPort + 15) + "\n";
    };
    store_.put("op/config", config);
    for (int number = 0; number < entries; ++number) {
        Entry &entry = entries_.emplace_back();
        const std::string ip = addressOf(number);
        entry.storePort_ = store_.addPort(ip);
        entry.storeLink_ = std::make_unique<Link>(at(ip, storePort), store_.address(entry.storePort_));
        entry.front_ = at(ip, frontPort);
        entry.internal_ = at(ip, internalPort);
        entry.node_ = std::make_unique<Node>(program,
                                             "entry",
                                             "front-" + std::to_string(number),
                                             folder,
                                             settingsOf(number, ip, at(ip, storePort)) + "machine_class=front\nlimits.memory_mb=260\nlisten.front="
                                                 + entry.front_ + "\nlisten.readiness=" + at(ip, readinessPort) + "\n");
    }
    for (int number = 0; number < sides; ++number) {
        Side &side = sides_.emplace_back();
        const std::string ip = addressOf(entries + number);
        side.storePort_ = store_.addPort(ip);
        side.storeLink_ = std::make_unique<Link>(at(ip, storePort), store_.address(side.storePort_));
        side.executor_
            = std::make_unique<Executor>(record_, "e" + std::to_string(number), ip, at(ip, appPort), at(ip, controlPort), "z" + std::to_string(number % 2));
        side.node_ = std::make_unique<Node>(program,
                                            "agent",
                                            "side-" + std::to_string(number),
                                            folder,
                                            settingsOf(number, ip, at(ip, storePort)) + "machine_class=side\nlimits.memory_mb=128\nlisten.control="
                                                + at(ip, controlPort) + "\napp=" + at(ip, appPort) + "\nservice=svc\n");
    }
    for (Entry &entry : entries_) {
        entry.node_->start();
    }
    for (Side &side : sides_) {
        side.node_->start();
    }
}

Fleet::~Fleet()
{
    for (Entry &entry : entries_) {
        entry.node_->signal(SIGTERM);
    }
    for (Side &side : sides_) {
        side.node_->signal(SIGTERM);
    }
    for (Entry &entry : entries_) {
        entry.node_->end(graceTime);
    }
    for (Side &side : sides_) {
        side.node_->end(graceTime);
    }
}

int Fleet::leader()
{
    const std::string address = store_.value("b/m/leader");
    for (std::size_t number = 0; number < entries_.size(); ++number) {
        if (!address.empty() && entries_[number].internal_ == address) {
            return static_cast<int>(number);
        }
    }
    return -1;
}

bool Fleet::warmUp(milliseconds wait)
{
    const auto until = Clock::now() + wait;
    const std::string id = jobId(0xffff);
    const std::string body = Json({{"spec", "300"}, {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 100}, {"estimate_ms", 300}}}}}).dump();
    bool isAccepted = false;
    while (Clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(200));
        isAccepted = isAccepted || call(0, "POST", "/usual/" + id, body, false).status_ == 200;
        if (isAccepted && leader() >= 0 && call(0, "GET", "/usual/" + id, "", false).body_ == R"({"state":"completed"})") {
            std::this_thread::sleep_for(milliseconds(2'000)); // all agents have reported
            record_.line("ready: front-" + std::to_string(leader()) + " leads, a first job was completed");
            return true;
        }
    }
    return false;
}

Answer Fleet::call(int entry, const std::string &method, const std::string &path, const std::string &body, bool recorded, const char *key)
{
    httplib::Client client("http://" + entries_[static_cast<std::size_t>(entry)].front_);
    client.set_connection_timeout(milliseconds(1'000));
    client.set_read_timeout(callTimeout + milliseconds(500));
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.set_header("Host", "h.example");
    request.set_header("Authorization", std::string("Token ") + key);
    request.set_header("X-Deadline-Ms", std::to_string(callTimeout.count()));
    if (!body.empty()) {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    const std::int64_t sentMs = record_.nowMs();
    const auto result = client.send(request);
    Answer answer{result ? result->status : 0, result ? result->body : ""};
    if (recorded) {
        record_.line("client: " + method + " " + path + " at front-" + std::to_string(entry) + ", sent at " + std::to_string(sentMs)
                     + " ms: " + (answer.status_ == 0 ? "no answer" : std::to_string(answer.status_) + " " + answer.body_));
    }
    return answer;
}

}
