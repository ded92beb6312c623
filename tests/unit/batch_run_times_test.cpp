#include "core/batch/run_times.h"

#include "batch/leader_bench.h"
#include "support/expect.h"

#include <random>

namespace bergamotwick::test {

namespace {

const std::string queue = "h/0/";

}

/// What estimates are worth, and what the leader does with that.
class BatchRunTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRunTimesTest);
    CPPUNIT_TEST(estimateIsBelievedAtFirst);
    CPPUNIT_TEST(goodEstimatesStayBelieved);
    CPPUNIT_TEST(uselessEstimatesGiveWayToTheUsualTime);
    CPPUNIT_TEST(queuesAreLearnedApart);
    CPPUNIT_TEST(lateWorkStopsNothing);
    CPPUNIT_TEST(gangKeepsToItsRackInABusyFleet);
    CPPUNIT_TEST(urgentWorkKeepsOffSlowExecutors);
    CPPUNIT_TEST_SUITE_END();

public:
    void estimateIsBelievedAtFirst()
    {
        CPPUNIT_ASSERT(batch::RunTimes().expected(queue, 700ms) == 700ms);
    }

    void goodEstimatesStayBelieved()
    {
        batch::RunTimes times;
        for (const milliseconds length : {500ms, 1'000ms, 2'000ms, 4'000ms, 8'000ms}) {
            times.record(queue, length, length * 11 / 10);
        }
        CPPUNIT_ASSERT(times.expected(queue, 500ms) < 650ms);
        CPPUNIT_ASSERT(times.expected(queue, 8'000ms) > 7'000ms);
    }

    void uselessEstimatesGiveWayToTheUsualTime()
    {
        batch::RunTimes times;
        std::mt19937_64 random(1);
        std::uniform_real_distribution<double> off(-2.3, 2.3); // ten times too low to ten times too high
        for (int run = 0; run < 40; ++run) {
            times.record(queue, milliseconds(static_cast<int>(7'000 * std::exp(off(random)))), 7s);
        }
        for (const milliseconds estimate : {700ms, 7'000ms, 70'000ms}) {
            CPPUNIT_ASSERT(times.expected(queue, estimate) > 4'500ms);
            CPPUNIT_ASSERT(times.expected(queue, estimate) < 10'500ms);
        }
    }

    void queuesAreLearnedApart()
    {
        batch::RunTimes times;
        times.record("other", 1s, 10s);
        CPPUNIT_ASSERT(times.expected(queue, 1s) == 1s);
    }

    void lateWorkStopsNothing()
    {
        LeaderBench bench(1);
        (void)bench.submitAndStart(jobOf("bulk", 1, whole, 100s));
        bench.submit(withoutGuarantee(urgentJob("late", 1, whole, 4s)), 9s); // its objective is three times its length
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(!bench.wasStopped("bulk"));
        bench.submit(withoutGuarantee(urgentJob("in time", 1, whole, 4s)));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.wasStopped("bulk"));
    }

    void gangKeepsToItsRackInABusyFleet()
    {
        LeaderBench bench(4);
        for (std::size_t executor = 0; executor < 4; ++executor) {
            bench.setRack(executor, executor < 2 ? "r1" : "r2");
        }
        bench.advanceTime(600ms);
        for (const char *name : {"a", "b", "c", "d"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.submitAndStart(jobOf(name, 1, {100, 100, 6}, 100s)).size());
            bench.progressAll(2);
        }
        batch::Submission gang = gangOf("gang", 3, {100, 100, 2}, 1s);
        gang.steps_[0].sameRack_ = true;
        bench.submit(gang);
        for (int half = 0; half < 3; ++half) { // half of the two seconds that it would lose elsewhere are over
            bench.progressAll(2);
            bench.advanceTime(500ms);
        }
        CPPUNIT_ASSERT(bench.running("gang").empty());
        bench.endRun(bench.running("a").front(), batch::EndKind::Done);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.running("gang").size());
    }

    void urgentWorkKeepsOffSlowExecutors()
    {
        LeaderBench bench(3);
        for (int job = 0; job < 2; ++job) {
            const auto runs = bench.submitAndStart(jobOf("job-" + std::to_string(job), 3, whole, 10s));
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
        (void)bench.submitAndStart(urgentJob("urgent", 2, whole, 1s));
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
