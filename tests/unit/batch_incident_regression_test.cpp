#include "batch/expect_cluster.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector twoAccelerators{1'000, 1'000, 2};
constexpr std::size_t hosts = 4;

/// Submits jobs of short tasks, one every 300 ms, for \p length.
void submitShortJobs(Cluster &cluster, Duration length)
{
    const Instant end = cluster.now() + length;
    for (int number = 0; cluster.now() < end; ++number) {
        cluster.submit(makeJob("short-" + std::to_string(number), 8, twoAccelerators, 150ms));
        cluster.run(300ms);
    }
}

}

/// Smallest cases of the faults under which a task ran twice or an executor got more than its capacity.
class BatchIncidentRegressionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchIncidentRegressionTest);
    CPPUNIT_TEST(startAnsweredOldAfterALostAnswerHasRun);
    CPPUNIT_TEST(startAnsweredUnhealthyAfterALostAnswerMayRun);
    CPPUNIT_TEST(stopAnsweredUnhealthyIsNotCarriedOut);
    CPPUNIT_TEST(callsForAFormerIncarnationDoNotReachTheNextOne);
    CPPUNIT_TEST(executorThatRefusesConnectionsMayStillRun);
    CPPUNIT_TEST(executorThatLeavesRunsOn);
    CPPUNIT_TEST(lateLeaveDoesNotEndTheNextIncarnation);
    CPPUNIT_TEST(frozenAgentDoesNotRetryAStartWhoseLeaseIsOver);
    CPPUNIT_TEST(capacityFromAnOldHeartbeatIsNotUsedAfterACut);
    CPPUNIT_TEST(capacityFromAnOldHeartbeatIsNotUsedWhileHeartbeatsAreLost);
    CPPUNIT_TEST_SUITE_END();

public:
    void startAnsweredOldAfterALostAnswerHasRun()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.faults_.lostAnswerRate_ = 0.3;
            submitShortJobs(cluster, 6s);
            cluster.faults_ = {};
            cluster.run(5s);
        });
    }

    void startAnsweredUnhealthyAfterALostAnswerMayRun()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.faults_.lostAnswerRate_ = 0.5;
            cluster.submit(makeJob("job", 16, twoAccelerators, 5s));
            cluster.run(400ms);
            for (std::size_t host = 0; host < hosts / 2; ++host) {
                cluster.disturbCalls(host, CallFault::Unhealthy, 2s);
            }
            cluster.run(500ms);
            cluster.faults_ = {};
            cluster.run(8s);
        });
    }

    void stopAnsweredUnhealthyIsNotCarriedOut()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.faults_.delayedOrderRate_ = 0.5;
            cluster.submit(makeJob("job", 16, twoAccelerators, 10s));
            cluster.run(2'200ms);
            cluster.faults_ = {};
            for (std::size_t host = 0; host < hosts; ++host) {
                cluster.disturbCalls(host, CallFault::Unhealthy, 1s);
            }
            cluster.run(20s);
        });
    }

    void callsForAFormerIncarnationDoNotReachTheNextOne()
    {
        forEachSeed([](Cluster &cluster) {
            CrashingTask crash;
            crash.index_ = 0;
            crash.after_ = 330ms;
            crash.downtime_ = 2s;
            crash.sameName_ = true;
            crash.silent_ = true;
            crash.answersStart_ = false;
            const batch::Submission job = makeJob("crashing", 16, {1'000, 1'000, 1}, 150ms);
            cluster.setCrashing(job.id_, crash);
            cluster.submit(job);
            cluster.run(30s);
        });
    }

    void executorThatRefusesConnectionsMayStillRun()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.submit(makeJob("job", 12, twoAccelerators, 4s));
            cluster.run(1s);
            cluster.disturbCalls(0, CallFault::Refusing, 700ms);
            cluster.run(10s);
        });
    }

    void executorThatLeavesRunsOn()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.submit(makeJob("job", 12, twoAccelerators, 4s));
            cluster.run(1s);
            cluster.leave(0, {.runsOn_ = 2s, .messageDelay_ = 1ms, .downtime_ = 3s});
            cluster.run(15s);
        });
    }

    void lateLeaveDoesNotEndTheNextIncarnation()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.leave(0, {.runsOn_ = 1ms, .messageDelay_ = 4s, .downtime_ = 1s, .sameName_ = true});
            cluster.run(2s);
            cluster.submit(makeJob("job", 10, twoAccelerators, 5s));
            cluster.run(15s);
        });
    }

    void frozenAgentDoesNotRetryAStartWhoseLeaseIsOver()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.faults_.delayedOrderRate_ = 1;
            cluster.submit(makeJob("job", 16, twoAccelerators, 300ms));
            cluster.run(300ms);
            cluster.faults_ = {};
            cluster.freezeAgent(0, 12s);
            cluster.run(20s);
        });
    }

    void capacityFromAnOldHeartbeatIsNotUsedAfterACut()
    {
        Duration delay{};
        forEachSeed([&delay](Cluster &cluster) {
            delay += 130ms; // shifts the polls, but not the heartbeat that is lost last
            cluster.run(delay);
            cluster.disconnectExecutor(0, 7'010ms - delay);
            cluster.shrink(0, 0.25, 20s);
            cluster.run(7s - delay);
            cluster.submit(makeJob("job", 16, twoAccelerators, 3s));
            cluster.run(10s);
        });
    }

    void capacityFromAnOldHeartbeatIsNotUsedWhileHeartbeatsAreLost()
    {
        forEachSeed([](Cluster &cluster) {
            cluster.faults_.delayedHeartbeatRate_ = 1;
            cluster.shrink(0, 0.25, 20s);
            cluster.run(4'600ms);
            cluster.submit(makeJob("job", 16, twoAccelerators, 3s));
            cluster.run(10s);
        });
    }

private:
    template<class Scenario>
    static void forEachSeed(Scenario scenario)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster(hosts, seed);
            scenario(cluster);
            expectNoViolation(cluster);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchIncidentRegressionTest);

}
