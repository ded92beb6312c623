#pragma once

#include <atomic>
#include <memory>
#include <string>

namespace bergamotwick::soak {

/// What a link does to what passes over it.
enum class LinkMode : int {
    Pass,
    Silent, ///< nothing passes, nothing ends
    OneWay, ///< calls pass, answers don't
    Delayed,
    Reset, ///< connections are reset as soon as something passes
};

/// A link on loopback that can be made to fail.
///
/// Thread safety: all methods may be called from several threads at once.
class Proxy
{
public:
    /// Passes connections on to \p target, "127.0.0.1:port".
    explicit Proxy(const std::string &target);
    ~Proxy();

    [[nodiscard]] std::string address() const;
    void setMode(LinkMode mode) noexcept;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Returns a port of loopback that nobody listens on just now.
[[nodiscard]] int freePort();

}
