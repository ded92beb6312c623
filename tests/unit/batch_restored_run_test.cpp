// Tests what the leader logs of runs that continue from a checkpoint, from which lateness is reckoned.

#include "batch/leader_bench.h"
#include "support/expect.h"

#include <algorithm>

namespace bergamotwick::test {

class BatchRestoredRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRestoredRunTest);
    CPPUNIT_TEST(restoredRunIsLoggedWithItsInitialProgress);
    CPPUNIT_TEST_SUITE_END();

public:
    void restoredRunIsLoggedWithItsInitialProgress()
    {
        LeaderBench bench(1);
        batch::Submission job = makeJob("saving", 1, wholeExecutor, 60s);
        job.steps_[0].checkpointable_ = true;
        bench.submit(job);
        bench.advanceTime(300ms);
        bench.endRun(bench.running("saving").front(), batch::EndKind::Stopped);
        bench.report(0).ended_.back().checkpoint_ = "saved";
        bench.advanceTime(300ms);
        bench.endRun(bench.running("saving").front(), batch::EndKind::Done);
        bench.advanceTime(300ms);
        CPPUNIT_ASSERT_EQUAL(std::string("no yes "), valuesOf(bench.logged("assigned"), "restored"));
        CPPUNIT_ASSERT_EQUAL(std::string("0 0 "), valuesOf(bench.logged("run-ended"), "initial_percent"));
    }

private:
    /// Returns the values of \p field in \p events, each followed by a space.
    static std::string valuesOf(const std::vector<batch::LogEvent> &events, const std::string &field)
    {
        std::string values;
        for (const batch::LogEvent &event : events) {
            for (const auto &[name, value] : event.fields_) {
                values += name == field ? value + " " : "";
            }
        }
        return values;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRestoredRunTest);

}
