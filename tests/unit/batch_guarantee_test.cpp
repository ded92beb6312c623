#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector half{1'000, 1'000, 4};

/// Time within which work inside its guarantee has to start on a bench without faults.
constexpr auto reclaimLimit = 2'900ms;

batch::Submission urgentGang(const std::string &id, std::uint32_t count, batch::ResourceVector taskDemand, milliseconds runTime)
{
    batch::Submission job = urgentJob(id, count, taskDemand, runTime);
    job.steps_[0].gang_ = true;
    return job;
}

}

/// Tests that a workspace gets the accelerators of its guarantee back from other workspaces' work of the same priority.
class BatchGuaranteeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchGuaranteeTest);
    CPPUNIT_TEST(burstOfAnotherWorkspaceYields);
    CPPUNIT_TEST(gangInsideItsGuaranteeStarts);
    CPPUNIT_TEST(twoWorkspacesReclaimAtOnce);
    CPPUNIT_TEST(workInsideItsGuaranteeIsNeverStopped);
    CPPUNIT_TEST(onlyTheExcessOfAWorkspaceIsStopped);
    CPPUNIT_TEST(stoppedExcessTakesNothingBack);
    CPPUNIT_TEST(jobAboveTheWholeGuaranteeDoesNotBlockSmallerOnes);
    CPPUNIT_TEST(unguaranteedWorkStopsNoWorkOfItsPriority);
    CPPUNIT_TEST(guaranteedWorkGoesBeforeEarlierWork);
    CPPUNIT_TEST(reservationOfUnguaranteedWorkIsOpenToGuaranteedWork);
    CPPUNIT_TEST(workWithoutSlackDoesNotWaitForEnds);
    CPPUNIT_TEST(newLeaderKnowsWhatIsGuaranteed);
    CPPUNIT_TEST_SUITE_END();

public:
    void burstOfAnotherWorkspaceYields()
    {
        LeaderBench bench(4);
        bench.submit(inWorkspace(urgentJob("burst", 6, wholeExecutor, 30s), "guest"));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.running("burst").size());
        bench.submit(urgentJob("guaranteed", 1, half, 2s));
        bench.advanceWithProgress(reclaimLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("guaranteed").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.running("burst").size());
    }

    void gangInsideItsGuaranteeStarts()
    {
        LeaderBench bench(4);
        bench.submit(inWorkspace(urgentJob("burst", 6, wholeExecutor, 30s), "guest"));
        bench.advanceTime(1s);
        bench.submit(urgentGang("guaranteed", 2, wholeExecutor, 2s));
        bench.advanceWithProgress(reclaimLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("guaranteed").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("burst").size());
    }

    void twoWorkspacesReclaimAtOnce()
    {
        LeaderBench bench(3);
        bench.setGuarantee("school", 8);
        bench.submit(inWorkspace(urgentGang("burst", 3, wholeExecutor, 30s), "guest"));
        bench.advanceTime(1s);
        bench.submit(urgentJob("first", 2, wholeExecutor, 2s));
        bench.submit(inWorkspace(urgentJob("second", 1, wholeExecutor, 2s), "school"));
        bench.advanceWithProgress(reclaimLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("first").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("second").size());
    }

    void workInsideItsGuaranteeIsNeverStopped()
    {
        LeaderBench bench(2);
        bench.setGuarantee("school", 8);
        bench.submit(urgentJob("inside", 2, wholeExecutor, 30s));
        bench.advanceTime(1s);
        bench.submit(inWorkspace(urgentJob("waiting", 1, half, 2s), "school"));
        bench.advanceWithProgress(5s);
        CPPUNIT_ASSERT(!bench.wasStopped("inside"));
    }

    void onlyTheExcessOfAWorkspaceIsStopped()
    {
        LeaderBench bench(3);
        bench.setGuarantee("school", 8);
        bench.submit(urgentJob("inside", 2, wholeExecutor, 30s), 100ms);
        bench.submit(urgentJob("beyond", 1, wholeExecutor, 30s));
        bench.advanceWithProgress(5s);
        bench.submit(inWorkspace(urgentJob("guaranteed", 1, wholeExecutor, 2s), "school"));
        bench.advanceWithProgress(reclaimLimit);
        CPPUNIT_ASSERT(!bench.wasStopped("inside"));
        CPPUNIT_ASSERT(bench.wasStopped("beyond"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("guaranteed").size());
    }

    void stoppedExcessTakesNothingBack()
    {
        LeaderBench bench(2);
        bench.setGuarantee("school", 8);
        bench.submit(inWorkspace(urgentJob("beyond", 2, wholeExecutor, 30s), "guest"));
        bench.advanceTime(1s);
        bench.submit(inWorkspace(urgentJob("guaranteed", 1, wholeExecutor, 30s), "school"));
        bench.advanceWithProgress(10s);
        CPPUNIT_ASSERT(!bench.wasStopped("guaranteed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("beyond").size());
    }

    void jobAboveTheWholeGuaranteeDoesNotBlockSmallerOnes()
    {
        LeaderBench bench(4);
        bench.submit(inWorkspace(urgentJob("burst", 4, wholeExecutor, 30s), "guest"));
        bench.advanceTime(1s);
        bench.submit(urgentJob("too wide", 3, wholeExecutor, 2s), 100ms); // 24 accelerators of 16 guaranteed
        bench.submit(urgentJob("narrow", 1, wholeExecutor, 2s));
        bench.advanceWithProgress(reclaimLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("narrow").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.running("too wide").size());
    }

    void unguaranteedWorkStopsNoWorkOfItsPriority()
    {
        LeaderBench bench(1);
        bench.submit(inWorkspace(urgentJob("earlier", 1, wholeExecutor, 30s), "guest"));
        bench.advanceTime(1s);
        bench.submit(inWorkspace(urgentJob("later", 1, wholeExecutor, 2s), "other guest"));
        bench.advanceWithProgress(5s);
        CPPUNIT_ASSERT(!bench.wasStopped("earlier"));
    }

    void guaranteedWorkGoesBeforeEarlierWork()
    {
        LeaderBench bench(1);
        bench.setSilent(0, true);
        bench.advanceTime(2s);
        bench.submit(inWorkspace(urgentJob("earlier", 1, wholeExecutor, 30s), "guest"), 300ms);
        bench.submit(urgentJob("guaranteed", 1, wholeExecutor, 30s));
        bench.setSilent(0, false);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("guaranteed").size());
    }

    void reservationOfUnguaranteedWorkIsOpenToGuaranteedWork()
    {
        LeaderBench bench(1);
        bench.submit(makeJob("bulk", 2, half, 60s));
        bench.advanceTime(300ms);
        bench.delayedStopIndex_ = 1;
        bench.submit(inWorkspace(urgentGang("guest gang", 2, half, 20s), "guest"));
        bench.advanceTime(200ms);
        CPPUNIT_ASSERT(bench.wasStopped("bulk"));
        bench.submit(urgentJob("guaranteed", 1, half, 2s));
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("guaranteed").size());
    }

    void workWithoutSlackDoesNotWaitForEnds()
    {
        LeaderBench bench(1);
        bench.submit(makeJob("ending", 1, wholeExecutor, 2s));
        bench.advanceTime(2s);
        bench.setPercent(bench.running("ending")[0], 75); // two thirds of a second are left
        bench.advanceTime(100ms);
        bench.submit(urgentJob("urgent", 1, wholeExecutor, 100ms)); // may take 300 ms in all
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.wasStopped("ending"));
    }

    void newLeaderKnowsWhatIsGuaranteed()
    {
        Cluster cluster(4, 1);
        cluster.run(12s); // the agents know all calls that may be carried out late
        cluster.submit(urgentJob("inside", 1, wholeExecutor, 30s));
        cluster.submit(inWorkspace(urgentJob("burst", 5, wholeExecutor, 30s), "guest"));
        cluster.run(1s);
        cluster.replaceLeader(300ms, false);
        cluster.run(2s);
        cluster.submit(urgentJob("guaranteed", 1, wholeExecutor, 2s));
        cluster.run(reclaimLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(JobId("guaranteed")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(JobId("inside")));
        CPPUNIT_ASSERT(cluster.violations().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchGuaranteeTest);

}
