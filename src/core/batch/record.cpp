#include "core/batch/record.h"

namespace bergamotwick::batch {

Progress recordOf(Progress progress)
{
    for (TaskProgress &task : progress.tasks_) {
        if (task.assigned_) {
            continue;
        }
        task.placement_ = {};
        if (task.done_) {
            task.checkpoint_.clear();
            task.failedRuns_.clear();
        }
    }
    return progress;
}

}
