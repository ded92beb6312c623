#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// Where a task goes after a failure, which may have been the executor's fault: few attempts are left to find that out.
class BatchRetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRetryTest);
    CPPUNIT_TEST(suspectIsTheLastChoice);
    CPPUNIT_TEST(retryKeepsOffExecutorsThatHaveFailedOthers);
    CPPUNIT_TEST(lastAttemptGoesToAProvenExecutor);
    CPPUNIT_TEST(lastAttemptIsMadeWhereNoneHasProvenItself);
    CPPUNIT_TEST(clearedRoomIsTrusted);
    CPPUNIT_TEST_SUITE_END();

public:
    void suspectIsTheLastChoice()
    {
        LeaderBench bench(3);
        const RunId failing = begin(bench, "failing");
        bench.end(failing, batch::EndKind::Failed);
        bench.pass(300ms);
        begin(bench, "next");
        CPPUNIT_ASSERT(!bench.placesOf("next").contains(0));
        begin(bench, "last");
        CPPUNIT_ASSERT(bench.placesOf("last") == std::set<std::size_t>({0}));
    }

    void retryKeepsOffExecutorsThatHaveFailedOthers()
    {
        LeaderBench bench(3);
        for (const RunId &run : bench.begin(makeJob("wide", 2, wholeExecutor, 10s))) {
            bench.end(run, batch::EndKind::Failed);
        }
        bench.pass(600ms);
        CPPUNIT_ASSERT(bench.placesOf("wide") == std::set<std::size_t>({2}));
        bench.pass(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("wide").size());
    }

    void lastAttemptGoesToAProvenExecutor()
    {
        LeaderBench bench(4);
        for (const std::string job : {"a", "b", "c", "proof"}) {
            begin(bench, job);
        }
        bench.end(bench.running("proof").front(), batch::EndKind::Done);
        for (const std::string job : {"a", "b", "c"}) {
            bench.step({batch::CancelStored{JobId(job)}});
        }
        bench.pass(300ms);
        for (const std::size_t place : {0, 1, 3}) {
            if (place == 0) {
                begin(bench, "fragile");
            }
            CPPUNIT_ASSERT(bench.placesOf("fragile") == std::set<std::size_t>({place}));
            bench.end(bench.running("fragile").front(), batch::EndKind::Failed);
            bench.pass(300ms);
        }
    }

    void lastAttemptIsMadeWhereNoneHasProvenItself()
    {
        LeaderBench bench(4);
        begin(bench, "fragile");
        for (int attempt = 0; attempt < 2; ++attempt) {
            bench.end(bench.running("fragile").front(), batch::EndKind::Failed);
            bench.pass(300ms);
        }
        CPPUNIT_ASSERT(bench.running("fragile").empty());
        bench.pass(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("fragile").size());
    }

    void clearedRoomIsTrusted()
    {
        LeaderBench bench(2);
        bench.begin(urgentJob("urgent", 1, wholeExecutor, 5s));
        begin(bench, "filler");
        bench.end(bench.running("urgent").front(), batch::EndKind::Failed);
        bench.pass(800ms);
        CPPUNIT_ASSERT(bench.wasStopped("filler"));
        CPPUNIT_ASSERT(bench.placesOf("urgent") == std::set<std::size_t>({1}));
    }

private:
    static RunId begin(LeaderBench &bench, const std::string &job)
    {
        return bench.begin(makeJob(job, 1, wholeExecutor, 10s)).front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRetryTest);

}
