#include "support/world.h"

#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick::test {

namespace {

constexpr Duration agentTickPeriod = 100ms;
constexpr Duration workerTickPeriod = 50ms;
constexpr Duration drainBound = 5s;

Duration taskDuration(const std::string &payload)
{
    return std::chrono::seconds(std::max(1, std::atoi(payload.c_str())));
}

}

// Agents

int Simulation::agentIndex(const std::string &name) const
{
    return std::atoi(name.substr(name.find('-') + 1).c_str());
}

void Simulation::startAgent(int index)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(index)];
    if (process.up_) {
        return;
    }
    process.up_ = true;
    ++process.incarnation_;
    process.frozenUntil_ = Instant();
    process.drainStartedAt_ = Instant();
    process.killedAt_ = Instant();
    process.clockOffset_ = Duration(static_cast<std::int64_t>(random_() % 1'000'000'000));
    process.agent_ = std::make_unique<Agent>(options_.agent_, process.identity_, ++lastIncarnation_, entries_.size());
    tickAgent(index, process.incarnation_);
}

void Simulation::tickAgent(int index, std::uint64_t incarnation)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(index)];
    if (!process.up_ || process.incarnation_ != incarnation) {
        return;
    }
    deliver(process, [this, index] {
        AgentProcess &agent = agents_[static_cast<std::size_t>(index)];
        if (agent.identity_.kind_ == AgentKind::Worker) {
            WorkerTasksListed listed;
            for (const auto &[job, tasks] : agent.tasks_) {
                listed.tasks_.push_back({{job, tasks.generation_, tasks.tasks_, tasks.phase_}, tasks.taskDemand_});
            }
            stepAgent(index, listed);
        }
        stepAgent(index, AgentTick{});
    });
    if (process.agent_->drained()) {
        process.up_ = false;
        return;
    }
    schedule(std::max(now_ + agentTickPeriod, process.frozenUntil_), [this, index, incarnation] { tickAgent(index, incarnation); });
}

void Simulation::stepAgent(int index, const AgentInput &input)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(index)];
    const AgentOutputs outputs = process.agent_->step(localTime(process), input);
    for (const auto &[job, member] : process.agent_->state().members_) {
        if (member.phase_ == MemberPhase::Prepared) {
            prepared_[job][member.generation_].insert(process.identity_.name_);
        }
    }
    for (const AgentOutput &output : outputs) {
        handleOutput(index, output);
    }
}

void Simulation::killAgent(int index)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(index)];
    if (!process.up_) {
        return;
    }
    process.up_ = false;
    ++process.incarnation_;
    process.killedAt_ = now_;
    process.busySlots_ = 0;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        const ExecutorId executor(process.identity_.name_);
        if (process.identity_.kind_ == AgentKind::Executor) {
            deliver(entries_[entry], [this, entry, executor] { stepEntry(static_cast<int>(entry), RouterInput(ConnectionLost{executor})); });
        }
    }
}

void Simulation::killWorkerHost(int index)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(index)];
    for (auto &[job, tasks] : process.tasks_) {
        endTasks(process, job, tasks, MemberPhase::Absent);
    }
    process.tasks_.clear();
    killAgent(index);
}

void Simulation::freezeAgent(int index, Duration length)
{
    agents_[static_cast<std::size_t>(index)].frozenUntil_ = now_ + length;
}

void Simulation::disconnectAgent(int index, Duration length)
{
    agents_[static_cast<std::size_t>(index)].disconnectedUntil_ = now_ + length;
}

void Simulation::drainAgent(int index)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(index)];
    deliver(process, [this, index, &process] {
        process.drainStartedAt_ = now_;
        stepAgent(index, BeginDrain{});
    });
}

void Simulation::failTasksOn(int index, bool fails)
{
    agents_[static_cast<std::size_t>(index)].failsTasks_ = fails;
}

void Simulation::handleOutput(int agent, const AgentOutput &output)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(agent)];
    std::visit(Overloaded{
                   [&](const SendReport &send) { sendReport(agent, send); },
                   [&](const StartTasks &start) { startTasks(agent, start); },
                   [&](const RenewTasks &renew) {
                       const auto tasks = process.tasks_.find(renew.job_);
                       if (tasks != process.tasks_.end() && tasks->second.generation_ == renew.generation_) {
                           tasks->second.leaseExpiresAt_ = now_ + renew.lease_;
                       }
                   },
                   [&](const StopTasks &stop) {
                       const auto tasks = process.tasks_.find(stop.job_);
                       if (tasks != process.tasks_.end() && tasks->second.generation_ == stop.generation_) {
                           schedule(now_ + 200ms, [this, agent, stop] {
                               auto &workerTasks = agents_[static_cast<std::size_t>(agent)].tasks_;
                               const auto found = workerTasks.find(stop.job_);
                               if (found != workerTasks.end() && found->second.generation_ == stop.generation_) {
                                   endTasks(agents_[static_cast<std::size_t>(agent)], stop.job_, found->second, MemberPhase::Absent);
                               }
                           });
                       }
                   },
                   [&](const RunAttempt &run) { runAttempt(agent, run); },
                   [&](const ReplyAttempt &reply) {
                       const auto from = process.attemptEntries_.find(reply.reply_.id_);
                       const int entry = from == process.attemptEntries_.end() ? static_cast<int>(reply.connection_) - 1 : from->second;
                       const ExecutorId executor(process.identity_.name_);
                       const int copies = chance(options_.duplicationRate_) ? 2 : 1;
                       for (int i = 0; i < copies; ++i) {
                           schedule(now_ + randomLatency(), [this, entry, executor, reply] {
                               deliver(entries_[static_cast<std::size_t>(entry)], [this, entry, executor, reply] {
                                   stepEntry(entry, RouterInput(AttemptEnded{executor, reply.reply_}));
                               });
                           });
                       }
                   },
                   [&](const OrderRefused &) { ++refusedOrders_; },
               },
               output);
}

void Simulation::startTasks(int agent, const StartTasks &start)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(agent)];
    schedule(now_ + randomLatency(), [this, agent, start, incarnation = process.incarnation_] {
        AgentProcess &caller = agents_[static_cast<std::size_t>(agent)];
        if (caller.incarnation_ != incarnation) {
            return;
        }
        deliver(caller, [this, agent, start] {
            AgentProcess &worker = agents_[static_cast<std::size_t>(agent)];
            if (localTime(worker) >= start.startDeadline_) {
                stepAgent(agent, MemberEvent{start.job_, start.generation_, MemberEventKind::Failed});
                return;
            }
            checkStart(worker, start);
            worker.tasks_[start.job_]
                = {start.generation_, start.tasks_, start.taskDemand_, MemberPhase::Running, now_ + taskDuration(start.payload_), now_ + start.lease_};
        });
    });
}

void Simulation::endTasks(AgentProcess &agent, const JobId &job, RunningTasks &tasks, MemberPhase phase)
{
    if (tasks.phase_ != MemberPhase::Running) {
        return;
    }
    tasks.phase_ = phase;
    tasks.endsAt_ = now_;
    if (phase != MemberPhase::Finished) {
        gangs_[job][tasks.generation_].endedEarly_[agent.identity_.name_] = now_;
    }
}

void Simulation::tickWorkers()
{
    for (AgentProcess &agent : agents_) {
        for (auto &[job, tasks] : agent.tasks_) {
            if (tasks.phase_ == MemberPhase::Running && now_ >= tasks.leaseExpiresAt_) {
                endTasks(agent, job, tasks, MemberPhase::Absent);
            } else if (tasks.phase_ == MemberPhase::Running && now_ >= tasks.endsAt_) {
                endTasks(agent, job, tasks, agent.failsTasks_ ? MemberPhase::Failed : MemberPhase::Finished);
            }
        }
        std::erase_if(agent.tasks_, [this](const auto &item) { return item.second.phase_ != MemberPhase::Running && now_ - item.second.endsAt_ > 60s; });
    }
    checkRunning();
    schedule(now_ + workerTickPeriod, [this] { tickWorkers(); });
}

void Simulation::runAttempt(int agent, const RunAttempt &run)
{
    AgentProcess &process = agents_[static_cast<std::size_t>(agent)];
    const std::uint64_t token = std::strtoull(run.attempt_.body_.c_str(), nullptr, 10);
    const Request &request = requests_.at(token);
    ++runs_[token];
    if (!request.repeatable_ && ++keyRuns_[request.key_] > 1) {
        addViolation("request with key " + request.key_ + " ran more than once");
    }
    if (process.drainStartedAt_ != Instant() && now_ - process.drainStartedAt_ > drainBound) {
        addViolation("attempt started at an endpoint after its drain period");
    }
    if (++process.busySlots_ > options_.slots_) {
        addViolation("more attempts than slots at " + process.identity_.name_);
    }
    const Duration delay = options_.serviceTime_ / 2 + Duration(static_cast<std::int64_t>(random_()) & 0x7FFF);
    schedule(now_ + delay, [this, agent, run, incarnation = process.incarnation_] {
        AgentProcess &executor = agents_[static_cast<std::size_t>(agent)];
        if (executor.incarnation_ != incarnation) {
            return;
        }
        --executor.busySlots_;
        deliver(executor, [this, agent, run] {
            stepAgent(agent, AttemptCompleted{run.attempt_.id_, EndpointResult::Answered, 200, "answer to " + run.attempt_.body_});
        });
    });
}

// Load

std::uint64_t Simulation::submit(int entry, const JobSpec &spec)
{
    const std::uint64_t token = ++lastToken_;
    submissions_[token] = spec;
    deliver(entries_[static_cast<std::size_t>(entry)], [this, entry, token, spec] { stepEntry(entry, SubmitJob{token, spec}); });
    return token;
}

void Simulation::cancel(int entry, const JobId &job)
{
    const std::uint64_t token = ++lastToken_;
    deliver(entries_[static_cast<std::size_t>(entry)], [this, entry, token, job] { stepEntry(entry, CancelJob{token, job}); });
}

std::uint64_t Simulation::request(int entry, const std::string &className, bool repeatable, const std::string &key, Duration timeout)
{
    const std::uint64_t token = ++lastToken_;
    Request request;
    request.token_ = token;
    request.service_ = ServiceId("svc");
    request.class_ = ClassId(className);
    request.workspace_ = WorkspaceId("other");
    request.group_ = GroupId("town-" + std::to_string(token % 3));
    request.repeatable_ = repeatable;
    request.key_ = key;
    request.path_ = key;
    request.body_ = std::to_string(token);
    request.timeout_ = timeout;
    requests_[token] = request;
    requestEntry_[token] = entry;
    deliver(entries_[static_cast<std::size_t>(entry)], [this, entry, request] { stepEntry(entry, RouterInput(RequestArrived{request})); });
    return token;
}

std::uint64_t Simulation::setInService(int entry, const std::string &dataCentre, bool inService)
{
    const std::uint64_t token = ++lastToken_;
    const ChangeControl change{token, OperationId("op-" + std::to_string(token)), SetInService{DataCentreId(dataCentre), inService}};
    deliver(entries_[static_cast<std::size_t>(entry)], [this, entry, change] { stepEntry(entry, change); });
    return token;
}

std::uint64_t Simulation::apply(int entry, std::uint64_t base, const SettingsTree &settings, const std::string &operation)
{
    const std::uint64_t token = ++lastToken_;
    const ChangeControl change{token, OperationId(operation), ApplySettings{base, settings}};
    deliver(entries_[static_cast<std::size_t>(entry)], [this, entry, change] { stepEntry(entry, change); });
    return token;
}

}
