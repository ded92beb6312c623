#pragma once

#include "crash_counts.h"
#include "executor_server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bergamotwick::soak {

/// The result of submitting a job, as known to its caller.
enum class SubmissionState : std::uint8_t {
    Accepted,
    Refused, ///< every attempt was answered with a refusal
    Unknown, ///< an attempt to submit or to cancel had an unclear result
    Cancelled,
};

/// Client threads that submit jobs, cancel some of them, and query their states.
///
/// Thread safety: all methods may be called from several threads at once.
class Callers
{
public:
    /// If \p crashCounts is set, one job in \p crashingJobsOneIn has a task that crashes executors, and it is told of them.
    Callers(std::vector<std::string> addresses, SharedJudge &judge, std::uint64_t seed, CrashCounts *crashCounts, unsigned crashingJobsOneIn);
    ~Callers();

    /// Stops submitting jobs and joins the threads.
    void stop();

    /// Queries the state of each accepted job once and returns the jobs that no entry has reported as ended.
    [[nodiscard]] std::vector<std::string> unfinished();

    /// Returns every violated guarantee, one description each.
    [[nodiscard]] std::vector<std::string> violations();

    [[nodiscard]] std::size_t accepted() const;

private:
    void runCaller(int number, std::uint64_t seed);
    [[nodiscard]] int send(const std::string &method, const std::string &path, const std::string &body, std::size_t entry, std::string *reply) const;

    std::vector<std::string> addresses_;
    SharedJudge &judge_;
    CrashCounts *crashCounts_;
    unsigned crashingJobsOneIn_;
    mutable std::mutex mutex_;
    std::map<std::string, SubmissionState> jobs_; ///< keyed by request path
    std::map<std::string, std::string> finalStates_; ///< final states reported by entries, keyed by request path
    std::vector<std::string> violations_;
    std::size_t nextEntry_ = 0; ///< used by unfinished(), so that each query goes to the next entry
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

}
