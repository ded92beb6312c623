#include "core/batch/run_times.h"

#include "batch/leader_bench.h"
#include "support/expect.h"

#include <random>

namespace bergamotwick::test {

namespace {

const std::string queue = "h/0/";

}

/// Tests the prediction of run times and of the speed of executors, and the decisions that use them.
class BatchRunTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRunTimesTest);
    CPPUNIT_TEST(estimateIsUsedWithoutRuns);
    CPPUNIT_TEST(accurateEstimatesAreKept);
    CPPUNIT_TEST(uninformativeEstimatesYieldToTheUsualRunTime);
    CPPUNIT_TEST(queuesAreLearnedSeparately);
    CPPUNIT_TEST(lateWorkPreemptsNothing);
    CPPUNIT_TEST(gangWaitsLongerForItsRackInABusyFleet);
    CPPUNIT_TEST(urgentWorkAvoidsSlowExecutors);
    CPPUNIT_TEST_SUITE_END();

public:
    void estimateIsUsedWithoutRuns()
    {
        CPPUNIT_ASSERT(batch::RunTimes().expected(queue, 700ms) == 700ms);
    }

    void accurateEstimatesAreKept()
    {
        batch::RunTimes times;
        for (const milliseconds runTime : {500ms, 1'000ms, 2'000ms, 4'000ms, 8'000ms}) {
            times.record(queue, runTime, runTime * 11 / 10);
        }
        CPPUNIT_ASSERT(times.expected(queue, 500ms) < 650ms);
        CPPUNIT_ASSERT(times.expected(queue, 8'000ms) > 7'000ms);
    }

    void uninformativeEstimatesYieldToTheUsualRunTime()
    {
        batch::RunTimes times;
        std::mt19937_64 random(1);
        std::uniform_real_distribution<double> logError(-2.3, 2.3); // from a tenth to ten times the run time
        for (int run = 0; run < 40; ++run) {
            times.record(queue, milliseconds(static_cast<int>(7'000 * std::exp(logError(random)))), 7s);
        }
        for (const milliseconds estimate : {700ms, 7'000ms, 70'000ms}) {
            CPPUNIT_ASSERT(times.expected(queue, estimate) > 4'500ms);
            CPPUNIT_ASSERT(times.expected(queue, estimate) < 10'500ms);
        }
    }

    void queuesAreLearnedSeparately()
    {
        batch::RunTimes times;
        times.record("other", 1s, 10s);
        CPPUNIT_ASSERT(times.expected(queue, 1s) == 1s);
    }

    void lateWorkPreemptsNothing()
    {
        LeaderBench bench(1);
        (void)bench.submitAndStart(makeJob("bulk", 1, wholeExecutor, 100s));
        bench.submit(withoutGuarantee(urgentJob("late", 1, wholeExecutor, 4s)), 9s); // its objective is three times its estimate
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(!bench.wasStopped("bulk"));
        bench.submit(withoutGuarantee(urgentJob("in time", 1, wholeExecutor, 4s)));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.wasStopped("bulk"));
    }

    void gangWaitsLongerForItsRackInABusyFleet()
    {
        LeaderBench bench(4);
        for (std::size_t executor = 0; executor < 4; ++executor) {
            bench.setRack(executor, executor < 2 ? "r1" : "r2");
        }
        bench.advanceTime(600ms);
        for (const char *name : {"a", "b", "c", "d"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.submitAndStart(makeJob(name, 1, {100, 100, 6}, 100s)).size());
            bench.progressAll(2);
        }
        batch::Submission gang = makeGang("gang", 3, {100, 100, 2}, 1s);
        gang.steps_[0].sameRack_ = true;
        bench.submit(gang);
        for (int half = 0; half < 3; ++half) { // 1.5 s: more than half of the 2 s that it would lose elsewhere
            bench.progressAll(2);
            bench.advanceTime(500ms);
        }
        CPPUNIT_ASSERT(bench.running("gang").empty());
        bench.endRun(bench.running("a").front(), batch::EndKind::Done);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.running("gang").size());
    }

    void urgentWorkAvoidsSlowExecutors()
    {
        LeaderBench bench(3);
        for (int job = 0; job < 2; ++job) {
            const auto runs = bench.submitAndStart(makeJob("job-" + std::to_string(job), 3, wholeExecutor, 10s));
            for (std::int32_t percent = 4; percent <= 72; percent += 4) {
                for (const RunId &run : runs) {
                    bench.setPercent(run, *bench.executorOf(run) == 0 ? percent * 10 / 13 : percent);
                }
                bench.advanceTime(200ms);
            }
            for (const RunId &run : runs) {
                bench.endRun(run, batch::EndKind::Done);
            }
            bench.advanceTime(200ms);
        }
        (void)bench.submitAndStart(urgentJob("urgent", 2, wholeExecutor, 1s));
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({1, 2}));
    }

private:
    static batch::Submission withoutGuarantee(batch::Submission job)
    {
        job.workspace_ = WorkspaceId("other");
        return job;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRunTimesTest);

}
