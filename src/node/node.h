#pragma once

#include "settings.h"

namespace bergamotwick::node {

/// Runs an entry: takes callers' calls, and leads when it holds the leader's key. Returns the process's exit code after SIGTERM.
[[nodiscard]] int runEntry(const platform::NodeSettings &settings);

/// Runs the process beside an executor. Returns the process's exit code after SIGTERM.
[[nodiscard]] int runAgent(const platform::NodeSettings &settings);

/// Blocks SIGTERM, SIGINT and SIGHUP in all threads to come, so that waitForStop() gets them. Call before any thread starts.
void blockSignals();

/// Waits for SIGTERM or SIGINT. A SIGHUP is logged: what the settings say of this process doesn't change while it runs.
void waitForStop();

}
