#include "support/world.h"

#include <algorithm>
#include <sstream>

namespace bergamotwick::test {

namespace {

constexpr Duration callTimeout = 2s;
constexpr Duration outBound = 5s;
constexpr Duration stopBound = 4s; ///< what a worker needs to notice and stop, beyond the lease

}

// Judges

void World::breach(const std::string &text)
{
    std::ostringstream line;
    line << std::chrono::duration<double>(now_.time_since_epoch() - 1h).count() << " s: " << text;
    breaches_.push_back(line.str());
}

void World::judgeStart(const AgentProcess &agent, const StartTasks &start)
{
    const std::string &name = agent.identity_.name_;
    const auto out = outSince_.find(agent.identity_.dataCentre_.str());
    if (out != outSince_.end() && now_ - out->second > outBound) {
        breach("start of " + start.job_.str() + " in " + out->first + ", which is out");
    }
    gangs_[start.job_][start.generation_].started_[name] = now_;
    std::int32_t prepared = 0;
    const auto record = job(start.job_);
    if (record && record->generation_ == start.generation_) {
        const auto &seen = prepared_[start.job_][start.generation_];
        for (const MemberRecord &member : record->members_) {
            prepared += seen.contains(member.worker_.str()) ? member.tasks_ : 0;
        }
        if (!record->members_.empty() && prepared != record->spec_.tasks_) {
            breach("start of " + start.job_.str() + " before all members were prepared");
        }
    }
    for (const AgentProcess &other : agents_) {
        const auto tasks = other.tasks_.find(start.job_);
        if (tasks != other.tasks_.end() && tasks->second.phase_ == MemberPhase::Running && tasks->second.generation_ != start.generation_) {
            breach("start of " + start.job_.str() + " while an earlier run of it goes on");
        }
    }
}

void World::judgeRunning()
{
    for (AgentProcess &agent : agents_) {
        for (auto &[job, tasks] : agent.tasks_) {
            if (tasks.phase_ != MemberPhase::Running) {
                continue;
            }
            for (const auto &[worker, since] : gangs_[job][tasks.generation_].broken_) {
                if (worker != agent.identity_.name_ && now_ - since > options_.entry_.scheduler_.minLease_ + stopBound) {
                    breach(job.str() + " runs on without its member on " + worker);
                    tasks.phase_ = MemberPhase::Absent; // say it once
                }
            }
        }
    }
}

void World::judgeAnswer(std::uint64_t token, const Answer &answer)
{
    if (!answers_.emplace(token, answer).second) {
        breach("two answers to one request");
    }
    const Request &request = requests_.at(token);
    if (answer.outcome_ == Outcome::Answered && request.repeatable_ && answer.body_ != "answer to " + std::to_string(token)) {
        breach("another request's answer");
    }
    if (answer.outcome_ == Outcome::NotRun) {
        at(now_ + 60s, [this, token] {
            if (runs_[token] > 0) {
                breach("told not run, but ran: " + std::to_string(token));
            }
        });
    }
}

void World::judgeInForce(std::uint64_t revision, Instant writtenAt)
{
    if (storeMode_ != StoreMode::Up || storeTroubleAt_ >= writtenAt - callTimeout * 2) {
        return;
    }
    for (const EntryProcess &process : entries_) {
        const bool steady = process.up_ && process.frozenUntil_ < writtenAt;
        if (steady && process.entry_->ready() && process.entry_->control().revision_ < revision) {
            breach("revision " + std::to_string(revision) + " not in force everywhere");
        }
    }
}

// Records

std::size_t World::unanswered() const
{
    std::size_t open = 0;
    for (const auto &[token, request] : requests_) {
        open += answers_.contains(token) ? 0 : 1;
    }
    return open;
}

int World::runsOf(std::uint64_t token) const
{
    const auto found = runs_.find(token);
    return found == runs_.end() ? 0 : found->second;
}

int World::runsOfKey(const std::string &key) const
{
    const auto found = keyRuns_.find(key);
    return found == keyRuns_.end() ? 0 : found->second;
}

std::optional<JobRecord> World::job(const JobId &id) const
{
    for (std::size_t shard = 0; shard < options_.entry_.jobShards_; ++shard) {
        const auto document = decodeShard(store_.value(jobsKey(RegionId("region"), shard)));
        if (document && document->jobs_.contains(id)) {
            return document->jobs_.at(id);
        }
    }
    return std::nullopt;
}

std::vector<JobId> World::acceptedJobs() const
{
    std::vector<JobId> jobs;
    for (const auto &[token, spec] : submissions_) {
        const auto answer = jobAnswers_.find(token);
        if (answer != jobAnswers_.end() && answer->second.result_ == CommitResult::Committed) {
            jobs.push_back(spec.id_);
        }
    }
    return jobs;
}

Entry &World::entry(int index)
{
    return *entries_[static_cast<std::size_t>(index)].entry_;
}

const Agent &World::agent(int index)
{
    return *agents_[static_cast<std::size_t>(index)].agent_;
}

bool World::entryUp(int index) const
{
    return entries_[static_cast<std::size_t>(index)].up_;
}

bool World::agentUp(int index) const
{
    return agents_[static_cast<std::size_t>(index)].up_;
}

int World::owner() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].up_ && now_ >= entries_[i].frozenUntil_ && entries_[i].entry_->scheduler().active()) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

std::optional<Duration> World::startedAt(const JobId &job) const
{
    std::optional<Duration> first;
    const auto gangs = gangs_.find(job);
    if (gangs == gangs_.end()) {
        return first;
    }
    for (const auto &[generation, gang] : gangs->second) {
        for (const auto &[worker, when] : gang.started_) {
            first = first ? std::min(*first, when.time_since_epoch()) : when.time_since_epoch();
        }
    }
    return first;
}

}
