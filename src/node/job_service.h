#pragma once

#include "callers_server.h"
#include "config_replica.h"
#include "forwarding.h"
#include "metrics/metrics.h"
#include "store_client.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace bergamotwick::node {

/// Answers callers: takes jobs in, cancels them, tells their state. Everything it knows lies in the store.
///
/// Thread safety: answer() may be called from several threads at once.
class JobService
{
public:
    /// Tells how many jobs of a queue wait; nothing if this entry doesn't lead.
    using CountWaiting = std::function<std::optional<std::size_t>(const std::string &queue)>;

    /// A configuration older than \p keyLimit must not admit anybody: a key may have been taken away since.
    JobService(platform::StoreClient &store, const ConfigReplica &config, Forwarder &forwarder, CountWaiting count, Metrics &metrics, Duration keyLimit);

    [[nodiscard]] platform::Answer answer(const platform::Call &call);

    /// Returns whether calls can be served now.
    [[nodiscard]] bool ready() const;

private:
    struct Request;

    /// The leader's answer about a queue.
    struct Count
    {
        platform::Answer answer_;
        Instant at_{};
    };

    [[nodiscard]] platform::Answer serveOrForward(const platform::Call &call);
    [[nodiscard]] platform::Answer serve(const platform::Call &call);
    [[nodiscard]] std::optional<platform::Answer> checkStore(const Request &request);
    [[nodiscard]] platform::Answer submit(const Request &request, const platform::Call &call);
    [[nodiscard]] platform::Answer cancel(const Request &request);
    [[nodiscard]] platform::Answer state(const Request &request);
    [[nodiscard]] platform::Answer pending(const Request &request, const platform::Call &call);

    platform::StoreClient &store_;
    const ConfigReplica &config_;
    Forwarder &forwarder_;
    CountWaiting countWaiting_;
    Metrics &metrics_;
    Duration keyLimit_;
    std::mutex countsMutex_;
    std::map<std::string, Count> counts_; ///< the leader's last answers, by queue
};

}
