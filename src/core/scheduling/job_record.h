#pragma once

#include "bergamotwick/error.h"
#include "bergamotwick/job.h"
#include "core/fleet.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotwick {

/// Reason why a job was last stopped or rejected.
enum class JobReason : std::uint8_t {
    None,
    TaskFailed,
    WorkerLost,
    DataCentreOut,
    Preempted,
    Cancelled,
    NeverFits,
};

[[nodiscard]] const char *toString(JobReason reason) noexcept;

/// Stored form of a gang member: refers to the worker by id.
struct MemberRecord
{
    WorkerId worker_;
    std::int32_t tasks_ = 0;

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Durable state of one job. The whole record is stored under one key, so that a gang changes atomically.
struct JobRecord
{
    JobSpec spec_;
    JobState state_ = JobState::Queued;
    std::uint32_t generation_ = 0; ///< incremented with each placement; orders of older generations are ignored
    std::vector<MemberRecord> members_;
    DataCentreId dataCentre_;
    Tenure tenure_ = Tenure::Borrowed;
    GuaranteeId guarantee_;
    std::int32_t failures_ = 0;
    bool cancelRequested_ = false;
    JobReason reason_ = JobReason::None;
    WallTime submitted_{};
    WallTime finished_{};

    friend bool operator==(const JobRecord &, const JobRecord &) = default;
};

/// The document under one `jobs/REGION/SHARD` key.
struct JobShard
{
    std::uint64_t epoch_ = 0; ///< fencing token of the region's owner
    std::uint64_t ownerSequence_ = 0; ///< sequence number of the owner's last write, to detect which writes took effect
    std::map<JobId, JobRecord> jobs_;

    friend bool operator==(const JobShard &, const JobShard &) = default;
};

/// Returns \p shard as JSON.
[[nodiscard]] std::string encodeShard(const JobShard &shard);

/// Parses the output of encodeShard(). Empty text yields an empty shard. Errors: DocumentError.
[[nodiscard]] Result<JobShard> decodeShard(const std::string &text);

/// Parses a job specification from a caller's JSON. Errors: DocumentError with the name of the invalid field.
[[nodiscard]] Result<JobSpec> decodeJobSpec(const std::string &text);

/// Returns \p record as JSON for callers.
[[nodiscard]] std::string encodeRecord(const JobRecord &record);

}
