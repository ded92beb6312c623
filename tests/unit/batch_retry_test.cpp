#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// Placement after a failed run. As the executor may have caused the failure, retries avoid suspect executors while attempts are left.
class BatchRetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRetryTest);
    CPPUNIT_TEST(suspectExecutorIsUsedLast);
    CPPUNIT_TEST(retryAvoidsExecutorsWithFailures);
    CPPUNIT_TEST(retriesUseExecutorsWithRecentSuccess);
    CPPUNIT_TEST(lastAttemptFallsBackToAnyExecutor);
    CPPUNIT_TEST(retryUsesPreemptedResources);
    CPPUNIT_TEST_SUITE_END();

public:
    void suspectExecutorIsUsedLast()
    {
        LeaderBench bench(3);
        const RunId failing = submitAndStart(bench, "failing");
        bench.endRun(failing, batch::EndKind::Failed);
        bench.advanceTime(300ms);
        submitAndStart(bench, "next");
        CPPUNIT_ASSERT(!bench.executorsOf("next").contains(0));
        submitAndStart(bench, "last");
        CPPUNIT_ASSERT(bench.executorsOf("last") == std::set<std::size_t>({0}));
    }

    void retryAvoidsExecutorsWithFailures()
    {
        LeaderBench bench(3);
        for (const RunId &run : bench.submitAndStart(makeJob("wide", 2, wholeExecutor, 10s))) {
            bench.endRun(run, batch::EndKind::Failed);
        }
        bench.advanceTime(600ms);
        CPPUNIT_ASSERT(bench.executorsOf("wide") == std::set<std::size_t>({2}));
        bench.advanceTime(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("wide").size());
    }

    void retriesUseExecutorsWithRecentSuccess()
    {
        LeaderBench bench(4);
        for (const std::string job : {"a", "b", "proof", "proof-2"}) {
            submitAndStart(bench, job);
        }
        bench.endRun(bench.running("proof").front(), batch::EndKind::Done);
        bench.endRun(bench.running("proof-2").front(), batch::EndKind::Done);
        for (const std::string job : {"a", "b"}) {
            bench.step({batch::CancelStored{JobId(job)}});
        }
        bench.advanceTime(300ms);
        for (const std::size_t executor : {0, 2, 3}) {
            if (executor == 0) {
                submitAndStart(bench, "fragile");
            }
            CPPUNIT_ASSERT(bench.executorsOf("fragile") == std::set<std::size_t>({executor}));
            bench.endRun(bench.running("fragile").front(), batch::EndKind::Failed);
            bench.advanceTime(300ms);
        }
    }

    void lastAttemptFallsBackToAnyExecutor()
    {
        LeaderBench bench(4);
        submitAndStart(bench, "fragile");
        for (int attempt = 0; attempt < 2; ++attempt) {
            bench.endRun(bench.running("fragile").front(), batch::EndKind::Failed);
            bench.advanceTime(300ms);
        }
        CPPUNIT_ASSERT(bench.running("fragile").empty());
        bench.advanceTime(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("fragile").size());
    }

    void retryUsesPreemptedResources()
    {
        LeaderBench bench(2);
        bench.submitAndStart(urgentJob("urgent", 1, wholeExecutor, 5s));
        submitAndStart(bench, "filler");
        bench.endRun(bench.running("urgent").front(), batch::EndKind::Failed);
        bench.advanceTime(800ms);
        CPPUNIT_ASSERT(bench.wasStopped("filler"));
        CPPUNIT_ASSERT(bench.executorsOf("urgent") == std::set<std::size_t>({1}));
    }

private:
    static RunId submitAndStart(LeaderBench &bench, const std::string &job)
    {
        return bench.submitAndStart(makeJob(job, 1, wholeExecutor, 10s)).front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRetryTest);

}
