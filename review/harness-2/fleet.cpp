#include "fleet.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <random>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *zones[] = {"pannonia-a", "pannonia-b", "pannonia-c", "pannonia-d"};

/// The bounds of the site kovacs-nevezes.
constexpr const char *commonSettings
    = "region=pannonia\nzones.pannonia-a=pannonia\nzones.pannonia-b=pannonia\nzones.pannonia-c=pannonia\nzones.pannonia-d=pannonia\n"
      "internal_ports=7000,7015\nseeds=\nbootstrap=true\ncounts_toward_loss=false\nlimits.cores=1\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
      "discovery=local\nentry=vip\nheartbeat_ms=1500\n"
      "contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing\n"
      "tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n"
      "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
      "bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms=5000\n"
      "bounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.cold_overrun=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\n"
      "bounds.recovery_s=12\nbounds.hold_max_ms=10000\nbounds.stop_ms=400\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
      "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.spread_factor=3\nbounds.checkpoint_s=1\n"
      "bounds.restore_ms=600\nbounds.notice_ms=4500\nbounds.move_s=1.5\nbounds.maintenance_s=2\nbounds.require_fence=true\n"
      "bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\nbounds.reclaim_ms=2900\norders=call\n"
      "platform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
      "platform.ttl_min_ms=1000\ncloud_api.rate_per_s=60.0\ncloud_api.duties=\ncloud_api.duty_per_s=60.0\n";

bool isFree(const std::string &host, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    const bool free = ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    ::close(socket);
    return free;
}

/// Returns the first three numbers of loopback addresses whose ports are free.
std::string freeNetwork()
{
    std::random_device random;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const std::string network = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        bool free = true;
        for (int host = 1; host <= 40 && free; ++host) {
            for (const int port : {frontPort, readinessPort, controlPort, executorPort, executorLinkPort, 7000, 7001, 9464}) {
                free = free && isFree(network + std::to_string(host), port);
            }
        }
        if (free) {
            return network;
        }
    }
    return "127.0.9.";
}

std::string at(const std::string &host, int port)
{
    return host + ":" + std::to_string(port);
}

}

Process::Process(std::vector<std::string> command, std::vector<std::string> environment, std::string log)
    : command_(std::move(command))
    , environment_(std::move(environment))
    , log_(std::move(log))
{
}

Process::~Process()
{
    if (running()) {
        signal(SIGKILL);
        waitForEnd(milliseconds(5'000));
    }
}

void Process::start()
{
    std::vector<char *> arguments;
    for (std::string &word : command_) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<char *> variables;
    for (std::string &variable : environment_) {
        variables.push_back(variable.data());
    }
    variables.push_back(nullptr);
    const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the test itself is killed
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), variables.data());
        ::_exit(127);
    }
    ::close(log);
}

void Process::signal(int number)
{
    if (running()) {
        ::kill(pid_, number);
    }
}

bool Process::running()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ > 0;
}

bool Process::waitForEnd(milliseconds timeout)
{
    return Fleet::waitFor(timeout, [this] { return !running(); });
}

Fleet::Fleet(std::string self, std::string folder, int entries, int executors)
    : record_(folder + "/events")
    , self_(std::move(self))
    , folder_(std::move(folder))
    , network_(freeNetwork())
    , store_(1)
{
    firstEntryLink_ = std::make_unique<HeldLink>(store_.address());
    const std::vector<std::string> inherited{"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
    const auto make = [&](const std::string &role, const std::string &name, const std::string &text) {
        const std::string file = folder_ + "/" + name + ".conf";
        std::ofstream(file) << text;
        std::vector<std::string> environment = inherited;
        environment.push_back("BERGAMOTWICK_SETTINGS=" + file);
        return std::make_unique<Process>(std::vector<std::string>{"target/bergamotwick-node", role}, environment, folder_ + "/" + name + ".log");
    };
    for (int number = 0; number < entries; ++number) {
        const std::string zone = zones[number % 4];
        const std::string name = "front-" + zone + "-1";
        const std::string address = host(number);
        entryHosts_.push_back(address);
        entries_.push_back(make("entry",
                                name,
                                settings(name, "front", address, zone, number == 0 ? firstEntryLink_->address() : store_.address())
                                    + "limits.cpu_share=0.25\nlimits.memory_mb=260\nlimits.max_fds=4100\nlisten.front=" + at(address, frontPort)
                                    + "\nlisten.readiness=" + at(address, readinessPort) + "\n"));
    }
    for (int number = 0; number < executors; ++number) {
        ExecutorHost &each = executors_.emplace_back();
        each.host_ = host(entries + number);
        each.zone_ = zones[number % 4];
        each.labels_ = {"a", "r1-" + std::to_string(number / 3)};
        if (number == 0) {
            firstExecutorLink_ = std::make_unique<HeldLink>(at(each.host_, executorPort), at(each.host_, executorLinkPort));
        }
        const std::string name = "side-" + each.zone_ + "-" + std::to_string(number / 4 + 1);
        each.agent_ = make("agent",
                           name,
                           settings(name, "side", each.host_, each.zone_, store_.address())
                               + "limits.cpu_share=0.15\nlimits.memory_mb=128\nlimits.max_fds=4096\nlisten.control=" + at(each.host_, controlPort)
                               + "\napp=" + at(each.host_, number == 0 ? executorLinkPort : executorPort) + "\nservice=" + service_ + "\n");
    }
}

Fleet::~Fleet() = default;

std::string Fleet::host(int number) const
{
    return network_ + std::to_string(number + 1);
}

std::string
Fleet::settings(const std::string &name, const std::string &machineClass, const std::string &address, const std::string &zone, const std::string &store) const
{
    return std::string(commonSettings) + "node_name=" + name + "\nrole=" + (machineClass == "front" ? "entry" : "agent") + "\nmachine_class=" + machineClass
        + "\nserves=" + machineClass + "\nip=" + address + "\nzone=" + zone + "\nplatform.address=" + store + "\nadvice=" + at(adviceHost(), advicePort)
        + "\ncloud_api.address=" + at(adviceHost(), 8525) + "\n";
}

void Fleet::configure(int version, bool withQueue)
{
    const auto route = [this](const std::string &name, const std::string &prefix, int priority) {
        return Json{{"name", name},
                    {"host", hostName_},
                    {"prefix", prefix},
                    {"kind", "unsafe"},
                    {"timeout_ms", 3000},
                    {"target_latency_ms", 1000},
                    {"priority", priority},
                    {"service", service_},
                    {"max_attempts", 3},
                    {"stretch", 3.0},
                    {"public", false}};
    };
    Json routes = Json::array({route("r-7ejsmzz", otherQueue_, otherPriority_)});
    if (withQueue) {
        routes.push_back(route("r-jwyy7yx", queue_, 1));
        if (!advice_.is_null()) {
            routes.back()["advice"] = advice_;
        }
    }
    const Json config{{"version", version},
                      {"routes", routes},
                      {"services",
                       {{{"name", service_},
                         {"health_path", "/health"},
                         {"max_conns", 64},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"cold_start_s", 0.0},
                         {"cold_per_s", 0.0},
                         {"admission_check", false},
                         {"standby", false}}}},
                      {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
                      {"tenants", {{{"name", "kaje80"}, {"api_keys", {key_}}, {"priority", 1}, {"guaranteed", {{"gpu", 0}}}}}}};
    store_.put("op/config", config.dump());
    record_.add("config", {{"version", version}, {"queue", withQueue}});
}

bool Fleet::start()
{
    configure(1, true);
    for (const auto &entry : entries_) {
        entry->start();
    }
    for (std::size_t number = 0; number < executors_.size(); ++number) {
        executors_[number].agent_->start();
        startExecutor(number);
    }
    const auto allReady = [this] {
        return std::all_of(entryHosts_.begin(), entryHosts_.end(), [](const std::string &host) {
            httplib::Client client("http://" + at(host, readinessPort));
            client.set_connection_timeout(milliseconds(500));
            const auto reply = client.Get("/bergamotwick/ready");
            return reply && reply->status == 200;
        });
    };
    const auto allKnown = [this] {
        return events([](const Json &event) { return event.at("what") == "heartbeat" && event.at("status") == 200; }).size() >= 2 * executors_.size();
    };
    const std::string first = otherQueue_ + "00000000000000f1";
    return waitFor(milliseconds(10'000), allReady) && waitFor(milliseconds(10'000), allKnown)
        && submit(first, {{"spec", "work 300"}, {"steps", {{{"count", 8}, {"cpu", 1000}, {"mem_mb", 256}, {"gpu", 1}, {"estimate_ms", 300}}}}})
        && waitFor(milliseconds(10'000), [&] { return state(first) == "completed"; });
}

Reply Fleet::call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body, milliseconds deadline, milliseconds patience)
{
    httplib::Client client("http://" + at(entryHosts_.at(entry % entryHosts_.size()), frontPort));
    client.set_connection_timeout(milliseconds(500));
    client.set_read_timeout(patience);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.set_header("Host", hostName_);
    request.set_header("Authorization", "Token " + key_);
    request.set_header("X-Deadline-Ms", std::to_string(deadline.count()));
    if (!body.empty()) {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    const auto result = client.send(request);
    Reply reply{result ? result->status : 0, result ? result->body : ""};
    record_.add(
        "call",
        {{"entry", entry % entryHosts_.size()}, {"method", method}, {"path", path}, {"sent", body}, {"status", reply.status_}, {"answer", reply.body_}});
    return reply;
}

bool Fleet::submit(const std::string &path, const Json &job, int attempts)
{
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const int status = call(static_cast<std::size_t>(attempt), "POST", path, job.dump()).status_;
        if (status >= 200 && status < 300) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(status == 503 || status == 429 ? 2'000 : 200));
    }
    return false;
}

std::string Fleet::state(const std::string &path)
{
    static std::size_t entry = 0;
    const Reply reply = call(entry++, "GET", path);
    const Json body = Json::parse(reply.body_, nullptr, false);
    return reply.status_ == 200 && body.is_object() ? body.value("state", "") : "";
}

void Fleet::startExecutor(std::size_t number, bool sameId)
{
    ExecutorHost &each = executors_.at(number);
    if (!sameId) {
        each.id_ = "i-" + std::to_string(1'000 + number) + std::to_string(++each.lives_) + std::to_string(unixMs() % 100'000);
    }
    const Json about{{"service", service_},
                     {"address", at(each.host_, executorPort)},
                     {"zone", each.zone_},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"capacity", {{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", 8}}},
                     {"labels", each.labels_}};
    each.executor_ = std::make_unique<Process>(
        std::vector<std::string>{
            self_, "executor", each.id_, each.host_, std::to_string(executorPort), at(each.host_, controlPort), about.dump(), record_.path()},
        std::vector<std::string>{"PATH=/usr/bin:/bin"},
        folder_ + "/executor-" + std::to_string(number) + ".log");
    each.executor_->start();
}

void Fleet::killExecutor(std::size_t number)
{
    ExecutorHost &each = executors_.at(number);
    each.executor_->signal(SIGKILL);
    each.executor_->waitForEnd(milliseconds(2'000));
    record_.add("executor-killed", {{"executor", each.id_}});
}

std::optional<std::size_t> Fleet::executorOf(const std::string &id) const
{
    for (std::size_t number = 0; number < executors_.size(); ++number) {
        if (executors_[number].id_ == id) {
            return number;
        }
    }
    return std::nullopt;
}

void Fleet::restartEntry(std::size_t number)
{
    Process &entry = *entries_.at(number);
    record_.add("sigterm", {{"entry", number}});
    entry.signal(SIGTERM);
    if (!entry.waitForEnd(milliseconds(6'000))) {
        record_.add("sigkill", {{"entry", number}});
        entry.signal(SIGKILL);
        entry.waitForEnd(milliseconds(2'000));
    }
    entry.start();
    record_.add("started-again", {{"entry", number}});
}

std::vector<Json> Fleet::events(const std::function<bool(const Json &)> &matches) const
{
    std::vector<Json> found;
    std::ifstream file(record_.path());
    for (std::string line; std::getline(file, line);) {
        Json event = Json::parse(line, nullptr, false);
        if (event.is_object() && matches(event)) {
            found.push_back(std::move(event));
        }
    }
    return found;
}

std::vector<Json> Fleet::starts(const std::string &job) const
{
    return events([&job](const Json &event) { return event.at("what") == "start" && event.at("task").get<std::string>().starts_with(job + "."); });
}

bool Fleet::waitFor(milliseconds timeout, const std::function<bool()> &holds)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

}
