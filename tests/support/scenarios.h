// Simulated scenarios and queries that the tests of the guarantees share.
#pragma once

#include "support/expect.h"
#include "support/world.h"

#include <algorithm>

namespace bergamotwick::test {

/// Returns options for a network that neither loses, duplicates nor delays datagrams.
inline SimulationOptions reliableNetworkOptions()
{
    SimulationOptions options;
    options.lossRate_ = 0;
    options.duplicationRate_ = 0;
    options.delayRate_ = 0;
    return options;
}

inline std::string firstViolation(const Simulation &simulation)
{
    return simulation.violations().empty() ? std::string() : simulation.violations().front();
}

inline std::string stateOf(const Simulation &simulation, const std::string &job)
{
    const auto record = simulation.job(JobId(job));
    return record ? toString(record->state_) : "lost";
}

inline bool anyMemberPrepared(Simulation &simulation, int workers)
{
    for (int i = 0; i < workers; ++i) {
        for (const auto &[job, member] : simulation.agent(i).state().members_) {
            if (member.phase_ == MemberPhase::Prepared) {
                return true;
            }
        }
    }
    return false;
}

/// Freezes all agents once a member is prepared and the order to run is in transit, and takes their data centre out of service
/// meanwhile. Returns the number of violations.
///
/// Without \p protectionEnabled, agents check neither the age of orders nor permits.
inline std::size_t violationsWithFrozenWorker(bool protectionEnabled)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimulationOptions options = reliableNetworkOptions();
        options.seed_ = seed;
        options.workers_ = 3;
        options.dataCentres_ = 1;
        options.executors_ = 0;
        options.agent_.checkAges_ = protectionEnabled;
        options.agent_.checkPermits_ = protectionEnabled;
        Simulation simulation(options);
        simulation.run(3s);
        simulation.submit(0, Simulation::jobSpec("job", 1, 8, "60"));
        while (!anyMemberPrepared(simulation, options.workers_)) {
            simulation.runNextEvent();
        }
        for (int i = 0; i < options.workers_; ++i) {
            simulation.freezeAgent(i, 8s);
        }
        simulation.run(100ms);
        simulation.setInService(1, "dc0", false);
        simulation.run(20s);
        violations += simulation.violations().size();
    }
    return violations;
}

/// Breaks the connections to all executors while non-repeatable requests run there. Returns the number of violations.
///
/// Without \p protectionEnabled, the router does not treat requests on a lost connection as possibly run.
inline std::size_t violationsWithLostConnections(bool protectionEnabled)
{
    SimulationOptions options = reliableNetworkOptions();
    options.serviceTime_ = 400ms;
    options.entry_.router_.treatLostAsUnknown_ = protectionEnabled;
    Simulation simulation(options);
    simulation.run(3s);
    for (int i = 0; i < 20; ++i) {
        simulation.request(i % 3, "quick", false, "key-" + std::to_string(i));
    }
    simulation.run(100ms);
    for (int i = options.workers_; i < options.workers_ + options.executors_; ++i) {
        simulation.killAgent(i);
    }
    simulation.run(70s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.unanswered());
    return simulation.violations().size();
}

/// Sends requests while the only executor drains. Returns the number of violations.
inline std::size_t violationsAtDrainingEndpoint()
{
    SimulationOptions options = reliableNetworkOptions();
    options.executors_ = 1;
    Simulation simulation(options);
    simulation.run(3s);
    simulation.drainAgent(options.workers_);
    for (int i = 0; i < 100; ++i) {
        simulation.request(0, "quick", true, "", 2s);
        simulation.run(100ms);
    }
    return simulation.violations().size();
}

/// Returns whether a draining agent runs an attempt that an entry sent before it learnt of the drain.
///
/// Without \p protectionEnabled, the agent accepts attempts while it drains.
inline bool runsAttemptAfterDrain(bool protectionEnabled)
{
    AgentLimits limits;
    limits.refuseWhenLeaving_ = protectionEnabled;
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

/// Sends every key through three entries at the same time. Returns the number of violations.
inline std::size_t violationsWithRepeatedKeys(bool unconditionalSwap)
{
    SimulationOptions options = reliableNetworkOptions();
    options.unconditionalSwap_ = unconditionalSwap;
    Simulation simulation(options);
    simulation.run(3s);
    for (int i = 0; i < 50; ++i) {
        for (int entry = 0; entry < 3; ++entry) {
            simulation.request(entry, "quick", false, "key-" + std::to_string(i));
        }
        simulation.run(20ms);
    }
    simulation.run(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.unanswered());
    return simulation.violations().size();
}

/// Freezes the owner until another entry has taken over, then lets it continue. Returns the number of violations.
inline std::size_t violationsWithTwoOwners(bool unconditionalSwap)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimulationOptions options = reliableNetworkOptions();
        options.seed_ = seed;
        options.unconditionalSwap_ = unconditionalSwap;
        Simulation simulation(options);
        simulation.run(3s);
        const int owner = simulation.owner();
        for (int i = 0; i < 6; ++i) {
            simulation.submit(i % 3, Simulation::jobSpec("job-" + std::to_string(i), 2, 4, "30"));
        }
        simulation.run(Duration(static_cast<std::int64_t>(seed) * 900));
        simulation.freezeEntry(owner, 25s);
        simulation.expireLeases();
        simulation.run(120s);
        CPPUNIT_ASSERT(unconditionalSwap || simulation.owner() >= 0);
        violations += simulation.violations().size();
        for (const JobId &job : simulation.acceptedJobs()) {
            CPPUNIT_ASSERT(unconditionalSwap || stateOf(simulation, job.str()) == "done");
        }
    }
    return violations;
}

/// Fills every worker with a job that runs on borrowed resources.
inline void fillWithBorrowers(Simulation &simulation, const SimulationOptions &options)
{
    for (int i = 0; i < options.workers_; ++i) {
        simulation.submit(i % 3, Simulation::jobSpec("filler-" + std::to_string(i), 1, 8, "600"));
    }
    simulation.run(5s);
}

/// Submits \p spec and fails the test unless it starts within the guaranteed start time of urgent jobs.
inline void expectStartWithinBound(Simulation &simulation, int entry, const JobSpec &spec)
{
    const Duration submittedAt = simulation.now();
    simulation.submit(entry, spec);
    simulation.run(10s);
    CPPUNIT_ASSERT(simulation.startedAt(spec.id_));
    CPPUNIT_ASSERT(*simulation.startedAt(spec.id_) - submittedAt <= 2'700ms);
    CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(simulation));
}

}
