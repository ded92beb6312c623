#include "batch/cluster.h"
#include "support/expect.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace bergamotwick::test {

namespace {

constexpr std::size_t hostCount = 6;
constexpr std::int64_t guaranteedAccelerators = 16;
constexpr auto reclaimLimit = 2'900ms;

/// A job of priority 0 that is inside its workspace's guarantee.
struct GuaranteedJob
{
    JobId id_;
    std::uint32_t tasks_ = 0;
    std::int64_t accelerators_ = 0;
    Instant startBy_{};
    bool checked_ = false;
};

/// Drives a cluster with random jobs of several workspaces and checks when the guaranteed ones start.
class GuaranteeLoad
{
public:
    explicit GuaranteeLoad(std::int64_t guaranteeInForce)
        : cluster_(hostCount, *rc::gen::arbitrary<std::uint64_t>())
    {
        cluster_.config().workspaces_ = {{WorkspaceId("band"), {}, guaranteeInForce}, {WorkspaceId("school"), {}, guaranteeInForce}};
        cluster_.applyConfig();
    }

    /// Submits a random job: work of priority 1 or 2, a burst of priority 0 beyond any guarantee, or work inside a guarantee.
    void submitRandomJob()
    {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            cluster_.submit(randomJob(12, *rc::gen::element<std::string>("h/1/", "h/2/"), "guest"));
            break;
        case 1:
            cluster_.submit(randomJob(14, "h/0/", *rc::gen::element<std::string>("guest", "other guest")));
            break;
        case 2:
            submitGuaranteed("band");
            break;
        default:
            submitGuaranteed("school");
            break;
        }
    }

    /// Advances time by \p length and checks each guaranteed job at its time limit.
    void run(Duration length)
    {
        const Instant until = cluster_.now() + length;
        while (cluster_.now() < until) {
            cluster_.run(std::min<Duration>(until - cluster_.now(), 100ms));
            for (auto &[workspace, jobs] : guaranteed_) {
                for (GuaranteedJob &job : jobs) {
                    check(job);
                }
            }
        }
    }

    [[nodiscard]] const std::vector<std::string> &lateJobs() const noexcept
    {
        return late_;
    }

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return cluster_.violations();
    }

private:
    batch::Submission randomJob(std::uint32_t maxTasks, const std::string &queue, const std::string &workspace)
    {
        const auto accelerators = *rc::gen::element<std::int64_t>(1, 2, 4, 8);
        const auto tasks = *rc::gen::inRange<std::uint32_t>(1, maxTasks);
        const auto runTime = batch::milliseconds(*rc::gen::inRange(500, 15'000));
        batch::Submission job = makeJob("job-" + std::to_string(++submitted_), tasks, {1'000, 1'000, accelerators}, runTime);
        job.queue_ = queue;
        job.workspace_ = WorkspaceId(workspace);
        job.steps_[0].gang_ = *rc::gen::arbitrary<bool>() && tasks * accelerators <= static_cast<std::int64_t>(hostCount) * 8;
        job.steps_[0].checkpointable_ = *rc::gen::arbitrary<bool>();
        return job;
    }

    /// Submits a random job of \p workspace if it stays inside its guarantee together with the workspace's unfinished jobs.
    void submitGuaranteed(const std::string &workspace)
    {
        std::vector<GuaranteedJob> &jobs = guaranteed_[workspace];
        std::erase_if(jobs, [this](const GuaranteedJob &job) { return job.checked_ && batch::isFinal(cluster_.state(job.id_)); });
        std::int64_t needed = 0;
        for (const GuaranteedJob &job : jobs) {
            needed += job.accelerators_;
        }
        const batch::Submission job = randomJob(5, "h/0/", workspace);
        const std::int64_t accelerators = job.steps_[0].count_ * job.steps_[0].taskDemand_.accelerators_;
        if (needed + accelerators > guaranteedAccelerators) {
            return;
        }
        cluster_.submit(job);
        jobs.push_back({job.id_, job.steps_[0].count_, accelerators, cluster_.now() + reclaimLimit});
    }

    void check(GuaranteedJob &job)
    {
        if (job.checked_ || cluster_.now() < job.startBy_) {
            return;
        }
        job.checked_ = true;
        if (cluster_.starts(job.id_) < job.tasks_) {
            late_.push_back(job.id_.str());
        }
    }

    Cluster cluster_;
    int submitted_ = 0;
    std::map<std::string, std::vector<GuaranteedJob>> guaranteed_; ///< by workspace
    std::vector<std::string> late_;
};

}

/// Guarantees between workspaces under random load without faults.
class BatchGuaranteeLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchGuaranteeLoadTest);
    CPPUNIT_TEST(guaranteedWorkStartsInTime);
    CPPUNIT_TEST(guaranteedWorkIsLateWithoutGuarantee);
    CPPUNIT_TEST_SUITE_END();

public:
    void guaranteedWorkStartsInTime()
    {
        const bool passed = rc::check("work inside its guarantee starts within the limit", [] {
            GuaranteeLoad load(guaranteedAccelerators);
            play(load);
            for (const std::string &job : load.lateJobs()) {
                RC_FAIL("late: " + job);
            }
            for (const std::string &violation : load.violations()) {
                RC_FAIL(violation);
            }
        });
        CPPUNIT_ASSERT(passed);
    }

    /// The same loads with the guarantees not in force: the check has to find late jobs.
    void guaranteedWorkIsLateWithoutGuarantee()
    {
        std::size_t late = 0;
        (void)rc::check("loads without guarantees in force", [&late] {
            GuaranteeLoad load(0);
            play(load);
            late += load.lateJobs().size();
        });
        CPPUNIT_ASSERT(late > 0);
    }

private:
    static void play(GuaranteeLoad &load)
    {
        const int jobs = *rc::gen::inRange(4, 20);
        for (int job = 0; job < jobs; ++job) {
            load.submitRandomJob();
            load.run(batch::milliseconds(*rc::gen::inRange(0, 1'500)));
        }
        load.run(reclaimLimit + 100ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchGuaranteeLoadTest);

}
