#include "batch/leader_bench.h"
#include "core/batch/record.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector oneAccelerator{100, 100, 1};
constexpr std::size_t maxRecordBytes = 1'000;
constexpr std::uint32_t tooManyTasks = 40; ///< for a record of that size
constexpr std::size_t placeBytes = std::string_view("x0host-0").size(); ///< by which a record is larger while a task is assigned

}

/// Tests of the leader while the store rejects the record of a job, as it does with a value that is too large.
class BatchRejectedRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRejectedRecordTest);
    CPPUNIT_TEST(rejectedRecordHoldsUpNoOtherJob);
    CPPUNIT_TEST(rejectedRecordIsNamedAndNotRepeatedWithoutAChange);
    CPPUNIT_TEST(rejectedJobOccupiesNothing);
    CPPUNIT_TEST(recordThatGrewTooLargeIsStoredWithoutWhatItGrewBy);
    CPPUNIT_TEST(rejectedRecordHoldsUpNoHandover);
    CPPUNIT_TEST(cancelledJobWithRejectedRecordIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void rejectedRecordHoldsUpNoOtherJob()
    {
        LeaderBench bench(4);
        submitTogether(bench);
        bench.advanceTime(1s);
        for (const char *id : {"a", "c", "d", "e"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::size_t{1}, bench.running(id).size());
        }
        CPPUNIT_ASSERT(bench.running("b").empty());
        for (const char *id : {"a", "c", "d", "e"}) {
            bench.endRun(bench.running(id).front(), batch::EndKind::Done);
        }
        bench.submit(makeJob("f", 1, oneAccelerator, 10s));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("f").size());
        for (const char *id : {"a", "c", "d", "e"}) {
            CPPUNIT_ASSERT_MESSAGE(id, bench.cluster().jobs_.at(JobId(id)).progress_.state_ == batch::JobState::Completed);
            CPPUNIT_ASSERT_MESSAGE(id, !bench.cluster().jobs_.at(JobId(id)).hasUnstoredChanges());
        }
    }

    void rejectedRecordIsNamedAndNotRepeatedWithoutAChange()
    {
        LeaderBench bench(4);
        submitTogether(bench);
        bench.advanceTime(60s);
        // Together with the others, then alone, then alone without the runs that weren't stored.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.rejectedCommits().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.rejectedCommits()[1].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.rejectedCommits()[2].size());
        const auto events = bench.logged("record-rejected");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), events[0].fields_.at(0).second);
    }

    void rejectedJobOccupiesNothing()
    {
        LeaderBench bench(1);
        bench.maxRecordBytes_ = maxRecordBytes;
        bench.submit(makeJob("large", tooManyTasks, oneAccelerator, 10s));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.cluster().runs_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, bench.submitAndStart(makeJob("next", 8, oneAccelerator, 10s)).size());
    }

    void recordThatGrewTooLargeIsStoredWithoutWhatItGrewBy()
    {
        LeaderBench bench(1);
        const auto runs = bench.submitAndStart(makeJob("job", 16, oneAccelerator, 10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, runs.size());
        bench.maxRecordBytes_ = batch::encode(batch::recordOf(bench.cluster().jobs_.at(JobId("job")).progress_)).size() - placeBytes;
        bench.endRun(runs[0], batch::EndKind::Done);
        bench.advanceTime(2s);
        const batch::Job &job = bench.cluster().jobs_.at(JobId("job"));
        CPPUNIT_ASSERT(job.progress_.tasks_[runs[0].task_.index_].done_);
        CPPUNIT_ASSERT(!job.hasUnstoredChanges());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.rejectedCommits().size());
    }

    void rejectedRecordHoldsUpNoHandover()
    {
        LeaderBench bench(4);
        submitTogether(bench);
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.isFullyCommitted());
    }

    void cancelledJobWithRejectedRecordIsRemoved()
    {
        LeaderBench bench(4);
        submitTogether(bench);
        bench.advanceTime(1s);
        bench.step({batch::CancelStored{JobId("b")}});
        bench.advanceTime(batch::LeaderLimits().statusRetention_ + 10s);
        CPPUNIT_ASSERT(!bench.cluster().jobs_.contains(JobId("b")));
    }

private:
    /// Submits five jobs that the leader writes in one commit; the record of "b" is too large for the store.
    static void submitTogether(LeaderBench &bench)
    {
        bench.maxRecordBytes_ = maxRecordBytes;
        std::vector<batch::LeaderInput> jobs;
        for (const char *id : {"a", "b", "c", "d", "e"}) {
            jobs.emplace_back(batch::JobStored{makeJob(id, id == std::string("b") ? tooManyTasks : 1, oneAccelerator, 10s)});
        }
        bench.step(std::move(jobs));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRejectedRecordTest);

}
