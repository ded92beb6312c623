#pragma once

#include "bergamotwick/ids.h"
#include "bergamotwick/resources.h"
#include "bergamotwick/time.h"

#include <cstdint>
#include <string>

namespace bergamotwick {

/// Topology constraint on the tasks of a gang: the domain that has to hold them all.
enum class Adjacency : std::uint8_t {
    Worker,
    Rack,
    DataCentre,
};

/// A job as its caller submits it.
///
/// Thread safety: a value type.
struct JobSpec
{
    JobId id_;
    WorkspaceId workspace_;
    std::int32_t tasks_ = 1;
    Resources each_; ///< demand of one task
    Adjacency within_ = Adjacency::DataCentre;
    bool urgent_ = false;
    bool stoppable_ = true; ///< may be checkpointed or stopped to return borrowed capacity
    std::chrono::seconds expectedRunTime_{0}; ///< run time declared by the caller; an unverified hint
    std::string payload_; ///< passed to the workers; opaque to the scheduler

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// States of a job. Its tasks run only in Running.
enum class JobState : std::uint8_t {
    Queued,
    Placed, ///< placement is chosen and stored; workers are being told to prepare
    Running, ///< all members were prepared and told to start
    Stopping, ///< all members are being told to stop; the job returns to the queue
    Done,
    Failed,
    Cancelled,
};

/// Returns the lower-case name of \p state, as used in the API and the store.
[[nodiscard]] const char *toString(JobState state) noexcept;

/// Returns the lower-case name of \p adjacency, as used in the API and the store.
[[nodiscard]] const char *toString(Adjacency adjacency) noexcept;

}
