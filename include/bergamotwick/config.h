#pragma once

#include "bergamotwick/error.h"
#include "bergamotwick/ids.h"
#include "bergamotwick/job.h"
#include "bergamotwick/resources.h"
#include "bergamotwick/settings_tree.h"
#include "bergamotwick/time.h"

#include <map>
#include <vector>

namespace bergamotwick {

/// Capacity guaranteed to a workspace. Borrowed parts are reclaimed on demand.
struct GuaranteeConfig
{
    std::int32_t tasks_ = 1;
    Resources each_; ///< demand of one task
    Adjacency within_ = Adjacency::Worker; ///< domain that has to hold all tasks
    Source source_;
};

struct WorkspaceConfig
{
    Resources quota_{1 << 24, 1 << 30, 1 << 20}; ///< upper limit on resources in use at once; effectively unlimited by default
    std::map<GuaranteeId, GuaranteeConfig> guarantees_;
    Source source_;
};

/// A request class of a service. Each class has its own queue, so that slow requests do not block quick ones.
struct ClassConfig
{
    std::int32_t weight_ = 1;
    std::int32_t maxSlotsPercent_ = 100; ///< upper limit on the class's share of the service's slots
    Duration deadline_ = 10s; ///< default for requests without a deadline
};

/// Service-level objective: a latency target and the ratio of requests that has to meet it.
struct ObjectiveConfig
{
    Duration within_ = 1s; ///< latency target
    double ratio_ = 0.99; ///< ratio of requests answered within the target
    Source source_;
};

struct ServiceConfig
{
    std::map<ClassId, ClassConfig> classes_;
    std::map<WorkspaceId, ObjectiveConfig> objectives_;
    std::int32_t maxQueued_ = 10'000;
    std::int32_t retryBudgetPercent_ = 10;
    Source source_;
};

/// Declared capacity of a data centre, used to check guarantees.
struct DataCentreConfig
{
    std::int32_t workers_ = 0;
    std::int32_t racks_ = 1;
    Resources worker_; ///< capacity of one worker
    Source source_;
};

struct RegionConfig
{
    std::map<DataCentreId, DataCentreConfig> dataCentres_;
};

/// The validated, typed configuration.
///
/// Thread safety: a value type; const access from several threads is safe.
struct Config
{
    std::map<RegionId, RegionConfig> regions_;
    std::map<WorkspaceId, WorkspaceConfig> workspaces_;
    std::map<ServiceId, ServiceConfig> services_;

    /// Checks \p tree against the schema and builds the typed configuration.
    ///
    /// Errors: ConfigError with the location of the invalid setting.
    [[nodiscard]] static Result<Config> fromTree(const SettingsTree &tree);

    /// Returns the region of \p dataCentre, or an empty id.
    [[nodiscard]] RegionId regionOf(const DataCentreId &dataCentre) const;
};

}
