#pragma once

#include "executor_server.h"
#include "proxy.h"
#include "store_stand_in.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bergamotwick::soak {

/// One real entry or agent process, with a proxy to the store.
///
/// Thread safety: none; one thread injects all faults.
class Node
{
public:
    /// \p settings holds the lines of its settings file, except for the address of the store.
    Node(std::string program, std::string role, std::string name, const std::string &folder, const std::string &settings, const StoreStandIn &store);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();

    /// Sets the program that the next start() runs.
    void setProgram(const std::string &program)
    {
        program_ = program;
    }

    /// Returns whether its log says that a record or a message could not be read.
    [[nodiscard]] bool hasUnreadableInput() const;

    /// Sends signal \p number to the process if it is running.
    void signal(int number);

    /// Returns whether the process that was started last has logged its start. Before, SIGHUP would end it as any program.
    [[nodiscard]] bool isUp() const;

    /// Returns whether a signal to end was sent to the process that was started last.
    [[nodiscard]] bool isEnding() const noexcept
    {
        return ending_;
    }

    /// Returns whether one of its processes ended without a signal to do so.
    [[nodiscard]] bool hasEndedByItself();

    /// Kills the process, or waits for it to exit after an earlier SIGTERM and kills it after a timeout.
    void terminate(bool kill);

    [[nodiscard]] Proxy &storeLink() noexcept
    {
        return storeLink_;
    }

    [[nodiscard]] const std::string &name() const noexcept
    {
        return name_;
    }

private:
    /// Returns whether its log holds \p text after the first \p skipped bytes.
    [[nodiscard]] bool isInLog(const std::string &text, std::uintmax_t skipped = 0) const;

    std::string program_;
    std::string role_;
    std::string name_;
    std::string settingsFile_;
    std::string logFile_;
    Proxy storeLink_;
    pid_t pid_ = -1;
    std::uintmax_t logSizeAtStart_ = 0;
    bool ending_ = false;
    bool endedByItself_ = false;
};

/// Entry and agent processes, with stand-ins for the store and the executors of the platform.
struct Fleet
{
    /// Precondition: entries and executors are 250 at most.
    Fleet(const std::string &program, const std::string &folder, std::uint64_t seed, int entries, int executors);

    /// Returns the entry that is the leader according to the store, or nullptr if there is none.
    [[nodiscard]] Node *leader();

    SharedJudge judge_;
    StoreStandIn store_;
    std::deque<ExecutorServer> executors_;
    std::deque<Node> entries_;
    std::deque<Node> agents_;
    std::vector<std::string> entryAddresses_; ///< where the entries serve callers
    std::map<std::string, Node *> entriesByAddress_; ///< by the address in the leader key
};

}
