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

    /// Reads "127.0.0.1:7000". Returns nothing for anything else.
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

/// Owns a file descriptor.
///
/// Thread safety: shutdown() may be called while another thread reads or writes; all else is for one thread.
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

    /// Wakes every thread that waits on the socket; reads and writes fail from here on.
    void shutdown() const noexcept;

    /// Returns the local address. Precondition: valid().
    [[nodiscard]] Address local() const;

private:
    int descriptor_ = -1;
};

/// After how long a silent peer counts as gone.
struct SilenceLimits
{
    Duration receive_{}; ///< without a byte, while one is waited for
    Duration send_{}; ///< without room for a byte
    Duration unacknowledged_{}; ///< of bytes sent; ends the connection
};

/// Makes reads and writes on \p socket fail instead of waiting longer. Precondition: valid().
void limitSilence(const Socket &socket, const SilenceLimits &limits);

/// Opens a UDP socket on \p address. Errors: SocketError.
[[nodiscard]] Result<Socket> openUdp(const Address &address);

/// Opens a listening TCP socket on \p address. Errors: SocketError.
[[nodiscard]] Result<Socket> listenTcp(const Address &address);

/// Connects to \p address within \p timeout. Errors: SocketError.
[[nodiscard]] Result<Socket> connectTcp(const Address &address, Duration timeout);

/// Waits for a connection for at most \p timeout. Returns an invalid socket if none came.
[[nodiscard]] Socket acceptTcp(const Socket &listener, Duration timeout);

/// Sends one datagram; one that cannot be sent is lost like any other.
void sendDatagram(const Socket &socket, const Address &to, const std::string &bytes);

/// A datagram and where it came from.
struct Datagram
{
    Address from_;
    std::string bytes_;
};

/// Waits for a datagram for at most \p timeout.
[[nodiscard]] std::optional<Datagram> receiveDatagram(const Socket &socket, Duration timeout);

/// What became of a frame that was to be written.
enum class FrameWrite : std::uint8_t {
    Whole,
    Nothing, ///< not a byte left this process
    Part, ///< some bytes may have left
};

/// Writes \p bytes as one frame.
[[nodiscard]] FrameWrite writeFrame(const Socket &socket, const std::string &bytes);

/// Reads one frame. Returns nothing if the connection ends or the frame is larger than \p most bytes.
[[nodiscard]] std::optional<std::string> readFrame(const Socket &socket, std::size_t most);

}
