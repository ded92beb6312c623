#include "batch/cluster.h"
#include "support/expect.h"

#include <rapidcheck.h>

namespace bergamotwick::test {

namespace {

constexpr std::size_t hostCount = 6;

/// Returns a random job in a random queue: single tasks or gangs, with or without checkpoints, rack constraint, anti-affinity and a
/// dependent step.
batch::Submission randomJob(int number)
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 7);
    const auto accelerators = *rc::gen::element<std::int64_t>(0, 1, 2, 4, 8);
    const auto length = batch::milliseconds(*rc::gen::inRange(200, 4'000));
    batch::Submission job = makeJob("job-" + std::to_string(number), count, {4'000, 9'000, accelerators}, length);
    job.queue_ = "h/" + std::to_string(*rc::gen::inRange(0, 3)) + "/";
    batch::Step &step = job.steps_[0];
    step.gang_ = *rc::gen::arbitrary<bool>() && accelerators < 8;
    step.checkpointable_ = *rc::gen::arbitrary<bool>();
    step.sameRack_ = *rc::gen::inRange(0, 4) == 0;
    step.antiAffinity_ = step.gang_ ? 0 : *rc::gen::inRange<std::uint32_t>(0, 3);
    if (*rc::gen::inRange(0, 4) == 0) {
        job.steps_.push_back(step);
        job.steps_[1].dependencies_ = {0};
        job.steps_[1].gang_ = false;
    }
    return job;
}

/// Injects one random fault.
void randomFault(Cluster &cluster)
{
    const auto host = *rc::gen::inRange<std::size_t>(0, hostCount);
    const Duration length = batch::milliseconds(*rc::gen::inRange(200, 9'000));
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
        cluster.disconnectAgent(host, length);
        break;
    case 1:
        cluster.disconnectExecutor(host, length);
        break;
    case 2:
        cluster.restartAgent(host);
        break;
    case 3:
        cluster.restartExecutor(host, *rc::gen::arbitrary<bool>());
        break;
    case 4:
        cluster.failTasksOn(host, length);
        break;
    case 5:
        cluster.hangTasksOn(host, length);
        break;
    case 6:
        cluster.replaceLeader(300ms + length / 5, *rc::gen::arbitrary<bool>());
        cluster.run(300ms + length / 5 + 1ms);
        break;
    case 7:
        cluster.faults_.storeDownUntil_ = cluster.now() + length;
        break;
    case 8:
        cluster.faults_.lostReplyRate_ = 0.3;
        break;
    case 9:
        cluster.faults_.delayedWriteRate_ = 0.3;
        break;
    case 10:
        cluster.faults_.delayedOrderRate_ = 0.2;
        break;
    case 11:
        cluster.removeExecutor(host);
        break;
    default:
        cluster.drain(host, 2s);
        break;
    }
}

}

/// The scheduler on a simulated cluster with random faults, overlapping and in any order.
class BatchFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchFaultsTest);
    CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariantsHoldUnderRandomFaults()
    {
        const bool passed = rc::check("invariants hold under random faults", [] {
            Cluster cluster(hostCount, *rc::gen::arbitrary<std::uint64_t>());
            std::vector<JobId> expectedJobs;
            const int jobs = *rc::gen::inRange(3, 14);
            for (int number = 0; number < jobs; ++number) {
                const batch::Submission job = randomJob(number);
                cluster.submit(job);
                if (*rc::gen::inRange(0, 6) == 0) {
                    cluster.run(batch::milliseconds(*rc::gen::inRange(0, 500)));
                    cluster.cancel(job.id_);
                } else {
                    expectedJobs.push_back(job.id_);
                }
                if (*rc::gen::inRange(0, 2) == 0) {
                    randomFault(cluster);
                }
                cluster.run(batch::milliseconds(*rc::gen::inRange(0, 1'500)));
            }
            cluster.faults_ = {};
            cluster.run(10s);
            for (std::size_t host = 0; host < hostCount; ++host) {
                cluster.restartExecutor(host, false); // replaces drained and removed executors by working ones
            }
            cluster.run(90s);
            for (const std::string &violation : cluster.violations()) {
                RC_FAIL(violation);
            }
            for (const JobId &job : expectedJobs) {
                const batch::JobState state = cluster.state(job);
                if (state != batch::JobState::Completed && state != batch::JobState::Failed) {
                    RC_FAIL("neither completed nor failed: " + job.str());
                }
            }
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchFaultsTest);

}
