#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace bergamotwick::soak {

/// How a link treats the data sent over it.
enum class LinkMode : int {
    Pass,
    Stalled, ///< nothing is forwarded; connections stay open
    OneWay, ///< requests are forwarded, replies are not
    Delayed,
    Reset, ///< connections are reset as soon as data arrives
};

/// How the address of a link treats connections.
enum class LinkAddress : int {
    Open,
    Refusing, ///< new connections are refused, the present ones go on
    Gone, ///< new connections are refused, the present ones are reset
};

/// A TCP proxy on loopback that injects link faults.
///
/// Thread safety: all methods may be called from several threads at once.
class Proxy
{
public:
    /// Forwards connections to \p target, "127.0.0.1:port". Listens on \p address, or on a free port if it is empty.
    explicit Proxy(const std::string &target, const std::string &address = {});
    ~Proxy();

    [[nodiscard]] std::string address() const;
    void setMode(LinkMode mode) noexcept;

    /// Data to the target that a fault held up.
    struct Hold
    {
        std::chrono::steady_clock::time_point receivedAt_{};
        std::chrono::steady_clock::time_point releasedAt_{};
    };

    /// Returns the last hold that has ended.
    [[nodiscard]] Hold lastHold() const;

    /// A change takes effect within a tenth of a second.
    void setAddress(LinkAddress address) noexcept;

    /// Connections that are open now stay open and carry nothing any more; new ones work. Takes effect within a tenth of a second.
    void silenceOpenConnections() noexcept;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}
