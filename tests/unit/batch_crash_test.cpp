#include "batch/cluster.h"
#include "core/batch/crashes.h"
#include "support/expect.h"

#include <algorithm>

namespace bergamotwick::test {

namespace {

constexpr std::size_t hostCount = 6;
constexpr std::size_t maxCrashesOfOneTask = 4;
constexpr std::size_t maxCrashesOfAnyTask = 5; ///< whatever the evidence
const JobId crashingJob("crashing");

/// Returns the host on which the leader has a run of \p job. Precondition: there is one.
std::size_t hostOfRun(const Cluster &cluster, const JobId &job)
{
    const auto &runs = cluster.leader()->cluster().runs_;
    const auto run = std::find_if(runs.begin(), runs.end(), [&job](const auto &entry) { return entry.first.task_.job_ == job; });
    CPPUNIT_ASSERT(run != runs.end());
    const std::string &name = run->second.placement_.host_;
    return std::stoul(name.substr(name.find('-') + 1));
}

/// A cluster with sound jobs of all priorities and one job whose tasks crash their executors.
class CrashScenario
{
public:
    explicit CrashScenario(CrashingTask task, batch::Submission job = makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 4s), std::uint64_t seed = 1)
        : cluster_(hostCount, seed)
    {
        for (int number = 0; number < 6; ++number) {
            soundJobs_.emplace_back("sound-" + std::to_string(number));
            batch::Submission sound = makeJob(soundJobs_.back().str(), 4, {4'000, 9'000, 2}, 3s);
            sound.queue_ = "h/" + std::to_string(number % 3) + "/";
            cluster_.submit(sound);
        }
        cluster_.run(1s);
        cluster_.setCrashing(crashingJob, task);
        cluster_.submit(std::move(job));
    }

    /// Expects that the crashing job is given up after at most \p maxCrashes executors, that all sound jobs complete, and that no guarantee is
    /// violated.
    void expectGivenUp(std::size_t maxCrashes)
    {
        cluster_.run(60s);
        for (const std::string &violation : cluster_.violations()) {
            CPPUNIT_FAIL(violation);
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(batch::JobState::Failed), static_cast<int>(cluster_.state(crashingJob)));
        CPPUNIT_ASSERT_MESSAGE("executors lost: " + std::to_string(cluster_.crashes()), cluster_.crashes() <= maxCrashes);
        CPPUNIT_ASSERT_MESSAGE("given up before two executors have crashed", cluster_.crashes() >= 2);
        for (const JobId &job : soundJobs_) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(job.str(), static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster_.state(job)));
        }
    }

    Cluster cluster_;

private:
    std::vector<JobId> soundJobs_;
};

}

/// Tasks that crash each executor on which they start, and sound tasks on executors that crash.
class BatchCrashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchCrashTest);
    CPPUNIT_TEST(crashingTaskIsGivenUp);
    CPPUNIT_TEST(crashWithLostStartAnswerIsCounted);
    CPPUNIT_TEST(crashCountSurvivesLeaderKilledBeforeReport);
    CPPUNIT_TEST(crashCountSurvivesRestartOfAllEntries);
    CPPUNIT_TEST(crashCountSurvivesLostStoreAnswers);
    CPPUNIT_TEST(crashCountSurvivesLeaderKilledAfterEachCount);
    CPPUNIT_TEST(lateCrashesThatTakeTheLeaderAreCounted);
    CPPUNIT_TEST(soundTaskOutlastsCrashesThatTakeTheLeader);
    CPPUNIT_TEST(crashCountSurvivesAgentRestart);
    CPPUNIT_TEST(crashShownByNextIncarnationIsCounted);
    CPPUNIT_TEST(crashShownByNextIncarnationOfSameNameIsCounted);
    CPPUNIT_TEST(crashingGangMemberIsGivenUp);
    CPPUNIT_TEST(stepOfCrashingTasksSparesExecutors);
    CPPUNIT_TEST(crashingLongRunningTaskIsGivenUp);
    CPPUNIT_TEST(crashingBackfillTaskIsGivenUp);
    CPPUNIT_TEST(repeatedCrashingJobIsGivenUp);
    CPPUNIT_TEST(taskThatCrashesLateIsGivenUp);
    CPPUNIT_TEST(taskThatCrashesAfterItsIsolationIsGivenUp);
    CPPUNIT_TEST(soundTasksOutlastCrashingExecutors);
    CPPUNIT_TEST(taskOutlastsCrashesBeforeItsStartArrives);
    CPPUNIT_TEST(runThatIsFirstListedWhileItIsStoppedIsNotCleared);
    CPPUNIT_TEST(largeJobOutlastsLossOfAllExecutors);
    CPPUNIT_TEST(lossOfAllExecutorsMakesNoTaskWaitForIsolation);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashingTaskIsGivenUp()
    {
        CrashScenario({}).expectGivenUp(2);
    }

    void crashWithLostStartAnswerIsCounted()
    {
        CrashScenario({.answersStart_ = false}).expectGivenUp(maxCrashesOfOneTask);
    }

    void crashCountSurvivesLeaderKilledBeforeReport()
    {
        CrashScenario({.leaderGap_ = 300ms}).expectGivenUp(maxCrashesOfOneTask);
    }

    void crashCountSurvivesRestartOfAllEntries()
    {
        CrashScenario({.leaderGap_ = 4s}).expectGivenUp(maxCrashesOfOneTask);
    }

    void crashCountSurvivesLostStoreAnswers()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            CrashScenario scenario({.leaderGap_ = 500ms}, makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 4s), seed);
            scenario.cluster_.faults_.lostReplyRate_ = 0.3;
            scenario.cluster_.faults_.delayedWriteRate_ = 0.1;
            scenario.expectGivenUp(maxCrashesOfOneTask);
        }
    }

    void crashCountSurvivesLeaderKilledAfterEachCount()
    {
        CrashScenario scenario({.leaderGap_ = 300ms});
        std::size_t stored = 0;
        for (int step = 0; step < 600; ++step) {
            scenario.cluster_.run(50ms);
            if (scenario.cluster_.storedCrashes(crashingJob) > stored) {
                stored = scenario.cluster_.storedCrashes(crashingJob);
                scenario.cluster_.replaceLeader(300ms, false);
            }
        }
        scenario.expectGivenUp(maxCrashesOfAnyTask);
    }

    void lateCrashesThatTakeTheLeaderAreCounted()
    {
        for (const Duration after : {Duration(500ms), Duration(3s), Duration(12s)}) {
            CrashScenario scenario({.after_ = after, .leaderGap_ = 300ms}, makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 60s));
            scenario.cluster_.run(60s);
            scenario.expectGivenUp(maxCrashesOfAnyTask);
        }
    }

    void soundTaskOutlastsCrashesThatTakeTheLeader()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster(hostCount, seed);
            const JobId sound("sound");
            cluster.submit(makeJob(sound.str(), 1, {4'000, 9'000, 2}, 20s));
            for (int crash = 0; crash < 3; ++crash) {
                cluster.run(8s);
                cluster.crashExecutor(hostOfRun(cluster, sound), 1s);
                cluster.replaceLeader(300ms, false);
            }
            cluster.run(60s);
            CPPUNIT_ASSERT(cluster.violations().empty());
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(sound)));
        }
    }

    void crashCountSurvivesAgentRestart()
    {
        CrashScenario({.restartsAgent_ = true}).expectGivenUp(maxCrashesOfOneTask);
    }

    void crashShownByNextIncarnationIsCounted()
    {
        CrashScenario({.silent_ = true}).expectGivenUp(maxCrashesOfOneTask);
        CrashScenario({.downtime_ = 12s, .silent_ = true}).expectGivenUp(maxCrashesOfOneTask + 1);
    }

    void crashShownByNextIncarnationOfSameNameIsCounted()
    {
        CrashScenario({.downtime_ = 200ms, .sameName_ = true}).expectGivenUp(maxCrashesOfOneTask);
    }

    void crashingGangMemberIsGivenUp()
    {
        // Long enough that the other members, which the stand-in lets work alone, don't end before the crash is known.
        CrashScenario({.index_ = 1}, makeGang(crashingJob.str(), 3, {4'000, 9'000, 4}, 20s)).expectGivenUp(maxCrashesOfOneTask);
    }

    void stepOfCrashingTasksSparesExecutors()
    {
        CrashScenario({}, makeJob(crashingJob.str(), 40, {4'000, 9'000, 2}, 4s)).expectGivenUp(hostCount + 2);
    }

    void crashingLongRunningTaskIsGivenUp()
    {
        batch::Submission job = makeJob(crashingJob.str(), 2, {4'000, 9'000, 2}, 4s);
        job.steps_[0].longRunning_ = true;
        CrashScenario({.index_ = 0}, job).expectGivenUp(maxCrashesOfOneTask);
    }

    void crashingBackfillTaskIsGivenUp()
    {
        batch::Submission job = makeJob(crashingJob.str(), 2, {4'000, 9'000, 0}, 4s);
        job.steps_[0].cpuBackfill_ = true;
        CrashScenario({.index_ = 0}, job).expectGivenUp(maxCrashesOfOneTask);
    }

    void repeatedCrashingJobIsGivenUp()
    {
        batch::Submission job = makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 500ms);
        job.repeats_ = 5;
        job.interval_ = 500ms;
        CrashScenario({}, job).expectGivenUp(hostCount + 2);
    }

    void taskThatCrashesLateIsGivenUp()
    {
        CrashScenario({.after_ = 3s}, makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 60s)).expectGivenUp(maxCrashesOfOneTask);
    }

    void taskThatCrashesAfterItsIsolationIsGivenUp()
    {
        CrashScenario scenario({.after_ = 15s}, makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 150s));
        scenario.cluster_.run(60s);
        scenario.expectGivenUp(maxCrashesOfAnyTask);
    }

    void soundTasksOutlastCrashingExecutors()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            Cluster cluster(hostCount, seed);
            for (int number = 0; number < 12; ++number) {
                cluster.submit(makeJob("sound-" + std::to_string(number), 4, {4'000, 9'000, 2}, 3s));
            }
            for (std::size_t crash = 0; crash < 12; ++crash) {
                cluster.run(2s);
                cluster.submit(makeJob("later-" + std::to_string(crash), 4, {4'000, 9'000, 2}, 3s));
                cluster.crashExecutor((crash * seed + crash / 4) % hostCount, 1s);
            }
            cluster.run(60s);
            for (const std::string &violation : cluster.violations()) {
                CPPUNIT_FAIL(violation);
            }
            for (int number = 0; number < 12; ++number) {
                for (const JobId &job : {JobId("sound-" + std::to_string(number)), JobId("later-" + std::to_string(number))}) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(job.str(), static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(job)));
                }
            }
        }
    }

    void taskOutlastsCrashesBeforeItsStartArrives()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Cluster cluster(11, seed);
            cluster.run(12s);
            batch::Submission job = makeJob("sound", 1, {4'000, 9'000, 1}, 3s);
            job.steps_[0].constraint_ = "rack-0"; // hosts 0 to 2
            for (std::size_t host = 0; host < 2; ++host) {
                cluster.crashExecutor(host, 1'200ms, false, true);
                cluster.run(100ms);
                if (host == 0) {
                    cluster.submit(job);
                }
                cluster.run(900ms);
            }
            cluster.run(20s);
            CPPUNIT_ASSERT(cluster.violations().empty());
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(JobId("sound"))));
        }
    }

    void runThatIsFirstListedWhileItIsStoppedIsNotCleared()
    {
        batch::ClusterState cluster;
        batch::Job &job = cluster.jobs_[crashingJob];
        job.submission_ = makeJob(crashingJob.str(), 1, {4'000, 9'000, 2}, 4s);
        job.progress_.tasks_.resize(1);
        job.crashes_[0].crashes_ = 1;
        job.crashes_[0].lastResolved_ = true;
        batch::Executor executor;
        executor.listedAt_ = 1h;
        batch::Run run;
        run.id_ = {{crashingJob, 0, 0, 0}, 1};
        run.phase_ = batch::RunPhase::Stopping;
        batch::clearSurvivor(cluster, executor, run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.crashes_.size());
    }

    void largeJobOutlastsLossOfAllExecutors()
    {
        Cluster cluster(hostCount, 1);
        cluster.submit(makeJob("large", 150, {2'500, 1'000, 0}, 8s));
        cluster.run(1s);
        cluster.replaceLeader(500ms, false);
        for (std::size_t host = 0; host < hostCount; ++host) {
            cluster.crashExecutor(host, host < hostCount / 2 ? 1s : 40s);
        }
        cluster.run(90s);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(batch::JobState::Completed), static_cast<int>(cluster.state(JobId("large"))));
    }

    void lossOfAllExecutorsMakesNoTaskWaitForIsolation()
    {
        Cluster cluster(hostCount, 1);
        for (int number = 0; number < 6; ++number) {
            cluster.submit(makeJob("job-" + std::to_string(number), 8, {4'000, 9'000, 1}, 5s));
        }
        cluster.run(1s);
        cluster.replaceLeader(500ms, false);
        for (std::size_t host = 0; host < hostCount; ++host) {
            cluster.crashExecutor(host, 1s);
        }
        cluster.run(4s);
        std::size_t starts = 0;
        for (int number = 0; number < 6; ++number) {
            starts += cluster.starts(JobId("job-" + std::to_string(number)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2 * 48}, starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchCrashTest);

}
