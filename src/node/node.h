#pragma once

#include "core/batch/messages.h"
#include "metrics/metrics.h"
#include "settings.h"
#include "settings_reloader.h"

#include <string>

namespace bergamotwick::node {

/// Runs an entry, which serves callers and is the leader while it holds the leader key. Takes over changes of settings from \p reloader. Ends
/// the process with exit code 0 after SIGTERM or SIGINT, or 1 if it can't listen for agents or forwarded calls.
[[nodiscard]] int runEntry(const platform::NodeSettings &settings, SettingsReloader &reloader);

/// Runs the agent of an executor. Ends the process with exit code 0 after SIGTERM or SIGINT.
[[nodiscard]] int runAgent(const platform::NodeSettings &settings);

/// Port and path of each process's metrics, as declared in deploy/system.toml.
constexpr std::uint16_t metricsPort = 9'464;
constexpr const char *metricsPath = "/metrics";

/// Logs \p event and counts it in \p metrics. Thread-safe.
void recordDecision(const batch::LogEvent &event, Metrics &metrics);

/// Serves \p metrics on \p ip in a separate thread. If the port isn't available, a warning is logged and the process continues.
void serveMetrics(const std::string &ip, const Metrics &metrics);

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all later ones, so that waitForStopSignal() and SettingsReloader::run() receive
/// them. Call before any thread starts.
void blockSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

}
