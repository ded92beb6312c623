#pragma once

#include "net/receive_budget.h"

#include <condition_variable>
#include <memory>
#include <mutex>

#include <httplib.h>

namespace bergamotwick {

/// Numbers of requests and connections that the servers of this process have ended for want of memory or descriptors.
struct ClosedClients
{
    std::uint64_t requests_ = 0; ///< refused with 503, or closed while their bytes arrived
    std::uint64_t connections_ = 0; ///< closed without a whole request
};

/// Thread-safe.
[[nodiscard]] ClosedClients closedClients() noexcept;

/// HTTP server that bounds the memory and descriptors of clients that it doesn't control.
///
/// Thread safety: same as httplib::Server.
class GuardedServer : public httplib::Server
{
public:
    explicit GuardedServer(const ReceiveLimits &limits);
    ~GuardedServer() override;

private:
    class Connection;
    class Guard;

    bool process_and_close_socket(socket_t descriptor) override;
    bool serveConnection(Connection &connection);

    std::unique_ptr<Guard> guard_;
};

/// Memory for the body of the request that this thread serves. Outside a GuardedServer everything is admitted.
///
/// Thread safety: each thread has its own request.
class RequestMemory
{
public:
    /// Says that the request's head has been read. What the server itself holds of the body until the next reserve() is bounded if its length
    /// isn't declared.
    static void beginBody(bool lengthDeclared);

    /// Asks for \p bytes in all; waits a moment if others have to end first. Returns false if the request has to be refused.
    [[nodiscard]] static bool reserve(std::size_t bytes);

    /// Says that the body has been read. Waits while another large body is served. Returns false if the request has to be refused.
    [[nodiscard]] static bool complete();

    /// Says that more of the body was read.
    static void progress();
};

}
