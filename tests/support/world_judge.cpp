#include "support/world.h"

#include <algorithm>
#include <sstream>

namespace bergamotwick::test {

namespace {

constexpr Duration callTimeout = 2s;
constexpr Duration outOfServiceBound = 5s;
constexpr Duration stopBound = 4s; ///< time beyond the lease in which a worker notices the loss and stops

}

// Checks

void Simulation::addViolation(const std::string &text)
{
    std::ostringstream line;
    line << std::chrono::duration<double>(now_.time_since_epoch() - 1h).count() << " s: " << text;
    violations_.push_back(line.str());
}

void Simulation::checkStart(const AgentProcess &agent, const StartTasks &start)
{
    const std::string &name = agent.identity_.name_;
    const auto out = outOfServiceSince_.find(agent.identity_.dataCentre_.str());
    if (out != outOfServiceSince_.end() && now_ - out->second > outOfServiceBound) {
        addViolation("start of " + start.job_.str() + " in " + out->first + ", which is out of service");
    }
    gangs_[start.job_][start.generation_].started_[name] = now_;
    std::int32_t prepared = 0;
    const auto record = job(start.job_);
    if (record && record->generation_ == start.generation_) {
        const auto &preparedWorkers = prepared_[start.job_][start.generation_];
        for (const MemberRecord &member : record->members_) {
            prepared += preparedWorkers.contains(member.worker_.str()) ? member.tasks_ : 0;
        }
        if (!record->members_.empty() && prepared != record->spec_.tasks_) {
            addViolation("start of " + start.job_.str() + " before all members were prepared");
        }
    }
    for (const AgentProcess &other : agents_) {
        const auto tasks = other.tasks_.find(start.job_);
        if (tasks != other.tasks_.end() && tasks->second.phase_ == MemberPhase::Running && tasks->second.generation_ != start.generation_) {
            addViolation("start of " + start.job_.str() + " while another generation of it is still running");
        }
    }
}

void Simulation::checkRunning()
{
    for (AgentProcess &agent : agents_) {
        for (auto &[job, tasks] : agent.tasks_) {
            if (tasks.phase_ != MemberPhase::Running) {
                continue;
            }
            for (const auto &[worker, since] : gangs_[job][tasks.generation_].endedEarly_) {
                if (worker != agent.identity_.name_ && now_ - since > options_.entry_.scheduler_.minLease_ + stopBound) {
                    addViolation(job.str() + " keeps running without its member on " + worker);
                    tasks.phase_ = MemberPhase::Absent; // reports the violation once
                }
            }
        }
    }
}

void Simulation::checkAnswer(std::uint64_t token, const Answer &answer)
{
    if (!answers_.emplace(token, answer).second) {
        addViolation("more than one answer to a request");
    }
    const Request &request = requests_.at(token);
    if (answer.outcome_ == Outcome::Answered && request.repeatable_ && answer.body_ != "answer to " + std::to_string(token)) {
        addViolation("answer of another request");
    }
    if (answer.outcome_ == Outcome::NotRun) {
        schedule(now_ + 60s, [this, token] {
            if (runs_[token] > 0) {
                addViolation("answered as not run, but ran: request " + std::to_string(token));
            }
        });
    }
}

void Simulation::checkRevisionActive(std::uint64_t revision, Instant writtenAt)
{
    if (storeMode_ != StoreMode::Up || storeModeChangedAt_ >= writtenAt - callTimeout * 2) {
        return;
    }
    for (const EntryProcess &process : entries_) {
        const bool available = process.up_ && process.frozenUntil_ < writtenAt;
        if (available && process.entry_->ready() && process.entry_->control().revision_ < revision) {
            addViolation("revision " + std::to_string(revision) + " is not active on every ready entry");
        }
    }
}

// Records

std::size_t Simulation::unanswered() const
{
    std::size_t open = 0;
    for (const auto &[token, request] : requests_) {
        open += answers_.contains(token) ? 0 : 1;
    }
    return open;
}

int Simulation::runsOf(std::uint64_t token) const
{
    const auto found = runs_.find(token);
    return found == runs_.end() ? 0 : found->second;
}

int Simulation::runsOfKey(const std::string &key) const
{
    const auto found = keyRuns_.find(key);
    return found == keyRuns_.end() ? 0 : found->second;
}

std::optional<JobRecord> Simulation::job(const JobId &id) const
{
    for (std::size_t shard = 0; shard < options_.entry_.jobShards_; ++shard) {
        const auto document = decodeShard(store_.value(jobsKey(RegionId("region"), shard)));
        if (document && document->jobs_.contains(id)) {
            return document->jobs_.at(id);
        }
    }
    return std::nullopt;
}

std::vector<JobId> Simulation::acceptedJobs() const
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

Entry &Simulation::entry(int index)
{
    return *entries_[static_cast<std::size_t>(index)].entry_;
}

const Agent &Simulation::agent(int index)
{
    return *agents_[static_cast<std::size_t>(index)].agent_;
}

bool Simulation::entryUp(int index) const
{
    return entries_[static_cast<std::size_t>(index)].up_;
}

bool Simulation::agentUp(int index) const
{
    return agents_[static_cast<std::size_t>(index)].up_;
}

int Simulation::owner() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].up_ && now_ >= entries_[i].frozenUntil_ && entries_[i].entry_->scheduler().active()) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

std::optional<Duration> Simulation::startedAt(const JobId &job) const
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
