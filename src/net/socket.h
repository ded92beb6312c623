#pragma once

#include "bergamotwick/error.h"
#include "bergamotwick/time.h"

#include <cstdint>
#include <optional>
#include <string>

#include <netinet/in.h>

namespace bergamotwick {

/// An IPv4 address and a port.
///
/// Thread safety: a value type.
class Address
{
public:
    Address() = default;

    explicit Address(const sockaddr_in &raw) noexcept
        : raw_(raw)
    {
    }

    /// Parses an address such as "127.0.0.1:7000". Returns std::nullopt for other text.
    [[nodiscard]] static std::optional<Address> parse(const std::string &text);

    [[nodiscard]] std::string str() const;
    [[nodiscard]] std::string host() const;
    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] Address withPort(std::uint16_t port) const noexcept;

    [[nodiscard]] const sockaddr_in &raw() const noexcept
    {
        return raw_;
    }

    friend bool operator==(const Address &left, const Address &right) noexcept
    {
        return left.raw_.sin_addr.s_addr == right.raw_.sin_addr.s_addr && left.raw_.sin_port == right.raw_.sin_port;
    }

private:
    sockaddr_in raw_{};
};

/// Owns the file descriptor of a socket.
///
/// Thread safety: shutdown() may be called while another thread reads or writes; all other calls must come from one thread.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor) noexcept;
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;

    [[nodiscard]] int descriptor() const noexcept
    {
        return descriptor_;
    }

    [[nodiscard]] bool valid() const noexcept
    {
        return descriptor_ >= 0;
    }

    /// Wakes all threads that wait on the socket. Later reads and writes fail.
    void shutdown() const noexcept;

    /// Returns the local address. Precondition: valid().
    [[nodiscard]] Address local() const;

private:
    int descriptor_ = -1;
};

/// Timeouts after which an unresponsive peer is considered lost.
struct SocketTimeouts
{
    Duration receive_{}; ///< longest wait for incoming data
    Duration send_{}; ///< longest wait for space in the send buffer
    Duration unacknowledged_{}; ///< longest time that sent data may stay unacknowledged before the connection is closed
};

/// Makes reads and writes on \p socket fail after the given timeouts. Precondition: valid().
void setSocketTimeouts(const Socket &socket, const SocketTimeouts &timeouts);

/// Opens a UDP socket on \p address. Errors: SocketError.
[[nodiscard]] Result<Socket> openUdp(const Address &address);

/// Opens a listening TCP socket on \p address. Errors: SocketError.
[[nodiscard]] Result<Socket> listenTcp(const Address &address);

/// Time for which a server tries to listen on an address that is in use, as while a former process still shuts down.
constexpr Duration listenRetryLimit = 10s;

/// As listenTcp(), but retries until \p limit has passed.
[[nodiscard]] Result<Socket> listenTcpWithin(const Address &address, Duration limit);

/// Connects to \p address within \p timeout. Errors: SocketError.
[[nodiscard]] Result<Socket> connectTcp(const Address &address, Duration timeout);

/// Waits up to \p timeout for a connection. Returns an invalid socket if there is none.
[[nodiscard]] Socket acceptTcp(const Socket &listener, Duration timeout);

/// Sends one datagram. Send errors are ignored, since datagrams may be lost anyway.
void sendDatagram(const Socket &socket, const Address &to, const std::string &bytes);

/// A received datagram and its sender.
struct Datagram
{
    Address from_;
    std::string bytes_;
};

/// Waits up to \p timeout for a datagram. Returns std::nullopt if there is none.
[[nodiscard]] std::optional<Datagram> receiveDatagram(const Socket &socket, Duration timeout);

/// Result of writing a frame.
enum class FrameWriteResult : std::uint8_t {
    Complete,
    NotSent, ///< no byte was sent
    Partial, ///< some bytes may have been sent
};

/// Writes \p bytes as one frame: a 32-bit length in network byte order, followed by the data.
[[nodiscard]] FrameWriteResult writeFrame(const Socket &socket, const std::string &bytes);

/// Reads one frame. Returns std::nullopt if the connection fails or the frame is larger than \p maxBytes.
[[nodiscard]] std::optional<std::string> readFrame(const Socket &socket, std::size_t maxBytes);

}
