#pragma once

#include "core/batch/job.h"

namespace bergamotwick::batch {

/// What is stored of a job's progress. Thread safety of all functions: thread-safe on const objects.

/// Returns \p progress without what no later start depends on: where tasks ran that aren't assigned, and the checkpoints and failed runs of tasks that
/// are done. So the record of a job that has begun doesn't grow with the tasks that are done.
[[nodiscard]] Progress recordOf(Progress progress);

}
