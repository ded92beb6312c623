#include "daemon/executor_link.h"

#include "wire/codec.h"

namespace bergamotwick {

namespace {

constexpr Duration connectTimeout = 500ms;

}

ExecutorLink::ExecutorLink(const Address &agent, LinkEvents events)
    : agent_(agent)
    , events_(std::move(events))
    , writer_([this] { write(); })
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
    wake_.notify_all();
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
    wake_.notify_one();
}

void ExecutorLink::write()
{
    while (true) {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
            return;
        }
        const AttemptRequest attempt = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        deliver(attempt);
    }
}

void ExecutorLink::deliver(const AttemptRequest &attempt)
{
    if (!socket_ && !connect()) {
        events_.unsent_(attempt.id_);
        return;
    }
    switch (writeFrame(*socket_, encodeMessage(attempt))) {
    case FrameWriteResult::Complete:
        return;
    case FrameWriteResult::NotSent:
        events_.unsent_(attempt.id_);
        break;
    case FrameWriteResult::Partial:
        break;
    }
    drop();
}

bool ExecutorLink::connect()
{
    if (reader_.joinable()) {
        reader_.join();
    }
    return leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(socket, connectTcp(agent_, connectTimeout));
            auto shared = std::make_shared<Socket>(std::move(socket));
            {
                const std::lock_guard lock(mutex_);
                socket_ = shared;
            }
            reader_ = std::thread([this, shared] { read(shared); });
            return true;
        },
        [] { return false; });
}

/// Ends the connection; its reader tells that whatever was under way is lost.
void ExecutorLink::drop()
{
    const std::lock_guard lock(mutex_);
    if (socket_) {
        socket_->shutdown();
        socket_.reset();
    }
}

void ExecutorLink::read(const std::shared_ptr<Socket> &socket)
{
    while (const auto frame = readFrame(*socket, maxFrameBytes)) {
        const bool understood = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(message, decodeMessage(*frame));
                if (const auto *reply = std::get_if<AttemptReply>(&message)) {
                    events_.replied_(*reply);
                }
                return true;
            },
            [] { return false; });
        if (!understood) {
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
    events_.lost_();
}

}
