#include "core/batch/cluster_config.h"

#include <algorithm>

namespace bergamotwick::batch {

const Queue *ClusterConfig::route(const std::string &host, const std::string &path) const noexcept
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues_) {
        const bool matches = queue.host_ == host && path.starts_with(queue.prefix_);
        if (matches && (best == nullptr || queue.prefix_.size() > best->prefix_.size())) {
            best = &queue;
        }
    }
    return best;
}

const Queue *ClusterConfig::queue(const std::string &key) const noexcept
{
    const auto found = std::find_if(queues_.begin(), queues_.end(), [&key](const Queue &queue) {
        return queue.host_.size() + queue.prefix_.size() == key.size() && key.starts_with(queue.host_) && key.ends_with(queue.prefix_);
    });
    return found == queues_.end() ? nullptr : &*found;
}

const Workspace *ClusterConfig::workspaceOfKey(const std::string &key) const noexcept
{
    for (const Workspace &workspace : workspaces_) {
        if (std::find(workspace.keys_.begin(), workspace.keys_.end(), key) != workspace.keys_.end()) {
            return &workspace;
        }
    }
    return nullptr;
}

std::int64_t ClusterConfig::guaranteed(const WorkspaceId &workspace) const noexcept
{
    const auto found = std::find_if(workspaces_.begin(), workspaces_.end(), [&workspace](const Workspace &candidate) { return candidate.name_ == workspace; });
    return found == workspaces_.end() ? 0 : found->guaranteedAccelerators_;
}

}
