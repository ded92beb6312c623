#pragma once

#include "core/batch/cluster_config.h"
#include "store_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace bergamotwick::node {

/// What operators have written, as of one moment.
struct OperatorView
{
    batch::ClusterConfig config_;
    std::set<DataCentreId> evacuated_;
};

/// Follows the operators' keys of the store. Never goes back to an older version.
///
/// Thread safety: view(), age() and stop() may be called from any thread; run() belongs to one.
class ConfigReplica
{
public:
    /// \p changed is called from run()'s thread after each change.
    ConfigReplica(platform::StoreClient &store, std::function<void()> changed);

    /// Follows until stop().
    void run();
    void stop() noexcept;

    /// Returns the newest view, or nullptr before the first configuration.
    [[nodiscard]] std::shared_ptr<const OperatorView> view() const;

    /// Returns how long ago the last read began that brought all changes up to its beginning.
    [[nodiscard]] Duration age() const;

private:
    [[nodiscard]] bool readAll();
    [[nodiscard]] bool follow();
    void apply(const std::vector<platform::Item> &items, OperatorView &view);
    void publish(OperatorView view, Instant began);

    platform::StoreClient &store_;
    std::function<void()> changed_;
    std::int64_t revision_ = 0;
    mutable std::mutex mutex_;
    std::shared_ptr<const OperatorView> view_;
    Instant fresh_{};
    std::atomic<bool> stopping_{false};
};

}
