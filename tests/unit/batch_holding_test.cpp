#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector oneAccelerator{100, 100, 1};

batch::Submission inQueue(batch::Submission job, const std::string &queue)
{
    job.queue_ = queue;
    return job;
}

}

/// Executors that less pressing work keeps off: a load of single tasks beside gangs and urgent work.
class BatchHoldingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchHoldingTest);
    CPPUNIT_TEST(gangOfHigherPriorityIsNotOvertakenBySingles);
    CPPUNIT_TEST(singlesGoOnBesideAWaitingGang);
    CPPUNIT_TEST(silentExecutorsDontCountForTheBound);
    CPPUNIT_TEST(worthlessWorkHoldsNothing);
    CPPUNIT_TEST(urgentWorkFindsRoomWhereUrgentWorkWas);
    CPPUNIT_TEST(reserveFades);
    CPPUNIT_TEST_SUITE_END();

public:
    void gangOfHigherPriorityIsNotOvertakenBySingles()
    {
        LeaderBench bench(4);
        flood(bench);
        bench.submit(gangOf("gang", 2, whole, 10s));
        for (int round = 0; round < 8 && bench.running("gang").empty(); ++round) {
            endOneOnEach(bench);
            bench.advanceTime(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("gang").size());
    }

    void singlesGoOnBesideAWaitingGang()
    {
        LeaderBench bench(4);
        flood(bench);
        bench.submit(gangOf("gang", 4, whole, 10s));
        endOneOnEach(bench);
        bench.advanceTime(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, bench.running("flood").size()); // of 32; at most half of the executors are held
    }

    void silentExecutorsDontCountForTheBound()
    {
        LeaderBench bench(8);
        for (std::size_t executor = 4; executor < 8; ++executor) {
            bench.setSilent(executor, true);
        }
        bench.advanceTime(1'500ms);
        flood(bench);
        bench.submit(gangOf("gang", 4, whole, 10s));
        endOneOnEach(bench);
        bench.advanceTime(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, bench.running("flood").size()); // of 32
    }

    void worthlessWorkHoldsNothing()
    {
        LeaderBench bench(4);
        flood(bench);
        bench.submit(gangOf("gang", 2, whole, 1s));
        work(bench, 24); // 12 s: over three times its objective of 3 s
        endOneOnEach(bench);
        bench.advanceTime(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, bench.running("flood").size());
    }

    void urgentWorkFindsRoomWhereUrgentWorkWas()
    {
        LeaderBench bench(8);
        serveOneUrgent(bench, "first");
        flood(bench);
        const auto runs = bench.submitAndStart(urgentJob("second", 1, whole, 1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
        CPPUNIT_ASSERT(!bench.wasStopped("flood"));
    }

    void reserveFades()
    {
        LeaderBench bench(8);
        serveOneUrgent(bench, "first");
        flood(bench);
        work(bench, 80);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, bench.running("flood").size());
    }

private:
    /// Fills all executors with single tasks of the lowest priority; more of them wait.
    static void flood(LeaderBench &bench)
    {
        batch::Submission job = inQueue(jobOf("flood", 200, oneAccelerator, 100s), "h/2/");
        bench.submit(job);
        bench.advanceTime(500ms);
    }

    /// Lets \p halves of a second pass in which everything progresses.
    static void work(LeaderBench &bench, int halves)
    {
        for (int half = 0; half < halves; ++half) {
            bench.progressAll(1);
            bench.advanceTime(500ms);
        }
    }

    static void endOneOnEach(LeaderBench &bench)
    {
        std::set<std::size_t> ended;
        for (const RunId &run : bench.running("flood")) {
            if (ended.insert(*bench.executorOf(run)).second) {
                bench.endRun(run, batch::EndKind::Done);
            }
        }
        bench.progressAll(5); // nothing stands still
    }

    static void serveOneUrgent(LeaderBench &bench, const std::string &name)
    {
        const auto runs = bench.submitAndStart(urgentJob(name, 1, whole, 1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
        bench.endRun(runs.front(), batch::EndKind::Done);
        bench.advanceTime(200ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchHoldingTest);

}
