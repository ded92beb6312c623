#include "core/batch/yield_cost.h"

#include "support/expect.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace bergamotwick::test {

using batch::costOfYielding;
using batch::YieldingWork;

/// Tests which running work is delayed when urgent work needs its room.
class YieldCostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(YieldCostTest);
    CPPUNIT_TEST(lostWorkDecidesByDefault);
    CPPUNIT_TEST(callersOfACrowdedFleetLoseLeast);
    CPPUNIT_TEST(costStaysInRange);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostWorkDecidesByDefault()
    {
        const YieldingWork planned{1, 900, 2s, 1s};
        const YieldingWork bulk{2, 1'000, 2s, 60s};
        CPPUNIT_ASSERT(costOfYielding(planned, 0) < costOfYielding(bulk, 0));
    }

    /// Urgent work needs the room of one of five runs. All have about as much work to lose; their callers don't.
    void callersOfACrowdedFleetLoseLeast()
    {
        const std::vector<std::pair<std::string, YieldingWork>> runs{
            {"planned, made late", {1, 1'000, 2s, 1s}},
            {"planned, with slack", {1, 1'050, 2s, 9s}},
            {"bulk, made late", {2, 1'100, 2s, 1s}},
            {"bulk, with slack", {2, 1'150, 2s, 9s}},
            {"bulk, late anyway", {2, 1'200, 2s, -1s}},
        };
        std::vector<std::pair<std::int64_t, std::string>> order;
        for (const auto &[name, work] : runs) {
            order.emplace_back(costOfYielding(work, 1), name);
        }
        std::sort(order.begin(), order.end());
        CPPUNIT_ASSERT_EQUAL(std::string("bulk, late anyway"), order[0].second);
        CPPUNIT_ASSERT_EQUAL(std::string("bulk, with slack"), order[1].second);
        CPPUNIT_ASSERT_EQUAL(std::string("planned, with slack"), order[2].second);
        CPPUNIT_ASSERT_EQUAL(std::string("bulk, made late"), order[3].second);
        CPPUNIT_ASSERT_EQUAL(std::string("planned, made late"), order[4].second);
    }

    void costStaysInRange()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, costOfYielding({99, 0, 0s, 0s}, 1));
        CPPUNIT_ASSERT(costOfYielding({-1, 1'000, 0s, 0s}, 1) == costOfYielding({0, 1'000, 0s, 0s}, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(YieldCostTest);

}
