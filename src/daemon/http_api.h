#pragma once

#include "daemon/entry_server.h"

#include <memory>
#include <thread>

namespace httplib {
class Server;
}

namespace bergamotwick {

/// The HTTP interface of an entry for callers, operators, load balancers and metrics scrapers. See docs/CALLERS.md.
///
/// Thread safety: start() and stop() must be called from the same thread.
class HttpApi
{
public:
    /// \p entry must outlive this object.
    HttpApi(EntryServer &entry, const Settings &settings);
    ~HttpApi();
    HttpApi(const HttpApi &) = delete;
    HttpApi &operator=(const HttpApi &) = delete;

    /// Binds the HTTP address and starts to serve. Errors: SocketError.
    [[nodiscard]] Result<void> start();

    /// Stops the server after the calls in progress have finished.
    void stop();

private:
    void routeRequests();
    void routeJobs();
    void routeOperators();
    void routeMonitoring();

    EntryServer &entry_;
    Settings settings_;
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
};

}
