#pragma once

#include "bergamotwick/ids.h"
#include "core/batch/queue_settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// A queue of jobs, chosen by host and path prefix of a call.
struct Queue : QueueSettings
{
    std::string name_;
    std::string host_;
    std::string prefix_;
    bool public_ = false; ///< requires no API key

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
