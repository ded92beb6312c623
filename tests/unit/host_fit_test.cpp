// Tests the estimate of hosts' slowness from the run times of tasks.

#include "core/report/host_fit.h"
#include "support/expect.h"

namespace bergamotwick::test {

using std::chrono::milliseconds;

class HostFitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostFitTest);
    CPPUNIT_TEST(hostsAreComparedAcrossStepsOfDifferentLength);
    CPPUNIT_TEST(oneThirdOfSoundHostsIsTheReference);
    CPPUNIT_TEST(aLoneRunTellsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostsAreComparedAcrossStepsOfDifferentLength()
    {
        addRuns("short", 500, {{"a", 1.0}, {"b", 1.0}, {"slow", 2.4}});
        addRuns("long", 20'000, {{"slow", 2.4}, {"c", 1.0}, {"d", 1.0}});
        addRuns("third", 3'000, {{"a", 1.0}, {"d", 1.0}});
        fit_.solve();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.4, fit_.slowness("slow"), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fit_.slowness("a"), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fit_.slowness("c"), 0.01);
    }

    void oneThirdOfSoundHostsIsTheReference()
    {
        addRuns("step", 1'000, {{"a", 1.0}, {"b", 1.0}, {"c", 2.0}, {"d", 2.0}, {"e", 2.0}});
        fit_.solve();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fit_.slowness("a"), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, fit_.slowness("e"), 0.01);
    }

    void aLoneRunTellsNothing()
    {
        addRuns("step", 1'000, {{"a", 1.0}, {"b", 1.5}});
        addRuns("alone", 90'000, {{"c", 1.0}});
        fit_.solve();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, fit_.slowness("b") / fit_.slowness("a"), 0.01);
        CPPUNIT_ASSERT_EQUAL(1.0, fit_.slowness("c"));
        CPPUNIT_ASSERT_EQUAL(1.0, fit_.slowness("unknown"));
    }

private:
    void addRuns(const std::string &step, int soundMs, const std::vector<std::pair<std::string, double>> &hosts)
    {
        for (const auto &[host, slowness] : hosts) {
            fit_.addRun(step, host, milliseconds(static_cast<int>(soundMs * slowness)));
        }
    }

    report::HostFit fit_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostFitTest);

}
