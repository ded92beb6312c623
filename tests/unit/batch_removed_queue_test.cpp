#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector oneAccelerator{100, 100, 1};
constexpr std::int32_t priority = 1; ///< of the queue of makeJob()
const JobId jobId("job");

}

/// Jobs whose queue isn't in the configuration any more: their next leaders take from it neither attempts, priority nor policy.
class BatchRemovedQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRemovedQueueTest);
    CPPUNIT_TEST(jobKeepsItsAttemptsUnderTheNextLeader);
    CPPUNIT_TEST(jobThatAFormerReleaseAcceptedIsNotFailedForOneFailure);
    CPPUNIT_TEST(settingsAreReadBeforeOrAfterTheirJob);
    CPPUNIT_TEST(settingsOfAQueueInForceGoBeforeThoseOfTheAcceptance);
    CPPUNIT_TEST(settingsAreStoredOnceWithTheFirstRecord);
    CPPUNIT_TEST(adviceIsAskedForUnderTheNextLeader);
    CPPUNIT_TEST(commitsOfRemovalsFitIntoATransaction);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An accepted job was shown as failed after one attempt of three.
    void jobKeepsItsAttemptsUnderTheNextLeader()
    {
        LeaderBench bench(2);
        const RunId run = bench.submitAndStart(makeJob("job", 1, oneAccelerator, 60s)).at(0);
        bench.removeQueue(priority);
        bench.replaceLeaderWithRecords(1s);
        CPPUNIT_ASSERT_EQUAL(priority, bench.cluster().jobs_.at(jobId).settings_.priority_);
        CPPUNIT_ASSERT_EQUAL(3, bench.cluster().jobs_.at(jobId).settings_.maxAttempts_);
        failAndExpectRestart(bench, run);
    }

    void jobThatAFormerReleaseAcceptedIsNotFailedForOneFailure()
    {
        LeaderBench bench(2);
        bench.storesSettings_ = false;
        const RunId run = bench.submitAndStart(makeJob("job", 1, oneAccelerator, 60s)).at(0);
        bench.removeQueue(priority);
        bench.replaceLeaderWithRecords(1s);
        CPPUNIT_ASSERT(bench.cluster().jobs_.at(jobId).settings_.priority_ > 2); // it doesn't go before jobs of queues in force
        failAndExpectRestart(bench, run);
    }

    void settingsAreReadBeforeOrAfterTheirJob()
    {
        for (const bool isBefore : {true, false}) {
            LeaderBench bench(1);
            bench.removeQueue(priority);
            const batch::LeaderInput settings = batch::SettingsStored{{jobId, {ServiceId("service"), 2, 5, 1.5, 7ms, std::nullopt}}};
            const batch::LeaderInput job = batch::JobStored{makeJob("job", 1, oneAccelerator, 60s)};
            bench.step({isBefore ? settings : job});
            bench.step({isBefore ? job : settings});
            CPPUNIT_ASSERT_EQUAL(5, bench.cluster().jobs_.at(jobId).settings_.maxAttempts_);
            CPPUNIT_ASSERT_EQUAL(2, bench.cluster().jobs_.at(jobId).settings_.priority_);
        }
    }

    void settingsOfAQueueInForceGoBeforeThoseOfTheAcceptance()
    {
        LeaderBench bench(1);
        bench.step({batch::JobStored{makeJob("job", 1, oneAccelerator, 60s)}});
        bench.step({batch::SettingsStored{{jobId, {ServiceId("service"), 2, 5, 1.5, 7ms, std::nullopt}}}});
        CPPUNIT_ASSERT_EQUAL(3, bench.cluster().jobs_.at(jobId).settings_.maxAttempts_);
        bench.removeQueue(priority);
        CPPUNIT_ASSERT_EQUAL(5, bench.cluster().jobs_.at(jobId).settings_.maxAttempts_);
    }

    void settingsAreStoredOnceWithTheFirstRecord()
    {
        LeaderBench bench(1);
        bench.storeIsSlow_ = true;
        bench.submit(makeJob("job", 1, oneAccelerator, 60s));
        CPPUNIT_ASSERT(bench.pendingCommits().at(0).writes_.at(0).settings_.has_value());
        bench.answerCommit(0, false);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(bench.pendingCommits().at(0).writes_.at(0).settings_.has_value());
        bench.answerCommit(0, true);
        bench.advanceTime(300ms);
        bench.endRun(bench.running("job").at(0), batch::EndKind::Done);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT(!bench.pendingCommits().at(0).writes_.at(0).settings_.has_value());
    }

    void adviceIsAskedForUnderTheNextLeader()
    {
        LeaderBench bench(1);
        batch::Submission job = makeJob("job", 1, oneAccelerator, 60s);
        job.queue_ = "h/advised/";
        bench.submit(job);
        bench.removeQueue(2); // the queue with a policy has that priority
        bench.replaceLeaderWithRecords(1s);
        const batch::QueueSettings settings{ServiceId("service"), 2, 3, 3, 0ms, batch::PlacementPolicy{10ms, 1ms, 3'000ms}};
        bench.step({batch::SettingsStored{{jobId, settings}}});
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.running("job").empty()); // no start without a ticket
    }

    void commitsOfRemovalsFitIntoATransaction()
    {
        LeaderBench bench(1);
        bench.storeIsSlow_ = true;
        for (int number = 0; number < 20; ++number) {
            bench.step({batch::CancelStored{JobId("unknown-" + std::to_string(number))}});
        }
        bench.advanceTime(11min);
        for (const batch::Commit &commit : bench.pendingCommits()) {
            CPPUNIT_ASSERT(!commit.writes_.empty() && commit.writes_.size() <= 4); // each is one check and six removals, of 31
        }
    }

private:
    static void failAndExpectRestart(LeaderBench &bench, const RunId &run)
    {
        bench.advanceTime(500ms);
        bench.endRun(run, batch::EndKind::Failed);
        bench.advanceTime(2s);
        CPPUNIT_ASSERT(bench.cluster().jobs_.at(jobId).progress_.state_ != batch::JobState::Failed);
        bench.advanceTime(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("job").size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, bench.running("job").at(0).run_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRemovedQueueTest);

}
