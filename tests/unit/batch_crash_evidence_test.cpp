#include "batch/leader_bench.h"
#include "core/batch/crash_history.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr std::size_t hostCount = 6;
constexpr batch::ResourceVector smallDemand{1'000, 1'000, 1};
const JobId jobId("job");

/// A job of one task whose executors crash.
class CrashedJob
{
public:
    /// \p age is that of the job when it starts.
    explicit CrashedJob(milliseconds age)
        : bench_(hostCount)
    {
        bench_.submit(makeJob(jobId.str(), 1, smallDemand, 600s), age);
        bench_.advanceTime(300ms);
    }

    /// Crashes the executor that runs the job's task, and lets the agent report it.
    void crash()
    {
        crash(currentRun(), bench_.executorOf(currentRun()).value());
    }

    void crash(const RunId &run, std::size_t executor)
    {
        batch::Report &report = bench_.report(executor);
        report.running_.clear();
        report.ended_.clear();
        report.responsive_ = false;
        report.settled_ = {{run, batch::OrderOutcome::StopConfirmed}};
        bench_.advanceTime(200ms);
        report.settled_.clear();
        report.responsive_ = true;
        ++report.executor_.incarnation_.startTimeMs_;
    }

    /// Has the task started anew on an executor that answers no polls for \p silence, and then has crashed.
    void crashUnseen(Duration silence)
    {
        bench_.endRun(currentRun(), batch::EndKind::Stopped);
        bench_.advanceTime(100ms);
        const RunId run = currentRun();
        const std::size_t executor = bench_.executorOf(run).value();
        batch::Report &report = bench_.report(executor);
        report.running_.clear();
        report.starting_ = {run};
        bench_.advanceTime(silence);
        report.starting_.clear();
        crash(run, executor);
    }

    /// Has the task started anew on an executor whose next incarnation is heard of before anything shows that the start has arrived. \p wasCalled tells
    /// whether the agent has told that it called the start.
    void crashUnanswered(bool wasCalled = true)
    {
        bench_.endRun(currentRun(), batch::EndKind::Stopped);
        bench_.advanceTime(100ms);
        const RunId run = currentRun();
        batch::Report &report = bench_.report(bench_.executorOf(run).value());
        report.running_.clear();
        report.ended_.clear();
        ++report.executor_.incarnation_.startTimeMs_;
        if (wasCalled) {
            report.starting_ = {run};
        }
        bench_.advanceTime(100ms);
        report.starting_.clear();
        bench_.advanceTime(100ms);
    }

    /// Has the executor of the job's task announce its end and be replaced at once. If \p hasHeartbeat, a heartbeat comes in between.
    void endLeaving(bool hasHeartbeat = false)
    {
        batch::Report &report = bench_.report(bench_.executorOf(currentRun()).value());
        report.executor_.hasLeft_ = true;
        bench_.advanceTime(100ms);
        if (hasHeartbeat) {
            report.executor_.hasLeft_ = false;
            bench_.advanceTime(100ms);
        }
        report.running_.clear();
        report.executor_.hasLeft_ = false;
        ++report.executor_.incarnation_.startTimeMs_;
        bench_.advanceTime(200ms);
    }

    /// Replaces the leader, as soon as its records are stored.
    void replaceLeader()
    {
        bench_.replaceLeaderWithRecords(300ms);
    }

    /// Advances time until a decision on the last crash would be due and the task has been started again.
    void awaitDecision()
    {
        bench_.advanceTime(1'500ms);
    }

    [[nodiscard]] bool isGivenUp() const
    {
        return bench_.cluster().jobs_.at(jobId).progress_.state_ == batch::JobState::Failed;
    }

    [[nodiscard]] std::uint32_t crashes() const
    {
        const auto &crashes = bench_.cluster().jobs_.at(jobId).crashes_;
        return crashes.empty() ? 0 : crashes.begin()->second.crashes_;
    }

    [[nodiscard]] RunId currentRun() const
    {
        return bench_.running(jobId.str()).at(0);
    }

    LeaderBench bench_;
};

}

/// What the crash of an executor shows about a task that another leader started there.
class BatchCrashEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchCrashEvidenceTest);
    CPPUNIT_TEST(runsThatANewLeaderNeverSawAreNoEvidenceOfAnEarlyCrash);
    CPPUNIT_TEST(runsThatANewLeaderSawForAMomentAreNoEvidenceOfAnEarlyCrash);
    CPPUNIT_TEST(crashesOfRunsThatThisLeaderStartedAreStrongEvidence);
    CPPUNIT_TEST(crashOfAFormerLeadersRunOutlastsAShortSurvival);
    CPPUNIT_TEST(lateCrashIsNotForgotten);
    CPPUNIT_TEST(startOfASilentExecutorIsNoEvidenceOfAnEarlyCrash);
    CPPUNIT_TEST(startsThatMayNotHaveArrivedAreWeakEvidence);
    CPPUNIT_TEST(taskIsGivenUpAfterFourCrashesBeforeItsStartWasAnswered);
    CPPUNIT_TEST(startsThatWereNeverCalledAreNoEvidence);
    CPPUNIT_TEST(youngRunIsSuspectedBesideAStartThatMayNotHaveArrived);
    CPPUNIT_TEST(crashesOfLeavingExecutorsAreCounted);
    CPPUNIT_TEST(crashesAfterAnAnnouncementWithoutAnEndAreCounted);
    CPPUNIT_TEST(endsOfLeavingExecutorsAreNoCrashesOfOlderRuns);
    CPPUNIT_TEST(isolationAfterTheCrashOfAFormerLeadersRunEndsEarly);
    CPPUNIT_TEST(taskIsGivenUpAfterFiveCrashesThatNoLeaderSaw);
    CPPUNIT_TEST(lastCrashIsDecidedOnByTheNextLeader);
    CPPUNIT_TEST(startThatDoesNotCrashCountsAfterThreeCrashes);
    CPPUNIT_TEST(stopsAfterThreeCrashesOfOtherCauseDoNotCount);
    CPPUNIT_TEST(startsWithoutAnEndAreNoEvidenceOfCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsThatANewLeaderNeverSawAreNoEvidenceOfAnEarlyCrash()
    {
        CrashedJob job(60s);
        for (std::uint32_t crashes = 1; crashes <= 3; ++crashes) {
            job.replaceLeader();
            job.crash();
            CPPUNIT_ASSERT_EQUAL(crashes, job.crashes());
            job.awaitDecision();
            CPPUNIT_ASSERT(!job.isGivenUp());
        }
    }

    void runsThatANewLeaderSawForAMomentAreNoEvidenceOfAnEarlyCrash()
    {
        CrashedJob job(60s);
        for (std::uint32_t crashes = 1; crashes <= 3; ++crashes) {
            job.replaceLeader();
            job.bench_.advanceTime(300ms);
            job.crash();
            CPPUNIT_ASSERT_EQUAL(crashes, job.crashes());
            job.awaitDecision();
            CPPUNIT_ASSERT(!job.isGivenUp());
        }
    }

    void crashesOfRunsThatThisLeaderStartedAreStrongEvidence()
    {
        CrashedJob job(60s);
        job.crashUnseen(0s);
        job.bench_.advanceTime(300ms);
        CPPUNIT_ASSERT(!job.isGivenUp());
        job.crashUnseen(0s);
        job.awaitDecision();
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void crashOfAFormerLeadersRunOutlastsAShortSurvival()
    {
        CrashedJob job(0s);
        job.bench_.advanceTime(3s);
        job.replaceLeader();
        job.crash();
        job.bench_.advanceWithProgress(8s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, job.crashes());
        job.bench_.advanceWithProgress(10s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.crashes());
    }

    void lateCrashIsNotForgotten()
    {
        CrashedJob job(60s);
        job.crash();
        job.bench_.advanceWithProgress(4s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, job.crashes());
        job.bench_.advanceWithProgress(4s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.crashes());
    }

    void startOfASilentExecutorIsNoEvidenceOfAnEarlyCrash()
    {
        CrashedJob job(60s);
        for (std::uint32_t crashes = 1; crashes <= 2; ++crashes) {
            job.crashUnseen(2s);
            CPPUNIT_ASSERT_EQUAL(crashes, job.crashes());
            job.awaitDecision();
            CPPUNIT_ASSERT(!job.isGivenUp());
        }
    }

    void startsThatMayNotHaveArrivedAreWeakEvidence()
    {
        CrashedJob job(60s);
        for (std::uint32_t crashes = 1; crashes <= 3; ++crashes) {
            job.crashUnanswered();
            CPPUNIT_ASSERT_EQUAL(crashes, job.crashes());
            job.awaitDecision();
            CPPUNIT_ASSERT(!job.isGivenUp());
        }
    }

    void taskIsGivenUpAfterFourCrashesBeforeItsStartWasAnswered()
    {
        CrashedJob job(60s);
        for (int crash = 0; crash < 4; ++crash) {
            CPPUNIT_ASSERT(!job.isGivenUp());
            job.crashUnanswered();
            job.awaitDecision();
        }
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void startsThatWereNeverCalledAreNoEvidence()
    {
        CrashedJob job(60s);
        for (int crash = 0; crash < 8; ++crash) {
            job.crashUnanswered(false);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.crashes());
            job.awaitDecision();
            CPPUNIT_ASSERT(!job.isGivenUp());
        }
    }

    void youngRunIsSuspectedBesideAStartThatMayNotHaveArrived()
    {
        const RunId unanswered{{JobId("unanswered"), 0, 0, 0}, 1};
        const RunId young{{JobId("young"), 0, 0, 0}, 1};
        batch::ExecutorLoss loss;
        loss.runs_ = {{unanswered, std::nullopt}, {young, 500ms}, {{{JobId("old"), 0, 0, 0}, 1}, 10s}};
        loss.runs_[0].hasBegun_ = false;
        CPPUNIT_ASSERT((std::vector<RunId>{unanswered, young}) == batch::likelyCauses(loss));
        loss.runs_[0].hasBegun_ = true;
        CPPUNIT_ASSERT(std::vector<RunId>{unanswered} == batch::likelyCauses(loss));
    }

    void crashesOfLeavingExecutorsAreCounted()
    {
        CrashedJob job(60s);
        job.endLeaving();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.crashes()); // nothing else speaks against its task yet
        job.crash();
        for (std::uint32_t crashes = 2; crashes <= 4; ++crashes) {
            job.awaitDecision();
            CPPUNIT_ASSERT(!job.isGivenUp());
            job.endLeaving();
            CPPUNIT_ASSERT_EQUAL(crashes, job.crashes());
        }
        job.awaitDecision();
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void crashesAfterAnAnnouncementWithoutAnEndAreCounted()
    {
        CrashedJob job(60s);
        for (std::uint32_t crashes = 1; crashes <= 4; ++crashes) {
            CPPUNIT_ASSERT(!job.isGivenUp());
            job.endLeaving(true);
            CPPUNIT_ASSERT_EQUAL(crashes, job.crashes());
            job.awaitDecision();
        }
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void endsOfLeavingExecutorsAreNoCrashesOfOlderRuns()
    {
        CrashedJob job(60s);
        for (int end = 0; end < 6; ++end) {
            job.bench_.advanceWithProgress(3s);
            job.endLeaving(end % 2 == 0);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.crashes());
        }
        CPPUNIT_ASSERT(!job.isGivenUp());
    }

    void isolationAfterTheCrashOfAFormerLeadersRunEndsEarly()
    {
        CrashedJob job(60s);
        job.replaceLeader();
        job.crash();
        job.bench_.advanceTime(200ms);
        CPPUNIT_ASSERT(job.bench_.cluster().runs_.at(job.currentRun()).isolated_);
        job.bench_.advanceTime(1'500ms);
        CPPUNIT_ASSERT(!job.bench_.cluster().runs_.at(job.currentRun()).isolated_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, job.crashes());
    }

    void taskIsGivenUpAfterFiveCrashesThatNoLeaderSaw()
    {
        CrashedJob job(60s);
        for (int crash = 0; crash < 5 && !job.isGivenUp(); ++crash) {
            job.bench_.advanceTime(2s);
            job.replaceLeader();
            job.crash();
            job.awaitDecision();
        }
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void lastCrashIsDecidedOnByTheNextLeader()
    {
        CrashedJob job(60s);
        for (int crash = 0; crash < 5; ++crash) {
            job.bench_.advanceTime(2s);
            job.crash();
            job.replaceLeader();
            job.bench_.advanceTime(200ms);
        }
        job.awaitDecision();
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void startThatDoesNotCrashCountsAfterThreeCrashes()
    {
        CrashedJob job(60s);
        for (int crash = 0; crash < 3; ++crash) {
            job.bench_.advanceTime(2s);
            job.replaceLeader();
            job.crash();
            job.awaitDecision();
        }
        CPPUNIT_ASSERT(!job.isGivenUp());
        for (int start = 0; start < 2; ++start) {
            job.bench_.endRun(job.currentRun(), batch::EndKind::Stopped);
            job.awaitDecision();
        }
        CPPUNIT_ASSERT(job.isGivenUp());
    }

    void stopsAfterThreeCrashesOfOtherCauseDoNotCount()
    {
        CrashedJob job(60s);
        batch::TaskCrashes crashes; // the task was a likely cause of none
        crashes.crashes_ = 3;
        crashes.shortestSurvival_ = 5s;
        crashes.longestSurvival_ = 30s;
        crashes.lastResolved_ = true;
        job.bench_.step({batch::CrashHistoryStored{{jobId, {crashes}}}});
        for (int stop = 0; stop < 3; ++stop) {
            job.bench_.endRun(job.currentRun(), batch::EndKind::Stopped);
            job.awaitDecision();
        }
        CPPUNIT_ASSERT(!job.isGivenUp());
    }

    void startsWithoutAnEndAreNoEvidenceOfCrashes()
    {
        CrashedJob job(60s);
        batch::Progress stored = job.bench_.cluster().jobs_.at(jobId).progress_;
        job.bench_.replaceLeader(300ms);
        stored.tasks_[0].run_ = 4; // three runs before it, all stopped
        for (batch::RunningTask &task : job.bench_.report(*job.bench_.executorOf(job.currentRun())).running_) {
            task.run_.run_ = 4;
        }
        job.bench_.step({batch::ProgressStored{stored, 99}});
        CPPUNIT_ASSERT(job.crashes() > 0);
        job.bench_.endRun(job.currentRun(), batch::EndKind::Stopped);
        job.bench_.advanceTime(200ms);
        job.crash();
        job.awaitDecision();
        CPPUNIT_ASSERT(!job.isGivenUp());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchCrashEvidenceTest);

}
