#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector small{50, 50, 0};
constexpr std::uint32_t manyTasks = 1'150; ///< with the longest spec, more than an agent reads at once

batch::Submission longSpecJob(const std::string &id, std::uint32_t count)
{
    batch::Submission job = makeJob(id, count, small, 10s);
    job.spec_.assign(4'000, 'x');
    return job;
}

}

/// Tests that an agent can read the orders for it, however many there are.
class BatchDirectiveSizeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchDirectiveSizeTest);
    CPPUNIT_TEST(manyStartsOfLongSpecsAreSpreadOverDirectives);
    CPPUNIT_TEST(stopsReachAnAgentBesideManyStartsOfLongSpecs);
    CPPUNIT_TEST_SUITE_END();

public:
    void manyStartsOfLongSpecsAreSpreadOverDirectives()
    {
        LeaderBench bench(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{manyTasks}, bench.submitAndStart(longSpecJob("job", manyTasks)).size());
        CPPUNIT_ASSERT(bench.largestDirective() <= batch::maxAgentFrameBytes);
    }

    void stopsReachAnAgentBesideManyStartsOfLongSpecs()
    {
        LeaderBench bench(1);
        bench.submitAndStart(longSpecJob("cancelled", 10));
        bench.step({batch::CancelStored{JobId("cancelled")}, batch::JobStored{longSpecJob("job", manyTasks)}});
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT(bench.running("cancelled").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{manyTasks}, bench.running("job").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchDirectiveSizeTest);

}
