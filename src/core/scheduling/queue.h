#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Tries to place the queued jobs in order of priority.
///
/// Urgent jobs and guaranteed shapes may preempt others. A gang may preempt jobs that started after it was queued,
/// once it has waited for SchedulerLimits::preemptAfter_.
void placeQueued(SchedulerState &state, Instant now);

/// Returns the expected remaining run time of \p job, estimated from earlier jobs.
[[nodiscard]] std::chrono::seconds expectedRunTime(const SchedulerState &state, const TrackedJob &job);

/// Updates the run time estimates with a finished job that ran for \p actual.
void learnRunTime(SchedulerState &state, const TrackedJob &job, Duration actual);

/// Returns whether \p spec fits the workers declared in \p config when they are idle.
[[nodiscard]] bool canEverFit(const Config &config, const JobSpec &spec);

}
