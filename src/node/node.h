#pragma once

#include "core/batch/messages.h"
#include "metrics/metrics.h"
#include "settings.h"

#include <string>

namespace bergamotwick::node {

/// Runs an entry: takes callers' calls, and leads when it holds the leader's key. Returns the process's exit code after SIGTERM.
[[nodiscard]] int runEntry(const platform::NodeSettings &settings);

/// Runs the process beside an executor. Returns the process's exit code after SIGTERM.
[[nodiscard]] int runAgent(const platform::NodeSettings &settings);

/// Where each process shows its metrics, as deploy/system.toml says.
constexpr std::uint16_t metricsPort = 9'464;
constexpr const char *metricsPath = "/metrics";

/// Writes \p decision to the log and counts it. Thread-safe.
void tell(const batch::LogEvent &decision, Metrics &metrics);

/// Serves \p metrics on \p ip in a thread of its own; without the port the process goes on and says so in the log.
void serveMetrics(const std::string &ip, const Metrics &metrics);

/// Blocks SIGTERM, SIGINT and SIGHUP in all threads to come, so that waitForStop() gets them. Call before any thread starts.
void blockSignals();

/// Waits for SIGTERM or SIGINT. A SIGHUP is logged: what the settings say of this process doesn't change while it runs.
void waitForStop();

}
