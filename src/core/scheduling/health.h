#pragma once

#include "core/scheduling/board.h"

namespace bergamotwick {

/// Records that \p job failed on \p worker; quarantines the worker after several failures of different jobs in a row.
///
/// Failures are counted per worker, across jobs, to detect a worker on which every job fails.
void recordFailure(SchedulerState &state, WorkerIndex worker, const JobId &job, Instant now);

/// Clears the failures and the quarantine count of \p worker.
void recordSuccess(SchedulerState &state, WorkerIndex worker);

/// Readmits workers whose quarantine has expired. Until a job succeeds there, one failure quarantines them again.
void releaseQuarantinedWorkers(SchedulerState &state, Instant now);

}
