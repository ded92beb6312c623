#include "batch/incident.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace bergamotwick::test {

using batch::milliseconds;

namespace {

constexpr std::size_t kindCount = static_cast<std::size_t>(FaultKind::SetClockBack) + 1;

/// How many cluster seeds are tried for each smaller incident.
constexpr std::uint64_t shrinkSeeds = 3;

}

const char *toString(FaultKind kind)
{
    constexpr const char *names[kindCount]
        = {"shrink",         "shrink-many",    "cut-executor",   "calls-lost",    "answers-lost",        "unhealthy",          "refusing",
           "slow",           "cut-agent",      "cut-all-agents", "delay-agent",   "freeze-agent",        "restart-agent",      "restart-executor",
           "restart-both",   "crash-executor", "reboot",         "leave",         "late-leave",          "store-down",         "store-down-lease-lapses",
           "replace-leader", "crash-leader",   "delayed-orders", "delayed-polls", "lost-answers",        "delayed-heartbeats", "late-first-heartbeats",
           "lost-replies",   "delayed-writes", "fail-tasks",     "hang-tasks",    "late-calls-at-birth", "set-clock-back"};
    return names[static_cast<std::size_t>(kind)];
}

namespace {

Duration scaled(Duration length, double factor)
{
    return std::chrono::duration_cast<Duration>(length * factor);
}

/// Returns the time on an incident's clock at which its faults and jobs take effect, with what they do.
class Player
{
public:
    Player(const Incident &incident, const std::vector<std::string> &rules)
        : incident_(incident)
        , rules_(rules)
        , cluster_(incident.hosts_, incident.seed_)
    {
        for (const PlannedJob &job : incident.jobs_) {
            plan(job);
        }
        for (const PlannedFault &fault : incident.faults_) {
            actions_.emplace(fault.at_, [this, &fault] { inject(fault); });
        }
        actions_.emplace(incident.length_, [] {});
    }

    IncidentOutcome play()
    {
        const Instant start = cluster_.now();
        IncidentOutcome outcome;
        while (!actions_.empty() && outcome.violations_.empty()) {
            const auto next = actions_.extract(actions_.begin());
            runUntil(start + next.key(), outcome);
            if (outcome.violations_.empty()) {
                next.mapped()();
            }
        }
        outcome.settlement_ = outcome.violations_.empty() ? "" : cluster_.settlement(outcome.violations_.front());
        outcome.at_ = cluster_.now() - start;
        outcome.starts_ = cluster_.allStarts();
        outcome.lateStartsOverCapacity_ = cluster_.lateStartsOverCapacity();
        return outcome;
    }

private:
    void runUntil(Instant until, IncidentOutcome &outcome)
    {
        while (cluster_.now() < until && outcome.violations_.empty()) {
            cluster_.run(std::min<Duration>(until - cluster_.now(), 500ms));
            for (const std::string &violation : cluster_.violations()) {
                const bool counts = rules_.empty() || std::any_of(rules_.begin(), rules_.end(), [&](const auto &rule) { return violation.starts_with(rule); });
                if (counts) {
                    outcome.violations_.push_back(violation);
                }
            }
        }
    }

    void plan(const PlannedJob &job)
    {
        actions_.emplace(job.at_, [this, &job] {
            if (job.crash_) {
                crashAfterSubmission(job);
            } else {
                cluster_.submit(job.job_);
            }
        });
        if (job.cancelledAt_) {
            actions_.emplace(*job.cancelledAt_, [this, &job] { cluster_.cancel(job.job_.id_); });
        }
    }

    void crashAfterSubmission(const PlannedJob &job)
    {
        cluster_.setCrashing(job.job_.id_, *job.crash_);
        cluster_.submit(job.job_);
    }

    /// Sets a rate of Faults for the length of \p fault.
    template<class Value>
    void setFor(const PlannedFault &fault, Value Faults::*rate, Value value)
    {
        cluster_.faults_.*rate = value;
        actions_.emplace(fault.at_ + fault.length_ * 2, [this, rate] { cluster_.faults_.*rate = Value{}; });
    }

    void inject(const PlannedFault &fault)
    {
        if (!injectIntoCalls(fault) && !injectIntoProcesses(fault)) {
            injectIntoCluster(fault);
        }
    }

    bool injectIntoCalls(const PlannedFault &fault)
    {
        switch (fault.kind_) {
        case FaultKind::CutExecutor:
            cluster_.disconnectExecutor(fault.host_, fault.length_);
            return true;
        case FaultKind::CallsLost:
            cluster_.disturbCalls(fault.host_, CallFault::CallsLost, fault.length_);
            return true;
        case FaultKind::AnswersLost:
            cluster_.disturbCalls(fault.host_, CallFault::AnswersLost, fault.length_);
            return true;
        case FaultKind::Unhealthy:
            cluster_.disturbCalls(fault.host_, CallFault::Unhealthy, fault.length_);
            return true;
        case FaultKind::Refusing:
            cluster_.disturbCalls(fault.host_, CallFault::Refusing, fault.length_ / 4);
            return true;
        case FaultKind::Slow:
            cluster_.disturbCalls(fault.host_, CallFault::Slow, fault.length_);
            return true;
        case FaultKind::DelayedOrders:
            setFor(fault, &Faults::delayedOrderRate_, fault.factor_ / 2);
            return true;
        case FaultKind::DelayedPolls:
            setFor(fault, &Faults::delayedPollRate_, fault.factor_ / 2);
            return true;
        case FaultKind::LostAnswers:
            setFor(fault, &Faults::lostAnswerRate_, fault.factor_ / 2);
            return true;
        case FaultKind::LateCallsAtBirth:
            setFor(fault, &Faults::lateCallsAtBirth_, true);
            return true;
        case FaultKind::DelayedHeartbeats:
            setFor(fault, &Faults::delayedHeartbeatRate_, fault.factor_);
            return true;
        default:
            return false;
        }
    }

    bool injectIntoProcesses(const PlannedFault &fault)
    {
        const Duration shortTime = fault.length_ / 2;
        switch (fault.kind_) {
        case FaultKind::FreezeAgent:
            cluster_.freezeAgent(fault.host_, fault.length_);
            return true;
        case FaultKind::RestartAgent:
            cluster_.restartAgent(fault.host_);
            return true;
        case FaultKind::RestartExecutor:
            cluster_.restartExecutor(fault.host_, fault.flag_);
            return true;
        case FaultKind::RestartBoth:
            cluster_.restartAgent(fault.host_);
            cluster_.restartExecutor(fault.host_, fault.flag_);
            return true;
        case FaultKind::CrashExecutor:
            cluster_.crashExecutor(fault.host_, shortTime, fault.flag_, fault.count_ % 3 == 0);
            return true;
        case FaultKind::Reboot:
            cluster_.reboot(fault.host_, 1s + shortTime, fault.flag_);
            return true;
        case FaultKind::Leave:
            cluster_.leave(fault.host_, {shortTime, 1ms, 1s + scaled(fault.length_, fault.factor_ / 4), fault.flag_});
            return true;
        case FaultKind::LateLeave:
            cluster_.leave(fault.host_, {1ms, shortTime, scaled(fault.length_, fault.factor_ / 2), fault.flag_});
            return true;
        case FaultKind::SetClockBack:
            cluster_.setClockBack(fault.host_, fault.length_);
            return true;
        case FaultKind::FailTasks:
            cluster_.failTasksOn(fault.host_, shortTime);
            return true;
        case FaultKind::HangTasks:
            cluster_.hangTasksOn(fault.host_, shortTime);
            return true;
        default:
            return false;
        }
    }

    void injectIntoCluster(const PlannedFault &fault)
    {
        switch (fault.kind_) {
        case FaultKind::Shrink:
            cluster_.shrink(fault.host_, fault.factor_, 1s + fault.length_);
            break;
        case FaultKind::ShrinkMany:
            for (std::size_t host = 0; host < incident_.hosts_; ++host) {
                if ((host + fault.host_) % 5 < 1 + fault.count_ / 4) {
                    cluster_.shrink(host, fault.factor_, 1s + fault.length_);
                }
            }
            break;
        case FaultKind::CutAgent:
            cluster_.disconnectAgent(fault.host_, fault.length_);
            break;
        case FaultKind::CutAllAgents:
            for (std::size_t host = 0; host < incident_.hosts_; ++host) {
                cluster_.disconnectAgent(host, fault.length_);
            }
            break;
        case FaultKind::DelayAgent:
            cluster_.delayAgent(fault.host_, scaled(3s, fault.factor_), fault.length_);
            break;
        case FaultKind::StoreDown:
        case FaultKind::StoreDownLeaseLapses:
            cluster_.disturbStore(fault.length_, fault.kind_ == FaultKind::StoreDownLeaseLapses);
            break;
        case FaultKind::ReplaceLeader:
            cluster_.replaceLeader(300ms + fault.length_ / 5, fault.flag_);
            break;
        case FaultKind::CrashLeader:
            cluster_.crashLeader({fault.count_, 300ms + fault.length_ / 5});
            break;
        case FaultKind::LateFirstHeartbeats:
            setFor(fault, &Faults::firstHeartbeatDelay_, milliseconds(1'500));
            break;
        case FaultKind::LostReplies:
            setFor(fault, &Faults::lostReplyRate_, fault.factor_ / 2);
            break;
        default:
            setFor(fault, &Faults::delayedWriteRate_, fault.factor_ / 2);
            break;
        }
    }

    const Incident &incident_;
    const std::vector<std::string> &rules_;
    Cluster cluster_;
    std::multimap<Duration, std::function<void()>> actions_;
};

/// Returns whether \p incident violates \p rule with one of several cluster seeds, and sets the seed that does.
bool violates(Incident &incident, const std::string &rule)
{
    const std::uint64_t seed = incident.seed_;
    for (std::uint64_t attempt = 0; attempt < shrinkSeeds; ++attempt) {
        incident.seed_ = seed + attempt;
        if (!play(incident, {rule}).violations_.empty()) {
            return true;
        }
    }
    incident.seed_ = seed;
    return false;
}

/// Removes as many of the incident's \p items as possible, in ever smaller chunks.
template<class Item>
bool shrinkItems(Incident &incident, std::vector<Item> Incident::*items, const std::string &rule)
{
    bool shrunk = false;
    for (std::size_t chunk = std::max<std::size_t>(1, (incident.*items).size() / 2); chunk > 0; chunk /= 2) {
        for (std::size_t first = 0; first < (incident.*items).size();) {
            Incident smaller = incident;
            std::vector<Item> &all = smaller.*items;
            const auto begin = all.begin() + static_cast<std::ptrdiff_t>(first);
            all.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(chunk, all.size() - first)));
            if (violates(smaller, rule)) {
                incident = std::move(smaller);
                shrunk = true;
            } else {
                first += chunk;
            }
        }
    }
    return shrunk;
}

/// Drops what begins after the first violation of \p rule.
void truncate(Incident &incident, const std::string &rule)
{
    incident.length_ = std::chrono::ceil<milliseconds>(play(incident, {rule}).at_);
    std::erase_if(incident.jobs_, [&](const PlannedJob &job) { return job.at_ > incident.length_; });
    std::erase_if(incident.faults_, [&](const PlannedFault &fault) { return fault.at_ > incident.length_; });
}

}

IncidentOutcome play(const Incident &incident, const std::vector<std::string> &rules)
{
    return Player(incident, rules).play();
}

Incident shrinkFaults(Incident incident, const std::string &rule)
{
    truncate(incident, rule);
    while (shrinkItems(incident, &Incident::faults_, rule)) { }
    return incident;
}

Incident shrinkIncident(Incident incident, const std::string &rule)
{
    truncate(incident, rule);
    bool shrunk = true;
    while (shrunk) {
        const bool fewerFaults = shrinkItems(incident, &Incident::faults_, rule);
        const bool fewerJobs = shrinkItems(incident, &Incident::jobs_, rule);
        shrunk = fewerFaults || fewerJobs;
    }
    return incident;
}

std::string kindsOf(const Incident &incident)
{
    std::set<std::string> kinds;
    for (const PlannedFault &fault : incident.faults_) {
        kinds.insert(toString(fault.kind_));
    }
    for (const PlannedJob &job : incident.jobs_) {
        if (job.crash_) {
            kinds.insert("crashing-task");
        }
    }
    std::string text;
    for (const std::string &kind : kinds) {
        text += (text.empty() ? "" : "+") + kind;
    }
    return text;
}

std::string toString(const Incident &incident)
{
    std::string text = "cluster seed " + std::to_string(incident.seed_) + ", " + std::to_string(incident.hosts_) + " hosts\n";
    for (const PlannedJob &planned : incident.jobs_) {
        const batch::Step &step = planned.job_.steps_[0];
        text += "  " + std::to_string(planned.at_.count()) + " " + planned.job_.id_.str() + ": " + std::to_string(step.count_) + " x "
            + std::to_string(step.estimate_.count()) + " ms, accelerators " + std::to_string(step.taskDemand_.accelerators_) + (step.gang_ ? ", gang" : "")
            + (planned.job_.steps_.size() > 1 ? ", two steps" : "") + (planned.crash_ ? ", crashing" : "") + (planned.cancelledAt_ ? ", cancelled" : "") + "\n";
    }
    for (const PlannedFault &fault : incident.faults_) {
        text += "  " + std::to_string(fault.at_.count()) + " " + toString(fault.kind_) + " host " + std::to_string(fault.host_) + " length "
            + std::to_string(fault.length_.count()) + " factor " + std::to_string(fault.factor_) + " flag " + std::to_string(fault.flag_) + " count "
            + std::to_string(fault.count_) + "\n";
    }
    return text;
}

}
