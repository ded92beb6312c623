#include "held_link.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
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

HeldLink::HeldLink(std::string target)
    : target_(std::move(target))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = loopback(0);
    ::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
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

void HeldLink::holdNext(const std::string &text, milliseconds delay)
{
    const std::lock_guard lock(mutex_);
    heldText_ = text;
    delay_ = delay;
}

bool HeldLink::takeHold(const std::string &bytes)
{
    const std::lock_guard lock(mutex_);
    if (heldText_.empty() || bytes.find("kv-txn") == std::string::npos || bytes.find(heldText_) == std::string::npos) {
        return false;
    }
    heldText_.clear();
    held_ = true;
    return true;
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
    const int store = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(std::stoi(target_.substr(target_.find(':') + 1)));
    const int on = 1;
    ::setsockopt(store, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool open = ::connect(store, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    bool silent = false;
    std::string request; // the bytes since the last answer, as a call may come in several parts
    std::array<char, 65'536> buffer{};
    while (open && !stopping_) {
        std::array<pollfd, 2> entries{pollfd{client, POLLIN, 0}, pollfd{store, POLLIN, 0}};
        ::poll(entries.data(), entries.size(), 20);
        if (entries[0].revents != 0) {
            const ssize_t size = ::recv(client, buffer.data(), buffer.size(), 0);
            if (size <= 0) {
                break;
            }
            std::string bytes(buffer.data(), static_cast<std::size_t>(size));
            request += bytes;
            if (takeHold(request)) {
                silent = true;
                std::this_thread::sleep_for(delay_);
            }
            open = sendAll(store, bytes);
        }
        if (entries[1].revents != 0) {
            const ssize_t size = ::recv(store, buffer.data(), buffer.size(), 0);
            request.clear();
            open = size > 0 && (silent || sendAll(client, std::string(buffer.data(), static_cast<std::size_t>(size))));
        }
    }
    ::close(store);
    ::close(client);
}

}
