#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector oneAccelerator{100, 100, 1};

}

/// Tests of the leader's commits while the store takes long to answer.
class BatchCommitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchCommitTest);
    CPPUNIT_TEST(jobDoesNotWaitForTheCommitOfAnother);
    CPPUNIT_TEST(noJobIsInTwoCommits);
    CPPUNIT_TEST(commitsInFlightAreBounded);
    CPPUNIT_TEST(failedCommitIsRepeatedBesideOthers);
    CPPUNIT_TEST(cancellationOfAJobThatIsNotStoredIsRemovedAtLast);
    CPPUNIT_TEST(jobThatIsStoredAfterItsCancellationIsNotStarted);
    CPPUNIT_TEST(recordsThatCallersWaitForAreWrittenFirst);
    CPPUNIT_TEST(recordsOfAJobThatCanNotBeReadAreKept);
    CPPUNIT_TEST(jobFoundUnreadableAfterItsRecordsIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobDoesNotWaitForTheCommitOfAnother()
    {
        LeaderBench bench(2);
        bench.storeIsSlow_ = true;
        bench.submit(makeJob("first", 1, oneAccelerator, 10s));
        bench.submit(makeJob("second", 1, oneAccelerator, 10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.pendingCommits().size());
        bench.answerCommit(1, true);
        bench.advanceTime(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("second").size());
        CPPUNIT_ASSERT(bench.running("first").empty());
    }

    void noJobIsInTwoCommits()
    {
        LeaderBench bench(2);
        const auto runs = bench.submitAndStart(makeJob("job", 2, oneAccelerator, 10s));
        bench.storeIsSlow_ = true;
        bench.endRun(runs[0], batch::EndKind::Done);
        bench.advanceTime(100ms);
        bench.endRun(runs[1], batch::EndKind::Done);
        bench.advanceTime(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.pendingCommits().size());
        bench.answerCommit(0, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.pendingCommits().size());
        CPPUNIT_ASSERT(bench.pendingCommits()[0].writes_.at(0).progress_.state_ == batch::JobState::Completed);
    }

    void commitsInFlightAreBounded()
    {
        LeaderBench bench(2);
        bench.storeIsSlow_ = true;
        for (std::size_t number = 0; number < 2 * batch::maxCommitsInFlight; ++number) {
            bench.submit(makeJob("job-" + std::to_string(number), 1, oneAccelerator, 10s));
        }
        CPPUNIT_ASSERT_EQUAL(batch::maxCommitsInFlight, bench.pendingCommits().size());
        bench.answerCommit(0, true);
        CPPUNIT_ASSERT_EQUAL(batch::maxCommitsInFlight, bench.pendingCommits().size());
        CPPUNIT_ASSERT_EQUAL(batch::maxCommitsInFlight, bench.pendingCommits().back().writes_.size());
    }

    void failedCommitIsRepeatedBesideOthers()
    {
        LeaderBench bench(2);
        bench.storeIsSlow_ = true;
        bench.submit(makeJob("first", 1, oneAccelerator, 10s));
        bench.submit(makeJob("second", 1, oneAccelerator, 10s));
        bench.answerCommit(0, false);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.pendingCommits().size());
        CPPUNIT_ASSERT(bench.pendingCommits().back().writes_.at(0).job_ == JobId("first"));
    }

    void cancellationOfAJobThatIsNotStoredIsRemovedAtLast()
    {
        LeaderBench bench(1);
        bench.storeIsSlow_ = true;
        bench.step({batch::CancelStored{JobId("unknown")}});
        bench.advanceTime(9min);
        CPPUNIT_ASSERT(bench.pendingCommits().empty());
        bench.advanceTime(2min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.pendingCommits().size());
        CPPUNIT_ASSERT(bench.pendingCommits()[0].writes_.at(0).job_ == JobId("unknown"));
        CPPUNIT_ASSERT(bench.pendingCommits()[0].writes_.at(0).remove_);
    }

    /// After an outage, the end of an urgent job was written behind the changes of others, in the order of their IDs.
    void recordsThatCallersWaitForAreWrittenFirst()
    {
        LeaderBench bench(3);
        const auto ended = bench.submitAndStart(makeJob("y-ended", 1, oneAccelerator, 10s));
        const auto endedUrgent = bench.submitAndStart(urgentJob("z-ended-urgent", 1, oneAccelerator, 10s));
        bench.storeIsSlow_ = true;
        for (std::size_t number = 0; number < batch::maxCommitsInFlight; ++number) {
            bench.submit(makeJob("in-flight-" + std::to_string(number), 1, oneAccelerator, 10s));
        }
        for (std::size_t number = 0; number < 6; ++number) {
            bench.submit(makeJob("a-" + std::to_string(number), 1, oneAccelerator, 10s));
        }
        bench.submit(urgentJob("x-urgent", 1, oneAccelerator, 10s));
        bench.endRun(ended.at(0), batch::EndKind::Done);
        bench.endRun(endedUrgent.at(0), batch::EndKind::Done);
        bench.advanceTime(100ms);
        bench.answerCommit(0, true);
        std::vector<std::string> written;
        for (const batch::ProgressWrite &write : bench.pendingCommits().back().writes_) {
            written.push_back(write.job_.str());
        }
        CPPUNIT_ASSERT(written == std::vector<std::string>({"z-ended-urgent", "y-ended", "x-urgent", "a-0", "a-1"}));
    }

    /// Its crash history, start record, settings and cancellation look like those of a job that isn't stored; the job was deleted with them.
    void recordsOfAJobThatCanNotBeReadAreKept()
    {
        LeaderBench bench(1);
        bench.storeIsSlow_ = true;
        const JobId id("later");
        bench.step({batch::JobUnreadable{id, "version"},
                    batch::JobUnreadable{id, "version"},
                    batch::SettingsStored{{id, {}}},
                    batch::CrashHistoryStored{{id, {}}},
                    batch::StartRecordsStored{{{batch::StartRecord{id, {}, {}}, Duration(0)}}},
                    batch::CancelStored{id}});
        bench.advanceTime(11min);
        CPPUNIT_ASSERT(bench.pendingCommits().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.logged("job-unreadable").size());
    }

    void jobFoundUnreadableAfterItsRecordsIsKept()
    {
        LeaderBench bench(1);
        bench.storeIsSlow_ = true;
        const JobId id("later");
        bench.step({batch::CancelStored{id}});
        bench.step({batch::JobUnreadable{id, "version"}});
        bench.advanceTime(11min);
        CPPUNIT_ASSERT(bench.pendingCommits().empty());
    }

    /// A release that doesn't look for a cancellation may store it.
    void jobThatIsStoredAfterItsCancellationIsNotStarted()
    {
        LeaderBench bench(1);
        bench.step({batch::CancelStored{JobId("job")}});
        CPPUNIT_ASSERT(bench.submitAndStart(makeJob("job", 1, oneAccelerator, 10s)).empty());
        CPPUNIT_ASSERT(bench.cluster().jobs_.at(JobId("job")).progress_.state_ == batch::JobState::Cancelled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchCommitTest);

}
