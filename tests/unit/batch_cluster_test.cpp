#include "batch/expect_cluster.h"

namespace bergamotwick::test {

namespace {

const JobId firstJob("first");

void expectCompleted(const Cluster &cluster, const JobId &job)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(job.str(), static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(job)));
}

/// Expects that \p job completed after exactly \p starts task starts and that the cluster violated no guarantee.
void expectCompletedAfterStarts(const Cluster &cluster, const JobId &job, std::size_t starts)
{
    expectCompleted(cluster, job);
    CPPUNIT_ASSERT_EQUAL(starts, cluster.starts(job));
    expectNoViolation(cluster);
}

}

/// Integration of leader, agents and executors in virtual time.
class BatchClusterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchClusterTest);
    CPPUNIT_TEST(jobCompletes);
    CPPUNIT_TEST(stepsRunInOrder);
    CPPUNIT_TEST(gangRunsOnceWithAllMembers);
    CPPUNIT_TEST(failedTaskIsRetriedElsewhere);
    CPPUNIT_TEST(jobFailsAfterMaxAttempts);
    CPPUNIT_TEST(cancelledJobStops);
    CPPUNIT_TEST(newLeaderDoesNotRestartRunningTasks);
    CPPUNIT_TEST(newLeaderStartsJobsPromptly);
    CPPUNIT_TEST(formerLeaderCausesNoViolation);
    CPPUNIT_TEST(formerLeaderCausesViolationsWithoutCommitConditions);
    CPPUNIT_TEST(tasksSurviveShortPartitionOfAgent);
    CPPUNIT_TEST(longPartitionRerunsTaskOnlyAfterLeaseExpiry);
    CPPUNIT_TEST(partitionsCauseDuplicateRunsWithoutReassignmentDelay);
    CPPUNIT_TEST(restartedAgentRecoversItsTasks);
    CPPUNIT_TEST(executorUnderNewNameSettlesFormerIncarnation);
    CPPUNIT_TEST(formerIncarnationGetsNoWork);
    CPPUNIT_TEST(tasksOfRemovedExecutorRunElsewhere);
    CPPUNIT_TEST(removedExecutorGetsNoWork);
    CPPUNIT_TEST(delayedOrdersCauseNoDuplicateRun);
    CPPUNIT_TEST(delayedPollsCauseViolationsOnlyWithoutFencing);
    CPPUNIT_TEST(storeOutageStopsNoRunningTask);
    CPPUNIT_TEST(lostStoreAnswersLoseNoJob);
    CPPUNIT_TEST(stalledTaskIsRelocated);
    CPPUNIT_TEST(drainingExecutorGetsNoWork);
    CPPUNIT_TEST(evacuatedDataCentreGetsNoWork);
    CPPUNIT_TEST(guaranteedAcceleratorsAreReclaimed);
    CPPUNIT_TEST(antiAffinityIsRespected);
    CPPUNIT_TEST(repeatedJobRunsWhenDue);
    CPPUNIT_TEST(cpuBackfillAvoidsServingExecutors);
    CPPUNIT_TEST(longRunningTaskIsRestartedAfterEachEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobCompletes()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 6, {8'000, 1'000, 2}, 2s));
        cluster.run(3s);
        expectCompletedAfterStarts(cluster, firstJob, 6);
    }

    void stepsRunInOrder()
    {
        Cluster cluster(2, 1);
        batch::Submission job = makeJob("first", 2, {1'000, 1'000, 0}, 1s);
        job.steps_.push_back(job.steps_[0]);
        job.steps_[1].dependencies_ = {0};
        cluster.submit(job);
        cluster.run(4s);
        expectCompleted(cluster, firstJob);
        expectNoViolation(cluster);
    }

    void gangRunsOnceWithAllMembers()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeGang("first", 3, wholeExecutor, 2s));
        cluster.submit(makeGang("second", 3, wholeExecutor, 2s));
        cluster.run(6s);
        expectCompleted(cluster, firstJob);
        expectCompleted(cluster, JobId("second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.starts(firstJob));
        expectNoViolation(cluster);
    }

    void failedTaskIsRetriedElsewhere()
    {
        Cluster cluster(3, 1);
        cluster.failTasksOn(0, 20s);
        cluster.submit(makeJob("first", 3, wholeExecutor, 1s));
        cluster.run(6s);
        expectCompletedAfterStarts(cluster, firstJob, 4);
    }

    void jobFailsAfterMaxAttempts()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 1, {1'000, 1'000, 1}, 1s));
        cluster.setTaskBehaviour(firstJob, 1s, true);
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.state(firstJob) == batch::JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.starts(firstJob));
        expectNoViolation(cluster);
    }

    void cancelledJobStops()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 8, {1'000, 1'000, 4}, 4s));
        cluster.run(1s);
        cluster.cancel(firstJob);
        cluster.run(2s);
        CPPUNIT_ASSERT(cluster.state(firstJob) == batch::JobState::Cancelled);
        cluster.submit(makeJob("second", 2, wholeExecutor, 1s));
        cluster.run(2s);
        expectCompleted(cluster, JobId("second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.starts(firstJob));
        expectNoViolation(cluster);
    }

    void newLeaderDoesNotRestartRunningTasks()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 3, wholeExecutor, 4s));
        cluster.run(1s);
        cluster.replaceLeader(1500ms, false);
        cluster.run(5s);
        expectCompletedAfterStarts(cluster, firstJob, 3);
    }

    void newLeaderStartsJobsPromptly()
    {
        Cluster cluster(3, 1);
        cluster.replaceLeader(1500ms, false);
        cluster.run(1600ms);
        const Instant submittedAt = cluster.now();
        cluster.submit(makeJob("first", 1, wholeExecutor, 1s));
        cluster.run(2s);
        CPPUNIT_ASSERT(cluster.firstStart(firstJob) < submittedAt + 600ms);
    }

    void formerLeaderCausesNoViolation()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster resumedLeaderCluster(3, seed);
            runWithResumedLeaders(resumedLeaderCluster);
            expectNoViolation(resumedLeaderCluster);
            Cluster delayedWriteCluster(3, seed);
            runWithDelayedWritesOfFormerLeaders(delayedWriteCluster);
            expectNoViolation(delayedWriteCluster);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countIncompleteJobs(delayedWriteCluster));
        }
    }

    void formerLeaderCausesViolationsWithoutCommitConditions()
    {
        DisabledProtections disabledProtections;
        disabledProtections.commitConditions_ = true;
        std::size_t violations = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster(3, seed, disabledProtections);
            runWithDelayedWritesOfFormerLeaders(cluster);
            violations += countIncompleteJobs(cluster) + cluster.violations().size();
        }
        CPPUNIT_ASSERT(violations > 0);
    }

    void tasksSurviveShortPartitionOfAgent()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 3, wholeExecutor, 8s));
        cluster.run(1s);
        cluster.disconnectAgent(0, 5500ms);
        cluster.run(9s);
        expectCompletedAfterStarts(cluster, firstJob, 3);
    }

    void longPartitionRerunsTaskOnlyAfterLeaseExpiry()
    {
        Cluster cluster(4, 1);
        cluster.submit(makeJob("first", 4, wholeExecutor, 12s));
        cluster.run(1s);
        cluster.disconnectAgent(0, 30s);
        cluster.run(30s);
        expectCompletedAfterStarts(cluster, firstJob, 5);
    }

    void partitionsCauseDuplicateRunsWithoutReassignmentDelay()
    {
        for (const auto disconnect : {&Cluster::disconnectAgent, &Cluster::disconnectExecutor}) {
            for (const bool disabled : {false, true}) {
                DisabledProtections disabledProtections;
                disabledProtections.reassignmentDelay_ = disabled;
                Cluster cluster(4, 1, disabledProtections);
                cluster.submit(makeJob("first", 3, wholeExecutor, 12s));
                cluster.run(1s);
                std::invoke(disconnect, cluster, 0, 30s);
                cluster.run(30s);
                CPPUNIT_ASSERT_EQUAL(disabled, !cluster.violations().empty());
            }
        }
    }

    void restartedAgentRecoversItsTasks()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 2, wholeExecutor, 6s));
        cluster.run(1s);
        cluster.restartAgent(0);
        cluster.run(6s);
        expectCompletedAfterStarts(cluster, firstJob, 2);
    }

    void executorUnderNewNameSettlesFormerIncarnation()
    {
        Cluster cluster(1, 1);
        cluster.submit(makeJob("first", 1, wholeExecutor, 3s));
        cluster.run(1s);
        cluster.restartExecutor(0, false);
        const Instant restartedAt = cluster.now();
        cluster.run(6s);
        expectCompleted(cluster, firstJob);
        CPPUNIT_ASSERT(cluster.now() - restartedAt < 7s);
        expectNoViolation(cluster);
    }

    void formerIncarnationGetsNoWork()
    {
        Cluster cluster(1, 1);
        cluster.submit(makeJob("first", 1, wholeExecutor, 3s));
        cluster.run(1s);
        cluster.restartExecutor(0, false);
        cluster.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.starts(firstJob));
    }

    void tasksOfRemovedExecutorRunElsewhere()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 2, wholeExecutor, 2s));
        cluster.run(500ms);
        cluster.removeExecutor(0);
        cluster.run(6s);
        expectCompleted(cluster, firstJob);
        expectNoViolation(cluster);
    }

    void removedExecutorGetsNoWork()
    {
        Cluster cluster(2, 1);
        cluster.removeExecutor(0);
        cluster.submit(makeJob("first", 2, wholeExecutor, 1s));
        cluster.run(1s);
        cluster.submit(makeJob("second", 2, wholeExecutor, 1s));
        cluster.run(6s);
        expectCompleted(cluster, firstJob);
        expectCompleted(cluster, JobId("second"));
        expectNoViolation(cluster);
    }

    void delayedOrdersCauseNoDuplicateRun()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Cluster cluster(4, seed);
            runWithDelayedOrders(cluster);
            expectNoViolation(cluster);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countIncompleteJobs(cluster));
            Cluster unconfirmedOrderCluster(4, seed);
            runWithUnconfirmedOrders(unconfirmedOrderCluster);
            expectNoViolation(unconfirmedOrderCluster);
        }
    }

    void delayedPollsCauseViolationsOnlyWithoutFencing()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violationsByDelayedPolls({}));
        CPPUNIT_ASSERT(violationsByDelayedPolls({.fencing_ = true}) > 0);
    }

    void storeOutageStopsNoRunningTask()
    {
        Cluster cluster(3, 1);
        cluster.submit(makeJob("first", 3, wholeExecutor, 9s));
        cluster.run(1s);
        cluster.faults_.storeDownUntil_ = cluster.now() + 7s;
        cluster.run(11s);
        expectCompletedAfterStarts(cluster, firstJob, 3);
    }

    void lostStoreAnswersLoseNoJob()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Cluster cluster(3, seed);
            cluster.faults_.lostReplyRate_ = 0.3;
            cluster.faults_.delayedWriteRate_ = 0.2;
            submitMixedJobs(cluster);
            cluster.run(20s);
            cluster.faults_ = {};
            cluster.run(25s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countIncompleteJobs(cluster));
            expectNoViolation(cluster);
        }
    }

    void stalledTaskIsRelocated()
    {
        Cluster cluster(2, 1);
        cluster.hangTasksOn(0, 3s);
        cluster.submit(makeJob("first", 2, wholeExecutor, 2s));
        cluster.run(10s);
        expectCompleted(cluster, firstJob);
        expectNoViolation(cluster);
    }

    void drainingExecutorGetsNoWork()
    {
        Cluster cluster(2, 1);
        cluster.drain(0, 10s);
        cluster.submit(makeJob("first", 2, wholeExecutor, 1s));
        cluster.run(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(firstJob));
        cluster.run(2s);
        expectCompleted(cluster, firstJob);
    }

    void evacuatedDataCentreGetsNoWork()
    {
        Cluster cluster(3, 1);
        cluster.evacuate("dc-0");
        cluster.submit(makeJob("first", 3, wholeExecutor, 1s));
        cluster.run(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.starts(firstJob));
        cluster.run(2s);
        expectCompleted(cluster, firstJob);
    }

    void guaranteedAcceleratorsAreReclaimed()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("borrower", 2, wholeExecutor, 20s));
        cluster.run(1s);
        batch::Submission urgent = makeJob("first", 2, wholeExecutor, 2s);
        urgent.queue_ = "h/0/";
        const Instant submittedAt = cluster.now();
        cluster.submit(urgent);
        cluster.run(5s);
        expectCompleted(cluster, firstJob);
        CPPUNIT_ASSERT(cluster.firstStart(firstJob) < submittedAt + 2900ms);
        expectNoViolation(cluster);
    }

    void antiAffinityIsRespected()
    {
        Cluster cluster(3, 1);
        batch::Submission job = makeJob("first", 6, {1'000, 1'000, 1}, 1s);
        job.steps_[0].antiAffinity_ = 1;
        cluster.submit(job);
        cluster.run(5s);
        expectCompleted(cluster, firstJob);
        expectNoViolation(cluster);
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.starts(firstJob));
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(firstJob));
        cluster.run(5s);
        expectCompleted(cluster, firstJob);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.starts(firstJob));
    }

    void cpuBackfillAvoidsServingExecutors()
    {
        Cluster cluster(2, 1);
        batch::Submission serving = makeJob("first", 1, {30'000, 1'000, 1}, 20s);
        serving.steps_[0].longRunning_ = true;
        serving.steps_[0].target_ = 50ms;
        cluster.submit(serving);
        cluster.run(500ms);
        batch::Submission backfill = makeJob("filling", 6, {60'000, 1'000, 0}, 2s);
        backfill.steps_[0].cpuBackfill_ = true;
        cluster.submit(backfill);
        cluster.run(1s);
        const auto &runs = cluster.leader()->cluster().runs_;
        std::set<ExecutorId> servingExecutors;
        std::set<ExecutorId> backfillExecutors;
        for (const auto &[id, run] : runs) {
            (id.task_.job_ == firstJob ? servingExecutors : backfillExecutors).insert(run.placement_.executor_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, servingExecutors.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backfillExecutors.size());
        CPPUNIT_ASSERT(servingExecutors != backfillExecutors);
    }

    void longRunningTaskIsRestartedAfterEachEnd()
    {
        Cluster cluster(2, 1);
        batch::Submission longRunning = makeJob("first", 1, {1'000, 1'000, 1}, 500ms);
        longRunning.steps_[0].longRunning_ = true;
        cluster.submit(longRunning);
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.starts(firstJob) >= 4);
        CPPUNIT_ASSERT(cluster.state(firstJob) == batch::JobState::Running);
    }

private:
    static void submitMixedJobs(Cluster &cluster)
    {
        for (int job = 0; job < 6; ++job) {
            cluster.submit(makeGang("gang-" + std::to_string(job), 2, wholeExecutor, 1500ms));
            cluster.submit(makeJob("wide-" + std::to_string(job), 4, {1'000, 1'000, 2}, 1s));
            cluster.run(700ms);
        }
    }

    static std::size_t countIncompleteJobs(const Cluster &cluster)
    {
        std::size_t count = 0;
        for (int job = 0; job < 6; ++job) {
            count += cluster.state(JobId("gang-" + std::to_string(job))) != batch::JobState::Completed ? 1 : 0;
            count += cluster.state(JobId("wide-" + std::to_string(job))) != batch::JobState::Completed ? 1 : 0;
        }
        return count;
    }

    static void runWithResumedLeaders(Cluster &cluster)
    {
        for (int round = 0; round < 3; ++round) {
            cluster.replaceLeader(700ms, true);
            cluster.run(1s);
            if (round == 0) {
                submitMixedJobs(cluster);
            }
            cluster.run(2s);
        }
        cluster.run(30s);
    }

    static void runWithDelayedWritesOfFormerLeaders(Cluster &cluster)
    {
        cluster.faults_.delayedWriteRate_ = 0.4;
        submitMixedJobs(cluster);
        for (int round = 0; round < 4; ++round) {
            cluster.replaceLeader(300ms, false);
            cluster.run(2s);
        }
        cluster.faults_ = {};
        cluster.run(30s);
    }

    /// Replaces the leader and restarts the agents while start orders are in flight, so that their outcome is unknown.
    static void runWithUnconfirmedOrders(Cluster &cluster)
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

    /// Returns the number of violations when polls that weren't answered reach an executor's next incarnation late, and its agent freezes.
    static std::size_t violationsByDelayedPolls(DisabledProtections disabledProtections)
    {
        std::size_t violations = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster(2, seed, disabledProtections);
            cluster.setCapacity(1, {});
            cluster.run(15s); // the former clock is ahead of all times on the next one
            cluster.faults_.delayedPollRate_ = 1;
            cluster.run(3s);
            cluster.faults_.delayedPollRate_ = 0;
            cluster.crashExecutor(0, 100ms, true);
            cluster.run(500ms);
            cluster.submit(makeJob("long", 1, wholeExecutor, 20s));
            cluster.run(1s);
            cluster.setCapacity(1, executorCapacity);
            cluster.freezeAgent(0, 25s);
            cluster.run(40s);
            violations += cluster.violations().size();
        }
        return violations;
    }

    static void runWithDelayedOrders(Cluster &cluster)
    {
        cluster.faults_.delayedOrderRate_ = 0.2;
        submitMixedJobs(cluster);
        cluster.replaceLeader(1s, false);
        cluster.run(10s);
        cluster.faults_ = {};
        cluster.run(25s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchClusterTest);

}
