#pragma once

#include "core/scheduling/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::bench {

/// A job of a workload, with the facts that the scheduler doesn't know.
struct PlannedJob
{
    JobSpec spec_;
    Duration arrivalTime_{};
    Duration runTime_{};
    bool alwaysFails_ = false; ///< fails on every worker
    std::optional<Duration> deadline_; ///< closing hour or end of the lesson, from the start of the run
};

/// The time in which operators have a data centre out of service, from the start of the run.
struct Outage
{
    DataCentreId dataCentre_;
    Duration from_{};
    Duration until_{};
};

struct Workload
{
    std::string name_;
    SettingsTree settings_;
    int dataCentres_ = 4;
    int workers_ = 10;
    Resources worker_;
    std::vector<PlannedJob> jobs_;
    std::vector<int> faultyWorkers_;
    std::vector<Outage> outages_;
    Duration length_{};
};

/// A scheduler configuration to compare, one row of the table.
struct SchedulerVariant
{
    std::string name_;
    SchedulerLimits limits_;
    PlacementPolicy policy_;
};

/// The measurements of one run.
struct JobResult
{
    std::vector<double> completionTimesS_; ///< of completed jobs, in seconds
    std::vector<double> urgentWaitsS_;
    std::vector<double> guaranteedWaitsS_; ///< from arrival to start, of urgent jobs that started on their guarantee
    std::size_t unfinishedJobs_ = 0;
    std::size_t jobsWithDeadline_ = 0;
    std::size_t missedDeadlines_ = 0;
    /// Share of samples in which the oldest waiting multi-accelerator job didn't fit, although one data centre had enough free accelerators.
    double fragmentedShare_ = 0;
    double acceleratorSecondsUsed_ = 0; ///< used while a data centre was out or settling after its return
    double acceleratorSecondsUsable_ = 0; ///< in service and requested in the same time
    std::size_t storeWrites_ = 0;
    std::size_t invariantViolations_ = 0;
    std::size_t steps_ = 0;
};

/// Runs \p workload through the scheduler in virtual time, with simulated workers and store.
[[nodiscard]] JobResult runJobs(const Workload &workload, const SchedulerVariant &variant);

/// Returns a lower bound, in seconds, of the 95th percentile of completion times under any schedule.
[[nodiscard]] double lowerBoundP95S(const Workload &workload);

}
