// Worlds and views that the proofs of the guarantees share.
#pragma once

#include "support/expect.h"
#include "support/world.h"

#include <algorithm>

namespace bergamotwick::test {

inline WorldOptions calmOptions()
{
    WorldOptions options;
    options.loss_ = 0;
    options.duplication_ = 0;
    options.lateness_ = 0;
    return options;
}

inline std::string firstBreach(const World &world)
{
    return world.breaches().empty() ? std::string() : world.breaches().front();
}

inline std::string stateOf(const World &world, const std::string &job)
{
    const auto record = world.job(JobId(job));
    return record ? toString(record->state_) : "lost";
}

inline bool anyPrepared(World &world, int workers)
{
    for (int i = 0; i < workers; ++i) {
        for (const auto &[job, member] : world.agent(i).state().members_) {
            if (member.phase_ == MemberPhase::Prepared) {
                return true;
            }
        }
    }
    return false;
}

/// Freezes workers that are prepared, with the order to run on its way, and takes their data centre out meanwhile.
inline std::size_t breachesWithFrozenWorker(bool protect)
{
    std::size_t breaches = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        WorldOptions options = calmOptions();
        options.seed_ = seed;
        options.workers_ = 3;
        options.dataCentres_ = 1;
        options.executors_ = 0;
        options.agent_.checkAges_ = protect;
        options.agent_.checkPermits_ = protect;
        World world(options);
        world.run(3s);
        world.submit(0, World::jobSpec("job", 1, 8, "60"));
        while (!anyPrepared(world, options.workers_)) {
            world.runOne();
        }
        for (int i = 0; i < options.workers_; ++i) {
            world.freezeAgent(i, 8s);
        }
        world.run(100ms);
        world.setInService(1, "dc0", false);
        world.run(20s);
        breaches += world.breaches().size();
    }
    return breaches;
}

/// Breaks the connection of every executor while paid entries run there.
inline std::size_t breachesWithLostConnections(bool protect)
{
    WorldOptions options = calmOptions();
    options.serviceTime_ = 400ms;
    options.entry_.router_.treatLostAsUnknown_ = protect;
    World world(options);
    world.run(3s);
    for (int i = 0; i < 20; ++i) {
        world.request(i % 3, "quick", false, "key-" + std::to_string(i));
    }
    world.run(100ms);
    for (int i = options.workers_; i < options.workers_ + options.executors_; ++i) {
        world.killAgent(i);
    }
    world.run(70s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.unanswered());
    return world.breaches().size();
}

inline std::size_t breachesAtLeavingEndpoint()
{
    WorldOptions options = calmOptions();
    options.executors_ = 1;
    World world(options);
    world.run(3s);
    world.leaveAgent(options.workers_);
    for (int i = 0; i < 100; ++i) {
        world.request(0, "quick", true, "", 2s);
        world.run(100ms);
    }
    return world.breaches().size();
}

/// Whether an agent that has been told to leave runs an attempt that an entry sent before it knew.
inline bool runsAfterLeave(bool protect)
{
    AgentLimits limits;
    limits.refuseWhenLeaving_ = protect;
    AgentIdentity identity;
    identity.kind_ = AgentKind::Executor;
    identity.name_ = "executor";
    identity.slots_ = 8;
    identity.connections_ = 8;
    Agent agent(limits, identity, 5, 1);
    Directive directive;
    directive.entry_ = EntryId("entry");
    directive.incarnation_ = 9;
    directive.sequence_ = 1;
    directive.agent_ = "executor";
    directive.agentIncarnation_ = 5;
    directive.echoSequence_ = 1;
    directive.echoSentAt_ = Instant(1s);
    directive.sentAt_ = Instant(1s);
    (void)agent.step(Instant(1s), DirectiveReceived{0, directive});
    (void)agent.step(Instant(2s), BeginDrain{});
    AttemptRequest attempt;
    attempt.id_ = {9, 1, 1};
    attempt.entry_ = EntryId("entry");
    attempt.entryIncarnation_ = 9;
    attempt.agentIncarnation_ = 5;
    attempt.sentAt_ = Instant(2s);
    attempt.timeout_ = 5s;
    const AgentOutputs outputs = agent.step(Instant(2s), AttemptReceived{1, attempt});
    return std::any_of(outputs.begin(), outputs.end(), [](const AgentOutput &output) { return std::holds_alternative<RunAttempt>(output); });
}

inline std::size_t breachesWithRepeatedKeys(bool casBroken)
{
    WorldOptions options = calmOptions();
    options.casBroken_ = casBroken;
    World world(options);
    world.run(3s);
    for (int i = 0; i < 50; ++i) {
        for (int entry = 0; entry < 3; ++entry) {
            world.request(entry, "quick", false, "key-" + std::to_string(i));
        }
        world.run(20ms);
    }
    world.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.unanswered());
    return world.breaches().size();
}

/// Freezes the owner, lets another entry take over, and wakes the first.
inline std::size_t breachesWithTwoOwners(bool casBroken)
{
    std::size_t breaches = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        WorldOptions options = calmOptions();
        options.seed_ = seed;
        options.casBroken_ = casBroken;
        World world(options);
        world.run(3s);
        const int owner = world.owner();
        for (int i = 0; i < 6; ++i) {
            world.submit(i % 3, World::jobSpec("job-" + std::to_string(i), 2, 4, "30"));
        }
        world.run(Duration(static_cast<std::int64_t>(seed) * 900));
        world.freezeEntry(owner, 25s);
        world.lapseLeases();
        world.run(120s);
        CPPUNIT_ASSERT(casBroken || world.owner() >= 0);
        breaches += world.breaches().size();
        for (const JobId &job : world.acceptedJobs()) {
            CPPUNIT_ASSERT(casBroken || stateOf(world, job.str()) == "done");
        }
    }
    return breaches;
}

/// Fills every worker with work that borrows.
inline void fillWithBorrowers(World &world, const WorldOptions &options)
{
    for (int i = 0; i < options.workers_; ++i) {
        world.submit(i % 3, World::jobSpec("filler-" + std::to_string(i), 1, 8, "600"));
    }
    world.run(5s);
}

/// Submits \p spec and expects it to start within the time that was promised for urgent work.
inline void expectStartInTime(World &world, int entry, const JobSpec &spec)
{
    const Duration asked = world.now();
    world.submit(entry, spec);
    world.run(10s);
    CPPUNIT_ASSERT(world.startedAt(spec.id_));
    CPPUNIT_ASSERT(*world.startedAt(spec.id_) - asked <= 2'700ms);
    CPPUNIT_ASSERT_EQUAL(std::string(), firstBreach(world));
}

}
