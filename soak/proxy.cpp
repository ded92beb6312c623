#include "proxy.h"

#include "net/socket.h"

#include <array>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotwick::soak {

namespace {

constexpr Duration acceptWait = 200ms;
constexpr Duration connectTimeout = 500ms;
constexpr auto forwardDelay = 150ms;
constexpr auto stallPollInterval = 20ms;
constexpr int pollMs = 100;

Socket openListener(Address &address)
{
    return leaf::try_handle_all(
        [&]() -> Result<Socket> {
            BOOST_LEAF_AUTO(listener, listenTcp(*Address::parse("127.0.0.1:0")));
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
    std::atomic<bool> stopping_{false};

    /// Forwards available data from \p from to \p to. Returns false if the connection should be closed.
    bool forward(const Socket &from, const Socket &to, bool isReply)
    {
        std::array<char, 65'536> buffer{};
        const ssize_t received = ::recv(from.descriptor(), buffer.data(), buffer.size(), 0);
        if (received <= 0) {
            return false;
        }
        while (mode_ == LinkMode::Stalled || (isReply && mode_ == LinkMode::OneWay)) {
            if (stopping_) {
                return false;
            }
            std::this_thread::sleep_for(stallPollInterval);
        }
        if (mode_ == LinkMode::Reset) {
            resetOnClose(from);
            resetOnClose(to);
            return false;
        }
        if (mode_ == LinkMode::Delayed) {
            std::this_thread::sleep_for(forwardDelay);
        }
        return ::send(to.descriptor(), buffer.data(), static_cast<std::size_t>(received), MSG_NOSIGNAL) == received;
    }

    void serve(const Socket &client)
    {
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(upstream, connectTcp(target_, connectTimeout));
                bool open = true;
                while (open && !stopping_) {
                    std::array<pollfd, 2> pollSet{{{client.descriptor(), POLLIN, 0}, {upstream.descriptor(), POLLIN, 0}}};
                    ::poll(pollSet.data(), pollSet.size(), pollMs);
                    open = (pollSet[0].revents == 0 || forward(client, upstream, false)) && (pollSet[1].revents == 0 || forward(upstream, client, true));
                }
                return {};
            },
            [&] { resetOnClose(client); });
    }
};

Proxy::Proxy(const std::string &target)
    : state_(std::make_shared<State>())
{
    state_->target_ = Address::parse(target).value_or(Address());
    state_->listener_ = openListener(state_->address_);
    std::thread([state = state_] {
        while (!state->stopping_) {
            Socket client = acceptTcp(state->listener_, acceptWait);
            if (client.valid()) {
                std::thread([state, shared = std::make_shared<Socket>(std::move(client))] { state->serve(*shared); }).detach();
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

int freePort()
{
    Address address;
    const Socket listener = openListener(address);
    return address.port();
}

}
