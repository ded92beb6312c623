#pragma once

#include <atomic>
#include <memory>
#include <string>

namespace review {

/// A TCP proxy on a loopback address. All connections pass until told otherwise. Thread-safe.
class Link
{
public:
    /// Listens on \p address ("ip:port") and forwards each connection to \p target.
    Link(const std::string &address, const std::string &target);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Connections that are open now carry nothing any more, for good, and stay open; new ones work.
    void silenceOpenConnections();

    /// Resets all connections and refuses new ones until up().
    void down();
    void up();

    /// As if the machine behind it had lost its power for good: open connections go silent, and attempts to open one aren't answered.
    void dark();

private:
    struct State;
    std::shared_ptr<State> state_;
};

}
