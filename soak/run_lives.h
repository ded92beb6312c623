#pragma once

#include "core/batch/job.h"

#include <map>
#include <mutex>

namespace bergamotwick::soak {

/// How long the runs of each task have really lived on executors, from their starts to their ends or the ends of their executors.
///
/// Thread safety: all methods may be called from several threads at once.
class RunLives
{
public:
    void began(const batch::Incarnation &incarnation, const batch::RunId &run, Instant now);
    void ended(const batch::Incarnation &incarnation, const batch::RunId &run, Instant now);

    /// Ends all runs on \p incarnation.
    void executorEnded(const batch::Incarnation &incarnation, Instant now);

    /// Returns the longest life of a run of each task of \p job so far.
    [[nodiscard]] std::map<batch::TaskId, Duration> longest(const JobId &job, Instant now) const;

private:
    using Key = std::pair<batch::Incarnation, batch::RunId>;

    void add(const batch::TaskId &task, Duration life);

    mutable std::mutex mutex_;
    std::map<Key, Instant> alive_; ///< with their starts
    std::map<batch::TaskId, Duration> longest_; ///< of the runs that have ended
};

}
