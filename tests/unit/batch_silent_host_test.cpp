#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr batch::ResourceVector smallDemand{1'000, 1'000, 1};

constexpr Duration longestLease = batch::withSlowClockAllowance(batch::defaultMaxLeaseDuration);

/// Time from the assignment of a run up to which its start may be called: the commit, the order and its repetitions.
constexpr Duration maxStartTime = 8s;

/// From the assignment of a run whose start wasn't answered until its task starts elsewhere if its host is silent.
constexpr Duration latestRestart = maxStartTime + batch::maxCallDelay + longestLease + 500ms;

/// Longest time for which the clock of the leaders stands still when another one takes over: since the last record, and until the election.
constexpr Duration clockLoss = 3s;

/// From the election of a leader until its agents' leases under former ones are over.
constexpr Duration leasesOfFormerLeaders = longestLease + 700ms;

/// A run whose start hasn't been answered, on a host that falls silent.
class SilentHost
{
public:
    explicit SilentHost(Duration contactAfterStart = 500ms, const batch::Submission &job = makeJob("job", 1, smallDemand, 600s))
        : bench_(4)
    {
        run_ = bench_.submitAndStart(job).at(0);
        executor_ = *bench_.executorOf(run_);
        bench_.report(executor_).starting_ = {run_};
        advance(contactAfterStart);
        bench_.setSilent(executor_, true);
    }

    void advance(Duration time)
    {
        bench_.advanceTime(time);
        sinceStart_ += time;
    }

    void replaceLeader(Duration gap)
    {
        bench_.replaceLeaderWithRecords(gap);
        sinceStart_ += gap;
    }

    /// Advances to \p time since the run's assignment.
    void advanceTo(Duration time)
    {
        advance(time - sinceStart_);
    }

    [[nodiscard]] bool isWaiting() const
    {
        return bench_.cluster().runs_.contains(run_);
    }

    LeaderBench bench_;
    RunId run_;
    std::size_t executor_ = 0;
    Duration sinceStart_{300ms};
};

}

/// When the runs of a host that nobody hears of start elsewhere.
class BatchSilentHostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchSilentHostTest);
    CPPUNIT_TEST(waitForALateStartIsReckonedFromItsCall);
    CPPUNIT_TEST(ordersForASilentAgentPutOffNoWait);
    CPPUNIT_TEST(changesOfLeaderPutOffNoWaitForALateStart);
    CPPUNIT_TEST(waitIsReckonedFromTheRecordsOfTheLeaderBefore);
    CPPUNIT_TEST(nextLeaderKnowsThatAListedRunIsCalledNoMore);
    CPPUNIT_TEST(runThatNoRecordTellsOfWaitsAsIfJustStarted);
    CPPUNIT_TEST(executorThatLeftUnderAFormerLeaderIsNoCrash);
    CPPUNIT_TEST(startIsNotOrderedForLongUnderOneRecord);
    CPPUNIT_TEST(startThatTheStoreTookLongToRecordIsRecordedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void waitForALateStartIsReckonedFromItsCall()
    {
        SilentHost host(10s); // its agent goes on reporting that the start may be late
        host.advanceTo(batch::maxCallDelay + longestLease);
        CPPUNIT_ASSERT(host.isWaiting());
        host.advanceTo(latestRestart);
        CPPUNIT_ASSERT(!host.isWaiting());
    }

    void ordersForASilentAgentPutOffNoWait()
    {
        SilentHost host;
        host.advanceTo(batch::maxCallDelay + longestLease - 1s);
        CPPUNIT_ASSERT(host.isWaiting());
        host.bench_.step({batch::CancelStored{JobId("job")}});
        host.advanceTo(latestRestart);
        CPPUNIT_ASSERT(!host.isWaiting());
    }

    void changesOfLeaderPutOffNoWaitForALateStart()
    {
        SilentHost host;
        constexpr int changes = 4;
        for (int change = 0; change < changes; ++change) {
            host.advance(4s);
            host.replaceLeader(1s);
        }
        CPPUNIT_ASSERT(host.isWaiting());
        host.advanceTo(std::max(latestRestart + changes * clockLoss, host.sinceStart_ + leasesOfFormerLeaders));
        CPPUNIT_ASSERT(!host.isWaiting());
    }

    void waitIsReckonedFromTheRecordsOfTheLeaderBefore()
    {
        SilentHost host;
        host.advance(9s);
        host.replaceLeader(1s);
        host.advanceTo(batch::maxCallDelay + longestLease);
        CPPUNIT_ASSERT(host.isWaiting());
        host.advanceTo(latestRestart + clockLoss);
        CPPUNIT_ASSERT(!host.isWaiting());
    }

    /// The record of the start, written before it was ordered, told a time that was seconds too late.
    void nextLeaderKnowsThatAListedRunIsCalledNoMore()
    {
        SilentHost host;
        host.replaceLeader(1s);
        constexpr Duration listedAndAnswered = 2s;
        host.advanceTo(listedAndAnswered + batch::maxCallDelay + longestLease + clockLoss);
        CPPUNIT_ASSERT(!host.isWaiting());
    }

    void runThatNoRecordTellsOfWaitsAsIfJustStarted()
    {
        LeaderBench bench(4);
        bench.knowsStartRecords_ = false;
        const RunId run = bench.submitAndStart(makeJob("job", 1, smallDemand, 600s)).at(0);
        bench.setSilent(*bench.executorOf(run), true);
        bench.replaceLeaderWithRecords(1s);
        bench.advanceTime(batch::maxCallDelay + longestLease);
        CPPUNIT_ASSERT(bench.cluster().runs_.contains(run));
    }

    void executorThatLeftUnderAFormerLeaderIsNoCrash()
    {
        SilentHost host;
        host.bench_.setSilent(host.executor_, false);
        host.bench_.report(host.executor_).executor_.draining_ = true;
        host.advance(100ms); // the report that it leaves is the last one
        host.bench_.setSilent(host.executor_, true);
        host.advance(2s);
        host.replaceLeader(1s);
        host.advanceTo(latestRestart + clockLoss);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.bench_.logged("executor-lost").size());
        CPPUNIT_ASSERT(host.bench_.cluster().jobs_.at(JobId("job")).crashes_.empty());
    }

    void startIsNotOrderedForLongUnderOneRecord()
    {
        LeaderBench bench(1);
        bench.setSilent(0, true);
        bench.submit(makeJob("job", 1, smallDemand, 600s));
        const RunId run = bench.running("job").at(0);
        bench.report(0).running_.clear(); // the order has been lost
        bench.advanceTime(5s);
        bench.storeIsSlow_ = true;
        bench.setSilent(0, false);
        bench.advanceTime(500ms);
        CPPUNIT_ASSERT(bench.running("job").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.pendingCommits().size());
        const Instant before = bench.cluster().runs_.at(run).mayStartUntil_;
        bench.answerCommit(0, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("job").size());
        CPPUNIT_ASSERT(bench.cluster().runs_.at(run).mayStartUntil_ > before + 5s);
    }

    void startThatTheStoreTookLongToRecordIsRecordedAgain()
    {
        LeaderBench bench(2);
        bench.storeIsSlow_ = true;
        bench.submit(makeJob("job", 1, smallDemand, 600s));
        bench.advanceTime(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.pendingCommits().size());
        bench.answerCommit(0, true);
        CPPUNIT_ASSERT(bench.running("job").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.pendingCommits().size());
        bench.advanceTime(500ms);
        bench.answerCommit(0, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("job").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchSilentHostTest);

}
