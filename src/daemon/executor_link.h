#pragma once

#include "core/messages.h"
#include "net/socket.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace bergamotwick {

/// Callbacks of an entry's connection to an executor's agent. They run on the link's threads.
struct LinkCallbacks
{
    std::function<void(const AttemptReply &)> onReply_;
    std::function<void(const AttemptId &)> onUnsent_;
    std::function<void()> onConnectionLost_;
};

/// An entry's connection to the agent of one executor. It is opened on demand and shared by all requests.
///
/// Thread safety: send() may be called from several threads. Callbacks run on the link's own threads.
class ExecutorLink
{
public:
    ExecutorLink(const Address &agent, LinkCallbacks callbacks);
    ~ExecutorLink();
    ExecutorLink(const ExecutorLink &) = delete;
    ExecutorLink &operator=(const ExecutorLink &) = delete;

    /// Queues \p attempt. Exactly one callback reports its result.
    void send(AttemptRequest attempt);

    [[nodiscard]] const Address &agent() const noexcept
    {
        return agent_;
    }

private:
    void writeAttempts();
    void readReplies(const std::shared_ptr<Socket> &socket);

    /// Returns the current connection, or a new one; null if the agent can't be reached.
    [[nodiscard]] std::shared_ptr<Socket> openConnection();
    [[nodiscard]] std::shared_ptr<Socket> connect();
    void transmit(const AttemptRequest &attempt);
    void closeConnection();

    Address agent_;
    LinkCallbacks callbacks_;
    std::mutex mutex_;
    std::condition_variable queueChanged_;
    std::deque<AttemptRequest> queue_;
    bool stopping_ = false;
    std::shared_ptr<Socket> socket_; ///< read and assigned while holding mutex_
    std::thread reader_;
    std::thread writer_;
};

}
