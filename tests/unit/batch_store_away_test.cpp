#include "batch/cluster.h"
#include "batch/expect_cluster.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// What may be told of a job while the store is away; see docs/design/store-away.md.
class BatchStoreAwayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchStoreAwayTest);
    CPPUNIT_TEST(endThatIsNotStoredIsLostWithItsExecutorAndLeader);
    CPPUNIT_TEST(endThatIsNotStoredOutlivesTheLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Its task starts again, so that "completed" would have been a false answer and the second start a violation.
    void endThatIsNotStoredIsLostWithItsExecutorAndLeader()
    {
        Cluster cluster(2, 1);
        endWhileStoreIsAway(cluster);
        for (std::size_t host = 0; host < 2; ++host) {
            cluster.crashExecutor(host, 1s);
        }
        cluster.run(30s);
        CPPUNIT_ASSERT(cluster.state(job_) == batch::JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.starts(job_));
        expectNoViolation(cluster);
    }

    void endThatIsNotStoredOutlivesTheLeader()
    {
        Cluster cluster(2, 1);
        endWhileStoreIsAway(cluster);
        cluster.run(30s);
        CPPUNIT_ASSERT(cluster.state(job_) == batch::JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(job_));
        expectNoViolation(cluster);
    }

private:
    /// A job ends while the store is away: the leader knows it, the store doesn't. Then another leader is elected, which knows what is stored.
    void endWhileStoreIsAway(Cluster &cluster)
    {
        cluster.run(1s);
        cluster.submit(makeJob(job_.str(), 1, wholeExecutor, 1s));
        cluster.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts(job_));
        cluster.disturbStore(2s, false);
        cluster.run(1500ms);
        CPPUNIT_ASSERT(cluster.leader()->cluster().jobs_.at(job_).progress_.state_ == batch::JobState::Completed);
        CPPUNIT_ASSERT(cluster.state(job_) != batch::JobState::Completed);
        cluster.replaceLeader(1s, false);
    }

    const JobId job_{"job"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchStoreAwayTest);

}
