#include "batch/cluster.h"
#include "support/expect.h"

#include <random>

namespace bergamotwick::test {

namespace {

constexpr std::uint64_t seedCount = 30;

/// After crashes, all work that fits begins within this time: the longest isolation, the notice of the last crash and the wait for an isolated start.
constexpr auto maxWaitAfterCrashes = 15s;

constexpr batch::ResourceVector smallDemand{1'000, 1'000, 1};
constexpr batch::ResourceVector mostOfAnExecutor{1'000, 1'000, 5};

}

/// A fleet whose executors crash at random under tasks that last.
class BatchLastingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchLastingTest);
    CPPUNIT_TEST(allWorkBeginsAfterCrashesUnderLastingTasks);
    CPPUNIT_TEST_SUITE_END();

public:
    void allWorkBeginsAfterCrashesUnderLastingTasks()
    {
        using std::chrono::milliseconds;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            std::mt19937_64 random(seed);
            const auto draw = [&random](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
            const auto hosts = static_cast<std::size_t>(draw(2, 8));
            Cluster cluster(hosts, seed);
            for (std::size_t number = 0; number < hosts; ++number) {
                batch::Submission lasting = makeJob("lasting-" + std::to_string(number), 1, mostOfAnExecutor, 1h);
                lasting.steps_[0].longRunning_ = true;
                cluster.submit(lasting);
            }
            cluster.run(std::chrono::seconds(draw(1, 60)));
            for (std::size_t crash = 0; crash < 3 * hosts; ++crash) {
                cluster.crashExecutor(crash < hosts ? crash : static_cast<std::size_t>(draw(0, static_cast<int>(hosts) - 1)), milliseconds(draw(300, 1'500)));
                cluster.run(milliseconds(draw(200, 12'000)));
            }
            const std::string name = "seed " + std::to_string(seed);
            for (std::uint32_t number = 0; number < 2; ++number) {
                batch::Submission usual = makeJob("usual-" + std::to_string(number), static_cast<std::uint32_t>(hosts), smallDemand, 1s);
                usual.steps_[0].antiAffinity_ = number; // the second has a task for each executor
                cluster.submit(usual);
            }
            cluster.run(maxWaitAfterCrashes);
            CPPUNIT_ASSERT_MESSAGE(name, cluster.violations().empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, hosts, cluster.starts(JobId("usual-0")));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, hosts, cluster.starts(JobId("usual-1")));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLastingTest);

}
