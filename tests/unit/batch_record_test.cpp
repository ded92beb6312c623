#include "batch/leader_bench.h"
#include "core/batch/codec.h"
#include "core/batch/record.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector oneAccelerator{100, 100, 1};
constexpr std::size_t maxBytes = 1'048'576;

/// Returns the progress of \p job with as much in the record of each task as a run leaves there; \p assigned tasks of it are at work.
batch::Progress largestProgress(const batch::Submission &job, std::size_t tasks, std::size_t assigned)
{
    batch::Progress progress;
    progress.id_ = job.id_;
    progress.tasks_.resize(tasks);
    for (std::size_t index = 0; index < tasks; ++index) {
        batch::TaskProgress &task = progress.tasks_[index];
        task.run_ = 9;
        task.failedRuns_ = {1, 2, 3, 4};
        task.checkpoint_ = job.steps_[0].checkpointable_ ? std::string(64, 'c') : "";
        task.placement_ = {ExecutorId(std::string(64, 'e')), 1, std::string(64, 'h')};
        task.assigned_ = index < assigned;
    }
    return progress;
}

}

/// Tests that what a job's record may become is known when it is handed in, and kept to.
class BatchRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRecordTest);
    CPPUNIT_TEST(largestAcceptedJobFitsTheStoreWhateverBecomesOfIt);
    CPPUNIT_TEST(largestAcceptedGangFitsTheStore);
    CPPUNIT_TEST(lastingTasksThatCouldNotAllRunAreRefused);
    CPPUNIT_TEST(longSubmissionIsRefused);
    CPPUNIT_TEST(recordDoesNotGrowWithTasksThatAreDone);
    CPPUNIT_TEST(tasksAreAssignedOnlyAsFarAsTheRecordHolds);
    CPPUNIT_TEST(gangThatTheRecordDoesNotHoldWaits);
    CPPUNIT_TEST(jobNearTheBoundCompletesWithoutARejection);
    CPPUNIT_TEST_SUITE_END();

public:
    void largestAcceptedJobFitsTheStoreWhateverBecomesOfIt()
    {
        for (const bool checkpoints : {false, true}) {
            batch::Submission job = makeJob("00000000000000aa", 100'000, oneAccelerator, 10s);
            job.steps_[0].checkpointable_ = checkpoints;
            const auto excess = batch::recordExcess(job, maxBytes);
            CPPUNIT_ASSERT(excess && excess->kind_ == batch::ExcessKind::Tasks);
            CPPUNIT_ASSERT_EQUAL(std::size_t{100'000}, excess->found_);
            CPPUNIT_ASSERT_EQUAL(std::size_t{checkpoints ? 8'366U : 20'006U}, excess->limit_);
            job.steps_[0].count_ = static_cast<std::uint32_t>(excess->limit_);
            CPPUNIT_ASSERT(!batch::recordExcess(job, maxBytes));
            CPPUNIT_ASSERT(batch::encode(batch::recordOf(largestProgress(job, excess->limit_, 1'000))).size() <= maxBytes);
            ++job.steps_[0].count_;
            CPPUNIT_ASSERT(batch::recordExcess(job, maxBytes).has_value());
        }
    }

    void largestAcceptedGangFitsTheStore()
    {
        for (const bool checkpoints : {false, true}) {
            const std::uint32_t tasks = checkpoints ? 4'404 : 6'024;
            batch::Submission job = makeGang("00000000000000aa", tasks, oneAccelerator, 10s);
            job.steps_[0].checkpointable_ = checkpoints;
            CPPUNIT_ASSERT(!batch::recordExcess(job, maxBytes));
            CPPUNIT_ASSERT(batch::encode(batch::recordOf(largestProgress(job, tasks, tasks))).size() <= maxBytes);
            ++job.steps_[0].count_;
            const auto excess = batch::recordExcess(job, maxBytes);
            CPPUNIT_ASSERT(excess && excess->kind_ == batch::ExcessKind::TasksAtOnce);
        }
    }

    void lastingTasksThatCouldNotAllRunAreRefused()
    {
        batch::Submission job = makeJob("00000000000000aa", 16'000, oneAccelerator, 10s);
        CPPUNIT_ASSERT(!batch::recordExcess(job, maxBytes));
        job.steps_[0].longRunning_ = true;
        const auto excess = batch::recordExcess(job, maxBytes);
        CPPUNIT_ASSERT(excess && excess->kind_ == batch::ExcessKind::TasksAtOnce);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16'000}, excess->found_);
    }

    void longSubmissionIsRefused()
    {
        batch::Submission job = makeJob("00000000000000aa", 1, oneAccelerator, 10s);
        job.steps_[0].image_.assign(maxBytes, 'x');
        const auto excess = batch::recordExcess(job, maxBytes);
        CPPUNIT_ASSERT(excess && excess->kind_ == batch::ExcessKind::Submission);
        CPPUNIT_ASSERT_EQUAL(batch::encode(job).size(), excess->found_);
    }

    void recordDoesNotGrowWithTasksThatAreDone()
    {
        const batch::Submission job = makeJob("00000000000000aa", 1'000, oneAccelerator, 10s);
        batch::Progress progress = largestProgress(job, 1'000, 0);
        batch::Progress empty = progress;
        empty.tasks_.assign(1'000, {});
        for (batch::TaskProgress &task : progress.tasks_) {
            task.done_ = true;
        }
        CPPUNIT_ASSERT_EQUAL(batch::encode(empty).size(), batch::encode(batch::recordOf(progress)).size());
    }

    void tasksAreAssignedOnlyAsFarAsTheRecordHolds()
    {
        const batch::Submission job = makeJob("00000000000000aa", 16'000, oneAccelerator, 10s);
        CPPUNIT_ASSERT(!batch::recordExcess(job, maxBytes));
        std::vector<std::size_t> all(16'000);
        for (std::size_t index = 0; index < all.size(); ++index) {
            all[index] = index;
        }
        batch::Progress progress;
        progress.tasks_.resize(all.size());
        const std::size_t fitting = batch::tasksWithinRecord(job, progress, all, false, maxBytes).size();
        CPPUNIT_ASSERT(fitting >= 1'000 && fitting < all.size());
        CPPUNIT_ASSERT(batch::tasksWithinRecord(job, largestProgress(job, all.size(), fitting), {fitting, fitting + 1}, false, maxBytes).empty());
    }

    void gangThatTheRecordDoesNotHoldWaits()
    {
        const batch::Submission job = makeJob("00000000000000aa", 16'000, oneAccelerator, 10s);
        batch::Progress progress;
        progress.tasks_.resize(16'000);
        std::vector<std::size_t> gang(6'000);
        for (std::size_t index = 0; index < gang.size(); ++index) {
            gang[index] = index;
        }
        CPPUNIT_ASSERT(batch::tasksWithinRecord(job, progress, gang, true, maxBytes).empty());
        gang.resize(1'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, batch::tasksWithinRecord(job, progress, gang, true, maxBytes).size());
    }

    void jobNearTheBoundCompletesWithoutARejection()
    {
        LeaderBench bench(1);
        bench.setCapacity(0, {1'000'000, 1'000'000, 20'000});
        bench.report(0).agent_.assign(64, 'h');
        bench.report(0).executor_.incarnation_ = {ExecutorId(std::string(64, 'e')), 1, bench.report(0).agent_};
        bench.advanceTime(2s); // until the executor with a short name counts as silent
        bench.submit(makeJob("00000000000000aa", 7'000, {1, 1, 1}, 10s));
        const auto &job = bench.cluster().jobs_.at(JobId("00000000000000aa"));
        for (int round = 0; round < 20 && job.progress_.state_ != batch::JobState::Completed; ++round) {
            bench.advanceTime(300ms);
            for (const RunId &run : bench.running("00000000000000aa")) {
                bench.endRun(run, batch::EndKind::Done);
            }
            bench.advanceTime(100ms);
        }
        CPPUNIT_ASSERT(job.progress_.state_ == batch::JobState::Completed);
        CPPUNIT_ASSERT(bench.rejectedCommits().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRecordTest);

}
