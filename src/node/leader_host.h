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

/// Runs the scheduler while this entry holds the leader key: passes it input from the store and from agents, and executes its decisions.
///
/// Thread safety: addInput() and waitingJobs() may be called from any thread; the rest belongs to the election's thread.
class LeaderHost
{
public:
    using DirectiveSender = std::function<void(const std::string &agent, const batch::Directive &directive)>;

    /// Returns for how long at least the store has held what it wrote with \p revision.
    using RevisionAge = std::function<Duration(std::int64_t revision)>;

    LeaderHost(platform::StoreClient &store,
               Metrics &metrics,
               batch::LeaderLimits limits,
               const ConfigReplica &config,
               std::string adviceAddress,
               DirectiveSender sendDirective,
               RevisionAge ageOf);
    ~LeaderHost();

    /// Starts a term with fencing token \p epoch. \p since is the time at which the term's lease was requested. Precondition: not leading.
    void start(std::int64_t epoch, Instant since);

    /// Ends the term. Returns after its last write to the store.
    void stop();

    /// Returns the number of jobs in \p queue that wait for their first task, at most one second old; nothing if this entry doesn't lead or
    /// has no recent count.
    [[nodiscard]] std::optional<std::size_t> waitingJobs(const std::string &queue) const;

    /// Passes \p input to the scheduler. Ignored while not leading.
    void addInput(batch::LeaderInput input);

private:
    struct Term;

    [[nodiscard]] std::shared_ptr<Term> currentTerm() const;

    platform::StoreClient &store_;
    Metrics &metrics_;
    batch::LeaderLimits limits_;
    const ConfigReplica &config_;
    std::string adviceAddress_;
    DirectiveSender sendDirective_;
    RevisionAge ageOf_;
    mutable std::mutex mutex_;
    std::shared_ptr<Term> term_;
};

}
