#include "callers_server.h"
#include "daemon/log.h"
#include "http_status.h"
#include "net/guarded_server.h"
#include "node.h"

#include <thread>

namespace bergamotwick::node {

void recordDecision(const batch::LogEvent &event, Metrics &metrics)
{
    logEvent(LogLevel::Info, event.event_, event.fields_);
    metrics.count("decisions_total", "event=\"" + event.event_ + "\"");
}

void serveMetrics(const std::string &ip, const Metrics &metrics)
{
    std::thread([address = ip + ":" + std::to_string(metricsPort), &metrics] {
        platform::PageServer server(address, metricsPath, [&metrics] {
            const std::string dropped = "bergamotwick_log_lines_dropped " + std::to_string(droppedLogLines()) + "\n";
            const ClosedClients closed = closedClients();
            const std::string clients = "bergamotwick_client_requests_refused " + std::to_string(closed.requests_) + "\nbergamotwick_client_connections_closed "
                + std::to_string(closed.connections_) + "\n";
            return platform::Answer{platform::statusOk, metrics.text() + dropped + clients};
        });
        if (!server.run()) {
            logEvent(LogLevel::Warning, "cannot-listen", {{"for", "metrics"}});
        }
    }).detach();
}

}
