#pragma once

#include "callers_server.h"
#include "config_replica.h"
#include "forwarding.h"
#include "metrics/metrics.h"
#include "store_client.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace bergamotwick::node {

/// Serves the calls of clients: submits and cancels jobs and returns their state. All job data is kept in the store.
///
/// Thread safety: answer() may be called from several threads at once.
class JobService
{
public:
    /// Returns the number of waiting jobs in a queue; nothing if this entry doesn't lead.
    using CountWaiting = std::function<std::optional<std::size_t>(const std::string &queue)>;

    /// No call is admitted with a configuration older than \p maxConfigAge, as API keys may have been revoked since. No job is accepted of which a
    /// record may become larger than \p maxRecordBytes.
    JobService(platform::StoreClient &store,
               const ConfigReplica &config,
               Forwarder &forwarder,
               CountWaiting countWaiting,
               Metrics &metrics,
               Duration maxConfigAge,
               std::size_t maxRecordBytes);

    /// Replaces the maximum age of the configuration. Thread-safe.
    void setMaxConfigAge(Duration maxConfigAge) noexcept
    {
        maxConfigAge_ = maxConfigAge;
    }

    [[nodiscard]] platform::Answer answer(const platform::Call &call);

    /// Returns whether the configuration is recent enough to serve calls.
    [[nodiscard]] bool ready() const;

private:
    struct Request;

    /// The leader's answer to a request for the number of waiting jobs in a queue.
    struct CachedCount
    {
        platform::Answer answer_;
        Instant requestedAt_{};
    };

    [[nodiscard]] platform::Answer serveOrForward(const platform::Call &call);
    [[nodiscard]] platform::Answer serve(const platform::Call &call);
    [[nodiscard]] std::optional<platform::Answer> probeStore(const Request &request);
    [[nodiscard]] platform::Answer submit(const Request &request, const platform::Call &call);

    /// Stores the cancellation, also of a job that isn't there: a write of its submission may be on its way, and must not take effect any more.
    [[nodiscard]] platform::Answer cancel(const Request &request, const platform::Call &call);
    [[nodiscard]] platform::Answer readState(const Request &request, const platform::Call &call);

    /// Forwards a call that the store did not serve here to some other entries: in a \p round after the first to one of them. Returns the answer if the store
    /// served another entry, otherwise nothing: the other entry's configuration may be older, so that what it rejects counts for nothing.
    [[nodiscard]] std::optional<platform::Answer> askOtherEntries(const Request &request, const platform::Call &call, std::size_t round);
    [[nodiscard]] platform::Answer readWaitingCount(const Request &request, const platform::Call &call);

    platform::StoreClient &store_;
    const ConfigReplica &config_;
    Forwarder &forwarder_;
    CountWaiting countWaiting_;
    Metrics &metrics_;
    std::atomic<Duration> maxConfigAge_;
    std::size_t maxRecordBytes_;
    std::mutex countsMutex_;
    std::map<std::string, CachedCount> counts_; ///< the leader's latest answers, by queue
};

}
