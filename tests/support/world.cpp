#include "support/world.h"

#include "core/overloaded.h"

#include <algorithm>
#include <sstream>

namespace bergamotwick::test {

namespace {

constexpr Duration entryTick = 50ms;
constexpr Duration workerTick = 50ms;
constexpr Duration callTimeout = 2s;
constexpr Duration inForceBound = 6s;

WallTime wallOf(Instant now)
{
    return WallTime(std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()) + 1'700'000'000s);
}

}

World::World(const WorldOptions &options)
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
    at(now_ + workerTick, [this] { tickWorkers(); });
}

std::string World::dataCentreName(int index)
{
    return "dc" + std::to_string(index);
}

SettingsTree World::settings(int dataCentres, int workers)
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

JobSpec World::jobSpec(const std::string &id, std::int32_t tasks, std::int32_t accelerators, const std::string &payload)
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

void World::at(Instant when, Event event)
{
    events_.emplace(when, std::move(event));
}

void World::run(Duration length)
{
    const Instant end = now_ + length;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto next = events_.extract(events_.begin());
        now_ = std::max(now_, next.key());
        next.mapped()();
    }
    now_ = end;
}

void World::runOne()
{
    auto next = events_.extract(events_.begin());
    now_ = std::max(now_, next.key());
    next.mapped()();
}

Duration World::now() const
{
    return now_.time_since_epoch();
}

Instant World::local(const Process &process) const
{
    return now_ + process.clockOffset_;
}

bool World::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

Duration World::latency()
{
    return Duration(200 + static_cast<std::int64_t>(random_() % 800));
}

/// Runs \p event inside \p process: dropped if that run of it is over, kept back while it is frozen.
void World::deliver(Process &process, Event event)
{
    if (!process.up_) {
        return;
    }
    if (now_ < process.frozenUntil_) {
        at(process.frozenUntil_, [this, &process, run = process.run_, event = std::move(event)] {
            if (process.run_ == run) {
                deliver(process, event);
            }
        });
        return;
    }
    event();
}

// Entries

void World::startEntry(int index)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    if (process.up_) {
        return;
    }
    process.up_ = true;
    ++process.run_;
    process.revision_ = 0;
    process.frozenUntil_ = Instant();
    process.clockOffset_ = Duration(static_cast<std::int64_t>(random_() % 1'000'000'000));
    const EntryIdentity identity{EntryId("entry-" + std::to_string(index)), RegionId("region"), "address-" + std::to_string(index)};
    process.entry_ = std::make_unique<Entry>(options_.entry_, identity, ++lastIncarnation_);
    tickEntry(index, process.run_);
}

void World::tickEntry(int index, std::uint64_t run)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    if (!process.up_ || process.run_ != run) {
        return;
    }
    deliver(process, [this, index] { stepEntry(index, EntryTick{}); });
    if (process.up_ && process.run_ == run && process.entry_->drained()) {
        process.up_ = false;
        return;
    }
    at(std::max(now_ + entryTick, process.frozenUntil_), [this, index, run] { tickEntry(index, run); });
}

void World::stepEntry(int index, const EntryInput &input)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    for (const EntryOutput &output : process.entry_->step(local(process), wallOf(now_), input)) {
        carryOut(index, output);
    }
}

void World::killEntry(int index)
{
    EntryProcess &process = entries_[static_cast<std::size_t>(index)];
    process.up_ = false;
    ++process.run_;
}

void World::freezeEntry(int index, Duration length)
{
    entries_[static_cast<std::size_t>(index)].frozenUntil_ = now_ + length;
}

void World::stopEntry(int index)
{
    deliver(entries_[static_cast<std::size_t>(index)], [this, index] { stepEntry(index, StopEntry{}); });
}

void World::carryOut(int entry, const EntryOutput &output)
{
    std::visit(Overloaded{
                   [&](const StoreCall &call) { callStore(entry, call); },
                   [&](const SendDirective &send) { sendDirective(entry, send.directive_); },
                   [&](const RouterOutput &routed) {
                       if (const auto *send = std::get_if<SendAttempt>(&routed)) {
                           sendAttempt(entry, *send);
                       } else if (const auto *answer = std::get_if<Answer>(&routed)) {
                           judgeAnswer(answer->token_, *answer);
                       }
                   },
                   [&](const SchedulerOutput &scheduled) {
                       if (const auto *broken = std::get_if<InvariantViolated>(&scheduled)) {
                           breach(std::string("invariant ") + toString(broken->invariant_) + " " + broken->subject_);
                       }
                   },
                   [&](const JobAnswered &answered) { jobAnswers_[answered.token_] = answered; },
                   [&](const ControlAnswered &answered) { controlAnswers_[answered.token_] = answered; },
                   [&](const ControlActivated &inForce) {
                       EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
                       if (inForce.revision_ < process.revision_) {
                           breach("configuration reverted");
                       }
                       process.revision_ = inForce.revision_;
                   },
                   [&](const BadDocument &bad) { breach("bad document " + bad.key_); },
               },
               output);
}

// Store

void World::setStore(StoreMode mode)
{
    storeTroubleAt_ = now_;
    storeMode_ = mode;
}

void World::lapseLeases()
{
    for (std::int64_t lease = 1; lease < 200; ++lease) {
        store_.expireLease(lease);
    }
}

void World::callStore(int entry, const StoreCall &call)
{
    ++storeCalls_;
    const std::uint64_t run = entries_[static_cast<std::size_t>(entry)].run_;
    const CallId id = std::visit([](const auto &any) { return any.call_; }, call);
    const bool changes = !std::holds_alternative<ReadKey>(call) && !std::holds_alternative<PollKeys>(call);
    const auto fail = [this, entry, run, id](Duration after, StoreErrc code) {
        at(now_ + after, [this, entry, run, id, code] {
            EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
            if (process.run_ == run) {
                deliver(process, [this, entry, id, code] { stepEntry(entry, StoreReply(CallFailed{id, code})); });
            }
        });
    };
    switch (storeMode_) {
    case StoreMode::Up:
        at(now_ + latency(), [this, entry, run, call] { applyStore(entry, run, call, true); });
        return;
    case StoreMode::Down:
        fail(latency(), StoreErrc::Unavailable);
        return;
    case StoreMode::Slow: {
        const Duration takes(static_cast<std::int64_t>(random_() % 4'000'000));
        at(now_ + takes, [this, entry, run, call, takes] { applyStore(entry, run, call, takes < callTimeout); });
        if (takes >= callTimeout) {
            fail(callTimeout, changes ? StoreErrc::Ambiguous : StoreErrc::Unavailable);
        }
        return;
    }
    case StoreMode::LosesReplies: {
        const bool lost = chance(0.5);
        const bool applied = !lost || chance(0.5);
        if (applied) {
            at(now_ + latency(), [this, entry, run, call, lost] { applyStore(entry, run, call, !lost); });
        }
        if (lost) {
            fail(callTimeout, changes ? StoreErrc::Ambiguous : StoreErrc::Unavailable);
        }
        return;
    }
    }
}

void World::applyStore(int entry, std::uint64_t run, const StoreCall &call, bool answered)
{
    StoreCall carried = call;
    if (auto *swap = std::get_if<CompareAndSwap>(&carried); swap && options_.casBroken_ && swap->key_ != controlKey()) {
        const StoreReply now = store_.call(ReadKey{0, swap->key_}, now_);
        const auto &found = std::get<KeyRead>(now).found_;
        swap->expected_ = found ? found->modRevision_ : 0;
    }
    const StoreReply reply = store_.call(carried, now_);
    if (const auto *swap = std::get_if<CompareAndSwap>(&call); swap && swap->key_ == controlKey() && std::get<SwapCompleted>(reply).succeeded_) {
        noteControl(swap->value_);
    }
    if (!answered) {
        return;
    }
    at(now_ + latency(), [this, entry, run, reply] {
        EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
        if (process.run_ == run) {
            deliver(process, [this, entry, reply] { stepEntry(entry, reply); });
        }
    });
}

void World::noteControl(const std::string &text)
{
    auto decoded = ControlTraits::decode(text);
    if (!decoded) {
        breach("control document unreadable");
        return;
    }
    const ControlDocument &control = *decoded;
    if (control.revision_ <= writtenRevision_) {
        breach("revision did not grow");
    }
    writtenRevision_ = control.revision_;
    std::erase_if(outSince_, [&control](const auto &item) { return !control.outOfService_.contains(DataCentreId(item.first)); });
    for (const DataCentreId &dataCentre : control.outOfService_) {
        outSince_.emplace(dataCentre.str(), now_);
    }
    at(now_ + inForceBound, [this, revision = control.revision_, writtenAt = now_] { judgeInForce(revision, writtenAt); });
}

// Network

void World::sendDirective(int entry, const Directive &directive)
{
    const int index = agentIndex(directive.agent_);
    const int copies = chance(options_.loss_) ? 0 : chance(options_.duplication_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Duration takes = chance(options_.lateness_) ? Duration(static_cast<std::int64_t>(random_() % 3'000'000)) : latency();
        at(now_ + takes, [this, entry, index, directive] {
            AgentProcess &agent = agents_[static_cast<std::size_t>(index)];
            if (now_ >= agent.cutUntil_) {
                deliver(agent, [this, entry, index, directive] { stepAgent(index, DirectiveReceived{static_cast<std::size_t>(entry), directive}); });
            }
        });
    }
}

void World::sendReport(int agent, const SendReport &send)
{
    if (now_ < agents_[static_cast<std::size_t>(agent)].cutUntil_ || chance(options_.loss_)) {
        return;
    }
    const int copies = chance(options_.duplication_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Duration takes = chance(options_.lateness_) ? Duration(static_cast<std::int64_t>(random_() % 3'000'000)) : latency();
        at(now_ + takes, [this, send] {
            const int entry = static_cast<int>(send.target_);
            deliver(entries_[send.target_], [this, entry, send] { stepEntry(entry, AgentReported{send.report_}); });
        });
    }
}

void World::sendAttempt(int entry, const SendAttempt &send)
{
    const int index = agentIndex(send.executor_.str());
    const std::uint64_t run = entries_[static_cast<std::size_t>(entry)].run_;
    at(now_ + latency(), [this, entry, index, run, send] {
        AgentProcess &agent = agents_[static_cast<std::size_t>(index)];
        EntryProcess &sender = entries_[static_cast<std::size_t>(entry)];
        if (!agent.up_) {
            if (sender.run_ == run) {
                deliver(sender, [this, entry, send] { stepEntry(entry, RouterInput(AttemptUnsent{send.executor_, send.attempt_.id_})); });
            }
            return;
        }
        if (now_ < agent.cutUntil_) {
            at(now_ + 1s, [this, entry, run, send] {
                EntryProcess &process = entries_[static_cast<std::size_t>(entry)];
                if (process.run_ == run) {
                    deliver(process, [this, entry, send] { stepEntry(entry, RouterInput(ConnectionLost{send.executor_})); });
                }
            });
            return;
        }
        deliver(agent, [this, entry, index, send] {
            agents_[static_cast<std::size_t>(index)].from_[send.attempt_.id_] = entry;
            stepAgent(index, AttemptReceived{static_cast<ConnectionId>(entry) + 1, send.attempt_});
        });
    });
}

}
