#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// Tests runs that stall, straggle or fail: when this is detected, and which executors the next run avoids.
class BatchStallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchStallTest);
    CPPUNIT_TEST(gangAvoidsTheExecutorOnWhichAMemberStalled);
    CPPUNIT_TEST(gangAvoidsTheExecutorOnWhichAMemberFailed);
    CPPUNIT_TEST(stalledFastTaskIsRelocatedEarly);
    CPPUNIT_TEST(slowTaskIsNotTakenForStalled);
    CPPUNIT_TEST(restoredProgressIsNotTakenForPace);
    CPPUNIT_TEST(delayedReportsAreNotTakenForAStall);
    CPPUNIT_TEST(stragglerIsRelocated);
    CPPUNIT_TEST(slightlySlowerMemberIsNotRelocated);
    CPPUNIT_TEST(stragglerNearItsEndIsNotRelocated);
    CPPUNIT_TEST(firstPercentOfALongTaskIsAwaited);
    CPPUNIT_TEST(longTaskIsNotTakenForStalledBetweenPercents);
    CPPUNIT_TEST(hungLongTaskIsRelocated);
    CPPUNIT_TEST(hungLongTaskIsFoundByItsCheckpoints);
    CPPUNIT_TEST(newCheckpointIsProgress);
    CPPUNIT_TEST(progressRestoredLateIsNotTakenForPace);
    CPPUNIT_TEST(taskThatIsLongerThanItShowsIsNotStoppedForEver);
    CPPUNIT_TEST(taskWithoutAnEstimateIsNotStoppedForEver);
    CPPUNIT_TEST_SUITE_END();

public:
    void gangAvoidsTheExecutorOnWhichAMemberStalled()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(makeGang("gang", 2, wholeExecutor, 4s));
        const std::size_t faulty = *bench.executorOf(runs[0]);
        for (std::int32_t percent = 5; !bench.wasStopped("gang") && percent < 99; percent += 2) {
            bench.setPercent(runs[1], percent);
            bench.advanceTime(100ms);
        }
        CPPUNIT_ASSERT(bench.wasStopped("gang"));
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.executorsOf("gang").size());
        CPPUNIT_ASSERT(!bench.executorsOf("gang").contains(faulty));
    }

    void gangAvoidsTheExecutorOnWhichAMemberFailed()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(makeGang("gang", 2, wholeExecutor, 4s));
        const std::size_t faulty = *bench.executorOf(runs[0]);
        bench.endRun(runs[0], batch::EndKind::Failed);
        bench.advanceTime(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.executorsOf("gang").size());
        CPPUNIT_ASSERT(!bench.executorsOf("gang").contains(faulty));
    }

    void stalledFastTaskIsRelocatedEarly()
    {
        LeaderBench bench(2);
        begin(bench, "quick", 10s);
        progressQuickly(bench, "quick");
        bench.advanceTime(900ms);
        CPPUNIT_ASSERT(!bench.wasStopped("quick"));
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT(bench.wasStopped("quick"));
    }

    void slowTaskIsNotTakenForStalled()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "slow", 200s);
        for (std::int32_t percent = 1; percent < 6; ++percent) {
            bench.setPercent(run, percent);
            bench.advanceTime(2s);
        }
        CPPUNIT_ASSERT(!bench.wasStopped("slow"));
    }

    void restoredProgressIsNotTakenForPace()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "restored", 10s);
        bench.setPercent(run, 40); // progress restored from its checkpoint
        bench.advanceTime(2s);
        CPPUNIT_ASSERT(!bench.wasStopped("restored"));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(bench.wasStopped("restored"));
    }

    void delayedReportsAreNotTakenForAStall()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "held-up", 10s);
        progressQuickly(bench, "held-up");
        const std::size_t executor = *bench.executorOf(run);
        bench.setSilent(executor, true);
        bench.advanceTime(1200ms);
        bench.setPercent(run, 32);
        bench.setSilent(executor, false);
        bench.advanceTime(200ms);
        CPPUNIT_ASSERT(!bench.wasStopped("held-up"));
    }

    void stragglerIsRelocated()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(makeGang("gang", 2, wholeExecutor, 6s));
        const std::size_t slow = *bench.executorOf(runs[1]);
        progressUntilStopped(bench, runs, 3, 0.5, 2s);
        CPPUNIT_ASSERT(bench.wasStopped("gang"));
        bench.advanceTime(1s);
        CPPUNIT_ASSERT(!bench.executorsOf("gang").contains(slow));
    }

    void slightlySlowerMemberIsNotRelocated()
    {
        LeaderBench bench(5);
        progressUntilStopped(bench, bench.submitAndStart(makeGang("gang", 2, wholeExecutor, 6s)), 3, 1.8, 5s);
        CPPUNIT_ASSERT(!bench.wasStopped("gang"));
    }

    void stragglerNearItsEndIsNotRelocated()
    {
        LeaderBench bench(5);
        const auto runs = bench.submitAndStart(makeGang("gang", 2, wholeExecutor, 6s));
        progressUntilStopped(bench, runs, 3, 2.8, 3s);
        for (std::int32_t percent = 85; percent < 99; ++percent) {
            bench.setPercent(runs[0], 99);
            bench.setPercent(runs[1], percent);
            bench.advanceTime(300ms);
        }
        CPPUNIT_ASSERT(!bench.wasStopped("gang"));
    }

    void firstPercentOfALongTaskIsAwaited()
    {
        LeaderBench bench(2);
        begin(bench, "long", 600s);
        bench.advanceTime(120s); // on an executor that is slowed 20 times
        CPPUNIT_ASSERT(!bench.wasStopped("long"));
    }

    void longTaskIsNotTakenForStalledBetweenPercents()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "long", 600s);
        progressSlowly(bench, run, 5, 6s);
        bench.advanceTime(100s); // its executor turns slow
        CPPUNIT_ASSERT(!bench.wasStopped("long"));
    }

    void hungLongTaskIsRelocated()
    {
        LeaderBench bench(2);
        const RunId run = begin(bench, "hung", 600s);
        progressSlowly(bench, run, 5, 6s);
        bench.advanceTime(200s); // 25 times the slowest pace that five percent in 30 s leave possible, and a second
        CPPUNIT_ASSERT(bench.wasStopped("hung"));
    }

    void hungLongTaskIsFoundByItsCheckpoints()
    {
        LeaderBench bench(2);
        batch::Submission job = makeJob("checkpointing", 1, wholeExecutor, 12h);
        job.steps_[0].checkpointable_ = true;
        const RunId run = bench.submitAndStart(job).front();
        saveCheckpoints(bench, run, 20);
        bench.advanceTime(20s); // its executor turns slow
        CPPUNIT_ASSERT(!bench.wasStopped("checkpointing"));
        bench.advanceTime(10s);
        CPPUNIT_ASSERT(bench.wasStopped("checkpointing"));
    }

    void newCheckpointIsProgress()
    {
        LeaderBench bench(2);
        batch::Submission job = makeJob("checkpointing", 1, wholeExecutor, 10s);
        job.steps_[0].checkpointable_ = true;
        saveCheckpoints(bench, bench.submitAndStart(job).front(), 30);
        CPPUNIT_ASSERT(!bench.wasStopped("checkpointing"));
    }

    void progressRestoredLateIsNotTakenForPace()
    {
        LeaderBench bench(3);
        batch::Submission job = makeJob("restored", 1, wholeExecutor, 3'600s);
        job.steps_[0].checkpointable_ = true;
        const RunId former = bench.submitAndStart(job).front();
        saveCheckpoints(bench, former, 1);
        bench.endRun(former, batch::EndKind::Failed);
        bench.advanceTime(400ms);
        const RunId run = bench.running("restored").at(0);
        CPPUNIT_ASSERT(run.run_ > former.run_);
        bench.advanceTime(600ms);
        bench.setPercent(run, 40);
        bench.advanceTime(36s);
        CPPUNIT_ASSERT(!bench.wasStopped("restored"));
    }

    void taskThatIsLongerThanItShowsIsNotStoppedForEver()
    {
        LeaderBench bench(6);
        begin(bench, "longer", 10s);
        CPPUNIT_ASSERT(lastRunAfter(bench, "longer", 60s, 19s) <= 3); // ten times the estimate, and slowed 20 times
    }

    void taskWithoutAnEstimateIsNotStoppedForEver()
    {
        LeaderBench bench(6);
        begin(bench, "unknown", 0s);
        CPPUNIT_ASSERT(lastRunAfter(bench, "unknown", 150s, 36s) <= 6); // an hour
    }

private:
    /// Lets \p run progress by one percent every \p pace, \p count times.
    static void progressSlowly(LeaderBench &bench, const RunId &run, std::int32_t count, Duration pace)
    {
        for (std::int32_t percent = 1; percent <= count; ++percent) {
            bench.advanceTime(pace);
            bench.setPercent(run, percent);
        }
        bench.advanceTime(100ms);
    }

    /// Lets \p run save a new checkpoint every second, \p count times.
    static void saveCheckpoints(LeaderBench &bench, const RunId &run, int count)
    {
        batch::Report &report = bench.report(bench.executorOf(run).value());
        for (int checkpoint = 1; checkpoint <= count && !report.running_.empty(); ++checkpoint) {
            report.running_.front().checkpoint_ = std::to_string(checkpoint);
            bench.advanceTime(1s);
        }
    }

    /// Lets each run of the job's task progress by one percent every \p pace for \p duration; returns the number of the last run.
    static std::uint32_t lastRunAfter(LeaderBench &bench, const std::string &job, Duration duration, Duration pace)
    {
        std::uint32_t last = 0;
        Duration sinceStart{0};
        for (Duration elapsed{0}; elapsed < duration; elapsed += 100ms) {
            bench.advanceTime(100ms);
            sinceStart += 100ms;
            for (const RunId &run : bench.running(job)) {
                sinceStart = std::exchange(last, run.run_) == run.run_ ? sinceStart : Duration(0);
                bench.setPercent(run, static_cast<std::int32_t>(sinceStart / pace));
            }
        }
        return last;
    }

    static RunId begin(LeaderBench &bench, const std::string &job, milliseconds estimate)
    {
        return bench.submitAndStart(makeJob(job, 1, wholeExecutor, estimate)).front();
    }

    /// Lets the job's task progress to 19 %, one percent each 100 ms.
    static void progressQuickly(LeaderBench &bench, const std::string &job)
    {
        for (std::int32_t percent = 1; percent < 20; ++percent) {
            bench.setPercent(bench.running(job).front(), percent);
            bench.advanceTime(100ms);
        }
    }

    /// Lets the first run progress by \p fast percent each 100 ms and the second by \p slow, for \p duration or until the gang is stopped.
    static void progressUntilStopped(LeaderBench &bench, const std::vector<RunId> &runs, double fast, double slow, Duration duration)
    {
        double first = 0;
        double second = 0;
        for (Duration elapsed{0}; elapsed < duration && !bench.wasStopped("gang"); elapsed += 100ms) {
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
