#include "link.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in parse(const std::string &address)
{
    const auto colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

int listenOn(const std::string &address)
{
    const sockaddr_in local = parse(address);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0 || ::listen(listener, 128) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

void reset(int descriptor)
{
    const linger abort{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    ::close(descriptor);
}

}

struct Link::State
{
    std::string address_;
    std::string target_;
    std::atomic<int> silenced_{0}; ///< connections of an earlier generation carry nothing
    std::atomic<bool> down_{false};
    std::atomic<bool> dark_{false};
    std::atomic<bool> stopping_{false};

    /// Forwards what has arrived on \p from. Returns false at the end of the connection.
    static bool forward(int from, int to)
    {
        std::array<char, 65'536> buffer{};
        const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
        for (ssize_t sent = 0; sent < count;) {
            const ssize_t part = ::send(to, buffer.data() + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
            if (part <= 0) {
                return false;
            }
            sent += part;
        }
        return count > 0;
    }

    void serve(int client, int generation)
    {
        const sockaddr_in remote = parse(target_);
        const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(upstream, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        bool open = ::connect(upstream, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) == 0;
        while (open && !stopping_ && !down_) {
            if (generation < silenced_) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                continue;
            }
            std::array<pollfd, 2> ready{{{client, POLLIN, 0}, {upstream, POLLIN, 0}}};
            ::poll(ready.data(), ready.size(), 20);
            if (generation < silenced_) {
                continue;
            }
            open = (ready[0].revents == 0 || forward(client, upstream)) && (ready[1].revents == 0 || forward(upstream, client));
        }
        if (down_) {
            reset(client);
        } else {
            ::close(client);
        }
        ::close(upstream);
    }
};

Link::Link(const std::string &address, const std::string &target)
    : state_(std::make_shared<State>())
{
    state_->address_ = address;
    state_->target_ = target;
    const int first = listenOn(address);
    if (first < 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    std::thread([state = state_, first] {
        int listener = first;
        std::vector<int> waiting;
        while (!state->stopping_) {
            if (state->down_) {
                if (listener >= 0) {
                    ::close(listener);
                    listener = -1;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                continue;
            }
            if (state->dark_) {
                // A full queue of new connections: the system answers no further attempt to open one.
                if (waiting.empty()) {
                    ::listen(listener, 0);
                    const sockaddr_in local = parse(state->address_);
                    for (int number = 0; number < 3; ++number) {
                        waiting.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
                        (void)::connect(waiting.back(), reinterpret_cast<const sockaddr *>(&local), sizeof(local));
                    }
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                continue;
            }
            if (listener < 0) {
                listener = listenOn(state->address_);
                continue;
            }
            pollfd ready{listener, POLLIN, 0};
            if (::poll(&ready, 1, 10) > 0) {
                const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (client >= 0) {
                    std::thread([state, client, generation = state->silenced_.load()] { state->serve(client, generation); }).detach();
                }
            }
        }
        if (listener >= 0) {
            ::close(listener);
        }
    }).detach();
}

Link::~Link()
{
    state_->stopping_ = true;
}

void Link::silenceOpenConnections()
{
    ++state_->silenced_;
}

void Link::down()
{
    state_->down_ = true;
}

void Link::up()
{
    state_->down_ = false;
}

void Link::dark()
{
    ++state_->silenced_;
    state_->dark_ = true;
}

}
