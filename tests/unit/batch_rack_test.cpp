#include "batch/leader_bench.h"
#include "support/expect.h"

#include <algorithm>

namespace bergamotwick::test {

/// Tests rack locality: how long work waits for its rack, and which work is preempted for it.
class BatchRackTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRackTest);
    CPPUNIT_TEST(gangWaitsForTheRackOfItsVictims);
    CPPUNIT_TEST(gangThatFitsNoRackIsSpreadImmediately);
    CPPUNIT_TEST(assignmentTellsWhetherRacksSlowItDown);
    CPPUNIT_TEST(gangPrefersTheRackWithFewestFreeAccelerators);
    CPPUNIT_TEST(newLeaderDiscoversExecutorsBeforeSpreadingAGang);
    CPPUNIT_TEST(urgentTaskPreemptsOnTheRackOfItsData);
    CPPUNIT_TEST(largeWorkIsNotPreemptedForDataLocality);
    CPPUNIT_TEST(gangWithTooLongAnEstimateStartsInAnIdleFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    void gangWaitsForTheRackOfItsVictims()
    {
        LeaderBench bench(4);
        assignRacks(bench, {"r1", "r1", "r2", "r3"});
        fillExecutors(bench, 4);
        bench.endRun(bench.running("filler-2").front(), batch::EndKind::Done);
        bench.endRun(bench.running("filler-3").front(), batch::EndKind::Done);
        bench.advanceTime(100ms);
        bench.delayedStopIndex_ = 0; // the only task of both fillers
        bench.submit(sameRackGang("urgent", 2));
        bench.advanceTime(900ms);
        CPPUNIT_ASSERT(bench.running("urgent").empty());
        bench.delayedStopIndex_.reset();
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({0, 1}));
    }

    void gangThatFitsNoRackIsSpreadImmediately()
    {
        LeaderBench bench(4);
        assignRacks(bench, {"r1", "r2", "r3", "r4"});
        bench.submit(sameRackGang("urgent", 2));
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("urgent").size());
    }

    void assignmentTellsWhetherRacksSlowItDown()
    {
        for (const auto &[racks, slowdown] :
             {std::pair(std::vector<std::string>{"r1", "r2"}, "3.000000"), std::pair(std::vector<std::string>{"r1", "r1"}, "1.000000")}) {
            LeaderBench bench(2);
            assignRacks(bench, racks);
            bench.submit(sameRackGang("urgent", 2));
            bench.advanceTime(300ms);
            const std::vector<batch::LogEvent> assigned = bench.logged("assigned");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, assigned.size());
            const std::pair<std::string, std::string> expected("rack_slowdown", slowdown);
            CPPUNIT_ASSERT(std::find(assigned.front().fields_.begin(), assigned.front().fields_.end(), expected) != assigned.front().fields_.end());
        }
    }

    void gangPrefersTheRackWithFewestFreeAccelerators()
    {
        LeaderBench bench(5);
        assignRacks(bench, {"r1", "r1", "r1", "r2", "r2"});
        bench.submit(sameRackGang("urgent", 2));
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({3, 4}));
    }

    void newLeaderDiscoversExecutorsBeforeSpreadingAGang()
    {
        LeaderBench bench(3);
        assignRacks(bench, {"r1", "r2", "r2"});
        for (std::size_t executor = 0; executor < 3; ++executor) {
            bench.setSilent(executor, true);
        }
        bench.advanceTime(2s);
        bench.submit(sameRackGang("urgent", 2));
        bench.replaceLeader(1500ms);
        bench.setSilent(0, false);
        bench.setSilent(1, false);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.running("urgent").empty());
        bench.setSilent(2, false);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({1, 2}));
    }

    void urgentTaskPreemptsOnTheRackOfItsData()
    {
        LeaderBench bench(2);
        assignRacks(bench, {"r1", "r2"});
        fillExecutors(bench, 2);
        bench.endRun(bench.running("filler-1").front(), batch::EndKind::Done);
        bench.advanceTime(100ms);
        bench.submit(urgentJobWithAffinity("urgent", "r1", 10s));
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT(bench.wasStopped("filler-0"));
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({0}));
    }

    void largeWorkIsNotPreemptedForDataLocality()
    {
        LeaderBench bench(2);
        assignRacks(bench, {"r1", "r2"});
        fillExecutors(bench, 2);
        bench.endRun(bench.running("filler-1").front(), batch::EndKind::Done);
        for (std::int32_t percent = 1; percent < 15; ++percent) {
            bench.setPercent(bench.running("filler-0").front(), percent);
            bench.advanceTime(1s);
        }
        bench.submit(urgentJobWithAffinity("urgent", "r1", 1s));
        bench.advanceTime(1s);
        bench.setPercent(bench.running("filler-0").front(), 16);
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(!bench.wasStopped("filler-0"));
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({1}));
    }

    /// Each rack has an executor with a task that goes on, so that no rack ever has room for the gang.
    void gangWithTooLongAnEstimateStartsInAnIdleFleet()
    {
        LeaderBench bench(6);
        assignRacks(bench, {"r1", "r2", "r3", "r1", "r2", "r3"});
        for (std::size_t executor = 0; executor < 3; ++executor) {
            batch::Submission filler = makeJob("filler-" + std::to_string(executor), 1, {1'000, 1'000, 2}, 100s);
            filler.steps_[0].affinity_ = "r" + std::to_string(executor + 1);
            bench.submit(filler);
        }
        bench.advanceTime(100ms);
        batch::Submission gang = makeGang("gang", 2, wholeExecutor, 56s);
        gang.queue_ = "h/1/";
        gang.steps_[0].sameRack_ = true;
        bench.submit(gang);
        bench.advanceTime(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("gang").size());
    }

private:
    static void assignRacks(LeaderBench &bench, const std::vector<std::string> &racks)
    {
        for (std::size_t executor = 0; executor < racks.size(); ++executor) {
            bench.setRack(executor, racks[executor]);
        }
        bench.advanceTime(600ms); // after this time the leader counts executors that haven't reported as absent
    }

    /// Fills \p count executors with one job each: job filler-N runs on executor N.
    static void fillExecutors(LeaderBench &bench, std::size_t count)
    {
        for (std::size_t executor = 0; executor < count; ++executor) {
            const std::string name = "filler-" + std::to_string(executor);
            bench.submit(makeJob(name, 1, wholeExecutor, 100s));
            bench.advanceTime(100ms);
            CPPUNIT_ASSERT(bench.executorsOf(name) == std::set<std::size_t>({executor}));
        }
    }

    static batch::Submission sameRackGang(const std::string &id, std::uint32_t count)
    {
        batch::Submission job = makeGang(id, count, wholeExecutor, 2s);
        job.queue_ = "h/0/";
        job.steps_[0].sameRack_ = true;
        return job;
    }

    static batch::Submission urgentJobWithAffinity(const std::string &id, const std::string &rack, milliseconds estimate)
    {
        batch::Submission job = urgentJob(id, 1, wholeExecutor, estimate);
        job.steps_[0].affinity_ = rack;
        return job;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRackTest);

}
