#include "batch/leader_bench.h"
#include "core/batch/crash_history.h"
#include "core/batch/isolation.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector smallDemand{1'000, 1'000, 1};
constexpr batch::ResourceVector mostOfAnExecutor{1'000, 1'000, 5};

/// Returns the history of a task that was the likely cause of a crash a minute after its start.
batch::TaskCrashes suspectedOnce(std::uint32_t task)
{
    batch::TaskCrashes crashes;
    crashes.task_ = task;
    crashes.crashes_ = 1;
    crashes.suspected_ = 1;
    crashes.shortestSurvival_ = 60s;
    crashes.longestSurvival_ = 60s;
    crashes.lastResolved_ = true;
    return crashes;
}

}

/// What tasks that may crash executors keep from others.
class BatchIsolationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchIsolationTest);
    CPPUNIT_TEST(lastingTasksWithCrashesHoldUpNoOtherWork);
    CPPUNIT_TEST(isolationIsBoundedInTime);
    CPPUNIT_TEST(isolatedTasksReserveAShareOfTheExecutors);
    CPPUNIT_TEST(tasksWithUnlikeCrashesAreNotIsolated);
    CPPUNIT_TEST_SUITE_END();

public:
    void lastingTasksWithCrashesHoldUpNoOtherWork()
    {
        Cluster cluster(3, 1);
        for (int number = 0; number < 3; ++number) {
            batch::Submission service = makeJob("service-" + std::to_string(number), 1, mostOfAnExecutor, 1h);
            service.steps_[0].longRunning_ = true;
            cluster.submit(service);
        }
        for (int round = 0; round < 2; ++round) {
            cluster.run(14s);
            for (std::size_t host = 0; host < 3; ++host) {
                cluster.crashExecutor(host, 300ms);
                cluster.run(3s);
            }
        }
        cluster.run(4s);
        for (int number = 0; number < 8; ++number) {
            cluster.submit(makeJob("usual-" + std::to_string(number), 1, smallDemand, 1s));
        }
        cluster.run(3s);
        CPPUNIT_ASSERT(cluster.violations().empty());
        for (int number = 0; number < 8; ++number) {
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(JobId("usual-" + std::to_string(number)))));
        }
    }

    void isolationIsBoundedInTime()
    {
        LeaderBench bench(1);
        const std::vector<RunId> lasting = bench.submitAndStart(makeJob("lasting", 1, smallDemand, 600s));
        bench.step({batch::CrashHistoryStored{{JobId("lasting"), {suspectedOnce(0)}}}});
        CPPUNIT_ASSERT(bench.cluster().runs_.at(lasting.at(0)).isolated_);
        bench.submit(makeJob("usual", 1, smallDemand, 1s));
        bench.advanceWithProgress(9s);
        CPPUNIT_ASSERT(bench.running("usual").empty());
        bench.advanceWithProgress(1'500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("usual").size());
    }

    void isolatedTasksReserveAShareOfTheExecutors()
    {
        LeaderBench bench(8);
        batch::Submission job = makeJob("lasting", 8, smallDemand, 600s);
        job.steps_[0].antiAffinity_ = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, bench.submitAndStart(job).size());
        batch::CrashHistory history{JobId("lasting"), {}};
        for (std::uint32_t task = 0; task < 8; ++task) {
            history.tasks_.push_back(suspectedOnce(task));
        }
        bench.step({batch::CrashHistoryStored{history}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, batch::executorsReservedForIsolation(bench.cluster()).size());
        const std::vector<RunId> usual = bench.submitAndStart(makeJob("usual", 1, smallDemand, 10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usual.size());
        const std::size_t executor = bench.executorOf(usual.at(0)).value();
        for (const RunId &run : bench.running("lasting")) {
            CPPUNIT_ASSERT_EQUAL(bench.executorOf(run) != executor, bench.cluster().runs_.at(run).isolated_);
        }
    }

    void tasksWithUnlikeCrashesAreNotIsolated()
    {
        batch::Job job;
        job.progress_.tasks_.resize(1);
        batch::TaskCrashes &crashes = job.crashes_[0];
        crashes.crashes_ = 2;
        crashes.shortestSurvival_ = 14s;
        crashes.longestSurvival_ = 24s;
        CPPUNIT_ASSERT(!batch::needsIsolation(job, 0));
        crashes.longestSurvival_ = 15s;
        CPPUNIT_ASSERT(batch::needsIsolation(job, 0));
        crashes.suspected_ = 1;
        crashes.longestSurvival_ = 24s;
        CPPUNIT_ASSERT(batch::needsIsolation(job, 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchIsolationTest);

}
