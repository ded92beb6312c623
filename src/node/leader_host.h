#pragma once

#include "config_replica.h"
#include "core/batch/leader.h"
#include "mailbox.h"
#include "metrics/metrics.h"
#include "store_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace bergamotwick::node {

/// Runs the scheduler while this entry holds the leader's key: feeds it from the store and from agents, and carries its decisions out.
///
/// Thread safety: input() and waitingJobs() may be called from any thread; the rest belongs to the election's thread.
class LeaderHost
{
public:
    using Send = std::function<void(const std::string &agent, const batch::Directive &directive)>;

    LeaderHost(platform::StoreClient &store, Metrics &metrics, batch::LeaderLimits limits, const ConfigReplica &config, std::string adviceAddress, Send send);
    ~LeaderHost();

    /// Starts leading with fencing token \p epoch. Precondition: not leading.
    void start(std::int64_t epoch, Instant since);

    /// Stops leading; returns when nothing more is written.
    void stop();

    /// Returns how many jobs of \p queue wait for their first task, as of less than a second ago; nothing if this entry doesn't lead or
    /// doesn't know.
    [[nodiscard]] std::optional<std::size_t> waitingJobs(const std::string &queue) const;

    /// Hands in what an agent or the election has to say; dropped while not leading.
    void input(batch::LeaderInput input);

private:
    struct Term;

    [[nodiscard]] std::shared_ptr<Term> currentTerm() const;

    platform::StoreClient &store_;
    Metrics &metrics_;
    batch::LeaderLimits limits_;
    const ConfigReplica &config_;
    std::string adviceAddress_;
    Send send_;
    mutable std::mutex mutex_;
    std::shared_ptr<Term> term_;
};

}
