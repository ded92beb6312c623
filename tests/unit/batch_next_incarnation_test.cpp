#include "batch/expect_cluster.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector noCapacity{};

}

/// Executors that start again under the name that they had, while calls to their former life are still carried out.
class BatchNextIncarnationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchNextIncarnationTest);
    CPPUNIT_TEST(runsOutliveTheSilenceOfTheirAgentByTheLongestLeaseOfTheirExecutor);
    CPPUNIT_TEST(taskThatIsDoneIsNotStartedAgain);
    CPPUNIT_TEST(taskThatIsDoneIsNotStartedAgainByTheSecondNextIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsOutliveTheSilenceOfTheirAgentByTheLongestLeaseOfTheirExecutor()
    {
        Cluster cluster(2, 1);
        cluster.setCapacity(1, noCapacity);
        startAgainAfterLatePolls(cluster);
        cluster.submit(makeJob("long", 1, wholeExecutor, 9'500ms));
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.allStarts());
        cluster.setCapacity(1, executorCapacity);
        cluster.freezeAgent(0, 20s);
        cluster.run(40s);
        expectNoViolation(cluster);
        CPPUNIT_ASSERT(cluster.state(JobId("long")) == batch::JobState::Completed);
    }

    void taskThatIsDoneIsNotStartedAgain()
    {
        Cluster cluster(2, 1);
        finishTasksWithLateStarts(cluster);
        crashAll(cluster);
        cluster.run(20s);
        expectNoViolation(cluster);
    }

    void taskThatIsDoneIsNotStartedAgainByTheSecondNextIncarnation()
    {
        Cluster cluster(2, 1);
        finishTasksWithLateStarts(cluster);
        cluster.faults_.lateCallsAtBirth_ = false;
        crashAll(cluster);
        cluster.run(1s);
        cluster.faults_.lateCallsAtBirth_ = true;
        crashAll(cluster);
        cluster.run(20s);
        expectNoViolation(cluster);
    }

private:
    static void finishTasksWithLateStarts(Cluster &cluster)
    {
        cluster.faults_.lateCallsAtBirth_ = true;
        cluster.faults_.delayedOrderRate_ = 1;
        cluster.submit(makeJob("job", 4, {1'000, 1'000, 1}, 300ms));
        cluster.run(300ms);
        cluster.faults_.delayedOrderRate_ = 0;
        cluster.run(4s);
        CPPUNIT_ASSERT(cluster.state(JobId("job")) == batch::JobState::Completed);
    }

    static void crashAll(Cluster &cluster)
    {
        for (std::size_t host = 0; host < 2; ++host) {
            cluster.crashExecutor(host, 100ms, true);
        }
    }

    /// Crashes the executor of host 0, whose next incarnation carries out polls of the former one before its first heartbeat.
    static void startAgainAfterLatePolls(Cluster &cluster)
    {
        cluster.run(15s); // the former clock is ahead of all times on the next one
        cluster.faults_.lateCallsAtBirth_ = true;
        cluster.faults_.delayedPollRate_ = 1;
        cluster.run(1s);
        cluster.faults_.delayedPollRate_ = 0;
        cluster.run(2'500ms);
        cluster.crashExecutor(0, 100ms, true);
        cluster.run(400ms);
        cluster.faults_.lateCallsAtBirth_ = false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchNextIncarnationTest);

}
