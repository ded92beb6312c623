#include "model/world.h"

#include "model/world_times.h"

namespace bergamotwick::model {

using batch::milliseconds;

namespace {

constexpr batch::ResourceVector fullCapacity{64'000, 131'072, 8};
constexpr batch::ResourceVector halfCapacity{32'000, 65'536, 4};

constexpr milliseconds shortDowntime{300};
constexpr milliseconds longDowntime{2'000};
constexpr milliseconds shortShrinkage{2'000};
constexpr milliseconds longShrinkage{12'000};
constexpr milliseconds leaveDelay{2'000};
constexpr milliseconds lateLeaveDelay{500};
constexpr milliseconds cutLength{9'000};
constexpr milliseconds shortCutLength{5'000};
constexpr milliseconds leaderKept{15'000};
constexpr milliseconds leaderKeptLong{45'000};
constexpr milliseconds oneWayCutLength{6'000};
constexpr milliseconds unavailableLength{1'000};
constexpr milliseconds agentDowntime{200};
constexpr milliseconds longAgentDowntime{4'000};
constexpr milliseconds longAgentFreeze{9'000};
constexpr milliseconds crashAfterStart{10};

/// How long the first executors have been up when the world begins; their clocks are far ahead of those of their next incarnations.
constexpr milliseconds firstUptime{60'000};

/// Interval at which an executor with runs looks for runs that have ended.
constexpr milliseconds executorTick{50};

}

void World::addHost(std::size_t index)
{
    Host &host = hosts_[index];
    host.name_ = "host-" + std::to_string(index);
    host.agent_ = std::make_unique<batch::AgentCore>(host.name_, stopDuration);
    startExecutor(index, true, netLatency);
    every(tickPeriod, [this, index] { stepAgent(index, {}); });
    schedule(now_ + netLatency, [this, index] { pollLoop(index, 0); });
}

void World::startExecutor(std::size_t index, bool sameId, Duration firstHeartbeat)
{
    Host &host = hosts_[index];
    host.ids_ += sameId ? 0 : 1;
    batch::ExecutorInfo info;
    const Instant startedAt = host.executorLife_ == 0 ? now_ - firstUptime : now_;
    const auto startTimeMs = std::chrono::duration_cast<milliseconds>(startedAt.time_since_epoch()).count();
    info.incarnation_ = {ExecutorId("x" + std::to_string(index) + "-" + std::to_string(host.ids_)), startTimeMs, host.name_};
    info.service_ = ServiceId("service");
    info.dataCentre_ = DataCentreId("dc");
    info.capacity_ = fullCapacity;
    host.incarnation_ = info.incarnation_;
    host.heartbeatSequence_ = 0;
    ++host.executorLife_;
    const test::RunObserver observer{[this, index](const auto &, const auto &run, const auto &) { runStarted(index, run); },
                                     [this, index](const auto &incarnation, const auto &run, batch::EndKind kind) { runEnded(index, incarnation, run, kind); },
                                     [this](const auto &incarnation, const auto &end) { checker_.acknowledged(incarnation, end.number_, now_); },
                                     [this](const auto &incarnation) { checker_.leaseLapsed(incarnation); }};
    host.executor_ = std::make_unique<test::ExecutorStandIn>(info, startedAt, stopDuration, observer);
    if (disabled_.fencing_) {
        host.executor_->disableFencing();
    }
    checker_.executorStarted(host.incarnation_, info.capacity_, now_);
    trace(host.name_, "executor", host.incarnation_.executor_.str(), "starts");
    for (auto &lateOrder : std::exchange(host.atNextIncarnation_, {})) {
        lateOrder();
    }
    schedule(now_ + firstHeartbeat, [this, index, life = host.executorLife_] { beat(index, life); });
}

void World::endExecutor(std::size_t index)
{
    Host &host = hosts_[index];
    trace(host.name_, "executor", host.incarnation_.executor_.str(), "ends");
    checker_.executorEnded(host.incarnation_);
    host.executor_.reset();
    host.ticking_ = false;
    ++host.executorLife_;
    breakWaitingPoll(index);
}

void World::crashExecutor(std::size_t index, Duration downtime, bool sameId, Duration firstHeartbeat)
{
    if (!hosts_[index].executor_) {
        return;
    }
    endExecutor(index);
    schedule(now_ + downtime, [this, index, sameId, firstHeartbeat] {
        if (!hosts_[index].executor_) {
            startExecutor(index, sameId, firstHeartbeat);
        }
    });
    expectActivityUntil(now_ + downtime + firstHeartbeat);
}

/// Restarts the agent, which hears nothing for \p downtime.
void World::restartAgent(std::size_t index, Duration downtime)
{
    Host &host = hosts_[index];
    trace(host.name_, "agent restarts");
    ++host.agentLife_;
    host.agentFrozenUntil_ = now_ + downtime;
    host.heldInputs_.clear();
    host.waitingPoll_.reset();
    host.leader_.reset();
    host.agent_ = std::make_unique<batch::AgentCore>(host.name_, stopDuration);
    expectActivityUntil(host.agentFrozenUntil_);
    schedule(host.agentFrozenUntil_, [this, index, life = host.agentLife_] {
        if (hosts_[index].agentLife_ == life) {
            hosts_[index].heldInputs_.clear();
            connectAgent(index);
            pollLoop(index, life);
        }
    });
}

void World::freezeAgent(std::size_t index, Duration length)
{
    Host &host = hosts_[index];
    trace(host.name_, "agent freezes");
    host.agentFrozenUntil_ = now_ + length;
    expectActivityUntil(host.agentFrozenUntil_);
    schedule(host.agentFrozenUntil_, [this, index, life = host.agentLife_] {
        if (hosts_[index].agentLife_ == life) {
            stepAgent(index, std::exchange(hosts_[index].heldInputs_, {}));
        }
    });
}

void World::shrinkCapacity(std::size_t index, Duration length)
{
    const auto change = [this, index](const batch::ResourceVector &capacity) {
        hosts_[index].executor_->setCapacity(capacity);
        checker_.capacityChanged(hosts_[index].incarnation_, capacity, now_);
        trace(hosts_[index].name_, "capacity", capacity.accelerators_);
    };
    if (!hosts_[index].executor_) {
        return;
    }
    change(halfCapacity);
    schedule(now_ + length, [this, index, change, life = hosts_[index].executorLife_] {
        if (hosts_[index].executorLife_ == life) {
            change(fullCapacity);
        }
    });
}

void World::announceLeave(std::size_t index, const ExecutorId &executor)
{
    trace(hosts_[index].name_, "leave announced by", executor.str());
    stepAgent(index, {batch::ExecutorLeft{executor}}); // its body, with the start time, may be missing
}

void World::cutFromLeaders(std::size_t index, Duration length)
{
    Host &host = hosts_[index];
    trace(host.name_, "cut from leaders");
    host.cutFromLeadersUntil_ = now_ + length;
    host.leader_.reset();
    schedule(now_ + length, [this, index] { connectAgent(index); });
    expectActivityUntil(now_ + length);
}

void World::applyHostFault(std::size_t index, HostFault fault)
{
    Host &host = hosts_[index];
    if (fault != HostFault::None) {
        trace(host.name_, "FAULT:", hostFaults[static_cast<std::size_t>(fault)]);
    }
    switch (fault) {
    case HostFault::None:
        return;
    case HostFault::CrashSameId:
        return crashExecutor(index, shortDowntime, true, netLatency);
    case HostFault::CrashSameIdQuiet:
        return crashExecutor(index, shortDowntime, true, heartbeatPeriod);
    case HostFault::CrashSameIdLong:
        return crashExecutor(index, longDowntime, true, netLatency);
    case HostFault::CrashSameIdAgentRestarts:
        crashExecutor(index, shortDowntime, true, netLatency);
        return restartAgent(index, agentDowntime);
    case HostFault::CrashSameIdAgentRestartsLater:
        crashExecutor(index, shortDowntime, true, netLatency);
        return restartAgent(index, longAgentDowntime);
    case HostFault::CrashOtherId:
        return crashExecutor(index, shortDowntime, false, netLatency);
    case HostFault::CrashOtherIdAgentRestarts:
        crashExecutor(index, shortDowntime, false, netLatency);
        return restartAgent(index, agentDowntime);
    case HostFault::AgentRestarts:
        return restartAgent(index, agentDowntime);
    case HostFault::AgentFreezes:
        return freezeAgent(index, agentFreeze);
    case HostFault::AgentFreezesLong:
        return freezeAgent(index, longAgentFreeze);
    case HostFault::CapacityShrinks:
        return shrinkCapacity(index, shortShrinkage);
    case HostFault::CapacityShrinksLong:
        return shrinkCapacity(index, longShrinkage);
    case HostFault::LeavesAndRunsOn:
        if (host.executor_) {
            announceLeave(index, host.incarnation_.executor_);
            schedule(now_ + leaveDelay, [this, index, life = host.executorLife_] {
                if (hosts_[index].executorLife_ == life) {
                    crashExecutor(index, shortDowntime, false, netLatency);
                }
            });
        }
        return;
    case HostFault::LateLeave:
        crashExecutor(index, shortDowntime, true, netLatency);
        return schedule(now_ + shortDowntime + lateLeaveDelay, [this, index, id = host.incarnation_.executor_] { announceLeave(index, id); });
    case HostFault::StaysWithFormerLeader:
    case HostFault::StaysWithFormerLeaderLong:
        host.leaderKeptUntil_ = now_ + (fault == HostFault::StaysWithFormerLeader ? leaderKept : leaderKeptLong);
        return expectActivityUntil(host.leaderKeptUntil_);
    case HostFault::CutFromLeaders:
        return cutFromLeaders(index, cutLength);
    case HostFault::CutFromLeadersShortly:
        return cutFromLeaders(index, shortCutLength);
    case HostFault::RequestsLost:
        host.requestsLostUntil_ = now_ + oneWayCutLength;
        return expectActivityUntil(host.requestsLostUntil_);
    case HostFault::AnswersLost:
        host.answersLostUntil_ = now_ + oneWayCutLength;
        return expectActivityUntil(host.answersLostUntil_);
    case HostFault::Unavailable:
        host.unavailableUntil_ = now_ + unavailableLength;
        return expectActivityUntil(host.unavailableUntil_);
    }
}

void World::beat(std::size_t index, std::uint64_t executorLife)
{
    Host &host = hosts_[index];
    if (host.executorLife_ != executorLife) {
        return;
    }
    const batch::HeartbeatReceived heartbeat{host.executor_->info(), ++host.heartbeatSequence_, host.executor_->clock(now_)};
    if (now_ >= host.answersLostUntil_) {
        stepAgent(index, {heartbeat});
    }
    schedule(now_ + heartbeatPeriod, [this, index, executorLife] { beat(index, executorLife); });
}

void World::tickExecutor(std::size_t index, std::uint64_t executorLife)
{
    Host &host = hosts_[index];
    if (host.executorLife_ != executorLife) {
        return;
    }
    host.executor_->advance(now_);
    host.ticking_ = checker_.isBusy(host.incarnation_);
    if (host.ticking_) {
        schedule(now_ + executorTick, [this, index, executorLife] { tickExecutor(index, executorLife); });
    }
}

void World::runStarted(std::size_t index, const batch::RunId &run)
{
    Host &host = hosts_[index];
    trace(host.name_, "STARTS", batch::toString(run));
    for (const batch::Submission &job : jobs_) {
        if (job.id_ == run.task_.job_) {
            checker_.runStarted(host.incarnation_, run, job.steps_[run.task_.step_].countedDemand(), orderSentAt_, now_);
        }
    }
    if (run.task_.job_ == scenario_.crashingJob_) {
        schedule(now_ + crashAfterStart, [this, index, life = host.executorLife_] {
            if (hosts_[index].executorLife_ == life) {
                crashExecutor(index, shortDowntime, true, netLatency);
            }
        });
    }
    if (!host.ticking_) {
        host.ticking_ = true;
        schedule(now_ + executorTick, [this, index, life = host.executorLife_] { tickExecutor(index, life); });
    }
}

void World::runEnded(std::size_t index, const batch::Incarnation &incarnation, const batch::RunId &run, batch::EndKind kind)
{
    Host &host = hosts_[index];
    trace(host.name_, "ENDS", batch::toString(run), "kind", static_cast<int>(kind));
    checker_.runEnded(incarnation, run, kind, now_);
    if (host.waitingPoll_) {
        schedule(now_, [this, index, number = host.waitingPoll_->number_] { answerWaitingPoll(index, number); });
    }
}

}
