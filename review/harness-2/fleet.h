#pragma once

#include "common.h"

#include "held_link.h"
#include "store_stand_in.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <sys/types.h>

namespace review {

/// A process that the test started; killed at the latest when this object is destroyed.
class Process
{
public:
    Process(std::vector<std::string> command, std::vector<std::string> environment, std::string log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number);
    [[nodiscard]] bool running();

    /// Waits for its end and returns whether it came in time.
    bool waitForEnd(milliseconds timeout);

private:
    std::vector<std::string> command_;
    std::vector<std::string> environment_;
    std::string log_;
    pid_t pid_ = -1;
};

/// The answer to a client's call; status 0: none.
struct Reply
{
    int status_ = 0;
    std::string body_;
};

struct ExecutorHost
{
    std::string host_;
    std::string zone_;
    std::vector<std::string> labels_;
    std::string id_; ///< of its present life
    int lives_ = 0;
    std::unique_ptr<Process> agent_;
    std::unique_ptr<Process> executor_;
};

/// The system's programs with the commands of the deploy file, stand-ins of the executors and the platform's store, and a client.
class Fleet
{
public:
    /// \p folder is a temporary folder; \p settings holds further lines of all settings files.
    Fleet(std::string self, std::string folder, int entries, int executors);
    ~Fleet();

    /// Starts all, and waits until a first job has run. Returns whether it has.
    bool start();

    /// As the operator: writes the configuration of \p version; without the route of the queue if \p withQueue is false.
    void configure(int version, bool withQueue);

    /// \p patience is when the client leaves.
    [[nodiscard]] Reply call(std::size_t entry,
                             const std::string &method,
                             const std::string &path,
                             const std::string &body = {},
                             milliseconds deadline = milliseconds(3'000),
                             milliseconds patience = milliseconds(3'000));

    /// Hands in a job as the platform's clients do: a call without a success is repeated with the same id at another entry. Returns whether it was accepted.
    bool submit(const std::string &path, const Json &job, int attempts = 5);

    /// Returns the state that an entry tells, or an empty string.
    [[nodiscard]] std::string state(const std::string &path);

    /// \p sameId tells whether it has the id of its former life.
    void startExecutor(std::size_t number, bool sameId = false);
    void killExecutor(std::size_t number);
    [[nodiscard]] std::optional<std::size_t> executorOf(const std::string &id) const;

    /// SIGTERM, the end within the grace time, and a new start.
    void restartEntry(std::size_t number);

    /// Returns all events so far that \p matches.
    [[nodiscard]] std::vector<Json> events(const std::function<bool(const Json &)> &matches) const;
    [[nodiscard]] std::vector<Json> starts(const std::string &job) const;

    /// Waits until \p holds or \p timeout is over; returns the former.
    static bool waitFor(milliseconds timeout, const std::function<bool()> &holds);

    Events record_;
    std::deque<ExecutorHost> executors_;
    std::deque<std::unique_ptr<Process>> entries_;
    std::unique_ptr<HeldLink> firstEntryLink_; ///< the way of the first entry to the store
    std::unique_ptr<HeldLink> firstExecutorLink_; ///< the way of the first agent to its executor
    std::string queue_ = "/pule252/";
    std::string otherQueue_ = "/lohu930/";
    std::string hostName_ = "nony24.example";
    std::string key_ = "d4a3hwrr6x73d3zji9n7";
    std::string service_ = "huvo11a";
    int otherPriority_ = 1;
    Json advice_; ///< of the queue; null: none

    /// The address of the service at `advice`.
    [[nodiscard]] std::string adviceHost() const
    {
        return network_ + "39";
    }

private:
    [[nodiscard]] std::string
    settings(const std::string &name, const std::string &machineClass, const std::string &address, const std::string &zone, const std::string &store) const;
    [[nodiscard]] std::string host(int number) const;

    std::string self_;
    std::string folder_;
    std::string network_;
    std::vector<std::string> entryHosts_;
    bergamotwick::soak::StoreStandIn store_;
};

/// The network ports of a day: the same on each machine.
constexpr int frontPort = 8521;
constexpr int readinessPort = 8523;
constexpr int controlPort = 8526;
constexpr int executorPort = 8529;
constexpr int advicePort = 8524;
constexpr int executorLinkPort = 8528;

}
