// Randomised long runs of the production entries and agents under all kinds of faults. The simulation checks the guarantees throughout.

#include "support/expect.h"
#include "support/world.h"

#include <iostream>

#include <rapidcheck.h>

namespace bergamotwick::test {

namespace {

enum class FaultKind {
    KillEntry,
    FreezeEntry,
    StopEntry,
    KillAgent,
    FreezeAgent,
    DisconnectAgent,
    DrainAgent,
    KillHost,
    FailingWorker,
    StoreDown,
    StoreSlow,
    StoreLosesReplies,
    ExpireLeases,
    DataCentreOutOfService,
    CancelJobs,
    Reconfigure,
};

constexpr int faultKinds = 16;

struct Fault
{
    int kind_ = 0;
    int target_ = 0;
    int startMs_ = 0;
    int lengthMs_ = 0;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << "{kind " << fault.kind_ << " target " << fault.target_ << " at " << fault.startMs_ << " ms for " << fault.lengthMs_ << " ms}";
}

constexpr int faultWindowMs = 90'000;

rc::Gen<Fault> genFault()
{
    return rc::gen::build<Fault>(rc::gen::set(&Fault::kind_, rc::gen::inRange(0, faultKinds)),
                                 rc::gen::set(&Fault::target_, rc::gen::inRange(0, 1'000)),
                                 rc::gen::set(&Fault::startMs_, rc::gen::inRange(0, faultWindowMs)),
                                 rc::gen::set(&Fault::lengthMs_, rc::gen::inRange(500, 30'000)));
}

/// Simulation run that injects the given faults under load.
class FaultScenario
{
public:
    FaultScenario(const SimulationOptions &options, std::vector<Fault> faults)
        : options_(options)
        , simulation_(options)
        , random_(options.seed_ * 31 + 7)
    {
        for (const Fault &fault : faults) {
            schedule(fault.startMs_, [this, fault] { inject(fault); });
            schedule(fault.startMs_ + fault.lengthMs_, [this, fault] { repair(fault); });
        }
        for (int ms = 0; ms < faultWindowMs; ms += 100) {
            schedule(ms, [this] { generateLoad(); });
        }
    }

    void run()
    {
        simulation_.run(5s);
        int now = 0;
        for (const auto &[ms, events] : scheduledEvents_) {
            simulation_.run((ms - now) * 1ms);
            now = ms;
            for (const auto &event : events) {
                event();
            }
        }
        recover();
    }

    Simulation &simulation()
    {
        return simulation_;
    }

    /// Returns the accepted jobs that have not ended, with their states. Call it after run().
    std::vector<std::string> unfinished()
    {
        std::vector<std::string> remaining;
        for (const JobId &id : simulation_.acceptedJobs()) {
            const auto record = simulation_.job(id);
            const bool ended = record && (record->state_ == JobState::Done || record->state_ == JobState::Failed || record->state_ == JobState::Cancelled);
            if (!ended) {
                remaining.push_back(id.str() + " " + (record ? toString(record->state_) : "lost"));
            }
        }
        return remaining;
    }

private:
    void schedule(int ms, std::function<void()> event)
    {
        scheduledEvents_[ms].push_back(std::move(event));
    }

    int entryOf(const Fault &fault) const
    {
        return fault.target_ % options_.entries_;
    }

    int agentOf(const Fault &fault) const
    {
        return fault.target_ % (options_.workers_ + options_.executors_);
    }

    int workerOf(const Fault &fault) const
    {
        return fault.target_ % options_.workers_;
    }

    int anyEntry()
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(options_.entries_));
    }

    void inject(const Fault &fault)
    {
        switch (static_cast<FaultKind>(fault.kind_)) {
        case FaultKind::KillEntry:
            simulation_.killEntry(entryOf(fault));
            break;
        case FaultKind::FreezeEntry:
            simulation_.freezeEntry(entryOf(fault), fault.lengthMs_ * 1ms);
            break;
        case FaultKind::StopEntry:
            simulation_.stopEntry(entryOf(fault));
            break;
        case FaultKind::KillAgent:
            simulation_.killAgent(agentOf(fault));
            break;
        case FaultKind::FreezeAgent:
            simulation_.freezeAgent(agentOf(fault), fault.lengthMs_ * 1ms);
            break;
        case FaultKind::DisconnectAgent:
            simulation_.disconnectAgent(agentOf(fault), fault.lengthMs_ * 1ms);
            break;
        case FaultKind::DrainAgent:
            simulation_.drainAgent(agentOf(fault));
            break;
        case FaultKind::KillHost:
            simulation_.killWorkerHost(workerOf(fault));
            break;
        case FaultKind::FailingWorker:
            simulation_.failTasksOn(workerOf(fault), true);
            break;
        case FaultKind::StoreDown:
            simulation_.setStore(StoreMode::Down);
            break;
        case FaultKind::StoreSlow:
            simulation_.setStore(StoreMode::Slow);
            break;
        case FaultKind::StoreLosesReplies:
            simulation_.setStore(StoreMode::LosesReplies);
            break;
        case FaultKind::ExpireLeases:
            simulation_.expireLeases();
            break;
        case FaultKind::DataCentreOutOfService:
            simulation_.setInService(anyEntry(), Simulation::dataCentreName(fault.target_ % options_.dataCentres_), false);
            break;
        case FaultKind::CancelJobs:
            for (const JobId &job : simulation_.acceptedJobs()) {
                if (random_() % 3 == 0) {
                    simulation_.cancel(anyEntry(), job);
                }
            }
            break;
        case FaultKind::Reconfigure:
            reconfigure();
            break;
        }
    }

    /// Applies two configuration changes at the same time, as two operators would. Both start from the current revision of the entry that
    /// receives them.
    void reconfigure()
    {
        for (int i = 0; i < 2; ++i) {
            SettingsTree settings = Simulation::settings(options_.dataCentres_, options_.workers_);
            settings.set("services.svc.max-queued", {std::to_string(1'000 + random_() % 1'000), {"z.yaml", 1, 1}, {}});
            const int entry = anyEntry();
            simulation_.apply(
                entry, simulation_.entryUp(entry) ? simulation_.entry(entry).control().revision_ : 0, settings, "apply-" + std::to_string(++operationCount_));
        }
    }

    void repair(const Fault &fault)
    {
        switch (static_cast<FaultKind>(fault.kind_)) {
        case FaultKind::KillEntry:
        case FaultKind::StopEntry:
            simulation_.startEntry(entryOf(fault));
            break;
        case FaultKind::KillAgent:
        case FaultKind::DrainAgent:
            simulation_.startAgent(agentOf(fault));
            break;
        case FaultKind::KillHost:
            simulation_.startAgent(workerOf(fault));
            break;
        case FaultKind::FailingWorker:
            simulation_.failTasksOn(workerOf(fault), false);
            break;
        case FaultKind::StoreDown:
        case FaultKind::StoreSlow:
        case FaultKind::StoreLosesReplies:
            simulation_.setStore(StoreMode::Up);
            break;
        case FaultKind::DataCentreOutOfService:
            simulation_.setInService(anyEntry(), Simulation::dataCentreName(fault.target_ % options_.dataCentres_), true);
            break;
        default:
            break;
        }
    }

    void generateLoad()
    {
        const std::uint64_t draw = random_();
        if (draw % 4 == 0) {
            simulation_.request(anyEntry(), draw % 8 == 0 ? "slow" : "quick", true, "");
        }
        if (draw % 5 == 0) {
            // The caller of a non-repeatable request repeats it immediately, usually through another entry.
            const std::string key = "key-" + std::to_string(++keyCount_);
            simulation_.request(anyEntry(), "quick", false, key);
            simulation_.request(anyEntry(), "quick", false, key);
        }
        if (draw % 17 == 0) {
            submit(draw);
        }
    }

    void submit(std::uint64_t draw)
    {
        const auto tasks = static_cast<std::int32_t>(1 + draw / 100 % 3);
        const auto accelerators = static_cast<std::int32_t>(draw / 1'000 % 9);
        JobSpec spec = Simulation::jobSpec("job-" + std::to_string(++jobCount_), tasks, accelerators, std::to_string(2 + draw / 10'000 % 15));
        spec.urgent_ = draw / 100'000 % 5 == 0;
        spec.stoppable_ = draw / 1'000'000 % 5 != 0;
        if (draw / 10'000'000 % 4 == 0) {
            spec.workspace_ = WorkspaceId(draw % 2 == 0 ? "jury" : "school");
        }
        simulation_.submit(anyEntry(), spec);
    }

    /// Ends all faults and runs long enough for the remaining jobs to end.
    void recover()
    {
        simulation_.setStore(StoreMode::Up);
        for (int i = 0; i < options_.entries_; ++i) {
            simulation_.startEntry(i);
        }
        for (int i = 0; i < options_.workers_ + options_.executors_; ++i) {
            simulation_.startAgent(i);
        }
        for (int i = 0; i < options_.workers_; ++i) {
            simulation_.failTasksOn(i, false);
        }
        simulation_.run(35s);
        for (int i = 0; i < options_.entries_; ++i) {
            simulation_.startEntry(i);
        }
        for (int i = 0; i < options_.workers_ + options_.executors_; ++i) {
            simulation_.startAgent(i);
        }
        for (int i = 0; i < options_.dataCentres_; ++i) {
            simulation_.setInService(0, Simulation::dataCentreName(i), true);
        }
        simulation_.run(400s);
    }

    SimulationOptions options_;
    Simulation simulation_;
    std::mt19937_64 random_;
    std::map<int, std::vector<std::function<void()>>> scheduledEvents_;
    int keyCount_ = 0;
    int jobCount_ = 0;
    int operationCount_ = 0;
};

SimulationOptions scenarioOptions(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed_ = seed;
    options.entry_.scheduler_.maxStoreReadAge_ = 20s; // shorter than a run, so that runs also cover its end
    options.entry_.scheduler_.preemptAfter_ = 10s;
    return options;
}

void expectNoViolations(FaultScenario &scenario)
{
    for (const std::string &violation : scenario.simulation().violations()) {
        RC_LOG() << violation << '\n';
    }
    RC_ASSERT(scenario.simulation().violations().empty());
    const auto remaining = scenario.unfinished();
    for (const std::string &job : remaining) {
        RC_LOG() << "job has not ended: " << job << '\n';
    }
    RC_ASSERT(remaining.empty());
}

}

class FaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultsTest);
    CPPUNIT_TEST(noFaults);
    CPPUNIT_TEST(anyFaultsInAnyOrder);
    CPPUNIT_TEST_SUITE_END();

    void noFaults()
    {
        FaultScenario scenario(scenarioOptions(1), {});
        scenario.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), scenario.simulation().violations().empty() ? std::string() : scenario.simulation().violations().front());
        CPPUNIT_ASSERT(scenario.unfinished().empty());
        CPPUNIT_ASSERT(scenario.simulation().acceptedJobs().size() > 20);
        std::size_t answered = 0;
        for (const auto &[token, answer] : scenario.simulation().answers()) {
            answered += answer.outcome_ == Outcome::Answered ? 1 : 0;
        }
        CPPUNIT_ASSERT(answered > 300);
    }

    void anyFaultsInAnyOrder()
    {
        const bool guaranteesHold = rc::check("all guarantees hold under any faults", [] {
            const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            const auto count = *rc::gen::inRange<std::size_t>(1, 14);
            const auto faults = *rc::gen::container<std::vector<Fault>>(count, genFault());
            FaultScenario scenario(scenarioOptions(seed), faults);
            scenario.run();
            expectNoViolations(scenario);
        });
        CPPUNIT_ASSERT(guaranteesHold);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsTest);

}
