#include "daemon/executor_link.h"

#include "wire/codec.h"

namespace bergamotwick {

namespace {

constexpr Duration connectTimeout = 500ms;

}

ExecutorLink::ExecutorLink(const Address &agent, LinkCallbacks callbacks)
    : agent_(agent)
    , callbacks_(std::move(callbacks))
    , writer_([this] { writeAttempts(); })
{
}

ExecutorLink::~ExecutorLink()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        if (socket_) {
            socket_->shutdown();
        }
    }
    queueChanged_.notify_all();
    writer_.join();
    if (reader_.joinable()) {
        reader_.join();
    }
}

void ExecutorLink::send(AttemptRequest attempt)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(attempt));
    }
    queueChanged_.notify_one();
}

void ExecutorLink::writeAttempts()
{
    while (true) {
        std::unique_lock lock(mutex_);
        queueChanged_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
            return;
        }
        const AttemptRequest attempt = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        transmit(attempt);
    }
}

void ExecutorLink::transmit(const AttemptRequest &attempt)
{
    const std::shared_ptr<Socket> socket = openConnection();
    if (!socket) {
        callbacks_.onUnsent_(attempt.id_);
        return;
    }
    switch (writeFrame(*socket, encodeMessage(attempt))) {
    case FrameWriteResult::Complete:
        return;
    case FrameWriteResult::NotSent:
        callbacks_.onUnsent_(attempt.id_);
        break;
    case FrameWriteResult::Partial:
        break;
    }
    closeConnection();
}

std::shared_ptr<Socket> ExecutorLink::openConnection()
{
    {
        const std::lock_guard lock(mutex_);
        if (socket_) {
            return socket_;
        }
    }
    return connect();
}

std::shared_ptr<Socket> ExecutorLink::connect()
{
    if (reader_.joinable()) {
        reader_.join();
    }
    return leaf::try_handle_all(
        [&]() -> Result<std::shared_ptr<Socket>> {
            BOOST_LEAF_AUTO(socket, connectTcp(agent_, connectTimeout));
            auto shared = std::make_shared<Socket>(std::move(socket));
            {
                const std::lock_guard lock(mutex_);
                if (stopping_) {
                    return std::shared_ptr<Socket>(); // the destructor can't wake a reader of this connection any more
                }
                socket_ = shared;
            }
            reader_ = std::thread([this, shared] { readReplies(shared); });
            return shared;
        },
        [] { return std::shared_ptr<Socket>(); });
}

/// Closes the connection. Its reader thread then calls onConnectionLost_, which ends all attempts in flight.
void ExecutorLink::closeConnection()
{
    const std::lock_guard lock(mutex_);
    if (socket_) {
        socket_->shutdown();
        socket_.reset();
    }
}

void ExecutorLink::readReplies(const std::shared_ptr<Socket> &socket)
{
    while (const auto frame = readFrame(*socket, maxFrameBytes)) {
        const bool decoded = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(message, decodeMessage(*frame));
                if (const auto *reply = std::get_if<AttemptReply>(&message)) {
                    callbacks_.onReply_(*reply);
                }
                return true;
            },
            [] { return false; });
        if (!decoded) {
            break;
        }
    }
    socket->shutdown();
    {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        if (socket_ == socket) {
            socket_.reset();
        }
    }
    callbacks_.onConnectionLost_();
}

}
