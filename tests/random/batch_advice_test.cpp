#include "batch/policy_stand_in.h"
#include "support/expect.h"

#include <rapidcheck.h>

#include <algorithm>

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector smallDemand{100, 100, 0}; // all tasks have room on each executor

/// A fleet, its policy and the jobs that come.
struct AdvisedWork
{
    std::size_t executors_ = 1;
    std::size_t firstAllowed_ = 0; ///< index of the first executor that the policy allows; it allows all that follow
    batch::PlacementPolicy policy_;
    std::vector<batch::milliseconds> gaps_; ///< before each job
    std::size_t failures_ = 0; ///< requests without an answer
};

AdvisedWork drawWork()
{
    AdvisedWork work;
    work.executors_ = *rc::gen::inRange<std::size_t>(1, 70);
    work.firstAllowed_ = *rc::gen::inRange<std::size_t>(0, work.executors_);
    work.policy_.decisionTime_ = batch::milliseconds(*rc::gen::inRange(0, 2'000));
    work.policy_.timePerExecutor_ = batch::milliseconds(*rc::gen::inRange(0, 50));
    work.policy_.validFor_ = batch::milliseconds(*rc::gen::inRange(500, 5'000));
    work.failures_ = *rc::gen::inRange<std::size_t>(0, 3);
    const auto jobs = *rc::gen::inRange<std::size_t>(1, 20);
    for (std::size_t job = 0; job < jobs; ++job) {
        work.gaps_.emplace_back(*rc::gen::element(0, 0, 0, 500, 1'500));
    }
    return work;
}

std::size_t indexOf(const ExecutorId &executor)
{
    return std::stoul(executor.str().substr(1));
}

}

/// Advised steps with room on an allowed executor begin within the time that the policy's service takes for one answer about each step and thirty executors.
class BatchAdviceRandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchAdviceRandomTest);
    CPPUNIT_TEST(advisedStepsBegin);
    CPPUNIT_TEST_SUITE_END();

public:
    void advisedStepsBegin()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const AdvisedWork work = drawWork();
            LeaderBench bench(work.executors_);
            bench.setPolicy(work.policy_);
            PolicyStandIn policy(work.policy_, [&work](const ExecutorId &executor) { return indexOf(executor) >= work.firstAllowed_; });
            policy.failures_ = work.failures_;
            for (std::size_t number = 0; number < work.gaps_.size(); ++number) {
                policy.advance(bench, work.gaps_[number]);
                batch::Submission job = makeJob("job-" + std::to_string(number), 1, smallDemand, std::chrono::minutes(10));
                job.queue_ = "h/advised/";
                bench.submit(job);
            }
            constexpr std::size_t executorsPerCall = 30;
            const std::size_t callsPerStep = (work.executors_ + executorsPerCall - 1) / executorsPerCall;
            const std::size_t calls = work.gaps_.size() * callsPerStep + work.failures_;
            const Duration perCall = work.policy_.decisionTime_ + work.policy_.timePerExecutor_ * std::min(work.executors_, executorsPerCall) + 200ms;
            policy.advance(bench, perCall * calls + 500ms * (work.failures_ + 1));
            for (std::size_t number = 0; number < work.gaps_.size(); ++number) {
                RC_ASSERT(bench.cluster().jobs_.at(JobId("job-" + std::to_string(number))).progress_.started_);
            }
            RC_ASSERT(policy.calls() <= calls);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchAdviceRandomTest);

}
