#include "model/world.h"

#include "model/world_times.h"

#include <algorithm>
#include <iostream>

namespace bergamotwick::model {

using batch::milliseconds;

namespace {

/// Time in which the first leader and the agents find each other, before the jobs are submitted.
constexpr milliseconds warmUp{13'000};

}

World::World(const Scenario &scenario, DisabledProtections disabled, Schedule &schedule, bool traced)
    : scenario_(scenario)
    , disabled_(disabled)
    , schedule_(schedule)
    , traced_(traced)
    , now_(std::chrono::hours(1))
{
    for (std::int32_t priority = 0; priority < 2; ++priority) {
        batch::Queue queue;
        queue.host_ = "h";
        queue.prefix_ = "/" + std::to_string(priority) + "/";
        queue.priority_ = priority;
        queue.service_ = ServiceId("service");
        queue.maxAttempts_ = 3;
        queue.stretch_ = 3;
        queue.targetLatency_ = 1s;
        config_.queues_.push_back(queue);
    }
    config_.version_ = 1;
    config_.workspaces_ = {{WorkspaceId("w"), {}, 16}};
    hosts_.resize(scenario.hosts_);
    for (std::size_t index = 0; index < scenario.hosts_; ++index) {
        addHost(index);
    }
    electLeader();
    every(tickPeriod, [this] {
        for (std::size_t index = 0; index < leaders_.size(); ++index) {
            stepLeader(index, {});
        }
    });
    every(renewalPeriod, [this] { renewLeaderLeases(); });
}

void World::play()
{
    runUntil(now_ + warmUp);
    submitJobs();
    for (const milliseconds moment : scenario_.moments_) {
        schedule(now_ + moment, [this] { takeMoment(); });
    }
    const Instant limit = now_ + scenario_.timeLimit_;
    while (now_ < limit && !isQuiet()) {
        runUntil(now_ + milliseconds(100));
    }
}

void World::schedule(Instant time, std::function<void()> action)
{
    events_.emplace(time, std::move(action));
}

void World::every(milliseconds period, std::function<void()> action)
{
    schedule(now_ + period, [this, period, action = std::move(action)]() mutable {
        action();
        every(period, std::move(action));
    });
}

void World::runUntil(Instant time)
{
    while (!events_.empty() && events_.begin()->first <= time) {
        auto node = events_.extract(events_.begin());
        now_ = std::max(now_, node.key());
        node.mapped()();
    }
    now_ = time;
}

bool World::allJobsEnded() const
{
    return std::all_of(jobs_.begin(), jobs_.end(), [this](const batch::Submission &job) {
        const auto record = records_.find(job.id_);
        return record != records_.end() && batch::isFinal(record->second.progress_.state_);
    });
}

bool World::isQuiet() const
{
    return allJobsEnded() && lateCalls_ == 0 && now_ >= activeUntil_ && !checker_.isAnyBusy();
}

void World::submitJobs()
{
    submittedAt_ = now_;
    choosing_ = scenario_.callsVary_;
    schedule(now_ + scenario_.callsVaryFor_, [this] { choosing_ = false; });
    for (const ScenarioJob &job : scenario_.jobs_) {
        schedule(now_ + job.submittedAfter_, [this, submission = job.submission_] { submit(submission); });
        expectActivityUntil(now_ + job.submittedAfter_ + tickPeriod);
        if (job.cancelledAfter_) {
            schedule(now_ + *job.cancelledAfter_, [this, id = job.submission_.id_] { cancel(id); });
        }
    }
}

void World::submit(batch::Submission job)
{
    job.acceptedAt_ = batch::CalendarTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
    jobs_.push_back(job);
    stepLeader(leaders_.size() - 1, {batch::JobStored{job}});
}

void World::cancel(const JobId &job)
{
    trace("caller cancels", job.str());
    cancelled_.insert(job);
    stepLeader(leaders_.size() - 1, {batch::CancelStored{job}});
}

void World::takeMoment()
{
    const bool callsVary = std::exchange(choosing_, true);
    // Hosts that have received no order are alike, and their faults change nothing that the rules speak of.
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (hosts_[index].ordered_) {
            applyHostFault(index, chooseHostFault(index));
        }
    }
    if (scenario_.hostFaults_.empty()) {
        applyLeaderFault(choose<LeaderFault>([] { return "leader"; }, leaderFaults));
    }
    choosing_ = callsVary;
}

HostFault World::chooseHostFault(std::size_t index)
{
    const std::vector<HostFault> &faults = scenario_.hostFaults_;
    if (faults.empty()) {
        return choose<HostFault>([&] { return hosts_[index].name_; }, hostFaults);
    }
    const std::size_t option = schedule_.choose(faults.size() + 1);
    if (option == 0) {
        return HostFault::None;
    }
    const HostFault fault = faults[option - 1];
    describe(hosts_[index].name_, hostFaults[static_cast<std::size_t>(fault)]);
    return fault;
}

/// Describes the deviation that was just taken.
void World::describe(const std::string &place, const char *option)
{
    const std::string time = std::to_string(std::chrono::duration_cast<milliseconds>(now_ - submittedAt_).count());
    schedule_.describe(place + "@" + time + ": " + option);
}

void World::expectActivityUntil(Instant time)
{
    activeUntil_ = std::max(activeUntil_, time);
}

void World::printEvent(const std::string &event) const
{
    const Duration time = submittedAt_ == Instant() ? Duration(0) : now_ - submittedAt_;
    std::cout << std::chrono::duration_cast<milliseconds>(time).count() << " " << event << "\n";
}

void World::traceLog(const std::string &source, const batch::LogEvent &event) const
{
    if (!traced_) {
        return;
    }
    std::string text = source + " " + event.event_;
    for (const auto &[key, value] : event.fields_) {
        text += " " + key + "=" + value;
    }
    printEvent(text);
}

}
