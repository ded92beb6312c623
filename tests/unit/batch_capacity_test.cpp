#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector twoAccelerators{4'000, 9'000, 2};
constexpr batch::ResourceVector fullCapacity{64'000, 131'072, 8};
constexpr batch::ResourceVector halfCapacity{32'000, 65'536, 4};

}

/// Executors whose capacity shrinks and grows while they run.
class BatchCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchCapacityTest);
    CPPUNIT_TEST(runsBeyondShrunkCapacityWait);
    CPPUNIT_TEST(grownCapacityIsUsedAgain);
    CPPUNIT_TEST(stoppingRunsCountAgainstShrunkCapacity);
    CPPUNIT_TEST(runsThatWaitForTheirCommitAreWithdrawn);
    CPPUNIT_TEST(newLeaderKeepsToShrunkCapacity);
    CPPUNIT_TEST(capacityHoldsUnderStoreFaultsAndNewLeaders);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsBeyondShrunkCapacityWait()
    {
        LeaderBench bench(1);
        bench.submitAndStart(makeJob("first", 2, twoAccelerators, 60s));
        bench.setCapacity(0, halfCapacity);
        bench.advanceTime(100ms);
        bench.submit(makeJob("second", 1, twoAccelerators, 60s));
        bench.advanceTime(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("first").size());
        CPPUNIT_ASSERT(bench.running("second").empty());
    }

    void grownCapacityIsUsedAgain()
    {
        LeaderBench bench(1);
        bench.setCapacity(0, {0, 0, 0});
        bench.advanceTime(100ms);
        bench.submit(makeJob("first", 1, twoAccelerators, 60s));
        bench.advanceTime(2s);
        CPPUNIT_ASSERT(bench.running("first").empty());
        bench.setCapacity(0, fullCapacity);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("first").size());
    }

    void stoppingRunsCountAgainstShrunkCapacity()
    {
        LeaderBench bench(1);
        bench.submitAndStart(makeJob("low", 4, twoAccelerators, 60s));
        bench.delayedStopIndex_ = 0;
        bench.setCapacity(0, halfCapacity);
        bench.advanceTime(100ms);
        bench.submit(urgentJob("urgent", 2, twoAccelerators, 2s));
        bench.advanceTime(2s);
        CPPUNIT_ASSERT(bench.running("low").size() + bench.running("urgent").size() <= 2);
    }

    void runsThatWaitForTheirCommitAreWithdrawn()
    {
        LeaderBench bench(2);
        bench.setCapacity(1, {0, 0, 0});
        bench.advanceTime(100ms);
        bench.storeIsSlow_ = true;
        bench.submit(makeJob("job", 1, wholeExecutor, 60s));
        bench.setCapacity(0, halfCapacity);
        bench.setCapacity(1, fullCapacity);
        bench.advanceTime(300ms);
        bench.answerCommit(0, true);
        bench.storeIsSlow_ = false;
        while (!bench.pendingCommits().empty()) {
            bench.answerCommit(0, true);
        }
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.executorsOf("job") == std::set<std::size_t>{1});
    }

    void newLeaderKeepsToShrunkCapacity()
    {
        Cluster cluster(2, 1);
        cluster.submit(makeJob("first", 8, twoAccelerators, 60s));
        cluster.run(1s);
        cluster.setCapacity(0, halfCapacity);
        cluster.replaceLeader(300ms, true);
        cluster.submit(makeJob("second", 4, twoAccelerators, 5s));
        cluster.run(60s);
        for (const std::string &violation : cluster.violations()) {
            CPPUNIT_FAIL(violation);
        }
    }

    void capacityHoldsUnderStoreFaultsAndNewLeaders()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster(4, seed);
            cluster.faults_.lostReplyRate_ = 0.2;
            cluster.faults_.delayedWriteRate_ = 0.2;
            for (int round = 0; round < 20; ++round) {
                batch::Submission job = makeJob("job-" + std::to_string(round), 4, twoAccelerators, 2s);
                job.queue_ = "h/" + std::to_string(round % 3) + "/";
                cluster.submit(job);
                cluster.setCapacity((seed + static_cast<std::uint64_t>(round)) % 4,
                                    round % 3 == 0       ? fullCapacity
                                        : round % 3 == 1 ? halfCapacity
                                                         : twoAccelerators);
                if (round % 5 == 4) {
                    cluster.faults_.storeDownUntil_ = cluster.now() + 6s;
                }
                if (round % 7 == 6) {
                    cluster.replaceLeader(300ms, true);
                    cluster.run(301ms);
                }
                cluster.run(700ms);
            }
            for (const std::string &violation : cluster.violations()) {
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + violation);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchCapacityTest);

}
