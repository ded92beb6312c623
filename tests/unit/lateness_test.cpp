// Tests the detection of late jobs and their causes from log lines.

#include "core/report/lateness.h"
#include "support/expect.h"

#include <array>
#include <utility>

namespace bergamotwick::test {

using report::LossCause;
using std::chrono::milliseconds;

class LatenessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LatenessTest);
    CPPUNIT_TEST(jobWithinObjectiveIsNotListed);
    CPPUNIT_TEST(waitForCapacityIsReported);
    CPPUNIT_TEST(waitForPreemptionIsReported);
    CPPUNIT_TEST(runLostWithItsHostIsReported);
    CPPUNIT_TEST(failedAttemptsExtendTheObjective);
    CPPUNIT_TEST(timeCountsFromTheCallersFirstCall);
    CPPUNIT_TEST(timeCountsUntilAnAnswerShowsTheEnd);
    CPPUNIT_TEST(delayedOrderIsReported);
    CPPUNIT_TEST(waitOfALaterStepBeginsWithTheEndOfTheEarlierOne);
    CPPUNIT_TEST(workIsMeasuredOnASoundHost);
    CPPUNIT_TEST(slowMemberOfAGangIsNamed);
    CPPUNIT_TEST(workAwayFromItsRackIsMeasuredNearIt);
    CPPUNIT_TEST(runRestoredFromACheckpointCountsAsTheWholeWork);
    CPPUNIT_TEST(endBeforeANewLeaderIsTakenToLieBetween);
    CPPUNIT_TEST(workDoneAgainCountsOnce);
    CPPUNIT_TEST(cancelledAndRepeatedJobsAreLeftOut);
    CPPUNIT_TEST(unrelatedLinesAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobWithinObjectiveIsNotListed()
    {
        logJobKnown();
        logRun("00.100", "02.100", "done");
        logCompleted("02.100");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_.completed());
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

    void waitForCapacityIsReported()
    {
        logJobKnown();
        logRun("03.000", "05.000", "done");
        logCompleted("05.000");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), late.job_);
        CPPUNIT_ASSERT(late.cause_ == LossCause::WaitedForCapacity);
        CPPUNIT_ASSERT_EQUAL(milliseconds(5'000).count(), late.turnaround_.count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'250).count(), late.objective_.count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'000).count(), late.lostTime_.at(LossCause::WaitedForCapacity).count());
    }

    void waitForPreemptionIsReported()
    {
        logJobKnown();
        logLine("00.010", "event=room-cleared job=a1 victims=2");
        logRun("03.000", "05.000", "done");
        logCompleted("05.000");
        CPPUNIT_ASSERT(onlyLateJob().cause_ == LossCause::WaitedForPreemption);
    }

    void runLostWithItsHostIsReported()
    {
        logJobKnown();
        logLine("00.100", "event=started run=a1.0.0.0/1");
        logLine("03.000", "event=run-settled run=a1.0.0.0/1 reason=executor-replaced");
        logLine("03.100", "event=started run=a1.0.0.0/2");
        logLine("05.100", "event=run-ended run=a1.0.0.0/2 how=done");
        logCompleted("05.100");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::LostWithHost);
        CPPUNIT_ASSERT_EQUAL(milliseconds(2'900).count(), late.lostTime_.at(LossCause::LostWithHost).count());
    }

    void failedAttemptsExtendTheObjective()
    {
        logJobKnown();
        logRun("00.100", "02.100", "failed");
        logLine("02.200", "event=started run=a1.0.0.0/2");
        logLine("04.200", "event=run-ended run=a1.0.0.0/2 how=done");
        logCompleted("04.200");
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

    void timeCountsFromTheCallersFirstCall()
    {
        logLine("00.800", "event=job-refused job=a1 reason=store-away error=unavailable took_ms=450");
        logLine("03.010", "event=job-stored job=a1 new=yes took_ms=20");
        logLine("03.020", "event=job-known job=a1 workspace=jury priority=0 constraint=\"\" stretch=1.500000 target_ms=250 age_ms=20");
        logRun("03.100", "05.100", "done");
        logCompleted("05.100");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::BeforeStored);
        CPPUNIT_ASSERT_EQUAL(milliseconds(4'750).count(), late.turnaround_.count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(2'650).count(), late.lostTime_.at(LossCause::BeforeStored).count());
    }

    void timeCountsUntilAnAnswerShowsTheEnd()
    {
        logJobKnown();
        logRun("00.100", "02.100", "done");
        logCompleted("02.200");
        logLine("04.100", "event=end-shown job=a1 state=completed");
        logLine("05.100", "event=end-shown job=a1 state=completed");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::UntilShown);
        CPPUNIT_ASSERT_EQUAL(milliseconds(4'100).count(), late.turnaround_.count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(2'000).count(), late.lostTime_.at(LossCause::UntilShown).count());
    }

    void delayedOrderIsReported()
    {
        logJobKnown();
        logLine("00.100", "event=assigned job=a1 step=0 tasks=1");
        logRun("02.000", "04.000", "done");
        logCompleted("04.000");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::UntilStarted);
        CPPUNIT_ASSERT_EQUAL(milliseconds(1'900).count(), late.lostTime_.at(LossCause::UntilStarted).count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(100).count(), late.lostTime_.at(LossCause::WaitedForCapacity).count());
    }

    void waitOfALaterStepBeginsWithTheEndOfTheEarlierOne()
    {
        logJobKnown();
        logRun("00.100", "02.100", "done");
        logLine("06.100", "event=started run=a1.0.1.0/1");
        logLine("07.100", "event=run-ended run=a1.0.1.0/1 how=done executor=i-1");
        logCompleted("07.100");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::WaitedForCapacity);
        CPPUNIT_ASSERT_EQUAL(milliseconds(4'000).count(), late.lostTime_.at(LossCause::WaitedForCapacity).count());
    }

    void workIsMeasuredOnASoundHost()
    {
        logFleetWithOneSlowHost();
        logJobKnown();
        logRun("00.100", "06.100", "done", "i-3"); // 2 s of work
        logCompleted("06.100");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::SlowMember);
        CPPUNIT_ASSERT_EQUAL(std::string("side-3"), late.slowestHost_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, late.slowness_, 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3'250.0, static_cast<double>(late.objective_.count()), 50.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4'000.0, static_cast<double>(late.lostTime_.at(LossCause::SlowMember).count()), 50.0);
    }

    void slowMemberOfAGangIsNamed()
    {
        logFleetWithOneSlowHost();
        logJobKnown("gang=yes repeats=0");
        logLine("00.100", "event=started run=a1.0.0.0/1");
        logLine("00.100", "event=started run=a1.0.0.1/1");
        logLine("06.100", "event=run-ended run=a1.0.0.0/1 how=done executor=i-1");
        logLine("06.100", "event=run-ended run=a1.0.0.1/1 how=done executor=i-3");
        logCompleted("06.100");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::SlowMember);
        CPPUNIT_ASSERT_EQUAL(std::string("side-3"), late.slowestHost_);
        CPPUNIT_ASSERT(!late.shown_);
    }

    void workAwayFromItsRackIsMeasuredNearIt()
    {
        logJobKnown();
        logLine("00.050", "event=assigned job=a1 step=0 tasks=1 places=\"i-1,i-2\" rack_slowdown=3.000000");
        logRun("00.100", "06.100", "done", "i-2");
        logCompleted("06.100");
        const report::LateJob late = onlyLateJob();
        CPPUNIT_ASSERT(late.cause_ == LossCause::AwayFromRack);
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'250).count(), late.objective_.count());
    }

    void runRestoredFromACheckpointCountsAsTheWholeWork()
    {
        logJobKnown();
        logRun("00.100", "03.100", "stopped");
        logLine("04.000", "event=assigned job=a1 step=0 tasks=1 places=i-1 rack_slowdown=1.000000 restored=yes");
        logLine("04.100", "event=started run=a1.0.0.0/2");
        logLine("06.100", "event=run-ended run=a1.0.0.0/2 how=done executor=i-1 initial_percent=60");
        logCompleted("06.100");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_.completed());
        CPPUNIT_ASSERT(report_.lateJobs().empty()); // 5 s of work: 7.75 s are in time
    }

    void endBeforeANewLeaderIsTakenToLieBetween()
    {
        logJobKnown();
        logLine("00.050", "event=assigned job=a1 step=0 tasks=1 places=i-1");
        logLine("00.100", "event=started run=a1.0.0.0/1");
        logLine("00.100", "event=run-ended run=other.0.0.0/1 how=done executor=i-2");
        logLine("04.000", "event=leader-won epoch=2");
        logLine("04.100", "event=run-ended run=a1.0.0.0/1 how=done executor=i-1");
        logCompleted("04.100");
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'250).count(), onlyLateJob().objective_.count()); // 2 s of at most 4 s
    }

    void workDoneAgainCountsOnce()
    {
        logJobKnown();
        logRun("00.100", "02.100", "done");
        logCompleted("02.100"); // wasn't stored
        logLine("04.100", "event=started run=a1.0.0.0/2");
        logLine("07.100", "event=run-ended run=a1.0.0.0/2 how=done executor=i-1");
        logLine("07.200", "event=end-shown job=a1 state=completed");
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'250).count(), onlyLateJob().objective_.count());
    }

    void cancelledAndRepeatedJobsAreLeftOut()
    {
        logJobKnown("gang=no repeats=3");
        logRun("03.000", "05.000", "done");
        logCompleted("05.000");
        CPPUNIT_ASSERT(report_.lateJobs().empty());
        logLine("06.000", "event=job-known job=b2 workspace=jury priority=0 stretch=1.500000 target_ms=250 age_ms=0");
        logLine("09.000", "event=started run=b2.0.0.0/1");
        logLine("09.500", "event=cancel-stored job=b2 applied=yes job_stored=yes");
        logLine("11.000", "event=run-ended run=b2.0.0.0/1 how=done executor=i-1");
        logLine("11.000", "event=job-ended job=b2 state=completed reason=all-done");
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

    void unrelatedLinesAreIgnored()
    {
        report_.addLine("");
        report_.addLine("no line of the log");
        report_.addLine("time=yesterday event=job-known job=a1");
        report_.addLine("time=2026-01-03T14:35:01.000+00:00 event=run-ended run=broken how=done");
        report_.addLine("time=2026-01-03T14:35:01.000+00:00 event=job-known job=\"a1");
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

private:
    void logLine(const std::string &second, const std::string &text)
    {
        report_.addLine("  -4.9426 front-1 time=2026-01-03T14:35:" + second + "+00:00 level=info " + text);
    }

    void logJobKnown(const std::string &kind = "gang=no repeats=0")
    {
        logLine("00.000", "event=job-known job=a1 workspace=jury priority=0 " + kind + " constraint=\"\" stretch=1.500000 target_ms=250 age_ms=0");
    }

    /// Logs a job of three steps in time, whose tasks take three times as long on side-3 as on side-1 and side-2.
    void logFleetWithOneSlowHost()
    {
        logLine("00.000", "event=job-known job=fleet workspace=jury priority=2 gang=no repeats=0 stretch=9.000000 target_ms=250 age_ms=0");
        for (const auto &[host, ends] : {std::pair("1", std::array{"100", "200", "300"}),
                                         std::pair("2", std::array{"100", "200", "300"}),
                                         std::pair("3", std::array{"300", "600", "900"})}) {
            logLine("00.000", std::string("event=executor-seen born=1 executor=i-").append(host).append(" agent=side-").append(host));
            for (std::size_t step = 0; step < ends.size(); ++step) {
                const std::string run = std::string(" run=fleet.0.").append(std::to_string(step)).append(".").append(host).append("/1");
                logLine("00.000", "event=started" + run);
                logLine(std::string("00.").append(ends.at(step)), std::string("event=run-ended how=done executor=i-").append(host).append(run));
            }
        }
        logLine("00.900", "event=job-ended job=fleet state=completed reason=all-done");
    }

    void logRun(const std::string &from, const std::string &to, const std::string &outcome, const std::string &executor = "i-1")
    {
        logLine(from, "event=started run=a1.0.0.0/1");
        logLine(to, "event=run-ended run=a1.0.0.0/1 how=" + outcome + " executor=" + executor);
    }

    void logCompleted(const std::string &second)
    {
        logLine(second, "event=job-ended job=a1 state=completed reason=all-done");
    }

    [[nodiscard]] report::LateJob onlyLateJob() const
    {
        const std::vector<report::LateJob> late = report_.lateJobs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
        return late.front();
    }

    report::LatenessReport report_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatenessTest);

}
