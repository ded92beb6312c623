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
constexpr auto delay = 150ms;
constexpr auto pause = 20ms;
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
    const linger now{1, 0};
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

}

struct Proxy::State
{
    Address target_;
    Address address_;
    Socket listener_;
    std::atomic<LinkMode> mode_{LinkMode::Pass};
    std::atomic<bool> stopping_{false};

    /// Moves what has arrived on \p from; false at its end.
    bool move(const Socket &from, const Socket &to, bool answers)
    {
        std::array<char, 65'536> bytes{};
        const ssize_t got = ::recv(from.descriptor(), bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            return false;
        }
        while (mode_ == LinkMode::Silent || (answers && mode_ == LinkMode::OneWay)) {
            if (stopping_) {
                return false;
            }
            std::this_thread::sleep_for(pause);
        }
        if (mode_ == LinkMode::Reset) {
            resetOnClose(from);
            resetOnClose(to);
            return false;
        }
        if (mode_ == LinkMode::Delayed) {
            std::this_thread::sleep_for(delay);
        }
        return ::send(to.descriptor(), bytes.data(), static_cast<std::size_t>(got), MSG_NOSIGNAL) == got;
    }

    void serve(const Socket &caller)
    {
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(callee, connectTcp(target_, connectTimeout));
                bool open = true;
                while (open && !stopping_) {
                    std::array<pollfd, 2> waits{{{caller.descriptor(), POLLIN, 0}, {callee.descriptor(), POLLIN, 0}}};
                    ::poll(waits.data(), waits.size(), pollMs);
                    open = (waits[0].revents == 0 || move(caller, callee, false)) && (waits[1].revents == 0 || move(callee, caller, true));
                }
                return {};
            },
            [&] { resetOnClose(caller); });
    }
};

Proxy::Proxy(const std::string &target)
    : state_(std::make_shared<State>())
{
    state_->target_ = Address::parse(target).value_or(Address());
    state_->listener_ = openListener(state_->address_);
    std::thread([state = state_] {
        while (!state->stopping_) {
            Socket caller = acceptTcp(state->listener_, acceptWait);
            if (caller.valid()) {
                std::thread([state, shared = std::make_shared<Socket>(std::move(caller))] { state->serve(*shared); }).detach();
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
