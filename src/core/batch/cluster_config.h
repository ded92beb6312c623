#pragma once

#include "bergamotwick/ids.h"
#include "core/batch/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// How long a queue's placement policy takes to answer.
struct AdvicePolicy
{
    milliseconds decide_{0};
    milliseconds perWorker_{0};
    milliseconds valid_{0};
};

/// A queue of jobs, chosen by host and path prefix of a call.
struct Queue
{
    std::string name_;
    std::string host_;
    std::string prefix_;
    ServiceId service_;
    std::int32_t priority_ = 0; ///< 0 comes first
    std::int32_t maxAttempts_ = 1;
    double stretch_ = 1.0; ///< objective of a job, in multiples of its longest chain of work
    milliseconds targetLatency_{0}; ///< added to the objective
    bool open_ = false; ///< needs no key
    std::optional<AdvicePolicy> advice_;

    /// Returns what names the queue across versions.
    [[nodiscard]] std::string key() const
    {
        return host_ + prefix_;
    }
};

struct Service
{
    ServiceId name_;
    bool admissionCheck_ = false; ///< its executors refuse what does not fit
    bool standby_ = false;
};

struct Workspace
{
    WorkspaceId name_;
    std::vector<std::string> keys_;
    std::int64_t guaranteedAccelerators_ = 0;
};

/// The operators' configuration of one version.
struct ClusterConfig
{
    std::int64_t version_ = 0;
    std::size_t maxBodyBytes_ = 0; ///< 0: no limit named
    std::vector<Queue> queues_;
    std::vector<Service> services_;
    std::vector<Workspace> workspaces_;

    /// Returns the queue whose host matches and whose prefix is the longest that \p path begins with, or nullptr.
    [[nodiscard]] const Queue *route(const std::string &host, const std::string &path) const noexcept;

    /// Returns the queue named by Queue::key(), or nullptr.
    [[nodiscard]] const Queue *queue(const std::string &key) const noexcept;

    /// Returns the workspace that holds \p key, or nullptr.
    [[nodiscard]] const Workspace *workspaceOfKey(const std::string &key) const noexcept;

    /// Returns how many accelerators \p workspace is guaranteed; 0 if it is unknown.
    [[nodiscard]] std::int64_t guaranteed(const WorkspaceId &workspace) const noexcept;
};

}
