#pragma once

#include "core/commit/group_commit.h"
#include "core/scheduling/job_record.h"

#include <memory>
#include <string>
#include <vector>

namespace bergamotwick {

/// Adds a job to its shard, or requests the cancellation of a job.
struct JobEdit
{
    JobId job_;
    JobSpec spec_; ///< only for submissions
    WallTime submitted_{};
    bool cancel_ = false;
    std::uint64_t token_ = 0; ///< caller's token
    Instant deadline_{};
};

struct JobEditTraits
{
    using Document = JobShard;
    using Edit = JobEdit;

    [[nodiscard]] static Result<Document> decode(const std::string &text);
    [[nodiscard]] static std::string encode(const Document &document);
    [[nodiscard]] static EditEffect apply(Document &document, const Edit &edit);
};

/// Submits, cancels and looks up jobs in a region's job documents. Every entry may use it, not only the owner.
///
/// Thread safety: none; the caller serialises all calls.
class SubmissionRegistry
{
public:
    using Commit = GroupCommit<JobEditTraits>;

    SubmissionRegistry(CallIdGenerator &ids, const RegionId &region, std::size_t shards);

    void edit(JobEdit edit, Instant now, Commit::Outputs &outputs);

    /// Processes a reply. Returns whether it belongs to a call for a job document.
    bool handleReply(const StoreReply &reply, Instant now, Commit::Outputs &outputs);

    void expire(Instant now, Commit::Outputs &outputs);

    /// Updates the cached document from a poll of the store.
    void observe(std::size_t shard, std::int64_t modRevision, const JobShard &document);

    /// Returns the last known record of \p job, or nullptr.
    [[nodiscard]] const JobRecord *find(const JobId &job) const;

    [[nodiscard]] const std::vector<std::unique_ptr<Commit>> &shards() const noexcept
    {
        return shards_;
    }

    [[nodiscard]] std::size_t shardOf(const JobId &job) const;

private:
    std::vector<std::unique_ptr<Commit>> shards_;
};

/// Returns the store key of a job document.
[[nodiscard]] std::string jobsKey(const RegionId &region, std::size_t shard);

}
