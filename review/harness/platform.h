#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

/// Stand-ins for the platform of the users' pages: store, executors, operator and clients, and the processes of the system under review.
namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run to record.txt. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point begin_ = Clock::now();
};

/// An HTTP server with a thread for each connection.
class HttpServer
{
public:
    HttpServer();
    ~HttpServer();
    /// Listens on \p host; \p port 0 for a free one. Returns the port, or a negative number.
    int listen(const std::string &host, int port);
    void stop();
    httplib::Server http_;

private:
    std::thread thread_;
};

/// Forwards connections to a server that begins anew now and then; while it is closed, connections are refused.
class Gate
{
public:
    Gate(std::string host, int port);
    ~Gate();
    [[nodiscard]] bool open(int target);
    void close();

    /// While it is silent, connections are accepted and nothing is passed on.
    void setSilent(bool silent)
    {
        silent_ = silent;
    }

private:
    void accept();
    void forward(int client);

    std::string host_;
    int port_;
    std::atomic<int> target_{0};
    std::atomic<int> listener_{-1};
    std::atomic<int> epoch_{0};
    std::atomic<bool> silent_{false};
    std::atomic<int> running_{0};
    std::thread accepter_;
};

/// The platform's store (PROTOCOL.md, "The platform's metadata store").
class Store
{
public:
    explicit Store(Record &record, std::size_t valueBytes = 1'048'576);
    ~Store();
    [[nodiscard]] std::string address() const;
    void put(const std::string &key, const std::string &value);
    [[nodiscard]] std::string text(const std::string &key);

    /// From now on a share of the writes gets no answer and is done 1 to 6 s later.
    void setLateShare(double share);

private:
    struct Item
    {
        std::string value_; ///< base64
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
        std::int64_t lease_ = 0;
    };
    struct Lease
    {
        milliseconds ttl_{0};
        Clock::time_point until_;
    };
    void serve();
    void expire();
    std::pair<int, Json> transact(const Json &body);
    void set(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    [[nodiscard]] static Json toJson(const std::string &key, const Item &item);

    Record &record_;
    std::size_t valueBytes_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<std::pair<std::int64_t, Json>> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t lastLease_ = 500;
    std::int64_t revision_ = 100;
    double lateShare_ = 0;
    std::mt19937 random_{std::random_device{}()};
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> late_;
    int port_ = 0;
    HttpServer server_;
    std::thread expiry_;
};

/// One run of a task as an executor saw it.
struct RunSeen
{
    std::string task_;
    int run_ = 0;
    std::string executor_;
    double began_ = 0;
    double ended_ = -1;
    std::string how_;
    std::string spec_;
    bool noted_ = false; ///< ack_cursor has reached its end
};

/// All runs of all executors. Thread-safe.
class Runs
{
public:
    std::size_t began(RunSeen run);
    void ended(std::size_t index, double at, const std::string &how);
    void noted(std::size_t index);
    [[nodiscard]] std::vector<RunSeen> all();
    [[nodiscard]] std::vector<RunSeen> of(const std::string &job);

private:
    std::mutex mutex_;
    std::vector<RunSeen> runs_;
};

/// An executor (PROTOCOL.md, "Running tasks" and "Service discovery"). The spec of its tasks begins with their work in ms; "fail:N" in it makes
/// the runs up to number N of a task end as failed.
class Executor
{
public:
    Executor(Record &record, Runs &runs, std::string host, std::string control, std::string id, std::string zone, std::vector<std::string> labels);
    ~Executor();
    [[nodiscard]] bool listening() const
    {
        return port_ > 0;
    }
    [[nodiscard]] std::string address() const
    {
        return host_ + ":" + std::to_string(port_);
    }
    [[nodiscard]] const std::string &id() const
    {
        return id_;
    }
    [[nodiscard]] const std::string &control() const
    {
        return control_;
    }
    void stop();

    /// Ends this life of the executor with all that runs on it and begins the next one after \p absence. Connections are refused meanwhile.
    void crash(bool sameId, milliseconds absence = 0ms);

    /// As crash(), under a new id, but nothing answers meanwhile, and connections aren't refused.
    void crashSilently(milliseconds absence);

    /// From now on a share of the starts gets no answer and is carried out 2 to 12 s later.
    void setLateShare(double share);

    static constexpr int cpu = 64'000;
    static constexpr int memory = 131'072;
    static constexpr int gpu = 8;

private:
    struct Running
    {
        int run_ = 0;
        std::string spec_;
        Clock::time_point began_;
        std::optional<Clock::time_point> stopsAt_;
        std::size_t seen_ = 0;
    };
    struct Ended
    {
        std::int64_t number_ = 0;
        std::string task_;
        int run_ = 0;
        std::string how_;
        std::size_t seen_ = 0;
    };
    [[nodiscard]] std::int64_t clock() const;
    void serve();
    void advance();
    void beat();
    void end(const std::string &task, const std::string &how);
    bool prepare(const httplib::Request &request, httplib::Response &response, Json &body);
    bool admit(const Json &body);
    void fall();
    void rise(bool sameId);
    [[nodiscard]] bool isAbsent();
    [[nodiscard]] bool isReborn(std::int64_t born);
    void answer(httplib::Response &response, int status, Json body) const;
    std::pair<int, Json> start(const Json &body);
    bool leaveUnanswered(const httplib::Request &request, std::unique_lock<std::mutex> &lock);

    Record &record_;
    Runs &runs_;
    std::string host_;
    std::string control_;
    std::string id_;
    std::string zone_;
    std::vector<std::string> labels_;
    std::int64_t born_ = 0;
    Clock::time_point birth_ = Clock::now();
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Running> running_;
    std::map<std::string, int> over_; ///< highest run of a task that was stopped or ended here
    std::deque<Ended> ended_;
    std::int64_t lastEnd_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t deadline_ = 0;
    std::int64_t sequence_ = 0;
    double lateShare_ = 0;
    bool absent_ = false;
    std::vector<std::thread> late_;
    std::mt19937 random_{std::random_device{}()};
    std::atomic<bool> stopping_{false};
    int port_ = 0;
    int inner_ = 0;
    HttpServer server_;
    std::unique_ptr<Gate> gate_;
    std::thread advance_;
    std::thread beat_;
};

/// A process of the system under review.
class Process
{
public:
    Process(Record &record, std::string program, std::string role, std::string name, std::string folder, const std::string &settings);
    ~Process();
    void start();
    void signal(int number);
    void kill();
    [[nodiscard]] bool endedByItself();
    [[nodiscard]] const std::string &name() const
    {
        return name_;
    }

private:
    Record &record_;
    std::string program_;
    std::string role_;
    std::string name_;
    std::string settings_;
    std::string log_;
    int pid_ = -1;
};

struct FleetOptions
{
    int fronts_ = 2;
    int sides_ = 3;
    std::map<int, std::vector<std::string>> labels_; ///< by number of the executor; {"a", "r1"} where there are none
};

/// The system, its platform and its executors on loopback addresses.
class Fleet
{
public:
    Fleet(const std::string &program, const std::string &folder, const FleetOptions &options);
    ~Fleet();

    /// Starts all processes and waits until an entry is ready and all executors are known. Returns whether that came about.
    bool start();
    void configure(const Json &config);
    [[nodiscard]] Process *leader();
    [[nodiscard]] bool anyProcessEndedByItself();

    Record record_;
    Runs runs_;
    Store store_;
    std::vector<std::unique_ptr<Executor>> executors_;
    std::vector<std::unique_ptr<Process>> fronts_;
    std::vector<std::unique_ptr<Process>> sides_;
    std::vector<std::string> frontAddresses_;
    std::vector<std::string> hosts_;
};

struct Reply
{
    int status_ = 0; ///< 0: no answer
    Json body_;
};

/// A client. Calls are sent to the entries in turn; none is retried but by its caller.
class Client
{
public:
    Client(Fleet &fleet, std::string host, std::string key);
    Reply call(const std::string &method, const std::string &path, const Json &body = {}, milliseconds deadline = 3'000ms, int entry = -1);

    /// Hands a job in, with four retries, as PROTOCOL.md says: after no answer, 429, 502, 503 and 504. Returns the last status.
    int submit(const std::string &path, const Json &body);

    /// Returns the state of a job, or "410", "404" or "none".
    std::string state(const std::string &path);

private:
    Fleet &fleet_;
    std::string host_;
    std::string key_;
    std::atomic<int> next_{0};
};

/// Returns the configuration that the cases begin with: a queue /urgent/ of priority 0 and a queue /usual/ of priority 1 for the host "nony24.example", and
/// the tenants "north" (key "key-north") and "south" (key "key-south").
Json usualConfig(int version);

std::string jobId(std::uint64_t number);

}
