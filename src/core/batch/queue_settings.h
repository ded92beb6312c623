#pragma once

#include "bergamotwick/ids.h"
#include "core/batch/time.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace bergamotwick::batch {

/// Timing of a queue's external placement policy: its decision time, the time that it adds for each executor and the validity of answers.
struct PlacementPolicy
{
    milliseconds decisionTime_{0};
    milliseconds timePerExecutor_{0};
    milliseconds validFor_{0};

    friend bool operator==(const PlacementPolicy &, const PlacementPolicy &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(decisionTime_, timePerExecutor_, validFor_);
    }
};

/// What a queue determines for its jobs.
///
/// Thread safety: a value type.
struct QueueSettings
{
    ServiceId service_; ///< service whose executors run the jobs
    std::int32_t priority_ = 0; ///< 0 is the most urgent
    std::int32_t maxAttempts_ = 1;
    double stretch_ = 1.0; ///< objective for a job's completion, as a multiple of its critical path
    milliseconds targetLatency_{0}; ///< added to the objective
    std::optional<PlacementPolicy> placementPolicy_;

    friend bool operator==(const QueueSettings &, const QueueSettings &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(service_, priority_, maxAttempts_, stretch_, targetLatency_, placementPolicy_);
    }
};

/// The settings with which a job was accepted. The record has a key of its own: releases that don't know of it leave that key alone.
struct AcceptedSettings
{
    JobId id_;
    QueueSettings settings_;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id_, settings_);
    }
};

/// The settings of a job of which none are known: a release that stores none has accepted it, and its queue was removed. It comes after all others, and is
/// not given up for a single failure.
[[nodiscard]] inline QueueSettings settingsOfUnknownQueue()
{
    return {ServiceId(), std::numeric_limits<std::int32_t>::max(), 3, 1.0, milliseconds(0), std::nullopt};
}

}
