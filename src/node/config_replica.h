#pragma once

#include "core/batch/cluster_config.h"
#include "store_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace bergamotwick::node {

/// The configuration and the evacuations that operators have written to the store.
struct OperatorSnapshot
{
    batch::ClusterConfig config_;
    std::set<DataCentreId> evacuated_;
};

/// Keeps a local copy of the operators' keys in the store. Never returns to an older version of the configuration.
///
/// Thread safety: snapshot(), age() and stop() may be called from any thread; run() belongs to one.
class ConfigReplica
{
public:
    /// \p changed is called from run()'s thread after each change.
    ConfigReplica(platform::StoreClient &store, std::function<void()> changed);

    /// Reads and watches the keys until stop().
    void run();
    void stop() noexcept;

    /// Returns the latest snapshot, or nullptr before the first configuration.
    [[nodiscard]] std::shared_ptr<const OperatorSnapshot> snapshot() const;

    /// Returns the time since the start of the last successful read or watch; the snapshot contains all changes made before that start.
    /// Returns Duration::max() before the first configuration.
    [[nodiscard]] Duration age() const;

private:
    [[nodiscard]] bool readAll();
    [[nodiscard]] bool watchOnce();
    void apply(const std::vector<platform::Item> &items, OperatorSnapshot &snapshot);
    void publish(OperatorSnapshot snapshot, Instant startedAt);

    platform::StoreClient &store_;
    std::function<void()> changed_;
    std::int64_t revision_ = 0;
    mutable std::mutex mutex_;
    std::shared_ptr<const OperatorSnapshot> snapshot_;
    Instant upToDateAt_{};
    std::atomic<bool> stopping_{false};
};

}
