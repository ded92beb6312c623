// Tests of each safety guarantee in isolation. Where a protection can be switched off, a second run without it must show the violation.

#include "support/expect.h"
#include "support/scenarios.h"

#include <algorithm>

namespace bergamotwick::test {

class GuaranteesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GuaranteesTest);
    CPPUNIT_TEST(noStartInADataCentreOutOfService);
    CPPUNIT_TEST(noStartWithoutTheStore);
    CPPUNIT_TEST(evacuatedJobsFinishElsewhere);
    CPPUNIT_TEST(guaranteedShapeIsReclaimedInTime);
    CPPUNIT_TEST(guaranteedShapeSurvivesLossOfADataCentre);
    CPPUNIT_TEST(urgentWorkStartsInTime);
    CPPUNIT_TEST(wholeGangStopsWhenAMemberIsLost);
    CPPUNIT_TEST(twoOwnersCannotBothPlace);
    CPPUNIT_TEST(keysRunAtMostOnce);
    CPPUNIT_TEST(keysRunAtMostOnceAcrossEntryFailures);
    CPPUNIT_TEST(notRunIsReportedOnlyIfNothingRan);
    CPPUNIT_TEST(drainingEndpointGetsNoNewRequests);
    CPPUNIT_TEST(plannedStopOfAnEntryAbortsNoRequest);
    CPPUNIT_TEST(plannedStopOfAnExecutorAbortsNoRequest);
    CPPUNIT_TEST(concurrentOperatorChangesHaveOneWinner);
    CPPUNIT_TEST(operationWithLostReplyIsAppliedOnce);
    CPPUNIT_TEST(staleReadOfTheStoreIsRejected);
    CPPUNIT_TEST(nonRepeatableRequestsAreRefusedAtOnceWithoutTheStore);
    CPPUNIT_TEST(runningJobsSurviveOwnerFailure);
    CPPUNIT_TEST(ownerFailsAfterAnyEvent);
    CPPUNIT_TEST(workerFailsAfterAnyEvent);
    CPPUNIT_TEST_SUITE_END();

    void noStartInADataCentreOutOfService()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violationsWithFrozenWorker(true));
        CPPUNIT_ASSERT(violationsWithFrozenWorker(false) > 0);
    }

    void noStartWithoutTheStore()
    {
        SimulationOptions options = reliableNetworkOptions();
        Simulation world(options);
        world.run(3s);
        world.submit(0, Simulation::jobSpec("running", 2, 4, "30"));
        world.run(3s);
        world.setInService(0, "dc1", false);
        world.run(20ms);
        world.setStore(StoreMode::Down);
        const std::uint64_t late = world.submit(0, Simulation::jobSpec("late", 2, 4, "30"));
        world.run(15s);
        CPPUNIT_ASSERT(world.jobAnswers().at(late).refusal_ == JobRefusal::StoreUnavailable);
        CPPUNIT_ASSERT(!world.startedAt(JobId("late")));
        world.run(30s);
        world.setStore(StoreMode::Up);
        world.run(20s);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), stateOf(world, "running"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, world.job(JobId("running"))->generation_);
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
    }

    void evacuatedJobsFinishElsewhere()
    {
        Simulation world(reliableNetworkOptions());
        world.run(3s);
        for (int i = 0; i < 4; ++i) {
            world.submit(i % 3, Simulation::jobSpec("job-" + std::to_string(i), 1, 4, "40"));
        }
        world.run(5s);
        const std::string from = world.job(JobId("job-0"))->dataCentre_.str();
        world.setInService(0, from, false);
        world.run(15s);
        for (int i = 0; i < 4; ++i) {
            const auto record = world.job(JobId("job-" + std::to_string(i)));
            CPPUNIT_ASSERT_EQUAL(std::string("running"), std::string(toString(record->state_)));
            CPPUNIT_ASSERT(record->dataCentre_.str() != from);
        }
        world.setInService(1, from, true);
        world.run(120s);
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("done"), stateOf(world, "job-" + std::to_string(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
    }

    void guaranteedShapeIsReclaimedInTime()
    {
        const SimulationOptions options = reliableNetworkOptions();
        Simulation world(options);
        world.run(3s);
        fillWithBorrowers(world, options);
        JobSpec spec = Simulation::jobSpec("contest", 1, 8);
        spec.workspace_ = WorkspaceId("jury");
        expectStartWithinBound(world, 1, spec);
    }

    void guaranteedShapeSurvivesLossOfADataCentre()
    {
        const SimulationOptions options = reliableNetworkOptions();
        Simulation world(options);
        world.run(3s);
        fillWithBorrowers(world, options);
        for (const Reservation &reservation : world.entry(world.owner()).scheduler().state().reservations_) {
            CPPUNIT_ASSERT(reservation.bound_);
        }
        const auto &fleet = world.entry(world.owner()).scheduler().state().fleet_;
        const auto &slot = world.entry(world.owner()).scheduler().state().reservations_.front().slots_.front();
        world.setInService(0, fleet.dataCentreId(fleet.worker(slot.worker_).dataCentre_).str(), false);
        world.run(5s);
        JobSpec spec = Simulation::jobSpec("contest", 1, 8);
        spec.workspace_ = WorkspaceId("jury");
        expectStartWithinBound(world, 1, spec);
    }

    void urgentWorkStartsInTime()
    {
        const SimulationOptions options = reliableNetworkOptions();
        Simulation world(options);
        world.run(3s);
        fillWithBorrowers(world, options);
        JobSpec spec = Simulation::jobSpec("urgent", 2, 8);
        spec.workspace_ = WorkspaceId("school");
        spec.urgent_ = true;
        expectStartWithinBound(world, 2, spec);
    }

    void wholeGangStopsWhenAMemberIsLost()
    {
        for (const bool host : {true, false}) {
            Simulation world(reliableNetworkOptions());
            world.run(3s);
            world.submit(0, Simulation::jobSpec("gang", 2, 8, "60"));
            world.run(20s);
            const auto before = world.job(JobId("gang"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, before->members_.size());
            const int lost = std::atoi(before->members_[0].worker_.str().substr(7).c_str());
            host ? world.killWorkerHost(lost) : world.disconnectAgent(lost, 60s);
            world.run(200s);
            CPPUNIT_ASSERT_EQUAL(std::string("done"), stateOf(world, "gang"));
            CPPUNIT_ASSERT(world.job(JobId("gang"))->generation_ > 1);
            CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
        }
    }

    void twoOwnersCannotBothPlace()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violationsWithTwoOwners(false));
        CPPUNIT_ASSERT(violationsWithTwoOwners(true) > 0);
    }

    void keysRunAtMostOnce()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violationsWithRepeatedKeys(false));
        CPPUNIT_ASSERT(violationsWithRepeatedKeys(true) > 0);
    }

    void keysRunAtMostOnceAcrossEntryFailures()
    {
        for (int offset = 0; offset < 60; ++offset) {
            Simulation world(reliableNetworkOptions());
            world.run(3s);
            world.request(0, "quick", false, "key");
            world.run(offset * 1ms);
            world.killEntry(0);
            world.run(200ms);
            const std::uint64_t retry = world.request(1, "quick", false, "key");
            world.run(20s);
            const Outcome outcome = world.answers().at(retry).outcome_;
            CPPUNIT_ASSERT(world.runsOfKey("key") <= 1);
            CPPUNIT_ASSERT(outcome == Outcome::Duplicate || (outcome == Outcome::Answered && world.runsOfKey("key") == 1));
        }
    }

    void notRunIsReportedOnlyIfNothingRan()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violationsWithLostConnections(true));
        CPPUNIT_ASSERT(violationsWithLostConnections(false) > 0);
    }

    void drainingEndpointGetsNoNewRequests()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violationsAtDrainingEndpoint());
        CPPUNIT_ASSERT(!runsAttemptAfterDrain(true));
        CPPUNIT_ASSERT(runsAttemptAfterDrain(false));
    }

    void plannedStopOfAnEntryAbortsNoRequest()
    {
        SimulationOptions options = reliableNetworkOptions();
        options.serviceTime_ = 500ms;
        Simulation world(options);
        world.run(3s);
        const int owner = world.owner();
        std::vector<std::uint64_t> sent;
        for (int i = 0; i < 20; ++i) {
            sent.push_back(world.request(owner, "quick", i % 2 == 0, "key-" + std::to_string(i)));
        }
        world.run(50ms);
        world.stopEntry(owner);
        world.run(20ms);
        const std::uint64_t late = world.request(owner, "quick", true, "");
        world.run(2s);
        for (const std::uint64_t token : sent) {
            CPPUNIT_ASSERT(world.answers().at(token).outcome_ == Outcome::Answered);
        }
        CPPUNIT_ASSERT(world.answers().at(late).outcome_ == Outcome::NotRun);
        CPPUNIT_ASSERT(!world.entryUp(owner));
        CPPUNIT_ASSERT(world.owner() >= 0 && world.owner() != owner); // well before the lease of six seconds expires
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
    }

    void plannedStopOfAnExecutorAbortsNoRequest()
    {
        SimulationOptions options = reliableNetworkOptions();
        options.serviceTime_ = 500ms;
        Simulation world(options);
        world.run(3s);
        std::vector<std::uint64_t> sent;
        for (int i = 0; i < 60; ++i) {
            sent.push_back(world.request(i % 3, "quick", i % 2 == 0, "key-" + std::to_string(i)));
            world.run(10ms);
            if (i == 10) {
                world.drainAgent(options.workers_);
            }
        }
        world.run(10s);
        for (const std::uint64_t token : sent) {
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), std::string(toString(world.answers().at(token).outcome_)));
        }
        CPPUNIT_ASSERT(!world.agentUp(options.workers_));
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
    }

    void concurrentOperatorChangesHaveOneWinner()
    {
        Simulation world(reliableNetworkOptions());
        world.run(3s);
        std::vector<std::uint64_t> tokens;
        for (int i = 0; i < 3; ++i) {
            SettingsTree settings = Simulation::settings(4, 8);
            settings.set("services.svc.max-queued", {std::to_string(100 + i), {"z.yaml", 1, 1}, {}});
            tokens.push_back(world.apply(i, 1, settings, "apply-" + std::to_string(i)));
        }
        world.run(6s);
        int won = 0;
        for (const std::uint64_t token : tokens) {
            const ControlRefusal refusal = world.controlAnswers().at(token).refusal_;
            won += refusal == ControlRefusal::None ? 1 : 0;
            CPPUNIT_ASSERT(refusal == ControlRefusal::None || refusal == ControlRefusal::Conflict);
        }
        CPPUNIT_ASSERT_EQUAL(1, won);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.entry(i).control().revision_);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
    }

    void operationWithLostReplyIsAppliedOnce()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            SimulationOptions options = reliableNetworkOptions();
            options.seed_ = seed;
            Simulation world(options);
            world.run(3s);
            SettingsTree settings = Simulation::settings(4, 8);
            settings.set("services.svc.max-queued", {"77", {"z.yaml", 1, 1}, {}});
            world.setStore(StoreMode::LosesReplies);
            world.apply(0, 1, settings, "same");
            world.run(5s);
            world.setStore(StoreMode::Up);
            const std::uint64_t retry = world.apply(1, 1, settings, "same");
            world.run(6s);
            CPPUNIT_ASSERT(world.controlAnswers().at(retry).refusal_ == ControlRefusal::None);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.entry(2).control().revision_);
        }
    }

    void staleReadOfTheStoreIsRejected()
    {
        ControlDocument previous;
        previous.revision_ = 1;
        previous.settings_ = Simulation::settings(4, 8);
        ControlDocument current = previous;
        current.revision_ = 5;
        current.outOfService_.insert(DataCentreId("dc1"));
        Entry entry(EntryLimits(), {EntryId("e"), RegionId("region"), "a"}, 9);
        const auto poll = [&](Instant now, std::int64_t storeRevision, std::int64_t modRevision, const ControlDocument &document) {
            for (const EntryOutput &output : entry.step(now, WallTime(1s), EntryTick{})) {
                const auto *call = std::get_if<StoreCall>(&output);
                if (const auto *wanted = call ? std::get_if<PollKeys>(call) : nullptr) {
                    KeysPolled polled{wanted->call_, storeRevision, std::vector<std::vector<KeyValue>>(wanted->items_.size())};
                    polled.found_[0].push_back({controlKey(), ControlTraits::encode(document), modRevision});
                    (void)entry.step(now, WallTime(1s), StoreReply(polled));
                }
            }
        };
        AgentReport report;
        report.name_ = "worker-1";
        report.region_ = RegionId("region");
        report.revision_ = 4; // newer than the first store read of the restarted entry
        (void)entry.step(Instant(1s), WallTime(1s), AgentReported{report});
        poll(Instant(2s), 10, 3, previous);
        CPPUNIT_ASSERT(!entry.ready());
        poll(Instant(3s), 20, 15, current);
        CPPUNIT_ASSERT(entry.ready());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, entry.control().revision_);
        const Instant read = entry.lastRead();
        poll(Instant(4s), 12, 16, previous);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, entry.control().revision_);
        CPPUNIT_ASSERT(entry.lastRead() == read);
    }

    void nonRepeatableRequestsAreRefusedAtOnceWithoutTheStore()
    {
        Simulation world(reliableNetworkOptions());
        world.run(3s);
        world.setStore(StoreMode::Down);
        world.run(1s);
        std::vector<std::uint64_t> nonRepeatable;
        std::vector<std::uint64_t> repeatable;
        for (int i = 0; i < 100; ++i) {
            nonRepeatable.push_back(world.request(i % 3, "quick", false, "key-" + std::to_string(i)));
            repeatable.push_back(world.request(i % 3, "quick", true, ""));
            world.run(10ms);
        }
        world.run(200ms);
        for (const std::uint64_t token : nonRepeatable) {
            CPPUNIT_ASSERT(world.answers().at(token).outcome_ == Outcome::NotRun);
            CPPUNIT_ASSERT(world.answers().at(token).retryAfter_ >= 1s);
        }
        for (const std::uint64_t token : repeatable) {
            CPPUNIT_ASSERT(world.answers().at(token).outcome_ == Outcome::Answered);
        }
        world.setStore(StoreMode::Up);
        world.run(1s);
        std::vector<std::uint64_t> retry;
        for (int i = 0; i < 100; ++i) {
            retry.push_back(world.request((i + 1) % 3, "quick", false, "key-" + std::to_string(i)));
            world.run(10ms);
        }
        world.run(2s);
        for (const std::uint64_t token : retry) {
            CPPUNIT_ASSERT(world.answers().at(token).outcome_ == Outcome::Answered);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
    }

    /// Kills the owner at various points of its agents' leases. All jobs must finish in their first generation.
    void runningJobsSurviveOwnerFailure()
    {
        for (int offset = 0; offset < 20; ++offset) {
            Simulation world(reliableNetworkOptions());
            world.run(3s);
            const int owner = world.owner();
            for (int i = 0; i < 4; ++i) {
                world.submit((owner + 1) % 3, Simulation::jobSpec("job-" + std::to_string(i), 1, 8, "40"));
            }
            world.run(5s + offset * 100ms);
            world.killEntry(owner);
            world.run(60s);
            for (int i = 0; i < 4; ++i) {
                const auto record = world.job(JobId("job-" + std::to_string(i)));
                CPPUNIT_ASSERT_EQUAL(std::string("done"), std::string(toString(record->state_)));
                CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, record->generation_);
            }
        }
    }

    /// Runs a job on two workers and calls \p kill after a growing number of events since its submission, two more each time.
    template<class Kill>
    void failAfterEachEvent(Kill kill)
    {
        int started = 0;
        for (int events = 0; events < 160; events += 2) {
            SimulationOptions options = reliableNetworkOptions();
            options.entries_ = 2;
            options.workers_ = 2;
            options.dataCentres_ = 1;
            options.executors_ = 0;
            options.entry_.jobShards_ = 1;
            options.entry_.scheduler_.maxStoreReadAge_ = 5s;
            Simulation world(options);
            world.run(15s);
            const std::uint64_t token = world.submit(0, Simulation::jobSpec("job", 2, 8, "3"));
            for (int i = 0; i < events; ++i) {
                world.runNextEvent();
            }
            const auto restart = kill(world);
            world.run(3s);
            restart();
            world.run(120s);
            const auto answer = world.jobAnswers().find(token);
            const bool accepted = answer != world.jobAnswers().end() && answer->second.result_ == CommitResult::Committed;
            CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(world));
            if (accepted) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(events), std::string("done"), stateOf(world, "job"));
            }
            started += accepted ? 1 : 0;
        }
        CPPUNIT_ASSERT(started > 60);
    }

    void ownerFailsAfterAnyEvent()
    {
        failAfterEachEvent([](Simulation &world) {
            const int owner = std::max(world.owner(), 0);
            world.killEntry(owner);
            return [&world, owner] { world.startEntry(owner); };
        });
    }

    void workerFailsAfterAnyEvent()
    {
        failAfterEachEvent([](Simulation &world) {
            world.killWorkerHost(0);
            return [&world] { world.startAgent(0); };
        });
        failAfterEachEvent([](Simulation &world) {
            world.killAgent(1);
            return [&world] { world.startAgent(1); };
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteesTest);

}
