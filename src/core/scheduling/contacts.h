#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Applies a worker's report, unless it is older than the last one of the same incarnation. Returns the worker's index.
WorkerIndex applyReport(SchedulerState &state, const AgentReport &report, Instant now);

/// Marks workers as not alive that have missed SchedulerLimits::maxMissedReports_ reports.
void detectSilentWorkers(SchedulerState &state, Instant now);

/// Returns the directive for \p worker and records the lease renewal in it.
[[nodiscard]] Directive directiveFor(SchedulerState &state, WorkerIndex worker, Instant now);

/// Returns the report period that keeps the traffic of all workers within SchedulerLimits::maxBytesPerSecond_.
[[nodiscard]] Duration reportPeriod(const SchedulerState &state);

/// Returns how long a member continues to run without a renewal by the owner.
[[nodiscard]] Duration leaseDuration(const SchedulerState &state);

/// Returns whether the last store read is recent enough to renew leases.
[[nodiscard]] bool mayRenewLeases(const SchedulerState &state, Instant now);

}
