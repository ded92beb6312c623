#pragma once

#include "bergamotwick/ids.h"
#include "core/batch/time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// Resources of an executor or demand of a task. CPU is in thousandths of a core.
///
/// Thread safety: a value type.
struct ResourceVector
{
    std::int64_t cpuMilli_ = 0;
    std::int64_t memoryMb_ = 0;
    std::int64_t accelerators_ = 0;

    /// Returns whether \p demand fits into these resources.
    [[nodiscard]] constexpr bool covers(const ResourceVector &demand) const noexcept
    {
        return demand.cpuMilli_ <= cpuMilli_ && demand.memoryMb_ <= memoryMb_ && demand.accelerators_ <= accelerators_;
    }

    /// Returns how many times \p demand fits, at most \p limit; \p limit if \p demand is empty.
    [[nodiscard]] constexpr std::int64_t countFitting(const ResourceVector &demand, std::int64_t limit) const noexcept
    {
        const auto fitting = [limit](std::int64_t available, std::int64_t required) { return available < 0 ? 0 : required > 0 ? available / required : limit; };
        return std::min({limit, fitting(cpuMilli_, demand.cpuMilli_), fitting(memoryMb_, demand.memoryMb_), fitting(accelerators_, demand.accelerators_)});
    }

    constexpr ResourceVector &operator+=(const ResourceVector &other) noexcept
    {
        cpuMilli_ += other.cpuMilli_;
        memoryMb_ += other.memoryMb_;
        accelerators_ += other.accelerators_;
        return *this;
    }

    constexpr ResourceVector &operator-=(const ResourceVector &other) noexcept
    {
        cpuMilli_ -= other.cpuMilli_;
        memoryMb_ -= other.memoryMb_;
        accelerators_ -= other.accelerators_;
        return *this;
    }

    friend constexpr bool operator==(const ResourceVector &, const ResourceVector &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(cpuMilli_, memoryMb_, accelerators_);
    }
};

/// Returns "CPU/MEMORY/ACCELERATORS" for the log. Thread-safe.
[[nodiscard]] std::string toString(const ResourceVector &resources);

/// A set of identical tasks of a job.
struct Step
{
    std::uint32_t count_ = 1;
    ResourceVector taskDemand_; ///< demand of each task
    milliseconds estimate_{0}; ///< caller's estimate of a task's run time; not binding
    std::vector<std::uint32_t> dependencies_; ///< indexes of earlier steps that must complete first
    bool checkpointable_ = false;
    bool gang_ = false; ///< gang scheduling: all tasks run together or none does
    bool sameRack_ = false; ///< the gang runs slower when spread over racks
    std::string constraint_; ///< label required on the executor; empty for none
    std::string affinity_; ///< rack that holds the data; empty for none
    std::uint32_t antiAffinity_ = 0; ///< maximum number of tasks on one executor; 0 for no limit
    bool speculative_ = false; ///< a second copy may run
    bool longRunning_ = false; ///< runs until the job is cancelled
    std::string image_;
    milliseconds target_{0}; ///< latency objective of a serving task; 0 for other tasks
    bool cpuBackfill_ = false; ///< uses only CPU time left idle by other tasks; its CPU demand isn't counted
    std::uint32_t allowedMisses_ = 0;

    /// Returns the resources that one task occupies on an executor. Thread-safe on a const object.
    [[nodiscard]] ResourceVector countedDemand() const noexcept
    {
        return cpuBackfill_ ? ResourceVector{0, taskDemand_.memoryMb_, taskDemand_.accelerators_} : taskDemand_;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(count_, taskDemand_, estimate_, dependencies_, checkpointable_, gang_, sameRack_, constraint_, affinity_, antiAffinity_);
        archive(speculative_, longRunning_, image_, target_, cpuBackfill_, allowedMisses_);
    }
};

/// A job as submitted by its caller; immutable once stored.
struct Submission
{
    JobId id_;
    std::string queue_; ///< Queue::key() of its queue
    WorkspaceId workspace_;
    std::string spec_; ///< program for the executors; opaque to the scheduler
    std::vector<Step> steps_;
    std::uint32_t repeats_ = 0; ///< 0 to run once, without a due time
    CalendarTime firstRun_{};
    milliseconds interval_{0};
    CalendarTime acceptedAt_{};
    ServiceId service_; ///< service whose executors run it, from the configuration at acceptance

    /// Returns the number of times that the steps run; at least 1. Thread-safe on a const object.
    [[nodiscard]] std::uint32_t occurrences() const noexcept
    {
        return repeats_ > 0 ? repeats_ : 1;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, queue_, workspace_, spec_, steps_, repeats_, firstRun_, interval_, acceptedAt_, service_);
    }
};

/// Identifies one task of a job.
struct TaskId
{
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job_, occurrence_, step_, index_);
    }
};

/// Identifies one run of a task. Runs of a task are numbered from 1; members of a gang share the number.
struct RunId
{
    TaskId task_;
    std::uint32_t run_ = 0;

    friend auto operator<=>(const RunId &, const RunId &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task_, run_);
    }
};

enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// One incarnation of an executor, from its process start to its end.
struct Incarnation
{
    ExecutorId executor_;
    std::int64_t startTimeMs_ = 0; ///< Unix time of its start, in milliseconds
    std::string host_; ///< name of the agent on its host; a host has one executor at a time

    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(executor_, startTimeMs_, host_);
    }
};

/// Of a task that lasts, at most this many failed runs are kept: it may fail for ever.
constexpr std::size_t maxFailedRunsOfLastingTask = 8;

/// Progress of a task; part of the job's stored record.
struct TaskProgress
{
    std::uint32_t run_ = 0; ///< highest run number assigned; 0 before the first start
    std::vector<std::uint32_t> failedRuns_; ///< failed runs; a gang's failed run is listed once for each member
    bool done_ = false;
    bool assigned_ = false; ///< run_ may be running on placement_
    Incarnation placement_;
    std::string checkpoint_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, failedRuns_, done_, assigned_, placement_, checkpoint_);
    }
};

/// Stored progress of a job; written only by the leader.
struct Progress
{
    JobId id_;
    JobState state_ = JobState::Queued;
    bool started_ = false; ///< at least one task has been assigned
    CalendarTime endedAt_{};
    std::vector<TaskProgress> tasks_; ///< ordered by occurrence, step and index

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, state_, started_, endedAt_, tasks_);
    }
};

/// Returns the name of \p state in logs.
[[nodiscard]] constexpr const char *toString(JobState state) noexcept
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        break;
    }
    return "cancelled";
}

/// Returns whether the state is final: no further task of the job will start.
[[nodiscard]] constexpr bool isFinal(JobState state) noexcept
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

}
