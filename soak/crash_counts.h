#pragma once

#include "core/batch/crash_history.h"
#include "store_stand_in.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bergamotwick::soak {

/// Watches the crash histories in the store and checks that the counts of crashing jobs never fall, whichever release leads.
///
/// Thread safety: all methods may be called from several threads at once.
class CrashCounts
{
public:
    explicit CrashCounts(StoreStandIn &store);
    ~CrashCounts();
    CrashCounts(const CrashCounts &) = delete;
    CrashCounts &operator=(const CrashCounts &) = delete;

    /// Some task of \p job crashes each executor on which it starts.
    void addCrashingJob(const JobId &job);

    /// Returns the violations so far, one description each.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// Returns how many crashing jobs have had a stored count.
    [[nodiscard]] std::size_t counted() const;

private:
    void run();
    void check(const std::string &bytes);

    StoreStandIn &store_;
    mutable std::mutex mutex_;
    std::set<JobId> crashingJobs_;
    std::map<std::pair<JobId, std::uint32_t>, std::uint32_t> counts_; ///< last count by job and task
    std::vector<std::string> violations_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

}
