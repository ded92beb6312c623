#include "batch/incident.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace bergamotwick::test {

using batch::milliseconds;

namespace {

constexpr std::int64_t drawnKinds = static_cast<std::int64_t>(FaultKind::HangTasks) + 1; ///< of drawIncident()
constexpr milliseconds loadLength{45'000}; ///< in which jobs arrive and faults begin
constexpr milliseconds settlingLength{20'000};
constexpr milliseconds longSettlingLength{40'000}; ///< after rebirths: the longest cut and the leases

/// Draws from one random sequence.
class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

    double real(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    bool chance(double probability)
    {
        return real(0, 1) < probability;
    }

    milliseconds time(std::int64_t low, std::int64_t high)
    {
        return milliseconds(between(low, high));
    }

    /// Short times are as likely as long ones.
    milliseconds logTime(double low, double high)
    {
        return milliseconds(static_cast<std::int64_t>(std::exp(real(std::log(low), std::log(high)))));
    }

private:
    std::mt19937_64 random_;
};

CrashingTask drawCrash(Draw &draw)
{
    CrashingTask crash;
    crash.index_ = draw.chance(0.7) ? std::optional<std::uint32_t>(0) : std::nullopt;
    crash.after_ = draw.logTime(5, 4'000);
    crash.downtime_ = draw.time(500, 6'000);
    crash.sameName_ = draw.chance(0.5);
    crash.silent_ = draw.chance(0.3);
    crash.answersStart_ = draw.chance(0.6);
    crash.restartsAgent_ = draw.chance(0.2);
    return crash;
}

PlannedJob drawJob(Draw &draw, int number, bool crashes)
{
    constexpr std::int64_t accelerators[] = {0, 1, 1, 2, 2, 4, 8};
    const auto count = static_cast<std::uint32_t>(draw.between(1, 10));
    const batch::ResourceVector demand{draw.between(1, 16) * 1'000, draw.between(1, 16) * 1'000, accelerators[draw.between(0, 6)]};
    PlannedJob planned;
    planned.at_ = draw.time(0, loadLength.count());
    planned.job_ = makeJob("job-" + std::to_string(number), count, demand, draw.logTime(100, 20'000));
    planned.job_.queue_ = "h/" + std::to_string(draw.between(0, 2)) + "/";
    batch::Step &step = planned.job_.steps_[0];
    step.gang_ = draw.chance(0.25) && demand.accelerators_ <= 4;
    step.checkpointable_ = draw.chance(0.5);
    step.antiAffinity_ = !step.gang_ && draw.chance(0.2) ? static_cast<std::uint32_t>(draw.between(1, 3)) : 0;
    step.cpuBackfill_ = !step.gang_ && draw.chance(0.15);
    if (draw.chance(0.3)) {
        batch::Step next = step;
        next.dependencies_ = {0};
        next.gang_ = false;
        next.estimate_ = draw.logTime(100, 5'000);
        planned.job_.steps_.push_back(next);
    }
    if (draw.chance(0.08)) {
        planned.cancelledAt_ = planned.at_ + draw.logTime(50, 10'000);
    }
    if (crashes && draw.chance(0.15)) {
        planned.crash_ = drawCrash(draw);
        for (const batch::Step &each : planned.job_.steps_) {
            planned.crash_->after_ = std::min<Duration>(planned.crash_->after_, each.estimate_ * 4 / 5); // while it runs
        }
    }
    return planned;
}

PlannedFault drawFault(Draw &draw, FaultKind kind, std::size_t hosts)
{
    PlannedFault fault;
    fault.kind_ = kind;
    fault.at_ = draw.time(0, loadLength.count());
    fault.length_ = draw.logTime(200, 15'000);
    fault.host_ = static_cast<std::size_t>(draw.between(0, static_cast<std::int64_t>(hosts) - 1));
    fault.factor_ = draw.real(0.1, 0.9);
    fault.flag_ = draw.chance(0.5);
    fault.count_ = static_cast<std::size_t>(draw.between(1, 12));
    return fault;
}

/// Draws the faults of one executor that starts again under its id, once or twice, while calls to it are on their way.
class RebirthDraw
{
public:
    RebirthDraw(Draw &draw, Incident &incident)
        : draw_(draw)
        , incident_(incident)
        , host_(static_cast<std::size_t>(draw.between(0, static_cast<std::int64_t>(incident.hosts_) - 1)))
        , at_(draw.time(1'000, loadLength.count()))
    {
    }

    void draw()
    {
        const milliseconds bornAt = at_ + drawEnd(at_);
        if (draw_.chance(0.4)) {
            add(FaultKind::RestartAgent, draw_.chance(0.5) ? at_ : draw_.time(at_.count(), bornAt.count() + 1'500), {});
        }
        if (draw_.chance(0.25)) {
            add(FaultKind::SetClockBack, at_, draw_.logTime(500, 600'000));
        }
        if (draw_.chance(0.5)) {
            (void)drawEnd(bornAt + draw_.logTime(20, 9'000));
        }
        if (draw_.chance(0.6)) {
            constexpr FaultKind silences[] = {FaultKind::FreezeAgent, FaultKind::CutAgent, FaultKind::CutExecutor, FaultKind::AnswersLost};
            add(silences[draw_.between(0, 3)], std::max(milliseconds(0), bornAt + draw_.time(-1'000, 4'000)), draw_.time(5'000, 30'000));
        }
        if (draw_.chance(0.2)) {
            constexpr FaultKind changes[] = {FaultKind::ReplaceLeader, FaultKind::CrashLeader, FaultKind::StoreDownLeaseLapses};
            add(changes[draw_.between(0, 2)], at_ + draw_.time(-800, 6'000), draw_.logTime(200, 8'000));
        }
        if (draw_.chance(0.3)) {
            add(FaultKind::Shrink, at_ + draw_.time(-1'000, 3'000), draw_.logTime(1'000, 15'000));
        }
    }

private:
    /// Adds an end of the executor and returns the time until its next start.
    milliseconds drawEnd(milliseconds at)
    {
        const milliseconds downtime = draw_.logTime(30, 7'000);
        switch (draw_.between(0, 9)) {
        case 0:
            add(FaultKind::Reboot, at, downtime * 2);
            return downtime + 1s;
        case 1:
            add(FaultKind::Leave, at, downtime * 2);
            return downtime + 1s;
        case 2:
            add(FaultKind::RestartExecutor, at, {});
            return milliseconds(0);
        default:
            add(FaultKind::CrashExecutor, at, downtime * 2);
            return downtime;
        }
    }

    void add(FaultKind kind, milliseconds at, milliseconds length)
    {
        PlannedFault fault = drawFault(draw_, kind, incident_.hosts_);
        fault.at_ = at;
        fault.length_ = length;
        fault.host_ = host_;
        fault.flag_ = true; // the same id
        incident_.faults_.push_back(fault);
    }

    Draw &draw_;
    Incident &incident_;
    std::size_t host_ = 0;
    milliseconds at_{0};
};

}

Incident drawIncident(std::uint64_t seed, const std::set<FaultKind> &without)
{
    Draw draw(seed);
    Incident incident;
    incident.seed_ = seed;
    incident.hosts_ = static_cast<std::size_t>(draw.between(2, 8));
    incident.length_ = loadLength + settlingLength;
    std::vector<FaultKind> kinds;
    const std::int64_t kindsDrawn = draw.between(1, 6);
    for (std::int64_t kind = 0; kind < kindsDrawn; ++kind) {
        kinds.push_back(static_cast<FaultKind>(draw.between(0, drawnKinds - 1)));
    }
    if (draw.chance(0.6)) {
        kinds.push_back(draw.chance(0.5) ? FaultKind::Shrink : FaultKind::ShrinkMany);
    }
    const bool crashes = draw.chance(0.4);
    const std::int64_t jobs = draw.between(5, 12 * static_cast<std::int64_t>(incident.hosts_));
    for (int number = 0; number < jobs; ++number) {
        incident.jobs_.push_back(drawJob(draw, number, crashes));
    }
    const std::int64_t faults = draw.between(2, 30);
    for (std::int64_t fault = 0; fault < faults; ++fault) {
        const FaultKind kind = kinds[static_cast<std::size_t>(draw.between(0, static_cast<std::int64_t>(kinds.size()) - 1))];
        incident.faults_.push_back(drawFault(draw, kind, incident.hosts_));
    }
    std::erase_if(incident.faults_, [&without](const PlannedFault &fault) { return without.contains(fault.kind_); });
    return incident;
}

void addRefusals(Incident &incident, std::size_t count)
{
    Draw draw(incident.seed_);
    for (std::size_t fault = 0; fault < count; ++fault) {
        incident.faults_.push_back(drawFault(draw, FaultKind::Refusing, incident.hosts_));
    }
}

Incident drawRebirths(std::uint64_t seed)
{
    Draw draw(seed);
    Incident incident;
    incident.seed_ = seed;
    incident.hosts_ = static_cast<std::size_t>(draw.between(1, 4));
    incident.length_ = loadLength + longSettlingLength;
    const bool crashes = draw.chance(0.2);
    const std::int64_t jobs = draw.between(3, 8 * static_cast<std::int64_t>(incident.hosts_));
    for (int number = 0; number < jobs; ++number) {
        PlannedJob job = drawJob(draw, number, crashes);
        for (batch::Step &step : job.job_.steps_) {
            step.estimate_ = draw.logTime(100, 60'000);
        }
        if (draw.chance(0.15)) {
            job.cancelledAt_ = job.at_ + draw.logTime(50, 15'000);
        }
        if (job.crash_) {
            job.crash_->sameName_ = true;
        }
        incident.jobs_.push_back(job);
    }
    constexpr std::pair<FaultKind, double> disturbances[] = {{FaultKind::DelayedOrders, 0.9},
                                                             {FaultKind::DelayedPolls, 0.7},
                                                             {FaultKind::LostAnswers, 0.4},
                                                             {FaultKind::LateFirstHeartbeats, 0.5},
                                                             {FaultKind::DelayedHeartbeats, 0.3},
                                                             {FaultKind::LateCallsAtBirth, 0.6}};
    for (const auto &[kind, share] : disturbances) {
        if (draw.chance(share)) {
            PlannedFault fault = drawFault(draw, kind, incident.hosts_);
            fault.at_ = draw.chance(0.7) ? milliseconds(0) : fault.at_ / 2;
            fault.length_ = draw.time(8'000, 35'000);
            incident.faults_.push_back(fault);
        }
    }
    const std::int64_t rebirths = draw.between(1, 8);
    for (std::int64_t rebirth = 0; rebirth < rebirths; ++rebirth) {
        RebirthDraw(draw, incident).draw();
    }
    return incident;
}

}
