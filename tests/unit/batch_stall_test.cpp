#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// Runs that stand still, crawl or fail: who is to blame, how soon it shows, and where the next run goes.
class BatchStallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchStallTest);
    CPPUNIT_TEST(gangKeepsOffTheExecutorOnWhichAMemberStoodStill);
    CPPUNIT_TEST(gangKeepsOffTheExecutorOnWhichAMemberFailed);
    CPPUNIT_TEST(quickTaskThatStopsShortIsMovedSoon);
    CPPUNIT_TEST(slowTaskIsGivenTime);
    CPPUNIT_TEST(restoredTaskIsGivenTime);
    CPPUNIT_TEST(reportsThatAreHeldUpProveNothing);
    CPPUNIT_TEST(crawlingMemberIsMoved);
    CPPUNIT_TEST(memberSomewhatSlowerGoesOn);
    CPPUNIT_TEST(crawlingMemberNearItsEndGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void gangKeepsOffTheExecutorOnWhichAMemberStoodStill()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(gangOf("gang", 2, whole, 4s));
        const std::size_t bad = *bench.executorOf(runs[0]);
        for (std::int32_t percent = 5; !bench.wasStopped("gang") && percent < 99; percent += 2) {
            bench.setPercent(runs[1], percent);
            bench.advanceTime(100ms);
        }
        CPPUNIT_ASSERT(bench.wasStopped("gang"));
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.executorsOf("gang").size());
        CPPUNIT_ASSERT(!bench.executorsOf("gang").contains(bad));
    }

    void gangKeepsOffTheExecutorOnWhichAMemberFailed()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(gangOf("gang", 2, whole, 4s));
        const std::size_t bad = *bench.executorOf(runs[0]);
        bench.endRun(runs[0], batch::EndKind::Failed);
        bench.advanceTime(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.executorsOf("gang").size());
        CPPUNIT_ASSERT(!bench.executorsOf("gang").contains(bad));
    }

    void quickTaskThatStopsShortIsMovedSoon()
    {
        LeaderBench bench(2);
        begin(bench, "quick", 10s);
        progressQuickly(bench, "quick");
        bench.advanceTime(900ms);
        CPPUNIT_ASSERT(!bench.wasStopped("quick"));
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT(bench.wasStopped("quick"));
    }

    void slowTaskIsGivenTime()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "slow", 200s);
        for (std::int32_t percent = 1; percent < 6; ++percent) {
            bench.setPercent(run, percent);
            bench.advanceTime(2s);
        }
        CPPUNIT_ASSERT(!bench.wasStopped("slow"));
    }

    void restoredTaskIsGivenTime()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "restored", 10s);
        bench.setPercent(run, 40); // what its checkpoint had saved
        bench.advanceTime(2s);
        CPPUNIT_ASSERT(!bench.wasStopped("restored"));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.wasStopped("restored"));
    }

    void reportsThatAreHeldUpProveNothing()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "held-up", 10s);
        progressQuickly(bench, "held-up");
        const std::size_t place = *bench.executorOf(run);
        bench.setSilent(place, true);
        bench.advanceTime(1200ms);
        bench.setPercent(run, 32);
        bench.setSilent(place, false);
        bench.advanceTime(200ms);
        CPPUNIT_ASSERT(!bench.wasStopped("held-up"));
    }

    void crawlingMemberIsMoved()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(gangOf("gang", 2, whole, 6s));
        const std::size_t slow = *bench.executorOf(runs[1]);
        advance(bench, runs, 3, 0.5, 2s);
        CPPUNIT_ASSERT(bench.wasStopped("gang"));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(!bench.executorsOf("gang").contains(slow));
    }

    void memberSomewhatSlowerGoesOn()
    {
        LeaderBench bench(5);
        advance(bench, bench.submitAndStart(gangOf("gang", 2, whole, 6s)), 3, 1.8, 5s);
        CPPUNIT_ASSERT(!bench.wasStopped("gang"));
    }

    void crawlingMemberNearItsEndGoesOn()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(gangOf("gang", 2, whole, 6s));
        advance(bench, runs, 3, 2.8, 3s);
        for (std::int32_t percent = 85; percent < 99; ++percent) {
            bench.setPercent(runs[0], 99);
            bench.setPercent(runs[1], percent);
            bench.advanceTime(300ms);
        }
        CPPUNIT_ASSERT(!bench.wasStopped("gang"));
    }

private:
    static RunId begin(LeaderBench &bench, const std::string &job, milliseconds estimate)
    {
        return bench.submitAndStart(jobOf(job, 1, whole, estimate)).front();
    }

    /// Lets the job's task come to 19 % in steps of 100 ms.
    static void progressQuickly(LeaderBench &bench, const std::string &job)
    {
        for (std::int32_t percent = 1; percent < 20; ++percent) {
            bench.setPercent(bench.running(job).front(), percent);
            bench.advanceTime(100ms);
        }
    }

    /// Lets the first run progress by \p fast percent each 100 ms and the second by \p slow.
    static void advance(LeaderBench &bench, const std::vector<RunId> &runs, double fast, double slow, Duration length)
    {
        double first = 0;
        double second = 0;
        for (Duration passed{0}; passed < length && !bench.wasStopped("gang"); passed += 100ms) {
            first = std::min(99.0, first + fast);
            second = std::min(99.0, second + slow);
            bench.setPercent(runs[0], static_cast<std::int32_t>(first));
            bench.setPercent(runs[1], static_cast<std::int32_t>(second));
            bench.advanceTime(100ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchStallTest);

}
