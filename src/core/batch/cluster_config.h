#pragma once

#include "bergamotwick/ids.h"
#include "core/batch/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// Timing of a queue's external placement policy: its decision time, the time that it adds for each executor and the validity of answers.
struct PlacementPolicy
{
    milliseconds decisionTime_{0};
    milliseconds timePerExecutor_{0};
    milliseconds validFor_{0};
};

/// A queue of jobs, chosen by host and path prefix of a call.
struct Queue
{
    std::string name_;
    std::string host_;
    std::string prefix_;
    ServiceId service_;
    std::int32_t priority_ = 0; ///< 0 is the most urgent
    std::int32_t maxAttempts_ = 1;
    double stretch_ = 1.0; ///< objective for a job's completion, as a multiple of its critical path
    milliseconds targetLatency_{0}; ///< added to the objective
    bool public_ = false; ///< requires no API key
    std::optional<PlacementPolicy> placementPolicy_;

    /// Returns the identifier of the queue, which is the same in all configuration versions.
    [[nodiscard]] std::string key() const
    {
        return host_ + prefix_;
    }
};

struct Service
{
    ServiceId name_;
    bool admissionCheck_ = false; ///< its executors refuse tasks that don't fit
    bool standby_ = false;
};

struct Workspace
{
    WorkspaceId name_;
    std::vector<std::string> keys_;
    std::int64_t guaranteedAccelerators_ = 0;
};

/// One version of the operators' configuration.
struct ClusterConfig
{
    std::int64_t version_ = 0;
    std::size_t maxBodyBytes_ = 0; ///< 0 for no limit
    std::vector<Queue> queues_;
    std::vector<Service> services_;
    std::vector<Workspace> workspaces_;

    /// Returns the queue with a matching host and the longest prefix of \p path, or nullptr.
    [[nodiscard]] const Queue *route(const std::string &host, const std::string &path) const noexcept;

    /// Returns the queue whose Queue::key() is \p key, or nullptr.
    [[nodiscard]] const Queue *queue(const std::string &key) const noexcept;

    /// Returns the workspace that owns the API key \p key, or nullptr.
    [[nodiscard]] const Workspace *workspaceOfKey(const std::string &key) const noexcept;

    /// Returns the number of accelerators guaranteed to \p workspace; 0 if the workspace is unknown.
    [[nodiscard]] std::int64_t guaranteed(const WorkspaceId &workspace) const noexcept;
};

}
