#pragma once

#include "callers_server.h"
#include "membership.h"

#include <atomic>
#include <functional>
#include <optional>

namespace bergamotwick::node {

/// Hands calls to other entries: the store may turn one host away and serve the others.
///
/// Thread safety: forward() and askLeader() may be called from several threads at once.
class Forwarder
{
public:
    using FindMembers = std::function<Members()>;

    /// \p self is this entry's name.
    Forwarder(std::string self, FindMembers find);

    /// Asks another entry to serve \p call. Returns nothing if none answers in time; it may have served it then.
    [[nodiscard]] std::optional<platform::Answer> forward(platform::Call call);

    /// Asks the leader to serve \p call; otherwise like forward().
    [[nodiscard]] std::optional<platform::Answer> askLeader(platform::Call call);

private:
    [[nodiscard]] static std::optional<platform::Answer> ask(const std::string &name, const Address &entry, platform::Call &&call);

    std::string self_;
    FindMembers find_;
    std::atomic<std::size_t> turn_{0};
};

/// Serves calls that other entries hand over.
///
/// Thread safety: none; start() is called once.
class ForwardListener
{
public:
    ForwardListener(Address address, platform::CallHandler handler);

    /// Starts listening. Errors: SocketError.
    [[nodiscard]] Result<void> start();

private:
    void accept();
    void serve(const Socket &socket) const;

    Address address_;
    platform::CallHandler handler_;
    Socket listener_;
};

/// Returns where the entry with \p agentAddress takes forwarded calls. Thread-safe.
[[nodiscard]] Address forwardAddress(const Address &agentAddress);

}
