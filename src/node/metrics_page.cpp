#include "callers_server.h"
#include "daemon/log.h"
#include "http_status.h"
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
            return platform::Answer{platform::statusOk, metrics.text() + dropped};
        });
        if (!server.run()) {
            logEvent(LogLevel::Warning, "cannot-listen", {{"for", "metrics"}});
        }
    }).detach();
}

}
