#pragma once

#include "executor_server.h"
#include "proxy.h"
#include "store_stand_in.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bergamotwick::soak {

/// One real process of the system, with its link to the store and, for an agent, to its executor.
///
/// Thread safety: none; one thread drives the faults.
class Node
{
public:
    /// \p settings are the lines of its settings file, without the store's and the executor's addresses.
    Node(std::string program,
         std::string role,
         std::string name,
         const std::string &folder,
         const std::string &settings,
         const StoreStandIn &store,
         const ExecutorServer *executor);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();

    /// Sends \p number to the process if it runs.
    void signal(int number) const;

    /// Kills it, or waits for it to end after a SIGTERM that was sent before.
    void end(bool kill);

    [[nodiscard]] Proxy &storeLink() noexcept
    {
        return storeLink_;
    }

    /// Precondition: it is an agent.
    [[nodiscard]] Proxy &executorLink() noexcept
    {
        return *executorLink_;
    }

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
    Proxy storeLink_;
    std::unique_ptr<Proxy> executorLink_;
    pid_t pid_ = -1;
};

/// Entries and agents as processes around the stand-ins of the platform.
struct Fleet
{
    Fleet(const std::string &program, const std::string &folder, std::uint64_t seed, int entries, int executors);

    SharedJudge judge_;
    StoreStandIn store_;
    std::deque<ExecutorServer> executors_;
    std::deque<Node> entries_;
    std::deque<Node> agents_;
    std::vector<int> callersPorts_; ///< of entries
};

}
