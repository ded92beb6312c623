#include "batch/cluster.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

const JobId first("first");

void expectNoBreach(const Cluster &cluster)
{
    for (const std::string &breach : cluster.violations()) {
        CPPUNIT_FAIL(breach);
    }
}

void expectCompleted(const Cluster &cluster, const JobId &job)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(job.str(), static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(job)));
}

/// The job is done after exactly \p starts of its tasks, and no promise was broken.
void expectServed(const Cluster &cluster, const JobId &job, std::size_t starts)
{
    expectCompleted(cluster, job);
    CPPUNIT_ASSERT_EQUAL(starts, cluster.starts(job));
    expectNoBreach(cluster);
}

}

/// The leader, agents and executors together, in virtual time.
class BatchClusterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchClusterTest);
    CPPUNIT_TEST(jobRunsToItsEnd);
    CPPUNIT_TEST(stepsRunInOrder);
    CPPUNIT_TEST(gangRunsOnceAndWhole);
    CPPUNIT_TEST(failedTaskIsTriedElsewhere);
    CPPUNIT_TEST(hopelessJobEnds);
    CPPUNIT_TEST(cancelledJobStops);
    CPPUNIT_TEST(successorTakesOverWithoutSecondStart);
    CPPUNIT_TEST(successorStartsSoon);
    CPPUNIT_TEST(formerLeaderIsHarmless);
    CPPUNIT_TEST(formerLeaderIsHarmfulWithoutTheLeaderCondition);
    CPPUNIT_TEST(cutAgentsTasksGoOn);
    CPPUNIT_TEST(longCutEndsInASecondRunOnlyAfterTheLease);
    CPPUNIT_TEST(restartedAgentFindsItsTasks);
    CPPUNIT_TEST(executorUnderANewNameSettlesItsFormerLife);
    CPPUNIT_TEST(goneExecutorsTasksMoveOn);
    CPPUNIT_TEST(goneExecutorGetsNoWork);
    CPPUNIT_TEST(lateOrdersRunNothingTwice);
    CPPUNIT_TEST(lateOrdersAreHarmfulWithoutFences);
    CPPUNIT_TEST(storeOutageCostsNoRunningWork);
    CPPUNIT_TEST(lostAnswersLoseNothing);
    CPPUNIT_TEST(standstillIsMoved);
    CPPUNIT_TEST(drainingExecutorGetsNothing);
    CPPUNIT_TEST(evacuatedDataCentreGetsNothing);
    CPPUNIT_TEST(guaranteeIsHadBack);
    CPPUNIT_TEST(antiAffinityHolds);
    CPPUNIT_TEST(repeatedJobRunsWhenDue);
    CPPUNIT_TEST(fillingWorkStaysAwayFromServingWork);
    CPPUNIT_TEST(lastingTaskIsRestartedHoweverItEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobRunsToItsEnd()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 6, {8'000, 1'000, 2}, 2s));
        cluster.run(3s);
        expectServed(cluster, first, 6);
    }

    void stepsRunInOrder()
    {
        Cluster cluster(2, 1);
        batch::Submission job = makeJob("first", 2, {1'000, 1'000, 0}, 1s);
        job.steps_.push_back(job.steps_[0]);
        job.steps_[1].dependencies_ = {0};
        cluster.submit(job);
        cluster.run(4s);
        expectCompleted(cluster, first);
        expectNoBreach(cluster);
    }

    void gangRunsOnceAndWhole()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeGang("first", 3, wholeExecutor, 2s));
        cluster.submit(makeGang("second", 3, wholeExecutor, 2s));
        cluster.run(6s);
        expectCompleted(cluster, first);
        expectCompleted(cluster, JobId("second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.starts(first));
        expectNoBreach(cluster);
    }

    void failedTaskIsTriedElsewhere()
    {
        Cluster cluster(3, 1);
        cluster.failTasksOn(0, 20s);
        cluster.submit(makeJob("first", 3, wholeExecutor, 1s));
        cluster.run(6s);
        expectServed(cluster, first, 4);
    }

    void hopelessJobEnds()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 1, {1'000, 1'000, 1}, 1s));
        cluster.setTaskBehaviour(first, 1s, true);
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.state(first) == batch::JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.starts(first));
        expectNoBreach(cluster);
    }

    void cancelledJobStops()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 8, {1'000, 1'000, 4}, 4s));
        cluster.run(1s);
        cluster.cancel(first);
        cluster.run(2s);
        CPPUNIT_ASSERT(cluster.state(first) == batch::JobState::Cancelled);
        cluster.submit(makeJob("second", 2, wholeExecutor, 1s));
        cluster.run(2s);
        expectCompleted(cluster, JobId("second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.starts(first));
        expectNoBreach(cluster);
    }

    void successorTakesOverWithoutSecondStart()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 3, wholeExecutor, 4s));
        cluster.run(1s);
        cluster.replaceLeader(1500ms, false);
        cluster.run(5s);
        expectServed(cluster, first, 3);
    }

    void successorStartsSoon()
    {
        Cluster cluster(3, 1);
        cluster.replaceLeader(1500ms, false);
        cluster.run(1600ms);
        const Instant before = cluster.now();
        cluster.submit(makeJob("first", 1, wholeExecutor, 1s));
        cluster.run(2s);
        CPPUNIT_ASSERT(cluster.firstStart(first) < before + 600ms);
    }

    void formerLeaderIsHarmless()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster woken(3, seed);
            runWithWokenLeader(woken);
            expectNoBreach(woken);
            Cluster late(3, seed);
            runWithLateWritesOfFormerLeaders(late);
            expectNoBreach(late);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, forgotten(late));
        }
    }

    void formerLeaderIsHarmfulWithoutTheLeaderCondition()
    {
        DisabledProtections unprotected;
        unprotected.commitConditions_ = true;
        std::size_t broken = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster(3, seed, unprotected);
            runWithLateWritesOfFormerLeaders(cluster);
            broken += forgotten(cluster) + cluster.violations().size();
        }
        CPPUNIT_ASSERT(broken > 0);
    }

    void cutAgentsTasksGoOn()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 3, wholeExecutor, 8s));
        cluster.run(1s);
        cluster.disconnectAgent(0, 5500ms);
        cluster.run(9s);
        expectServed(cluster, first, 3);
    }

    void longCutEndsInASecondRunOnlyAfterTheLease()
    {
        Cluster cluster(4, 1);
        cluster.submit(makeJob("first", 4, wholeExecutor, 12s));
        cluster.run(1s);
        cluster.disconnectAgent(0, 30s);
        cluster.run(30s);
        expectServed(cluster, first, 5);
    }

    void restartedAgentFindsItsTasks()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 2, wholeExecutor, 6s));
        cluster.run(1s);
        cluster.restartAgent(0);
        cluster.run(6s);
        expectServed(cluster, first, 2);
    }

    void executorUnderANewNameSettlesItsFormerLife()
    {
        Cluster cluster(1, 1);
        cluster.submit(makeJob("first", 1, wholeExecutor, 3s));
        cluster.run(1s);
        cluster.restartExecutor(0, false);
        const Instant reborn = cluster.now();
        cluster.run(6s);
        expectCompleted(cluster, first);
        CPPUNIT_ASSERT(cluster.now() - reborn < 7s);
        expectNoBreach(cluster);
    }

    void goneExecutorsTasksMoveOn()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 2, wholeExecutor, 2s));
        cluster.run(500ms);
        cluster.removeExecutor(0);
        cluster.run(6s);
        expectCompleted(cluster, first);
        expectNoBreach(cluster);
    }

    void goneExecutorGetsNoWork()
    {
        Cluster cluster(2, 1);
        cluster.removeExecutor(0);
        cluster.submit(makeJob("first", 2, wholeExecutor, 1s));
        cluster.run(1s);
        cluster.submit(makeJob("second", 2, wholeExecutor, 1s));
        cluster.run(6s);
        expectCompleted(cluster, first);
        expectCompleted(cluster, JobId("second"));
        expectNoBreach(cluster);
    }

    void lateOrdersRunNothingTwice()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster(4, seed);
            runWithLateOrders(cluster);
            expectNoBreach(cluster);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, forgotten(cluster));
            Cluster restarted(4, seed);
            runWithOrdersInDoubt(restarted);
            expectNoBreach(restarted);
        }
    }

    void lateOrdersAreHarmfulWithoutFences()
    {
        DisabledProtections unprotected;
        unprotected.fencing_ = true;
        std::size_t broken = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster(4, seed, unprotected);
            runWithOrdersInDoubt(cluster);
            broken += cluster.violations().size();
        }
        CPPUNIT_ASSERT(broken > 0);
    }

    void storeOutageCostsNoRunningWork()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 3, wholeExecutor, 9s));
        cluster.run(1s);
        cluster.faults_.storeDownUntil_ = cluster.now() + 7s;
        cluster.run(11s);
        expectServed(cluster, first, 3);
    }

    void lostAnswersLoseNothing()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Cluster cluster(3, seed);
            cluster.faults_.lostReplyRate_ = 0.3;
            cluster.faults_.delayedWriteRate_ = 0.2;
            submitSeveral(cluster);
            cluster.run(20s);
            cluster.faults_ = {};
            cluster.run(25s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, forgotten(cluster));
            expectNoBreach(cluster);
        }
    }

    void standstillIsMoved()
    {
        Cluster cluster(2, 1);
        cluster.hangTasksOn(0, 3s);
        cluster.submit(makeJob("first", 2, wholeExecutor, 2s));
        cluster.run(10s);
        expectCompleted(cluster, first);
        expectNoBreach(cluster);
    }

    void drainingExecutorGetsNothing()
    {
        Cluster cluster(2, 1);
        cluster.drain(0, 10s);
        cluster.submit(makeJob("first", 2, wholeExecutor, 1s));
        cluster.run(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(first));
        cluster.run(2s);
        expectCompleted(cluster, first);
    }

    void evacuatedDataCentreGetsNothing()
    {
        Cluster cluster(3, 1);
        cluster.evacuate("dc-0");
        cluster.submit(makeJob("first", 3, wholeExecutor, 1s));
        cluster.run(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.starts(first));
        cluster.run(2s);
        expectCompleted(cluster, first);
    }

    void guaranteeIsHadBack()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("borrower", 2, wholeExecutor, 20s));
        cluster.run(1s);
        batch::Submission urgent = makeJob("first", 2, wholeExecutor, 2s);
        urgent.queue_ = "h/0/";
        const Instant accepted = cluster.now();
        cluster.submit(urgent);
        cluster.run(5s);
        expectCompleted(cluster, first);
        CPPUNIT_ASSERT(cluster.firstStart(first) < accepted + 2900ms);
        expectNoBreach(cluster);
    }

    void antiAffinityHolds()
    {
        Cluster cluster(3, 1);
        batch::Submission job = makeJob("first", 6, {1'000, 1'000, 1}, 1s);
        job.steps_[0].antiAffinity_ = 1;
        cluster.submit(job);
        cluster.run(5s);
        expectCompleted(cluster, first);
        expectNoBreach(cluster);
    }

    void repeatedJobRunsWhenDue()
    {
        Cluster cluster(2, 1);
        batch::Submission job = makeJob("first", 1, {1'000, 1'000, 1}, 500ms);
        job.repeats_ = 3;
        job.interval_ = 2s;
        job.firstRun_ = batch::CalendarTime(std::chrono::duration_cast<batch::milliseconds>(cluster.now().time_since_epoch()) + 1s);
        cluster.submit(job);
        cluster.run(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.starts(first));
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(first));
        cluster.run(5s);
        expectCompleted(cluster, first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.starts(first));
    }

    void fillingWorkStaysAwayFromServingWork()
    {
        Cluster cluster(2, 1);
        batch::Submission serving = makeJob("first", 1, {30'000, 1'000, 1}, 20s);
        serving.steps_[0].longRunning_ = true;
        serving.steps_[0].target_ = 50ms;
        cluster.submit(serving);
        cluster.run(500ms);
        batch::Submission filling = makeJob("filling", 6, {60'000, 1'000, 0}, 2s);
        filling.steps_[0].cpuBackfill_ = true;
        cluster.submit(filling);
        cluster.run(1s);
        const auto &runs = cluster.leader()->cluster().runs_;
        std::set<ExecutorId> serves;
        std::set<ExecutorId> fills;
        for (const auto &[id, run] : runs) {
            (id.task_.job_ == first ? serves : fills).insert(run.placement_.executor_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, serves.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fills.size());
        CPPUNIT_ASSERT(serves != fills);
    }

    void lastingTaskIsRestartedHoweverItEnds()
    {
        Cluster cluster(2, 1);
        batch::Submission lasting = makeJob("first", 1, {1'000, 1'000, 1}, 500ms);
        lasting.steps_[0].longRunning_ = true;
        cluster.submit(lasting);
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.starts(first) >= 4);
        CPPUNIT_ASSERT(cluster.state(first) == batch::JobState::Running);
    }

private:
    static void submitSeveral(Cluster &cluster)
    {
        for (int job = 0; job < 6; ++job) {
            cluster.submit(makeGang("gang-" + std::to_string(job), 2, wholeExecutor, 1500ms));
            cluster.submit(makeJob("wide-" + std::to_string(job), 4, {1'000, 1'000, 2}, 1s));
            cluster.run(700ms);
        }
    }

    static std::size_t forgotten(const Cluster &cluster)
    {
        std::size_t count = 0;
        for (int job = 0; job < 6; ++job) {
            count += cluster.state(JobId("gang-" + std::to_string(job))) != batch::JobState::Completed ? 1 : 0;
            count += cluster.state(JobId("wide-" + std::to_string(job))) != batch::JobState::Completed ? 1 : 0;
        }
        return count;
    }

    static void runWithWokenLeader(Cluster &cluster)
    {
        for (int round = 0; round < 3; ++round) {
            cluster.replaceLeader(700ms, true);
            cluster.run(1s);
            if (round == 0) {
                submitSeveral(cluster);
            }
            cluster.run(2s);
        }
        cluster.run(30s);
    }

    static void runWithLateWritesOfFormerLeaders(Cluster &cluster)
    {
        cluster.faults_.delayedWriteRate_ = 0.4;
        submitSeveral(cluster);
        for (int round = 0; round < 4; ++round) {
            cluster.replaceLeader(300ms, false);
            cluster.run(2s);
        }
        cluster.faults_ = {};
        cluster.run(30s);
    }

    /// Orders are under way when the agents that sent them and the leader that gave them go.
    static void runWithOrdersInDoubt(Cluster &cluster)
    {
        cluster.faults_.delayedOrderRate_ = 1;
        cluster.submit(makeJob("first", 4, {1'000, 1'000, 4}, 5s));
        cluster.run(100ms);
        for (std::size_t host = 0; host < 4; ++host) {
            cluster.restartAgent(host);
        }
        cluster.replaceLeader(300ms, false);
        cluster.run(700ms);
        cluster.faults_ = {};
        cluster.run(25s);
    }

    static void runWithLateOrders(Cluster &cluster)
    {
        cluster.faults_.delayedOrderRate_ = 0.2;
        submitSeveral(cluster);
        cluster.replaceLeader(1s, false);
        cluster.run(10s);
        cluster.faults_ = {};
        cluster.run(25s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchClusterTest);

}
