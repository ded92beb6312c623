// Which jobs were late and why, from lines of the log.

#include "core/report/lateness.h"
#include "support/expect.h"

namespace bergamotwick::test {

using report::LossCause;
using std::chrono::milliseconds;

/// Lateness, told from the logs alone.
class LatenessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LatenessTest);
    CPPUNIT_TEST(jobInTimeIsNotListed);
    CPPUNIT_TEST(waitForRoomIsTold);
    CPPUNIT_TEST(waitForStopsIsTold);
    CPPUNIT_TEST(runLostWithItsHostIsTold);
    CPPUNIT_TEST(ownFailuresLengthenTheObjective);
    CPPUNIT_TEST(otherLinesArePassedOver);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobInTimeIsNotListed()
    {
        known();
        run("00.100", "02.100", "done");
        completed("02.100");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_.completed());
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

    void waitForRoomIsTold()
    {
        known();
        run("03.000", "05.000", "done");
        completed("05.000");
        const report::LateJob late = onlyLate();
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), late.job_);
        CPPUNIT_ASSERT(late.cause_ == LossCause::WaitedForRoom);
        CPPUNIT_ASSERT_EQUAL(milliseconds(5'000).count(), late.took_.count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'250).count(), late.objective_.count());
        CPPUNIT_ASSERT_EQUAL(milliseconds(3'000).count(), late.lost_.at(LossCause::WaitedForRoom).count());
    }

    void waitForStopsIsTold()
    {
        known();
        line("00.010", "event=room-cleared job=a1 victims=2");
        run("03.000", "05.000", "done");
        completed("05.000");
        CPPUNIT_ASSERT(onlyLate().cause_ == LossCause::WaitedForStops);
    }

    void runLostWithItsHostIsTold()
    {
        known();
        line("00.100", "event=started run=a1.0.0.0/1");
        line("03.000", "event=run-settled run=a1.0.0.0/1 reason=executor-replaced");
        line("03.100", "event=started run=a1.0.0.0/2");
        line("05.100", "event=run-ended run=a1.0.0.0/2 how=done");
        completed("05.100");
        const report::LateJob late = onlyLate();
        CPPUNIT_ASSERT(late.cause_ == LossCause::LostWithHost);
        CPPUNIT_ASSERT_EQUAL(milliseconds(2'900).count(), late.lost_.at(LossCause::LostWithHost).count());
    }

    void ownFailuresLengthenTheObjective()
    {
        known();
        run("00.100", "02.100", "failed");
        line("02.200", "event=started run=a1.0.0.0/2");
        line("04.200", "event=run-ended run=a1.0.0.0/2 how=done");
        completed("04.200");
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

    void otherLinesArePassedOver()
    {
        report_.take("");
        report_.take("no line of the log");
        report_.take("time=yesterday event=job-known job=a1");
        report_.take("time=2026-01-03T14:35:01.000+00:00 event=run-ended run=broken how=done");
        report_.take("time=2026-01-03T14:35:01.000+00:00 event=job-known job=\"a1");
        CPPUNIT_ASSERT(report_.lateJobs().empty());
    }

private:
    void line(const std::string &second, const std::string &text)
    {
        report_.take("  -4.9426 front-1 time=2026-01-03T14:35:" + second + "+00:00 level=info " + text);
    }

    void known()
    {
        line("00.000", "event=job-known job=a1 workspace=jury priority=0 constraint=\"\" stretch=1.500000 target_ms=250 age_ms=0");
    }

    void run(const std::string &from, const std::string &to, const std::string &how)
    {
        line(from, "event=started run=a1.0.0.0/1");
        line(to, "event=run-ended run=a1.0.0.0/1 how=" + how + " executor=i-1");
    }

    void completed(const std::string &second)
    {
        line(second, "event=job-ended job=a1 state=completed reason=all-done");
    }

    [[nodiscard]] report::LateJob onlyLate() const
    {
        const std::vector<report::LateJob> late = report_.lateJobs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
        return late.front();
    }

    report::LatenessReport report_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatenessTest);

}
