#pragma once

#include "fleet.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace bergamotwick::soak {

/// The releases of one soak run and how long faults are injected.
struct FaultPlan
{
    std::string program_;
    std::string formerProgram_; ///< an earlier release that runs first, or empty; its hosts are replaced one after the other
    milliseconds duration_{20'000};
};

/// Injects random faults drawn from a seed; several may be active at once.
///
/// Thread safety: none.
class FaultInjector
{
public:
    FaultInjector(Fleet &fleet, std::uint64_t seed, FaultPlan plan);

    /// Injects faults for the time in the plan, then recovers from all of them. With a former release, each process that is restarted runs
    /// either release at first, then all are replaced by the present one.
    void run();

private:
    [[nodiscard]] milliseconds randomDuration(int leastMs, int mostMs);
    [[nodiscard]] bool oneIn(unsigned number);

    template<class Container>
    [[nodiscard]] auto &pick(Container &container)
    {
        return container[random_() % container.size()];
    }

    [[nodiscard]] Node &pickNode();
    void scheduleRecovery(milliseconds after, std::function<void()> recovery);
    void runDueRecoveries(Instant now);
    void logFault(const std::string &fault, const std::string &target) const;

    void injectNext();
    void replaceFormerRelease();
    void restartNode(Node &node, int signalNumber, milliseconds after);
    void restartAllEntries();
    void killLeaderAfterCommit();
    void freezeNode(Node &node);
    void reloadEntries();
    void injectStoreFault();
    void injectLinkFault(Proxy &link, const std::string &linkName);
    void injectExecutorLinkFault();
    void refuseConnections();
    void shrinkCapacities();
    void shrinkCapacity(std::size_t executor, milliseconds after, milliseconds duration);
    void injectOrderFaults();
    void failRuns();
    void crashExecutor();
    void crashWithLateOrders();
    void startSmaller(std::size_t executor, milliseconds absence);
    void freezeFor(const std::string &kind, std::size_t number, milliseconds duration);
    void freezeExecutor();
    void hangExecutor();
    void loseExecutor();
    void silenceConnections();
    void removeExecutor();

    Fleet &fleet_;
    FaultPlan plan_;
    std::mt19937_64 random_;
    Instant startedAt_;
    /// Both releases run side by side. Meanwhile, faults are left out that the former release alone doesn't stand: refused connections,
    /// calls to leave that aren't the end, executors that are silent for longer than their leases, silent connections, and next incarnations of the same name
    /// with late orders or less capacity.
    bool mixed_ = false;
    bool isExecutorLost_ = false; ///< one has fallen silent for good
    std::map<std::size_t, Instant> shrunkUntil_; ///< by the number of the executor
    std::multimap<Instant, std::function<void()>> recoveries_;
};

}
