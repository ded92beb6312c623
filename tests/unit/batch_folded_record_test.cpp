#include "batch/leader_bench.h"
#include "core/batch/folded_record.h"
#include "core/batch/framing.h"
#include "support/expect.h"

#include <random>

namespace bergamotwick::test {

namespace {

constexpr std::size_t maxBytes = 1'048'576;
constexpr std::uint32_t minutesOfAMonth = 43'200;
constexpr batch::ResourceVector smallDemand{1'000, 1'000, 1};

/// Returns a job of one task that runs \p repeats times.
batch::Submission makePeriodicJob(std::uint32_t repeats, milliseconds interval)
{
    batch::Submission job = makeJob("periodic", 1, smallDemand, 500ms);
    job.repeats_ = repeats;
    job.firstRun_ = batch::CalendarTime(1h);
    job.interval_ = interval;
    return job;
}

batch::TaskProgress makeTask(std::mt19937_64 &random)
{
    batch::TaskProgress task;
    switch (random() % 4) {
    case 0:
        task.run_ = 1;
        task.done_ = true;
        break;
    case 1:
        task.run_ = 3;
        task.failedRuns_ = {1, 2};
        task.assigned_ = true;
        task.placement_ = {ExecutorId("x"), 5, "host"};
        break;
    case 2:
        task.run_ = 2;
        task.checkpoint_ = "checkpoint";
        break;
    default:
        break;
    }
    return task;
}

/// Ends all active runs of the periodic job as done.
void endRuns(LeaderBench &bench)
{
    for (const RunId &run : bench.running("periodic")) {
        bench.endRun(run, batch::EndKind::Done);
    }
}

std::size_t countDone(const LeaderBench &bench)
{
    const auto &tasks = bench.cluster().jobs_.at(JobId("periodic")).progress_.tasks_;
    return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const batch::TaskProgress &task) { return task.done_; }));
}

}

/// Jobs of more tasks than a record has entries for.
class BatchFoldedRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchFoldedRecordTest);
    CPPUNIT_TEST(foldedProgressIsUnfolded);
    CPPUNIT_TEST(damagedProgressIsRejected);
    CPPUNIT_TEST(aJobOnceAMinuteForAMonthIsAccepted);
    CPPUNIT_TEST(formerReleasesCanNotReadALongJob);
    CPPUNIT_TEST(occurrencesRunAndTheirRecordStaysSmall);
    CPPUNIT_TEST(nextLeaderContinuesALongJob);
    CPPUNIT_TEST(newTasksLeaveRoomForThoseThatHaveBegun);
    CPPUNIT_TEST(failuresOfALastingTaskDoNotGrowItsRecord);
    CPPUNIT_TEST_SUITE_END();

public:
    void foldedProgressIsUnfolded()
    {
        std::mt19937_64 random(1);
        for (std::size_t tasks = 0; tasks < 200; ++tasks) {
            batch::Progress progress;
            progress.id_ = JobId("job");
            progress.state_ = batch::JobState::Running;
            progress.started_ = true;
            for (std::size_t task = 0; task < tasks; ++task) {
                progress.tasks_.push_back(makeTask(random));
            }
            const std::string folded = batch::encode(batch::fold(progress));
            const auto unfolded = leaf::try_handle_all(
                [&]() -> Result<std::string> { // its plain bytes
                    BOOST_LEAF_AUTO(value, batch::decodeProgress(folded));
                    return batch::encode(value);
                },
                [] { return std::string("unreadable"); });
            CPPUNIT_ASSERT(batch::encode(progress) == unfolded);
        }
    }

    void damagedProgressIsRejected()
    {
        batch::FoldedProgress folded;
        folded.spans_ = {{batch::SpanKind::NotBegun, 4'000'000'000}};
        CPPUNIT_ASSERT(!batch::unfold(folded));
        folded.spans_ = {{batch::SpanKind::Open, 1}};
        CPPUNIT_ASSERT(!batch::unfold(folded));
        folded.open_.emplace_back();
        CPPUNIT_ASSERT(batch::unfold(folded));
        folded.spans_[0].kind_ = static_cast<batch::SpanKind>(7);
        CPPUNIT_ASSERT(!batch::unfold(folded));
    }

    void aJobOnceAMinuteForAMonthIsAccepted()
    {
        const batch::Submission job = makePeriodicJob(minutesOfAMonth, 1min);
        CPPUNIT_ASSERT(batch::isFolded(job, maxBytes));
        CPPUNIT_ASSERT(!batch::foldedRecordExcess(job, maxBytes));
        CPPUNIT_ASSERT(!batch::isFolded(makePeriodicJob(1'440, 1min), maxBytes));
        CPPUNIT_ASSERT(batch::foldedRecordExcess(makePeriodicJob(1'000'000, 1min), maxBytes));
    }

    void formerReleasesCanNotReadALongJob()
    {
        const std::string bytes = batch::encodeLong(makePeriodicJob(minutesOfAMonth, 1min));
        CPPUNIT_ASSERT(!batch::isOfKind(bytes, batch::PayloadKind::Submission));
        const auto known = leaf::try_handle_all(
            [&]() -> Result<JobId> {
                BOOST_LEAF_AUTO(job, batch::decodeSubmission(bytes));
                return job.id_;
            },
            [] { return JobId(); });
        CPPUNIT_ASSERT(JobId("periodic") == known);
    }

    void occurrencesRunAndTheirRecordStaysSmall()
    {
        LeaderBench bench(2);
        bench.submit(makePeriodicJob(minutesOfAMonth, 600ms));
        for (int beat = 0; beat < 60; ++beat) {
            bench.advanceTime(500ms);
            endRuns(bench);
        }
        CPPUNIT_ASSERT(countDone(bench) >= 40);
        CPPUNIT_ASSERT(bench.rejectedCommits().empty());
        constexpr std::size_t smallRecord = 4'096;
        const batch::Progress record = batch::recordOf(bench.cluster().jobs_.at(JobId("periodic")).progress_);
        CPPUNIT_ASSERT(batch::encode(batch::fold(record)).size() < smallRecord);
    }

    void nextLeaderContinuesALongJob()
    {
        LeaderBench bench(2);
        bench.submit(makePeriodicJob(minutesOfAMonth, 600ms));
        for (int beat = 0; beat < 10; ++beat) {
            bench.advanceTime(500ms);
            endRuns(bench);
        }
        const std::size_t done = countDone(bench);
        CPPUNIT_ASSERT(done > 0);
        bench.replaceLeaderWithRecords(300ms);
        CPPUNIT_ASSERT(countDone(bench) >= done);
        for (int beat = 0; beat < 10; ++beat) {
            bench.advanceTime(500ms);
            endRuns(bench);
        }
        CPPUNIT_ASSERT(countDone(bench) > done);
        CPPUNIT_ASSERT(bench.rejectedCommits().empty());
    }

    void newTasksLeaveRoomForThoseThatHaveBegun()
    {
        const batch::Submission job = makePeriodicJob(minutesOfAMonth, 1ms);
        batch::Progress progress;
        progress.tasks_.resize(minutesOfAMonth);
        std::vector<std::size_t> all(minutesOfAMonth);
        for (std::size_t index = 0; index < all.size(); ++index) {
            all[index] = index;
        }
        const std::vector<std::size_t> first = batch::tasksWithinFoldedRecord(job, progress, all, false, maxBytes);
        CPPUNIT_ASSERT(first.size() > 1'000 && first.size() < all.size());
        for (const std::size_t index : first) {
            progress.tasks_[index].run_ = 1;
            progress.tasks_[index].failedRuns_ = {1, 2, 3, 4};
        }
        CPPUNIT_ASSERT(batch::encode(batch::fold(progress)).size() < maxBytes);
        CPPUNIT_ASSERT(batch::tasksWithinFoldedRecord(job, progress, first, false, maxBytes).size() >= 1'000);
    }

    void failuresOfALastingTaskDoNotGrowItsRecord()
    {
        LeaderBench bench(2);
        batch::Submission job = makeJob("lasting", 1, smallDemand, 1h);
        job.steps_[0].longRunning_ = true;
        bench.submit(job);
        for (int failure = 0; failure < 30; ++failure) {
            bench.advanceTime(10s);
            for (const RunId &run : bench.running("lasting")) {
                bench.endRun(run, batch::EndKind::Failed);
            }
        }
        bench.advanceTime(10s);
        const batch::TaskProgress &task = bench.cluster().jobs_.at(JobId("lasting")).progress_.tasks_[0];
        CPPUNIT_ASSERT(task.run_ > 20);
        CPPUNIT_ASSERT_EQUAL(batch::maxFailedRunsOfLastingTask, task.failedRuns_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("lasting").size());
        bench.replaceLeaderWithRecords(300ms);
        CPPUNIT_ASSERT(bench.cluster().jobs_.at(JobId("lasting")).crashes_.empty()); // no start without a recorded end
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchFoldedRecordTest);

}
