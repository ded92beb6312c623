#include "fleet.h"

#include "keys.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bergamotwick::soak {

namespace {

constexpr const char *commonSettings = "zone=dc\nplatform.ttl_min_ms=1000\nbounds.stop_ms=200\n"
                                       "bounds.revoke_ms=5000\nbounds.status_s=120\nbounds.spread_factor=3\n";

constexpr const char *operatorConfig = R"({"version":1,"routes":[
{"name":"urgent","host":"h","prefix":"/u/","service":"service","priority":0,"max_attempts":3,"stretch":3,"target_latency_ms":1000,"public":true},
{"name":"usual","host":"h","prefix":"/n/","service":"service","priority":1,"max_attempts":3,"stretch":3,"target_latency_ms":1000,"public":true}],
"services":[{"name":"service"}],"tenants":[],"limits":{"max_body_bytes":262144}})";

/// Time from SIGTERM to SIGKILL, the same as on the platform.
constexpr std::chrono::seconds shutdownTimeout{6};

/// Each host has the same ports on a loopback address of its own. They are no ephemeral ports: an outgoing connection could take the port of a
/// process while it is restarted.
constexpr int callersPort = 8'080;
constexpr int readinessPort = 8'081;
constexpr int firstInternalPort = 7'000;
constexpr int lastInternalPort = 7'003;
constexpr int controlPort = 7'100;

/// Returns the loopback address of host \p number in the fleet of this process.
std::string hostAddress(int number)
{
    constexpr int values = 200;
    const int process = ::getpid();
    return "127." + std::to_string(16 + process % values) + "." + std::to_string(16 + process / values % values) + "." + std::to_string(number + 1);
}

std::string address(const std::string &host, int port)
{
    return host + ":" + std::to_string(port);
}

}

Node::Node(std::string program, std::string role, std::string name, const std::string &folder, const std::string &settings, const StoreStandIn &store)
    : program_(std::move(program))
    , role_(std::move(role))
    , name_(std::move(name))
    , settingsFile_(folder + "/" + name_ + ".conf")
    , logFile_(folder + "/" + name_ + ".log")
    , storeLink_(store.address())
{
    std::ofstream file(settingsFile_);
    file << commonSettings << settings << "node_name=" << name_ << "\nplatform.address=" << storeLink_.address() << "\n";
}

Node::~Node()
{
    terminate(true);
}

void Node::start()
{
    if (pid_ > 0) {
        return;
    }
    // Another thread may hold the allocator's lock during the fork, so the child must not allocate.
    std::string settings = "BERGAMOTWICK_SETTINGS=" + settingsFile_;
    const std::array<char *, 3> arguments{program_.data(), role_.data(), nullptr};
    const std::array<char *, 2> environment{settings.data(), nullptr};
    std::error_code noLogYet;
    logSizeAtStart_ = std::filesystem::exists(logFile_, noLogYet) ? std::filesystem::file_size(logFile_, noLogYet) : 0;
    const int log = ::open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program_.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
    ending_ = false;
}

bool Node::isInLog(const std::string &text, std::uintmax_t skipped) const
{
    std::ifstream log(logFile_);
    log.seekg(static_cast<std::streamoff>(skipped));
    for (std::string line; std::getline(log, line);) {
        if (line.find(text) != std::string::npos) {
            return true;
        }
    }
    return false;
}

bool Node::hasUnreadableInput() const
{
    return isInLog("-unreadable");
}

bool Node::isUp() const
{
    return pid_ > 0 && !ending_ && isInLog("event=started role=", logSizeAtStart_);
}

void Node::signal(int number)
{
    if (pid_ <= 0) {
        return;
    }
    ending_ = !hasEndedByItself() && (ending_ || number == SIGKILL || number == SIGTERM);
    ::kill(pid_, number);
}

bool Node::hasEndedByItself()
{
    siginfo_t ended{};
    if (pid_ > 0 && !ending_ && ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT) == 0) {
        endedByItself_ = endedByItself_ || ended.si_pid == pid_;
    }
    return endedByItself_;
}

void Node::terminate(bool kill)
{
    if (pid_ <= 0) {
        return;
    }
    if (kill && !hasEndedByItself()) {
        ending_ = true;
    }
    ::kill(pid_, SIGCONT); // a stopped process doesn't handle SIGTERM
    const auto until = std::chrono::steady_clock::now() + (kill ? 0s : shutdownTimeout);
    while (::waitpid(pid_, nullptr, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() >= until) {
            ::kill(pid_, SIGKILL);
        }
        std::this_thread::sleep_for(10ms);
    }
    pid_ = -1;
}

Fleet::Fleet(const std::string &program, const std::string &folder, std::uint64_t seed, int entries, int executors)
    : store_(seed)
{
    store_.put("op/config", operatorConfig);
    for (int number = 0; number < entries; ++number) {
        const std::string host = hostAddress(number);
        const std::string settings = "ip=" + host + "\nlisten.front=" + address(host, callersPort) + "\nlisten.readiness=" + address(host, readinessPort)
            + "\ninternal_ports=" + std::to_string(firstInternalPort) + "," + std::to_string(lastInternalPort) + "\n";
        entries_.emplace_back(program, "entry", "entry-" + std::to_string(number), folder, settings, store_);
        entryAddresses_.push_back(address(host, callersPort));
        entriesByAddress_[address(host, firstInternalPort)] = &entries_.back();
    }
    for (int number = 0; number < executors; ++number) {
        const std::string host = hostAddress(entries + number);
        executors_.emplace_back(number, seed, host, address(host, controlPort), judge_);
        const std::string settings = "ip=" + host + "\nlisten.control=" + address(host, controlPort) + "\napp=" + executors_.back().address()
            + "\nservice=service\ninternal_ports=1,2\n";
        agents_.emplace_back(program, "agent", "agent-" + std::to_string(number), folder, settings, store_);
    }
    for (Node &entry : entries_) {
        entry.start();
    }
    for (Node &agent : agents_) {
        agent.start();
    }
}

Node *Fleet::leader()
{
    const auto addresses = store_.values(node::keys::leader);
    const auto found = addresses.empty() ? entriesByAddress_.end() : entriesByAddress_.find(addresses.front());
    return found == entriesByAddress_.end() ? nullptr : found->second;
}

}
