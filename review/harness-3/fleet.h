#pragma once

#include "executor.h"
#include "link.h"
#include "record.h"
#include "store.h"

#include <deque>
#include <memory>
#include <string>

#include <sys/types.h>

namespace review {

/// One process of the system on a loopback address of its own, started with a command of the deploy file.
class Node
{
public:
    Node(std::string program, std::string role, std::string name, const std::string &folder, const std::string &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void signal(int number) const;

    /// Waits up to \p wait for the process to end, then kills it.
    void end(milliseconds wait);

    [[nodiscard]] const std::string &name() const noexcept
    {
        return name_;
    }

private:
    std::string program_;
    std::string role_;
    std::string name_;
    std::string settingsFile_;
    std::string logFile_;
    pid_t pid_ = -1;
};

/// An entry with its port of the store.
struct Entry
{
    std::size_t storePort_ = 0;
    std::string front_; ///< "ip:port" for clients
    std::string internal_; ///< as it stands in the store's key of the leader
    std::unique_ptr<Link> storeLink_;
    std::unique_ptr<Node> node_;
};

/// A machine of an executor, with the executor and its agent.
struct Side
{
    std::size_t storePort_ = 0;
    std::unique_ptr<Link> storeLink_;
    std::unique_ptr<Executor> executor_;
    std::unique_ptr<Node> node_;
};

struct Answer
{
    int status_ = 0; ///< 0: none
    std::string body_;
};

/// The keys of the two tenants; 8 GPUs are guaranteed to each.
constexpr const char *firstTenant = "key-of-t1";
constexpr const char *secondTenant = "key-of-t2";

/// A small deployment with the settings of kovacs-nevezes.
class Fleet
{
public:
    Fleet(Record &record, const std::string &program, const std::string &folder, int entries, int sides, const std::string &config);
    ~Fleet();

    /// Returns the entry that leads by the store, or -1.
    [[nodiscard]] int leader();

    /// Waits until an entry leads and a first job was done on the executors. Returns whether that happened within \p wait.
    [[nodiscard]] bool warmUp(milliseconds wait);

    /// Sends a client's call to the front of \p entry, with the key of a tenant.
    Answer
    call(int entry, const std::string &method, const std::string &path, const std::string &body = "", bool recorded = true, const char *key = firstTenant);

    Store &store()
    {
        return store_;
    }

    std::deque<Entry> entries_;
    std::deque<Side> sides_;

private:
    Record &record_;
    Store store_;
};

/// Returns the configuration with the given version and the routes "/urgent/" (priority 0), "/usual/" (priority 1) and those of \p more.
std::string makeConfig(int version, const std::vector<std::string> &more = {});

/// Returns an id for a job, 16 hexadecimal digits.
std::string jobId(int number);

}
