#include "support/world.h"

#include "core/overloaded.h"

#include <algorithm>
#include <sstream>

namespace bergamotwick::test {

namespace {

constexpr Duration entryTickPeriod = 50ms;
constexpr Duration workerTickPeriod = 50ms;
constexpr Duration callTimeout = 2s;
constexpr Duration activationBound = 6s;

WallTime toWallTime(Instant now)
{
    return WallTime(std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()) + 1'700'000'000s);
}

}

Simulation::Simulation(const SimulationOptions &options)
    : options_(options)
    , random_(options.seed_)
{
    ControlDocument control;
    control.settings_ = settings(options.dataCentres_, options.workers_);
    control.revision_ = 1;
    control.settingsRevision_ = 1;
    (void)store_.call(CompareAndSwap{1, controlKey(), 0, ControlTraits::encode(control), 0}, now_);
    entries_.resize(static_cast<std::size_t>(options.entries_));
    agents_.resize(static_cast<std::size_t>(options.workers_ + options.executors_));
    for (int i = 0; i < options.workers_ + options.executors_; ++i) {
        AgentIdentity &identity = agents_[static_cast<std::size_t>(i)].identity_;
        const bool worker = i < options.workers_;
        identity.kind_ = worker ? AgentKind::Worker : AgentKind::Executor;
        identity.name_ = (worker ? "worker-" : "executor-") + std::to_string(i);
        identity.region_ = RegionId("region");
        identity.dataCentre_ = DataCentreId(dataCentreName(i % options.dataCentres_));
        identity.rack_ = RackId(dataCentreName(i % options.dataCentres_) + "-rack-" + std::to_string(i / options.dataCentres_ / 3));
        if (worker) {
            identity.capacity_ = options.capacity_;
        } else {
            identity.service_ = ServiceId("svc");
            identity.slots_ = options.slots_;
            identity.connections_ = 60;
        }
        startAgent(i);
    }
    for (int i = 0; i < options.entries_; ++i) {
        startEntry(i);
    }
    schedule(now_ + workerTickPeriod, [this] { tickWorkers(); });
}

std::string Simulation::dataCentreName(int index)
{
    return "dc" + std::to_string(index);
}

SettingsTree Simulation::settings(int dataCentres, int workers)
{
    std::ostringstream yaml;
    yaml << "regions:\n  region:\n    datacentres:\n";
    for (int i = 0; i < dataCentres; ++i) {
        yaml << "      " << dataCentreName(i) << ": {workers: " << (workers + dataCentres - 1) / dataCentres
             << ", racks: 1, worker: {cores: 60, memory: 130GB, accelerators: 8}}\n";
    }
    yaml << "workspaces:\n"
            "  jury: {guarantees: {block: {tasks: 1, within: worker, each: {cores: 8, memory: 8GB, accelerators: 8}}}}\n"
            "  school: {guarantees: {half: {tasks: 2, within: datacentre, each: {cores: 4, memory: 4GB, accelerators: 4}}}}\n"
            "  other: {quota: {accelerators: 64}}\n"
            "services:\n"
            "  svc:\n"
            "    classes:\n"
            "      quick: {weight: 4, deadline: 5s}\n"
            "      slow: {weight: 1, deadline: 30s, max-slots-percent: 50}\n";
    SettingsTree tree;
    if (!tree.merge("world.yaml", yaml.str())) {
        std::abort();
    }
    return tree;
}

JobSpec Simulation::jobSpec(const std::string &id, std::int32_t tasks, std::int32_t accelerators, const std::string &payload)
{
    JobSpec spec;
    spec.id_ = JobId(id);
    spec.workspace_ = WorkspaceId("other");
    spec.tasks_ = tasks;
    spec.each_ = {2, 1'000, accelerators};
    spec.payload_ = payload;
    return spec;
}

// Time and processes

void Simulation::schedule(Instant when, Event event)
{
    events_.emplace(when, std::move(event));
}

void Simulation::run(Duration length)
{
    const Instant end = now_ + length;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto next = events_.extract(events_.begin());
        now_ = std::max(now_, next.key());
        next.mapped()();
    }
    now_ = end;
}

void Simulation::runNextEvent()
{
    auto next = events_.extract(events_.begin());
    now_ = std::max(now_, next.key());
    next.mapped()();
}

Duration Simulation::now() const
{
    return now_.time_since_epoch();
}

Instant Simulation::localTime(const Process &process) const
{
    return now_ + process.clockOffset_;
}

bool Simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Duration Simulation::randomLatency()
{
    return Duration(200 + static_cast<std::int64_t>(random_() % 800));
}

/// Executes \p event in \p process. Postpones it while the process is frozen, and drops it if the process is down or has restarted since.
void Simulation::deliver(Process &process, Event event)
{
    if (!process.up_) {
        return;
    }
    if (now_ < process.frozenUntil_) {
        schedule(process.frozenUntil_, [this, &process, incarnation = process.incarnation_, event = std::move(event)] {
            if (process.incarnation_ == incarnation) {
                deliver(process, event);
            }
        });
        return;
    }
    event();
}

// Entries

void Simulation::startEntry(int index)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    if (process.up_) {
        return;
    }
    process.up_ = true;
    ++process.incarnation_;
    process.revision_ = 0;
    process.frozenUntil_ = Instant();
    process.clockOffset_ = Duration(static_cast<std::int64_t>(random_() % 1'000'000'000));
    const EntryIdentity identity{EntryId("entry-" + std::to_string(index)), RegionId("region"), "address-" + std::to_string(index)};
    process.entry_ = std::make_unique<Entry>(options_.entry_, identity, ++lastIncarnation_);
    tickEntry(index, process.incarnation_);
}

void Simulation::tickEntry(int index, std::uint64_t incarnation)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    if (!process.up_ || process.incarnation_ != incarnation) {
        return;
    }
    deliver(process, [this, index] { stepEntry(index, EntryTick{}); });
    if (process.up_ && process.incarnation_ == incarnation && process.entry_->drained()) {
        process.up_ = false;
        return;
    }
    schedule(std::max(now_ + entryTickPeriod, process.frozenUntil_), [this, index, incarnation] { tickEntry(index, incarnation); });
}

void Simulation::stepEntry(int index, const EntryInput &input)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    for (const EntryOutput &output : process.entry_->step(localTime(process), toWallTime(now_), input)) {
        handleOutput(index, output);
    }
}

void Simulation::killEntry(int index)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    process.up_ = false;
    ++process.incarnation_;
}

void Simulation::freezeEntry(int index, Duration length)
{
    entries_[static_cast<std::size_t>(index)].frozenUntil_ = now_ + length;
}

void Simulation::stopEntry(int index)
{
    deliver(entries_[static_cast<std::size_t>(index)], [this, index] { stepEntry(index, StopEntry{}); });
}

void Simulation::handleOutput(int entry, const EntryOutput &output)
{
    std::visit(Overloaded{
                   [&](const StoreCall &call) { callStore(entry, call); },
                   [&](const SendDirective &send) { sendDirective(entry, send.directive_); },
                   [&](const RouterOutput &routed) {
                       if (const auto *send = std::get_if<SendAttempt>(&routed)) {
                           sendAttempt(entry, *send);
                       } else if (const auto *answer = std::get_if<Answer>(&routed)) {
                           checkAnswer(answer->token_, *answer);
                       }
                   },
                   [&](const SchedulerOutput &scheduled) {
                       if (const auto *violated = std::get_if<InvariantViolated>(&scheduled)) {
                           addViolation(std::string("violated invariant ") + toString(violated->invariant_) + " " + violated->subject_);
                       }
                   },
                   [&](const JobAnswered &answered) { jobAnswers_[answered.token_] = answered; },
                   [&](const ControlAnswered &answered) { controlAnswers_[answered.token_] = answered; },
                   [&](const ControlActivated &activated) {
                       EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
                       if (activated.revision_ < process.revision_) {
                           addViolation("an entry returned to an earlier configuration revision");
                       }
                       process.revision_ = activated.revision_;
                   },
                   [&](const BadDocument &bad) { addViolation("malformed document at key " + bad.key_); },
               },
               output);
}

// Store

void Simulation::setStore(StoreMode mode)
{
    storeModeChangedAt_ = now_;
    storeMode_ = mode;
}

void Simulation::expireLeases()
{
    for (std::int64_t lease = 1; lease < 200; ++lease) {
        store_.expireLease(lease);
    }
}

void Simulation::callStore(int entry, const StoreCall &call)
{
    ++storeCalls_;
    const std::uint64_t incarnation = entries_[static_cast<std::size_t>(entry)].incarnation_;
    const CallId id = std::visit([](const auto &any) { return any.call_; }, call);
    const bool mutating = !std::holds_alternative<ReadKey>(call) && !std::holds_alternative<PollKeys>(call);
    const auto fail = [this, entry, incarnation, id](Duration after, StoreErrc code) {
        schedule(now_ + after, [this, entry, incarnation, id, code] {
            EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
            if (process.incarnation_ == incarnation) {
                deliver(process, [this, entry, id, code] { stepEntry(entry, StoreReply(CallFailed{id, code})); });
            }
        });
    };
    switch (storeMode_) {
    case StoreMode::Up:
        schedule(now_ + randomLatency(), [this, entry, incarnation, call] { applyStoreCall(entry, incarnation, call, true); });
        return;
    case StoreMode::Down:
        fail(randomLatency(), StoreErrc::Unavailable);
        return;
    case StoreMode::Slow: {
        const Duration delay(static_cast<std::int64_t>(random_() % 4'000'000));
        schedule(now_ + delay, [this, entry, incarnation, call, delay] { applyStoreCall(entry, incarnation, call, delay < callTimeout); });
        if (delay >= callTimeout) {
            fail(callTimeout, mutating ? StoreErrc::Ambiguous : StoreErrc::Unavailable);
        }
        return;
    }
    case StoreMode::LosesReplies: {
        const bool lost = chance(0.5);
        const bool applied = !lost || chance(0.5);
        if (applied) {
            schedule(now_ + randomLatency(), [this, entry, incarnation, call, lost] { applyStoreCall(entry, incarnation, call, !lost); });
        }
        if (lost) {
            fail(callTimeout, mutating ? StoreErrc::Ambiguous : StoreErrc::Unavailable);
        }
        return;
    }
    }
}

void Simulation::applyStoreCall(int entry, std::uint64_t incarnation, const StoreCall &call, bool answered)
{
    StoreCall effective = call;
    if (auto *swap = std::get_if<CompareAndSwap>(&effective); swap && options_.unconditionalSwap_ && swap->key_ != controlKey()) {
        const StoreReply current = store_.call(ReadKey{0, swap->key_}, now_);
        const auto &found = std::get<KeyRead>(current).found_;
        swap->expected_ = found ? found->modRevision_ : 0;
    }
    const StoreReply reply = store_.call(effective, now_);
    if (const auto *swap = std::get_if<CompareAndSwap>(&call); swap && swap->key_ == controlKey() && std::get<SwapCompleted>(reply).succeeded_) {
        recordControlWrite(swap->value_);
    }
    if (!answered) {
        return;
    }
    schedule(now_ + randomLatency(), [this, entry, incarnation, reply] {
        EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
        if (process.incarnation_ == incarnation) {
            deliver(process, [this, entry, reply] { stepEntry(entry, reply); });
        }
    });
}

void Simulation::recordControlWrite(const std::string &text)
{
    auto decoded = ControlTraits::decode(text);
    if (!decoded) {
        addViolation("control document cannot be decoded");
        return;
    }
    const ControlDocument &control = *decoded;
    if (control.revision_ <= lastWrittenRevision_) {
        addViolation("revision of the control document did not increase");
    }
    lastWrittenRevision_ = control.revision_;
    std::erase_if(outOfServiceSince_, [&control](const auto &item) { return !control.outOfService_.contains(DataCentreId(item.first)); });
    for (const DataCentreId &dataCentre : control.outOfService_) {
        outOfServiceSince_.emplace(dataCentre.str(), now_);
    }
    schedule(now_ + activationBound, [this, revision = control.revision_, writtenAt = now_] { checkRevisionActive(revision, writtenAt); });
}

// Network

void Simulation::sendDirective(int entry, const Directive &directive)
{
    const int index = agentIndex(directive.agent_);
    const int copies = chance(options_.lossRate_) ? 0 : chance(options_.duplicationRate_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Duration delay = chance(options_.delayRate_) ? Duration(static_cast<std::int64_t>(random_() % 3'000'000)) : randomLatency();
        schedule(now_ + delay, [this, entry, index, directive] {
            AgentProcess &agent = agents_[static_cast<std::size_t>(index)];
            if (now_ >= agent.disconnectedUntil_) {
                deliver(agent, [this, entry, index, directive] { stepAgent(index, DirectiveReceived{static_cast<std::size_t>(entry), directive}); });
            }
        });
    }
}

void Simulation::sendReport(int agent, const SendReport &send)
{
    if (now_ < agents_[static_cast<std::size_t>(agent)].disconnectedUntil_ || chance(options_.lossRate_)) {
        return;
    }
    const int copies = chance(options_.duplicationRate_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Duration delay = chance(options_.delayRate_) ? Duration(static_cast<std::int64_t>(random_() % 3'000'000)) : randomLatency();
        schedule(now_ + delay, [this, send] {
            const int entry = static_cast<int>(send.target_);
            deliver(entries_[send.target_], [this, entry, send] { stepEntry(entry, AgentReported{send.report_}); });
        });
    }
}

void Simulation::sendAttempt(int entry, const SendAttempt &send)
{
    const int index = agentIndex(send.executor_.str());
    const std::uint64_t incarnation = entries_[static_cast<std::size_t>(entry)].incarnation_;
    schedule(now_ + randomLatency(), [this, entry, index, incarnation, send] {
        AgentProcess &agent = agents_[static_cast<std::size_t>(index)];
        EntryProcess &sender = entries_[static_cast<std::size_t>(entry)];
        if (!agent.up_) {
            if (sender.incarnation_ == incarnation) {
                deliver(sender, [this, entry, send] { stepEntry(entry, RouterInput(AttemptUnsent{send.executor_, send.attempt_.id_})); });
            }
            return;
        }
        if (now_ < agent.disconnectedUntil_) {
            schedule(now_ + 1s, [this, entry, incarnation, send] {
                EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
                if (process.incarnation_ == incarnation) {
                    deliver(process, [this, entry, send] { stepEntry(entry, RouterInput(ConnectionLost{send.executor_})); });
                }
            });
            return;
        }
        deliver(agent, [this, entry, index, send] {
            agents_[static_cast<std::size_t>(index)].attemptEntries_[send.attempt_.id_] = entry;
            stepAgent(index, AttemptReceived{static_cast<ConnectionId>(entry) + 1, send.attempt_});
        });
    });
}

}
