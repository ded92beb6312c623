#include "held_link.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in parse(const std::string &text)
{
    const auto colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/// Returns whether \p bytes are a whole request.
bool isWhole(const std::string &bytes)
{
    const auto head = bytes.find("\r\n\r\n");
    const auto length = bytes.find("Content-Length: ");
    const std::size_t body = length < head ? std::stoul(bytes.substr(length + 16)) : 0;
    return head != std::string::npos && bytes.size() >= head + 4 + body;
}

bool isReadable(int socket)
{
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, 5) > 0;
}

bool sendAll(int socket, const std::string &bytes)
{
    return ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

}

HeldLink::HeldLink(std::string target, const std::string &address)
    : target_(std::move(target))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in own = parse(address.empty() ? "127.0.0.1:0" : address);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::bind(listener_, reinterpret_cast<const sockaddr *>(&own), sizeof(own));
    ::listen(listener_, 64);
    thread_ = std::thread([this] { accept(); });
}

HeldLink::~HeldLink()
{
    stopping_ = true;
    thread_.join();
    while (connections_ > 0) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    ::close(listener_);
}

std::string HeldLink::address() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void HeldLink::holdNext(std::function<bool(const std::string &)> matches, milliseconds delay)
{
    const std::lock_guard lock(mutex_);
    holds_.push_back({std::move(matches), delay});
}

bool HeldLink::takeHold(const std::string &request)
{
    const std::lock_guard lock(mutex_);
    for (auto hold = holds_.begin(); hold != holds_.end(); ++hold) {
        if (hold->matches_(request)) {
            ++connections_;
            std::thread([this, request, delay = hold->delay_] {
                passOnLate(request, delay);
                --connections_;
            }).detach();
            holds_.erase(hold);
            ++held_;
            return true;
        }
    }
    return false;
}

int HeldLink::connectToTarget() const
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = parse(target_);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return socket;
    }
    ::close(socket);
    return -1;
}

void HeldLink::passOnLate(const std::string &request, milliseconds delay) const
{
    std::this_thread::sleep_for(delay);
    const int socket = connectToTarget();
    if (socket >= 0) {
        sendAll(socket, request);
        std::this_thread::sleep_for(milliseconds(1'000));
        ::close(socket);
    }
}

void HeldLink::accept()
{
    while (!stopping_) {
        if (!isReadable(listener_)) {
            continue;
        }
        const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0) {
            ++connections_;
            std::thread([this, client] {
                serve(client);
                --connections_;
            }).detach();
        }
    }
}

void HeldLink::serve(int client)
{
    const int target = connectToTarget();
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool open = target >= 0;
    bool silent = false;
    std::string request; // what has come since the last answer
    std::array<char, 65'536> buffer{};
    while (open && !stopping_) {
        std::array<pollfd, 2> entries{pollfd{client, POLLIN, 0}, pollfd{target, POLLIN, 0}};
        ::poll(entries.data(), entries.size(), 20);
        if (entries[1].revents != 0) {
            const ssize_t size = ::recv(target, buffer.data(), buffer.size(), 0);
            open = size > 0 && sendAll(client, std::string(buffer.data(), static_cast<std::size_t>(size)));
        } else if (entries[0].revents != 0) {
            const ssize_t size = ::recv(client, buffer.data(), buffer.size(), 0);
            if (size <= 0) {
                break;
            }
            request.append(buffer.data(), static_cast<std::size_t>(size));
            if (!silent && isWhole(request)) {
                silent = takeHold(request);
                open = silent || sendAll(target, request);
                request.clear();
            }
        }
    }
    // A target that is gone refuses or resets; so does the link.
    const linger reset{1, 0};
    ::setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::close(client);
    if (target >= 0) {
        ::close(target);
    }
}

}
