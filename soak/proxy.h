#pragma once

#include <atomic>
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

/// A TCP proxy on loopback that injects link faults.
///
/// Thread safety: all methods may be called from several threads at once.
class Proxy
{
public:
    /// Forwards connections to \p target, "127.0.0.1:port".
    explicit Proxy(const std::string &target);
    ~Proxy();

    [[nodiscard]] std::string address() const;
    void setMode(LinkMode mode) noexcept;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Returns a loopback port that was free at the time of the call.
[[nodiscard]] int freePort();

}
