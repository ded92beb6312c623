#include "batch/leader_bench.h"
#include "core/batch/health.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

/// Demand that occupies a quarter of an executor.
constexpr batch::ResourceVector quarterExecutor{1'000, 1'000, 2};

}

/// Attempts under executors that fail whatever they start, at once, while they report as healthy and sound executors are busy.
class BatchAttemptsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchAttemptsTest);
    CPPUNIT_TEST(onlyPoisonedJobIsGivenUp);
    CPPUNIT_TEST(successOfEarlierStartProvesNothing);
    CPPUNIT_TEST(failuresOfOneJobCondemnExecutorOnceItProgressesElsewhere);
    CPPUNIT_TEST(failuresOfPoisonedJobCondemnNoExecutor);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyPoisonedJobIsGivenUp()
    {
        LeaderBench bench(20);
        bench.setMaxAttempts(0, 2);
        bench.setMaxAttempts(2, 4);
        bench.submitAndStart(makeJob("load", 13, wholeExecutor, 10s)); // 13 sound executors are busy, one has room
        bench.submitAndStart(makeJob("former", 6, wholeExecutor, 3s));
        const std::set<std::size_t> failing = bench.executorsOf("former");
        play(bench, 2'800ms, {});
        play(bench, 300ms, failing); // what started there before still ends well
        batch::Submission gang = makeGang("gang", 2, quarterExecutor, 3s);
        gang.queue_ = "h/0/";
        bench.submit(gang);
        bench.submit(makeJob("wide", 15, quarterExecutor, 3s));
        play(bench, 400ms, failing);
        bench.submit(makeJob("poisoned", 2, quarterExecutor, 3s));
        play(bench, 4'500ms, failing);
        play(bench, 30s, {});
        for (const auto &[id, job] : bench.cluster().jobs_) {
            const auto expected = id == JobId("poisoned") ? batch::JobState::Failed : batch::JobState::Completed;
            CPPUNIT_ASSERT_MESSAGE(id.str() + " is " + batch::toString(job.progress_.state_), job.progress_.state_ == expected);
        }
    }

    void successOfEarlierStartProvesNothing()
    {
        LeaderBench bench(2);
        const RunId former = bench.submitAndStart(makeJob("former", 1, quarterExecutor, 10s)).front();
        const std::size_t executor = *bench.executorOf(former);
        bench.endRun(bench.submitAndStart(makeJob("failing", 1, quarterExecutor, 10s)).front(), batch::EndKind::Failed);
        bench.advanceTime(100ms);
        bench.endRun(former, batch::EndKind::Done);
        bench.advanceTime(100ms);
        CPPUNIT_ASSERT(batch::isSuspect(bench.cluster(), executorAt(bench, executor)));
    }

    void failuresOfOneJobCondemnExecutorOnceItProgressesElsewhere()
    {
        LeaderBench bench(3);
        const std::vector<RunId> runs = bench.submitAndStart(makeJob("wide", 8, quarterExecutor, 10s));
        const std::size_t failing = *bench.executorOf(runs.front());
        failAllOn(bench, failing, "wide");
        bench.advanceTime(100ms);
        CPPUNIT_ASSERT(!isQuarantined(bench, failing));
        bench.progressAll(2);
        bench.advanceTime(100ms);
        CPPUNIT_ASSERT(isQuarantined(bench, failing));
        bench.advanceTime(6'100ms);
        CPPUNIT_ASSERT(!isQuarantined(bench, failing));
    }

    void failuresOfPoisonedJobCondemnNoExecutor()
    {
        LeaderBench bench(6);
        bench.submitAndStart(makeJob("sound", 4, quarterExecutor, 10s));
        bench.submit(makeJob("poisoned", 8, quarterExecutor, 10s));
        play(bench, 10s, {});
        CPPUNIT_ASSERT(bench.cluster().jobs_.at(JobId("poisoned")).progress_.state_ == batch::JobState::Failed);
        CPPUNIT_ASSERT(bench.logged("executor-aside").empty());
    }

private:
    static const batch::Executor &executorAt(const LeaderBench &bench, std::size_t index)
    {
        return bench.cluster().executors_.at(ExecutorId("x" + std::to_string(index)));
    }

    static bool isQuarantined(const LeaderBench &bench, std::size_t index)
    {
        return executorAt(bench, index).quarantinedUntil_ > bench.now();
    }

    static void failAllOn(LeaderBench &bench, std::size_t executor, const std::string &job)
    {
        for (const RunId &run : bench.running(job)) {
            if (bench.executorOf(run) == executor) {
                bench.endRun(run, batch::EndKind::Failed);
            }
        }
    }

    /// Advances time by \p duration. Runs that begin on \p failing executors, and those of the job "poisoned", fail within 50 ms. Those of the job "load" take
    /// 8 s, all others 3 s.
    void play(LeaderBench &bench, Duration duration, const std::set<std::size_t> &failing)
    {
        constexpr milliseconds stepLength{50};
        for (Duration elapsed{0}; elapsed < duration; elapsed += stepLength) {
            for (std::size_t index = 0; index < bench.cluster().executors_.size(); ++index) {
                const std::vector<batch::RunningTask> running = bench.report(index).running_;
                for (const batch::RunningTask &task : running) {
                    const std::int32_t age = ++ages_[task.run_];
                    const std::int32_t stepsOfRun = task.run_.task_.job_ == JobId("load") ? 160 : 60;
                    bench.setPercent(task.run_, age * 100 / stepsOfRun);
                    if (task.run_.task_.job_ == JobId("poisoned") || (age == 1 && failing.contains(index))) {
                        bench.endRun(task.run_, batch::EndKind::Failed);
                    } else if (age >= stepsOfRun) {
                        bench.endRun(task.run_, batch::EndKind::Done);
                    }
                }
            }
            bench.advanceTime(stepLength);
        }
    }

    std::map<RunId, std::int32_t> ages_; ///< steps since the start
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchAttemptsTest);

}
