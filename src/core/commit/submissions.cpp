#include "core/commit/submissions.h"

#include <xxhash.h>

namespace bergamotwick {

Result<JobShard> JobEditTraits::decode(const std::string &text)
{
    return decodeShard(text);
}

std::string JobEditTraits::encode(const JobShard &document)
{
    return encodeShard(document);
}

EditEffect JobEditTraits::apply(JobShard &document, const JobEdit &edit)
{
    const auto found = document.jobs_.find(edit.job_);
    const bool known = found != document.jobs_.end();
    if (edit.cancel_) {
        if (!known || found->second.state_ == JobState::Done || found->second.state_ == JobState::Failed) {
            return EditEffect::Forbidden;
        }
        if (found->second.cancelRequested_) {
            return EditEffect::AlreadyApplied;
        }
        found->second.cancelRequested_ = true;
        return EditEffect::Changed;
    }
    if (known) {
        return found->second.spec_ == edit.spec_ ? EditEffect::AlreadyApplied : EditEffect::Forbidden;
    }
    JobRecord record;
    record.spec_ = edit.spec_;
    record.submitted_ = edit.submitted_;
    document.jobs_.emplace(edit.job_, std::move(record));
    return EditEffect::Changed;
}

SubmissionRegistry::SubmissionRegistry(CallIdGenerator &ids, const RegionId &region, std::size_t shards)
{
    for (std::size_t i = 0; i < shards; ++i) {
        shards_.push_back(std::make_unique<Commit>(ids, jobsKey(region, i)));
    }
}

std::size_t SubmissionRegistry::shardOf(const JobId &job) const
{
    return XXH64(job.str().data(), job.str().size(), 0) % shards_.size();
}

void SubmissionRegistry::edit(JobEdit edit, Instant now, Commit::Outputs &outputs)
{
    const std::size_t shard = shardOf(edit.job_);
    shards_[shard]->add(std::move(edit), now, outputs);
}

bool SubmissionRegistry::handleReply(const StoreReply &reply, Instant now, Commit::Outputs &outputs)
{
    for (const auto &shard : shards_) {
        if (shard->handleReply(reply, now, outputs)) {
            return true;
        }
    }
    return false;
}

void SubmissionRegistry::expire(Instant now, Commit::Outputs &outputs)
{
    for (const auto &shard : shards_) {
        shard->expire(now, outputs);
    }
}

void SubmissionRegistry::observe(std::size_t shard, std::int64_t modRevision, const JobShard &document)
{
    shards_[shard]->observe(modRevision, document);
}

const JobRecord *SubmissionRegistry::find(const JobId &job) const
{
    const auto &jobs = shards_[shardOf(job)]->document().jobs_;
    const auto found = jobs.find(job);
    return found == jobs.end() ? nullptr : &found->second;
}

std::string jobsKey(const RegionId &region, std::size_t shard)
{
    return "jobs/" + region.str() + "/" + std::to_string(shard);
}

}
