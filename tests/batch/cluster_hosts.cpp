#include "batch/cluster_impl.h"

#include <cstdlib>
#include <iostream>

namespace bergamotwick::test {

namespace {

/// A machine counts as in touch again this long after a fault.
constexpr milliseconds contactTime{3'000};

/// The clock of an agent since boot when it starts after a reboot.
constexpr milliseconds bootDuration{10'000};

constexpr milliseconds agentRestartTime{200};

}

void Cluster::Impl::addHost(std::size_t index)
{
    Host host;
    host.name_ = "host-" + std::to_string(index);
    host.agent_ = std::make_unique<batch::AgentCore>(host.name_, stopDuration);
    hosts_.push_back(std::move(host));
    startExecutor(index, false);
    pollContinuously(index, 0);
}

RunObserver Cluster::Impl::observer(std::size_t index)
{
    return {[this, index](const auto &incarnation, const auto &run, const auto &checkpoint) {
                trace(incarnation.executor_.str(), "began", {{"run", batch::toString(run)}, {"late", lateCallAt_ ? "yes" : "no"}});
                judge_.began(incarnation, run, checkpoint, {now_, lateCallAt_, hosts_[index].outOfTouchUntil_ <= now_});
                scheduleCrash(index, incarnation, run);
            },
            [this](const auto &incarnation, const auto &run, batch::EndKind kind) {
                trace(incarnation.executor_.str(), "ended", {{"run", batch::toString(run)}, {"kind", std::to_string(static_cast<int>(kind))}});
                judge_.ended(incarnation, run, kind);
            },
            [this](const auto &incarnation, const batch::EndedRun &end) {
                trace(incarnation.executor_.str(), "acknowledged", {{"run", batch::toString(end.run_)}});
                judge_.acknowledged(incarnation, end);
            },
            [this](const auto &incarnation) {
                trace(incarnation.executor_.str(), "lease-lapsed", {});
                judge_.leaseLapsed(incarnation);
            }};
}

void Cluster::Impl::startExecutor(std::size_t index, bool sameName)
{
    Host &host = hosts_[index];
    host.executorNameCount_ += sameName ? 0 : 1;
    host.lastStartTimeMs_ = std::max<std::int64_t>(host.lastStartTimeMs_ + 100, (calendar().time_since_epoch() - host.clockSetBack_).count());
    batch::ExecutorInfo info;
    info.incarnation_ = {ExecutorId("x" + std::to_string(index) + "-" + std::to_string(host.executorNameCount_)), host.lastStartTimeMs_, host.name_};
    info.service_ = ServiceId("service");
    info.dataCentre_ = DataCentreId("dc-" + std::to_string(index % 3));
    info.capacity_ = host.capacity_;
    info.labels_ = {"kind", "rack-" + std::to_string(index / 3)};
    trace(info.incarnation_.executor_.str(), "up", {{"born", std::to_string(info.incarnation_.startTimeMs_)}});
    judgeNewExecutor(host, info);
    host.draining_ = false;
    host.executorDown_ = false;
    host.executor_ = std::make_unique<ExecutorStandIn>(info, now_, stopDuration, observer(index));
    if (disabledProtections_.fencing_) {
        host.executor_->disableFencing();
    }
    carryOutCallsAtBirth(index);
    const auto longestDelay = static_cast<int>(faults_->firstHeartbeatDelay_.count());
    schedule(now_ + netLatency + randomDelay(0, longestDelay), [this, index] { sendHeartbeat(index); });
}

/// A room that has shrunk counts a grace period later; rooms stay with the machine, so that this also holds for an executor that starts
/// meanwhile.
void Cluster::Impl::judgeNewExecutor(const Host &host, const batch::ExecutorInfo &info)
{
    batch::ExecutorInfo initial = info;
    initial.capacity_ = executorCapacity;
    judge_.executorUp(initial, now_);
    if (info.capacity_ != initial.capacity_) {
        judge_.capacityChanged(info.incarnation_, info.capacity_, host.shrunkAt_);
    }
}

void Cluster::Impl::advanceExecutors()
{
    for (Host &host : hosts_) {
        if (!host.executorDown_) {
            host.executor_->advance(now_);
        }
    }
}

void Cluster::Impl::scheduleCrash(std::size_t index, const batch::Incarnation &incarnation, const batch::RunId &run)
{
    const auto found = crashing_.find(run.task_.job_);
    if (found == crashing_.end() || found->second.index_.value_or(run.task_.index_) != run.task_.index_ || !crashScheduled_.insert(incarnation).second) {
        return;
    }
    schedule(now_ + found->second.after_, [this, index, incarnation, crash = found->second] {
        if (hosts_[index].executor_->info().incarnation_ == incarnation && !hosts_[index].executorDown_) {
            ++crashes_;
            crashExecutor(index, crash);
        }
    });
}

void Cluster::Impl::crashExecutor(std::size_t index, const CrashingTask &crash)
{
    advanceExecutors();
    Host &host = hosts_[index];
    trace(host.executor_->info().incarnation_.executor_.str(), "crashed", {});
    judge_.executorCrashed(host.executor_->info().incarnation_);
    host.executorDown_ = true;
    host.silent_ = crash.silent_;
    scheduleNextExecutor(index, crash.downtime_, crash.sameName_);
    if (crash.restartsAgent_) {
        startAgent(index, agentRestartTime);
    }
    if (crash.leaderGap_) {
        replaceLeader(*crash.leaderGap_, false);
    }
}

void Cluster::Impl::scheduleNextExecutor(std::size_t index, Duration downtime, bool sameName)
{
    schedule(now_ + downtime, [this, index, sameName, incarnation = hosts_[index].executor_->info().incarnation_] {
        if (hosts_[index].executor_->info().incarnation_ == incarnation) {
            startExecutor(index, sameName);
        }
    });
}

void Cluster::Impl::leave(std::size_t index, const Departure &departure)
{
    const batch::Incarnation incarnation = hosts_[index].executor_->info().incarnation_;
    schedule(now_ + departure.messageDelay_, [this, index, incarnation] {
        stepAgent(index, {batch::ExecutorLeft{incarnation.executor_, incarnation.startTimeMs_}});
    });
    schedule(now_ + departure.runsOn_, [this, index, incarnation, departure] {
        Host &host = hosts_[index];
        if (host.executor_->info().incarnation_ != incarnation || host.executorDown_) {
            return;
        }
        advanceExecutors();
        trace(incarnation.executor_.str(), "left", {});
        judge_.executorDown(incarnation);
        host.executorDown_ = true;
        host.silent_ = false;
        scheduleNextExecutor(index, departure.downtime_, departure.sameName_);
    });
}

void Cluster::Impl::changeCapacity(std::size_t index, batch::ResourceVector capacity)
{
    ExecutorStandIn &executor = *hosts_[index].executor_;
    trace(executor.info().incarnation_.executor_.str(), "capacity", {{"cpu", std::to_string(capacity.cpuMilli_)}});
    executor.setCapacity(capacity);
    judge_.capacityChanged(executor.info().incarnation_, capacity, now_);
}

void Cluster::Impl::shrink(std::size_t index, double factor, Duration length)
{
    const auto scaled = [factor](std::int64_t amount) { return static_cast<std::int64_t>(static_cast<double>(amount) * factor); };
    const batch::ResourceVector full = executorCapacity;
    Host &host = hosts_[index];
    host.capacity_ = {scaled(full.cpuMilli_), scaled(full.memoryMb_), scaled(full.accelerators_)};
    host.shrunkAt_ = now_;
    changeCapacity(index, host.capacity_);
    schedule(now_ + length, [this, index, shrinks = ++host.shrinks_] {
        if (hosts_[index].shrinks_ == shrinks) {
            hosts_[index].capacity_ = executorCapacity;
            changeCapacity(index, executorCapacity);
        }
    });
}

void Cluster::Impl::startAgent(std::size_t index, Duration connectionDelay)
{
    stopAgent(index);
    Host &host = hosts_[index];
    host.agentDown_ = false;
    host.agent_ = std::make_unique<batch::AgentCore>(host.name_, stopDuration);
    trace(host.name_, "agent-started", {});
    schedule(now_ + connectionDelay, [this, index] { connectAgent(index, leaders_.size() - 1); });
    pollContinuously(index, host.agentIncarnation_);
}

void Cluster::Impl::stopAgent(std::size_t index)
{
    Host &host = hosts_[index];
    ++host.agentIncarnation_;
    host.agentDown_ = true;
    host.connected_ = false;
    host.waitingCalls_.clear();
    host.waitingInputs_.clear();
    host.busyThreads_ = 0;
    host.frozenUntil_ = Instant();
}

void Cluster::Impl::freezeAgent(std::size_t index, Duration length)
{
    Host &host = hosts_[index];
    host.frozenUntil_ = std::max(host.frozenUntil_, now_ + length);
    schedule(host.frozenUntil_, [this, index] {
        if (hosts_[index].frozenUntil_ <= now_) {
            stepAgent(index, std::exchange(hosts_[index].waitingInputs_, {}));
            sendWaitingCalls(index);
        }
    });
}

void Cluster::Impl::reboot(std::size_t index, Duration downtime, bool sameName)
{
    if (!hosts_[index].executorDown_) {
        crashExecutor(index, {.downtime_ = std::chrono::duration_cast<milliseconds>(downtime), .sameName_ = sameName, .silent_ = true});
    }
    stopAgent(index);
    schedule(now_ + downtime, [this, index] {
        hosts_[index].bootedAt_ = now_ - bootDuration;
        startAgent(index, agentRestartTime);
    });
}

void Cluster::Impl::disturb(std::size_t index, Duration length)
{
    hosts_[index].outOfTouchUntil_ = std::max(hosts_[index].outOfTouchUntil_, now_ + length + contactTime);
}

Instant Cluster::Impl::agentTime(const Host &host) const
{
    return Instant(now_ - host.bootedAt_);
}

void Cluster::Impl::sendHeartbeat(std::size_t index)
{
    Host &host = hosts_[index];
    batch::HeartbeatReceived heartbeat{host.executor_->info(), ++host.heartbeatSequence_, host.executor_->clock(now_)};
    heartbeat.executor_.draining_ = host.draining_;
    heartbeat.executor_.remaining_ = host.remaining_;
    if (host.executorDisconnectedUntil_ > now_ || host.executorDown_ || has(host, CallFault::AnswersLost)) {
        return;
    }
    if (chance(faults_->delayedHeartbeatRate_)) {
        schedule(now_ + randomDelay(500, 8'000), [this, index, heartbeat] { stepAgent(index, {heartbeat}); });
    } else {
        stepAgent(index, {heartbeat});
    }
}

void Cluster::Impl::stepAgent(std::size_t index, std::vector<batch::AgentInput> inputs)
{
    Host &host = hosts_[index];
    if (host.agentDown_) {
        return;
    }
    if (host.frozenUntil_ > now_) {
        std::move(inputs.begin(), inputs.end(), std::back_inserter(host.waitingInputs_));
        return;
    }
    for (batch::AgentOutput &output : host.agent_->step(agentTime(host), inputs)) {
        if (auto *start = std::get_if<batch::CallStart>(&output)) {
            enqueueCall(index, std::move(*start));
        } else if (auto *stop = std::get_if<batch::CallStop>(&output)) {
            enqueueCall(index, std::move(*stop));
        } else if (auto *poll = std::get_if<batch::PollCall>(&output)) {
            enqueueCall(index, std::move(*poll));
        } else if (auto *report = std::get_if<batch::Report>(&output)) {
            sendReport(index, std::move(*report));
        } else if (const auto *logEvent = std::get_if<batch::LogEvent>(&output)) {
            trace(host.name_, logEvent->event_, logEvent->fields_);
        }
    }
}

void Cluster::Impl::trace(const std::string &source, const std::string &event, const std::vector<std::pair<std::string, std::string>> &fields) const
{
    if (std::getenv("CLUSTER_TRACE") == nullptr) {
        return;
    }
    std::cerr << std::chrono::duration_cast<milliseconds>(now_ - simulationStart).count() << " " << source << " " << event;
    for (const auto &[key, value] : fields) {
        std::cerr << " " << key << "=" << value;
    }
    std::cerr << "\n";
}

void Cluster::Impl::sendReport(std::size_t index, batch::Report report)
{
    Host &host = hosts_[index];
    const bool outOfTouch = std::max(host.agentDisconnectedUntil_, host.executorDisconnectedUntil_) > now_;
    if (disabledProtections_.reassignmentDelay_ && outOfTouch) {
        report = withRunsEnded(std::move(report));
    } else if (!host.connected_ || host.agentDisconnectedUntil_ > now_) {
        return;
    }
    const Duration delay = host.leaderDelayedUntil_ > now_ ? host.leaderDelay_ : Duration(0);
    host.lastReportArrival_ = std::max(host.lastReportArrival_, now_ + netLatency + delay);
    schedule(host.lastReportArrival_, [this, leaderIndex = host.leaderIndex_, report = std::move(report)]() mutable {
        std::vector<batch::LeaderInput> inputs;
        inputs.emplace_back(std::move(report));
        stepLeader(leaderIndex, std::move(inputs));
    });
}

batch::Report Cluster::Impl::withRunsEnded(batch::Report report)
{
    for (const batch::RunningTask &task : report.running_) {
        report.settled_.push_back({task.run_, batch::OrderOutcome::StopConfirmed});
    }
    report.running_.clear();
    report.responsive_ = false; // it gets no more work
    return report;
}

void Cluster::Impl::sendDirective(const batch::SendDirective &directive)
{
    const auto host = std::find_if(hosts_.begin(), hosts_.end(), [&directive](const Host &any) { return any.name_ == directive.agent_; });
    const Duration delay = host->leaderDelayedUntil_ > now_ ? host->leaderDelay_ : Duration(0);
    host->lastDirectiveArrival_ = std::max(host->lastDirectiveArrival_, now_ + netLatency + delay);
    schedule(host->lastDirectiveArrival_, [this, index = static_cast<std::size_t>(host - hosts_.begin()), directive] {
        if (hosts_[index].agentDisconnectedUntil_ <= now_) {
            stepAgent(index, {directive.directive_});
        }
    });
}

}
