#pragma once

#include "core/report/host_fit.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick::report {

using std::chrono::milliseconds;

/// Cause of a late job's delay.
enum class LossCause : std::uint8_t {
    BeforeStored, ///< time from the caller's first call until the job was stored
    UntilKnown, ///< time until the leader knew the stored job
    WaitedForCapacity, ///< wait for the first assignment; no other work was stopped for the job
    WaitedForPreemption, ///< wait for the first assignment, while other work was stopped for the job
    UntilStarted, ///< time from the first assignment to the start
    LostWithHost, ///< a run was abandoned without an end report
    Stopped, ///< a run was stopped: preempted, stalled, draining, or together with another member of its gang
    WaitedToRetry, ///< wait between the end of a run and the next start
    UntilShown, ///< time from the end of the last run, as far as known, until an answer showed the job as completed
    SlowMember, ///< runs took longer than on sound hosts; of a gang, its slowest member decides
    AwayFromRack, ///< runs took longer away from their data, or with their gang spread over racks
    Slow, ///< no other cause: the last run itself took too long
};

[[nodiscard]] const char *toString(LossCause cause) noexcept;

/// A job that missed its objective.
struct LateJob
{
    std::string job_;
    std::string workspace_;
    std::int32_t priority_ = 0;
    milliseconds turnaround_{0}; ///< time from the caller's first call to the first answer that showed the job as completed
    milliseconds objective_{0}; ///< computed from the measured execution time of its runs, as it would have been on sound hosts near its data
    bool shown_ = false; ///< an answer has shown the job as completed
    std::string slowestHost_; ///< the host that cost the most time by its slowness; empty if none did
    double slowness_ = 1; ///< how many times as long as on a sound host tasks take there
    std::map<LossCause, milliseconds> lostTime_; ///< lost time of the task that ended last, by cause; by slow hosts and racks: of all steps
    LossCause cause_ = LossCause::Slow; ///< cause of the largest loss
};

/// Determines from the logs of entries and agents which jobs were late for their callers, and why. Calls that reached no entry aren't known; a job
/// that no answer has shown as completed counts up to its completion. Cancelled, repeated and long-running jobs are left out.
///
/// A job's work is measured on the hosts that it got, and brought to a sound host by the fit of all runs (HostFit). The end of a run that a new leader
/// reports at once has an unknown time since the last decision of the leader before: the middle is taken.
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
        milliseconds worked_{0}; ///< how long it worked, as far as known
        std::string outcome_; ///< empty while the run is in progress
        std::string host_; ///< known once it has ended
        double rackSlowdown_ = 1; ///< how many times as long it takes on its racks; known once it has ended
        std::int32_t restoredPercent_ = 0; ///< the part of its task that was restored from a checkpoint; known once it has ended
    };

    /// The work of a job's longest tasks, and what slow hosts added to it.
    struct ChainTime
    {
        milliseconds sound_{0}; ///< as it would have been on sound hosts near its data
        milliseconds lost_{0}; ///< what slow hosts added
        milliseconds lostToRack_{0}; ///< what racks added
        milliseconds mostLost_{0}; ///< of lost_, that of the step that lost most
        std::string slowestHost_; ///< of that step

        [[nodiscard]] milliseconds whole() const
        {
            return sound_ + lost_ + lostToRack_;
        }
    };

    using Runs = std::map<std::uint32_t, Run>; ///< the runs of a task, by number

    /// A decision where tasks of a step are to run.
    struct Assignment
    {
        milliseconds time_{0};
        std::string places_; ///< executors, each followed by a comma and preceded by one
        double rackSlowdown_ = 1;
        bool restored_ = false; ///< tasks continue from checkpoints
    };

    struct JobTimeline
    {
        std::string workspace_;
        std::int32_t priority_ = 0;
        double stretch_ = 0;
        milliseconds target_{0};
        bool known_ = false; ///< the leader has logged the job
        bool gang_ = false;
        bool owed_ = true; ///< it has one objective: neither cancelled nor repeated nor long-running
        std::optional<milliseconds> requested_; ///< when an entry got the caller's first call
        milliseconds accepted_{0};
        milliseconds knownAt_{0};
        std::map<std::string, std::vector<Assignment>, std::less<>> assigned_; ///< by step
        std::optional<milliseconds> completed_;
        std::optional<milliseconds> shown_; ///< when an answer first showed it as completed
        bool preemptedOthers_ = false;
        std::map<std::string, Runs> runs_; ///< by task

        /// Returns when the job began for its caller.
        [[nodiscard]] milliseconds begin() const
        {
            return requested_.value_or(accepted_);
        }

        /// Returns when the job ended for its caller. Precondition: it has completed.
        [[nodiscard]] milliseconds end() const
        {
            return shown_.value_or(*completed_);
        }
    };

    using Fields = std::map<std::string, std::string, std::less<>>;

    using LostTime = std::map<LossCause, milliseconds>;

    void addEvent(milliseconds time, const Fields &fields);
    void addRunEvent(milliseconds time, const Fields &fields);
    void addCall(milliseconds time, const Fields &fields);
    static void addKnown(JobTimeline &timeline, milliseconds time, const Fields &fields);
    static void addAssignment(JobTimeline &timeline, milliseconds time, const Fields &fields);
    void addEnd(Run &run, const Assignment &assignment, milliseconds time, const Fields &fields) const;

    /// Returns the assignment of \p run of \p task to \p executor; one without anything special if it isn't known.
    [[nodiscard]] static Assignment assignmentOf(const JobTimeline &timeline, const std::string &task, const Run &run, const std::string &executor);
    void addLeader(milliseconds time);

    /// Returns what the runs tell of the hosts' slowness.
    [[nodiscard]] HostFit fitHosts() const;

    /// Returns the run number \p number of \p step of the gang \p timeline that has the slowest host, for \p run of one of its members.
    [[nodiscard]] static std::string
    slowestHostOf(const JobTimeline &timeline, const std::string &step, std::uint32_t number, const Run &run, const HostFit &fit);

    /// Returns which share of its task's work \p run has done: less than 1 if it was restored from the checkpoint of a run before, one of \p runs.
    [[nodiscard]] static double shareOfWork(const Runs &runs, const Run &run);
    [[nodiscard]] static ChainTime taskTime(const JobTimeline &timeline, const std::string &task, const Runs &runs, const HostFit &fit);

    /// Returns the time of the longest tasks of each step, whose tasks run in parallel.
    [[nodiscard]] static ChainTime chainOf(const JobTimeline &timeline, const HostFit &fit);
    [[nodiscard]] static milliseconds objectiveOf(const JobTimeline &timeline, const ChainTime &chain);
    [[nodiscard]] static LateJob describe(const std::string &id, const JobTimeline &timeline, const ChainTime &chain, const HostFit &fit);
    [[nodiscard]] static LostTime lostTimeOf(const JobTimeline &timeline);

    /// Returns when the task named \p task could start: the job was accepted, and its earlier steps had ended.
    [[nodiscard]] static milliseconds readyTime(const JobTimeline &timeline, const std::string &task);
    static void addWaitForStart(LostTime &lost, const JobTimeline &timeline, const std::string &task, milliseconds started);

    std::map<std::string, JobTimeline, std::less<>> timelines_;
    std::map<std::string, std::string, std::less<>> hosts_; ///< by executor
    milliseconds lastDecision_{0}; ///< when a leader last decided anything
    milliseconds leaderlessSince_{0}; ///< last decision of the leader before the present one
    milliseconds leaderSince_{0};
    std::size_t completed_ = 0;
};

}
