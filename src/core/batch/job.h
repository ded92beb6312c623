#pragma once

#include "bergamotwick/ids.h"
#include "core/batch/time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// What an executor has and a task needs. The processor counts in thousandths of a core.
///
/// Thread safety: a value type.
struct Room
{
    std::int64_t cpuMilli_ = 0;
    std::int64_t memoryMb_ = 0;
    std::int64_t accelerators_ = 0;

    /// Returns whether \p need fits inside this amount.
    [[nodiscard]] constexpr bool covers(const Room &need) const noexcept
    {
        return need.cpuMilli_ <= cpuMilli_ && need.memoryMb_ <= memoryMb_ && need.accelerators_ <= accelerators_;
    }

    /// Returns how many times \p need fits; \p limit if it asks for nothing.
    [[nodiscard]] constexpr std::int64_t timesFits(const Room &need, std::int64_t limit) const noexcept
    {
        const auto part = [limit](std::int64_t has, std::int64_t asked) { return has < 0 ? 0 : asked > 0 ? has / asked : limit; };
        return std::min({limit, part(cpuMilli_, need.cpuMilli_), part(memoryMb_, need.memoryMb_), part(accelerators_, need.accelerators_)});
    }

    constexpr Room &operator+=(const Room &other) noexcept
    {
        cpuMilli_ += other.cpuMilli_;
        memoryMb_ += other.memoryMb_;
        accelerators_ += other.accelerators_;
        return *this;
    }

    constexpr Room &operator-=(const Room &other) noexcept
    {
        cpuMilli_ -= other.cpuMilli_;
        memoryMb_ -= other.memoryMb_;
        accelerators_ -= other.accelerators_;
        return *this;
    }

    friend constexpr bool operator==(const Room &, const Room &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(cpuMilli_, memoryMb_, accelerators_);
    }
};

/// Tasks of one job that are alike.
struct Step
{
    std::uint32_t count_ = 1;
    Room each_; ///< demand of one task
    milliseconds estimate_{0}; ///< the caller's guess of a task's run time; a hint
    std::vector<std::uint32_t> after_; ///< earlier steps that must be done first
    bool checkpoints_ = false;
    bool gang_ = false; ///< all tasks run together or not at all
    bool sameRack_ = false; ///< slower when spread over racks
    std::string constraint_; ///< label that the executor must have; empty for none
    std::string affinity_; ///< rack that holds the data; empty for none
    std::uint32_t antiAffinity_ = 0; ///< most tasks on one executor; 0 for no limit
    bool speculative_ = false; ///< a second copy may run
    bool longRunning_ = false; ///< runs until the job is cancelled
    std::string image_;
    milliseconds target_{0}; ///< latency that a serving task must keep
    bool fills_ = false; ///< uses processor time that others leave; its cpu isn't counted
    std::uint32_t mayMiss_ = 0;

    /// Returns what one task takes from an executor. Thread-safe on a const object.
    [[nodiscard]] Room counted() const noexcept
    {
        return fills_ ? Room{0, each_.memoryMb_, each_.accelerators_} : each_;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(count_, each_, estimate_, after_, checkpoints_, gang_, sameRack_, constraint_, affinity_, antiAffinity_);
        archive(speculative_, longRunning_, image_, target_, fills_, mayMiss_);
    }
};

/// A job as its caller handed it in. Never changes once stored.
struct Submission
{
    JobId id_;
    std::string queue_; ///< host and prefix of its queue
    WorkspaceId workspace_;
    std::string spec_; ///< what executors are to run; opaque
    std::vector<Step> steps_;
    std::uint32_t repeats_ = 0; ///< 0: once, without a due time
    CalendarTime firstRun_{};
    milliseconds interval_{0};
    CalendarTime acceptedAt_{};
    ServiceId service_; ///< whose executors run it, by the configuration at acceptance

    /// Returns how many times the steps run; at least 1. Thread-safe on a const object.
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

/// Names one task of a job.
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

/// Names one start of a task. Runs of a task are numbered from 1; members of a gang share the number.
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

/// One life of an executor.
struct Incarnation
{
    ExecutorId executor_;
    std::int64_t born_ = 0; ///< Unix millisecond of its start
    std::string host_; ///< its host, by the name of the agent there; a host has one executor at a time

    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(executor_, born_, host_);
    }
};

/// Where a task stands; part of the job's stored record.
struct TaskProgress
{
    std::uint32_t run_ = 0; ///< highest run number given out; 0 before the first start
    std::vector<std::uint32_t> failedRuns_; ///< runs that ended as failed; a gang's run stands once with each member
    bool done_ = false;
    bool assigned_ = false; ///< run_ may be running at place_
    Incarnation place_;
    std::string checkpoint_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run_, failedRuns_, done_, assigned_, place_, checkpoint_);
    }
};

/// What the leader stores of a job's progress. Written only by the leader.
struct Progress
{
    JobId id_;
    JobState state_ = JobState::Queued;
    bool begun_ = false; ///< some task has been given out
    CalendarTime endedAt_{};
    std::vector<TaskProgress> tasks_; ///< by occurrence, then step, then index

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, state_, begun_, endedAt_, tasks_);
    }
};

/// Returns whether no further task of the job will start.
[[nodiscard]] constexpr bool isFinal(JobState state) noexcept
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

}
