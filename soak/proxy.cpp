#include "proxy.h"

#include "net/socket.h"

#include <array>
#include <mutex>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotwick::soak {

namespace {

constexpr Duration acceptWait = 50ms;
constexpr Duration connectTimeout = 500ms;
constexpr auto forwardDelay = 150ms;
constexpr auto stallPollInterval = 20ms;
constexpr int pollMs = 50;
constexpr const char *anyPort = "127.0.0.1:0";

/// Returns an invalid socket if \p address can't be bound. Sets its port if it was 0.
Socket openListener(Address &address)
{
    return leaf::try_handle_all(
        [&]() -> Result<Socket> {
            BOOST_LEAF_AUTO(listener, listenTcp(address));
            address = listener.local();
            return listener;
        },
        [] { return Socket(); });
}

void resetOnClose(const Socket &socket)
{
    const linger lingerOptions{1, 0};
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof(lingerOptions));
}

}

struct Proxy::State
{
    Address target_;
    Address address_;
    Socket listener_;
    std::atomic<LinkMode> mode_{LinkMode::Pass};
    std::atomic<LinkAddress> addressState_{LinkAddress::Open};
    std::atomic<int> generation_{0}; ///< connections of an earlier one are silent
    std::mutex holdMutex_;
    Hold lastHold_;
    std::atomic<bool> stopping_{false};

    /// Forwards available data from \p from to \p to. Returns false if the connection should be closed.
    bool forward(const Socket &from, const Socket &to, bool isReply)
    {
        std::array<char, 65'536> buffer{};
        const ssize_t received = ::recv(from.descriptor(), buffer.data(), buffer.size(), 0);
        if (received <= 0) {
            return false;
        }
        const auto receivedAt = std::chrono::steady_clock::now();
        bool held = false;
        while (mode_ == LinkMode::Stalled || (isReply && mode_ == LinkMode::OneWay)) {
            if (stopping_ || addressState_ == LinkAddress::Gone) {
                return false;
            }
            std::this_thread::sleep_for(stallPollInterval);
            held = true;
        }
        if (held && !isReply) {
            const std::lock_guard lock(holdMutex_);
            lastHold_ = {receivedAt, std::chrono::steady_clock::now()};
        }
        if (mode_ == LinkMode::Reset || addressState_ == LinkAddress::Gone) {
            resetOnClose(from);
            resetOnClose(to);
            return false;
        }
        if (mode_ == LinkMode::Delayed) {
            std::this_thread::sleep_for(forwardDelay);
        }
        return ::send(to.descriptor(), buffer.data(), static_cast<std::size_t>(received), MSG_NOSIGNAL) == received;
    }

    /// Carries the data of \p client, which was accepted in \p generation.
    void serve(const Socket &client, int generation)
    {
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(upstream, connectTcp(target_, connectTimeout));
                bool open = true;
                while (open && !stopping_ && addressState_ != LinkAddress::Gone) {
                    if (generation != generation_) {
                        std::this_thread::sleep_for(stallPollInterval);
                        continue;
                    }
                    std::array<pollfd, 2> pollSet{{{client.descriptor(), POLLIN, 0}, {upstream.descriptor(), POLLIN, 0}}};
                    ::poll(pollSet.data(), pollSet.size(), pollMs);
                    open = (pollSet[0].revents == 0 || forward(client, upstream, false)) && (pollSet[1].revents == 0 || forward(upstream, client, true));
                }
                if (addressState_ == LinkAddress::Gone) {
                    resetOnClose(client);
                }
                return {};
            },
            [&] { resetOnClose(client); });
    }

    /// Opens or closes the listener as its state demands. Returns whether it is open.
    bool updateListener()
    {
        if (addressState_ != LinkAddress::Open) {
            listener_ = Socket();
        } else if (!listener_.valid()) {
            listener_ = openListener(address_);
        }
        return listener_.valid();
    }
};

Proxy::Proxy(const std::string &target, const std::string &address)
    : state_(std::make_shared<State>())
{
    state_->target_ = Address::parse(target).value_or(Address());
    state_->address_ = Address::parse(address.empty() ? anyPort : address).value_or(Address());
    state_->listener_ = openListener(state_->address_);
    std::thread([state = state_] {
        while (!state->stopping_) {
            if (!state->updateListener()) {
                std::this_thread::sleep_for(stallPollInterval);
                continue;
            }
            Socket client = acceptTcp(state->listener_, acceptWait);
            if (client.valid()) {
                std::thread([state, generation = state->generation_.load(), shared = std::make_shared<Socket>(std::move(client))] {
                    state->serve(*shared, generation);
                }).detach();
            }
        }
    }).detach();
}

Proxy::~Proxy()
{
    state_->stopping_ = true;
}

std::string Proxy::address() const
{
    return state_->address_.str();
}

void Proxy::setMode(LinkMode mode) noexcept
{
    state_->mode_ = mode;
}

Proxy::Hold Proxy::lastHold() const
{
    const std::lock_guard lock(state_->holdMutex_);
    return state_->lastHold_;
}

void Proxy::silenceOpenConnections() noexcept
{
    ++state_->generation_;
}

void Proxy::setAddress(LinkAddress address) noexcept
{
    state_->addressState_ = address;
}

}
