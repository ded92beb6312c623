#include "net/socket.h"

#include "net/boot_clock.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotwick {

namespace {

constexpr int listenBacklog = 128;
constexpr Duration listenRetryDelay = 100ms;
constexpr std::size_t maxUdpBytes = 65'536;

auto socketError()
{
    return leaf::new_error(SocketError{errno});
}

bool pollFor(int descriptor, short events, Duration timeout)
{
    pollfd item{descriptor, events, 0};
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    return ::poll(&item, 1, static_cast<int>(milliseconds)) > 0;
}

const sockaddr *asSockaddr(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address);
}

Result<Socket> openAndBind(const Address &address, int type)
{
    Socket socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return socketError();
    }
    const int enabled = 1;
    if (type == SOCK_STREAM) {
        ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    }
    if (::bind(socket.descriptor(), asSockaddr(address.raw()), sizeof(sockaddr_in)) != 0) {
        return socketError();
    }
    return socket;
}

void disableNagle(const Socket &socket)
{
    const int enabled = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

bool readExactly(const Socket &socket, char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t received = ::recv(socket.descriptor(), data, size, 0);
        if (received < 0 && errno == EINTR) {
            continue;
        }
        if (received <= 0) {
            return false;
        }
        data += received;
        size -= static_cast<std::size_t>(received);
    }
    return true;
}

}

std::optional<Address> Address::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [parseEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(port);
    if (error != std::errc() || parseEnd != end || ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &raw.sin_addr) != 1) {
        return std::nullopt;
    }
    return Address(raw);
}

std::string Address::host() const
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &raw_.sin_addr, text.data(), text.size());
    return text.data();
}

std::uint16_t Address::port() const noexcept
{
    return ntohs(raw_.sin_port);
}

std::string Address::str() const
{
    return host() + ":" + std::to_string(port());
}

Address Address::withPort(std::uint16_t port) const noexcept
{
    sockaddr_in raw = raw_;
    raw.sin_port = htons(port);
    return Address(raw);
}

Socket::Socket(int descriptor) noexcept
    : descriptor_(descriptor)
{
}

Socket::~Socket()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

Socket::Socket(Socket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

void setSocketTimeouts(const Socket &socket, const SocketTimeouts &timeouts)
{
    const auto set = [&socket](int option, Duration timeout) {
        const auto wholeSeconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
        const timeval wait{wholeSeconds.count(), (timeout - wholeSeconds).count()};
        ::setsockopt(socket.descriptor(), SOL_SOCKET, option, &wait, sizeof(wait));
    };
    set(SO_RCVTIMEO, timeouts.receive_);
    set(SO_SNDTIMEO, timeouts.send_);
    const auto milliseconds = static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeouts.unacknowledged_).count());
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

void Socket::shutdown() const noexcept
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

Address Socket::local() const
{
    sockaddr_in raw{};
    socklen_t length = sizeof(raw);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&raw), &length);
    return Address(raw);
}

Result<Socket> openUdp(const Address &address)
{
    return openAndBind(address, SOCK_DGRAM);
}

Result<Socket> listenTcp(const Address &address)
{
    BOOST_LEAF_AUTO(socket, openAndBind(address, SOCK_STREAM));
    if (::listen(socket.descriptor(), listenBacklog) != 0) {
        return socketError();
    }
    return socket;
}

Result<Socket> listenTcpWithin(const Address &address, Duration limit)
{
    const Instant until = bootNow() + limit;
    for (;;) {
        const bool isLast = bootNow() >= until;
        auto listener = listenTcp(address);
        if (listener || isLast) {
            return listener;
        }
        std::this_thread::sleep_for(listenRetryDelay);
    }
}

Result<Socket> connectTcp(const Address &address, Duration timeout)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket.valid()) {
        return socketError();
    }
    const int started = ::connect(socket.descriptor(), asSockaddr(address.raw()), sizeof(sockaddr_in));
    if (started != 0 && errno != EINPROGRESS) {
        return socketError();
    }
    if (!pollFor(socket.descriptor(), POLLOUT, timeout)) {
        return leaf::new_error(SocketError{ETIMEDOUT});
    }
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        return leaf::new_error(SocketError{error});
    }
    ::fcntl(socket.descriptor(), F_SETFL, ::fcntl(socket.descriptor(), F_GETFL) & ~O_NONBLOCK);
    disableNagle(socket);
    return socket;
}

Socket acceptTcp(const Socket &listener, Duration timeout)
{
    if (!pollFor(listener.descriptor(), POLLIN, timeout)) {
        return Socket();
    }
    Socket socket(::accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.valid()) {
        disableNagle(socket);
    }
    return socket;
}

void sendDatagram(const Socket &socket, const Address &to, const std::string &bytes)
{
    ::sendto(socket.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT, asSockaddr(to.raw()), sizeof(sockaddr_in));
}

std::optional<Datagram> receiveDatagram(const Socket &socket, Duration timeout)
{
    if (!pollFor(socket.descriptor(), POLLIN, timeout)) {
        return std::nullopt;
    }
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    std::string bytes(maxUdpBytes, '\0');
    const ssize_t received = ::recvfrom(socket.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&from), &length);
    if (received < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(received));
    return Datagram{Address(from), std::move(bytes)};
}

FrameWriteResult writeFrame(const Socket &socket, const std::string &bytes)
{
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
    std::string frame(reinterpret_cast<const char *>(&size), sizeof(size));
    frame += bytes;
    std::size_t sent = 0;
    while (sent < frame.size()) {
        const ssize_t written = ::send(socket.descriptor(), frame.data() + sent, frame.size() - sent, MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return sent == 0 ? FrameWriteResult::NotSent : FrameWriteResult::Partial;
        }
        sent += static_cast<std::size_t>(written);
    }
    return FrameWriteResult::Complete;
}

std::optional<std::string> readFrame(const Socket &socket, std::size_t maxBytes)
{
    std::uint32_t size = 0;
    if (!readExactly(socket, reinterpret_cast<char *>(&size), sizeof(size))) {
        return std::nullopt;
    }
    size = ntohl(size);
    if (size > maxBytes) {
        return std::nullopt;
    }
    std::string bytes(size, '\0');
    if (!readExactly(socket, bytes.data(), bytes.size())) {
        return std::nullopt;
    }
    return bytes;
}

}
