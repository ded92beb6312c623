#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// What becomes of runs: reports, ends, losses and stops. Thread safety of all functions: none; the board is one thread's.

/// Takes in what an agent says of its executor.
void takeReport(Board &board, const Report &report);

/// Wants \p run to end, and with it the other members of its gang.
void stopRun(Board &board, const RunId &run, const char *reason);

/// Ends all runs of \p job.
void stopJob(Board &board, Job &job, const char *reason);

/// Puts the job into a final state and stops what is left of it.
void finishJob(Board &board, Job &job, JobState state, const char *reason);

/// Settles runs on executors that have been silent for so long that their leases have ended.
void expireSilentLeases(Board &board);

}
