#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick::report {

using std::chrono::milliseconds;

/// Cause of a late job's delay.
enum class LossCause : std::uint8_t {
    WaitedForCapacity, ///< wait for the first start; no other work was stopped for the job
    WaitedForPreemption, ///< wait for the first start, while other work was stopped for the job
    LostWithHost, ///< a run was abandoned without an end report
    Stopped, ///< a run was stopped: preempted, stalled, draining, or together with another member of its gang
    WaitedToRetry, ///< wait between the end of a run and the next start
    Slow, ///< no other cause: the last run itself took too long
};

[[nodiscard]] const char *toString(LossCause cause) noexcept;

/// A job that missed its objective.
struct LateJob
{
    std::string job_;
    std::string workspace_;
    std::int32_t priority_ = 0;
    milliseconds turnaround_{0}; ///< time from acceptance to completion
    milliseconds objective_{0}; ///< computed from the measured execution time of its runs
    std::map<LossCause, milliseconds> lostTime_; ///< lost time of the task that ended last, by cause
    LossCause cause_ = LossCause::Slow; ///< cause of the largest loss
};

/// Determines from the logs of entries and agents which jobs were late and why.
///
/// Lines may come from several processes but have to be sorted by time. Other lines are ignored.
/// Thread safety: none.
class LatenessReport
{
public:
    /// Processes one log line. Text before its `time=` field is ignored.
    void addLine(std::string_view line);

    /// Returns the completed jobs that were late, sorted by name. Jobs whose acceptance was not logged are left out.
    [[nodiscard]] std::vector<LateJob> lateJobs() const;

    /// Returns the number of completed jobs.
    [[nodiscard]] std::size_t completed() const noexcept
    {
        return completed_;
    }

private:
    struct Run
    {
        milliseconds started_{0};
        milliseconds ended_{0};
        std::string outcome_; ///< empty while the run is in progress
    };

    struct JobTimeline
    {
        std::string workspace_;
        std::int32_t priority_ = 0;
        double stretch_ = 0;
        milliseconds target_{0};
        milliseconds accepted_{0};
        milliseconds completed_{0};
        bool preemptedOthers_ = false;
        std::map<std::string, std::map<std::uint32_t, Run>> runs_; ///< by task, then by run number
    };

    using Fields = std::map<std::string, std::string, std::less<>>;

    void addEvent(milliseconds time, const Fields &fields);
    void addRunEvent(milliseconds time, const Fields &fields);
    [[nodiscard]] static milliseconds executionTime(const std::map<std::uint32_t, Run> &runs);

    /// Returns the objective of the job for the measured execution time of its longest tasks.
    [[nodiscard]] static milliseconds objectiveOf(const JobTimeline &timeline);
    [[nodiscard]] static std::map<LossCause, milliseconds> lostTimeOf(const JobTimeline &timeline);

    std::map<std::string, JobTimeline, std::less<>> timelines_;
    std::size_t completed_ = 0;
};

}
