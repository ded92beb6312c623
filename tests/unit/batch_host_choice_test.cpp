#include "batch/leader_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

constexpr std::size_t executors = 9;
constexpr std::size_t slowExecutors = 3;
constexpr std::size_t firstSlow = executors - slowExecutors; ///< the last ones are slow
constexpr double slowness = 3.2; ///< less than that of a straggler
constexpr batch::ResourceVector half{1'000, 1'000, 4};

std::set<std::size_t> slowOnes()
{
    return {6, 7, 8};
}

/// A leader and a fleet in which a third of the hosts is slow.
class UnevenFleet
{
public:
    explicit UnevenFleet(std::size_t slow = slowExecutors)
        : bench_(executors)
        , slow_(slow)
    {
        bench_.setStretch(0, 2.5);
        bench_.setStretch(1, 10);
        bench_.setStretch(2, 10);
        bench_.advanceTime(600ms);
    }

    /// Advances time by \p duration; each task takes \p taskTime on a usual host and ends there.
    void run(Duration duration, Duration taskTime)
    {
        for (Duration elapsed{0}; elapsed < duration; elapsed += 100ms) {
            for (std::size_t executor = 0; executor < executors; ++executor) {
                progress(executor, Duration(100ms) / std::chrono::duration<double>(taskTime) * 100 / (executor >= executors - slow_ ? slowness : 1));
            }
            bench_.advanceTime(100ms);
        }
    }

    /// Runs wide bulk steps until the speeds of hosts are known.
    void learn()
    {
        for (int job = 0; job < 8; ++job) {
            const std::string name = "learn-" + std::to_string(lessons_++);
            bench_.submit(makeJob(name, executors, wholeExecutor, 2s));
            run(3s, 2s);
            for (int wait = 0; wait < 100 && !bench_.running(name).empty(); ++wait) {
                run(100ms, 2s);
            }
        }
    }

    LeaderBench bench_;

private:
    void progress(std::size_t executor, double percent)
    {
        std::vector<RunId> done;
        for (const batch::RunningTask &task : bench_.report(executor).running_) {
            double &total = progress_[task.run_];
            total += percent;
            bench_.setPercent(task.run_, std::min(99, static_cast<int>(total)));
            const bool isGang = task.run_.task_.job_.str().starts_with("gang");
            if (total >= 100 && !isGang) {
                done.push_back(task.run_);
            }
        }
        for (const RunId &run : done) {
            bench_.endRun(run, batch::EndKind::Done);
        }
    }

    std::size_t slow_;
    int lessons_ = 0;
    std::map<RunId, double> progress_;
};

batch::Submission urgentGang(const std::string &id, std::uint32_t count, milliseconds estimate)
{
    batch::Submission gang = urgentJob(id, count, wholeExecutor, estimate);
    gang.steps_[0].gang_ = true;
    return gang;
}

}

/// Placing by what hosts can do: urgent gangs beside bulk on a fleet of which a third is slow.
class BatchHostChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchHostChoiceTest);
    CPPUNIT_TEST(urgentGangsUseFastHostsAndBulkSlowOnes);
    CPPUNIT_TEST(likeHostsArePlacedAsBefore);
    CPPUNIT_TEST(urgentGangStopsBulkOnFastHostsRatherThanUseSlowOnes);
    CPPUNIT_TEST(urgentGangTakesSlowHostsIfNoOthersComeFree);
    CPPUNIT_TEST(urgentGangTakesSlowHostsWhileMostOfTheFleetIsIdle);
    CPPUNIT_TEST(gangWithASlowMemberIsMovedOnce);
    CPPUNIT_TEST(gangOfUnevenTasksIsNotMoved);
    CPPUNIT_TEST(newLeaderKnowsSlowHosts);
    CPPUNIT_TEST(leaderKilledDuringTheWriteLosesOnlyThat);
    CPPUNIT_TEST(unreadableProfileIsLeftAlone);
    CPPUNIT_TEST(nothingIsStoredBeforeTheProfileIsRead);
    CPPUNIT_TEST(executorsRestartKeepsItsHostsProfile);
    CPPUNIT_TEST(hostWithTwoExecutorRecordsIsClassifiedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void urgentGangsUseFastHostsAndBulkSlowOnes()
    {
        UnevenFleet fleet;
        fleet.learn();
        CPPUNIT_ASSERT_EQUAL(slowExecutors, fleet.bench_.cluster().slowHosts_.size());
        fleet.bench_.submit(bulkWithTime("bulk", 3));
        fleet.run(300ms, 60s);
        CPPUNIT_ASSERT(fleet.bench_.executorsOf("bulk") == slowOnes());
        fleet.bench_.submit(urgentGang("gang", 4, 2s));
        fleet.run(300ms, 2s);
        const auto used = fleet.bench_.executorsOf("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, used.size());
        CPPUNIT_ASSERT(*used.rbegin() < firstSlow);
    }

    void likeHostsArePlacedAsBefore()
    {
        UnevenFleet fleet(0);
        fleet.learn();
        CPPUNIT_ASSERT(fleet.bench_.cluster().slowHosts_.empty());
        LeaderBench fresh(executors);
        fresh.setStretch(0, 2.5);
        fresh.setStretch(1, 10);
        fresh.advanceTime(600ms);
        for (LeaderBench *bench : {&fleet.bench_, &fresh}) {
            bench->submit(makeJob("bulk", 4, half, 60s));
            bench->advanceTime(300ms);
            bench->submit(urgentGang("gang", 4, 2s));
            bench->advanceTime(300ms);
        }
        CPPUNIT_ASSERT(fleet.bench_.executorsOf("bulk") == fresh.executorsOf("bulk"));
        CPPUNIT_ASSERT(fleet.bench_.executorsOf("gang") == fresh.executorsOf("gang"));
        CPPUNIT_ASSERT(fleet.bench_.logged("gang-moved").empty());
    }

    void urgentGangStopsBulkOnFastHostsRatherThanUseSlowOnes()
    {
        UnevenFleet fleet;
        fleet.learn();
        occupyFastHosts(fleet);
        fleet.bench_.submit(urgentGang("gang", 2, 2s));
        fleet.run(2s, 60s);
        const auto used = fleet.bench_.executorsOf("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
        CPPUNIT_ASSERT(*used.rbegin() < firstSlow);
    }

    void urgentGangTakesSlowHostsIfNoOthersComeFree()
    {
        UnevenFleet fleet;
        fleet.learn();
        for (std::size_t executor = 0; executor < firstSlow; ++executor) {
            fleet.bench_.report(executor).executor_.draining_ = true;
        }
        fleet.bench_.advanceTime(100ms);
        fleet.bench_.submit(urgentGang("gang", 2, 2s));
        fleet.run(300ms, 60s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.bench_.executorsOf("gang").size());
    }

    void urgentGangTakesSlowHostsWhileMostOfTheFleetIsIdle()
    {
        UnevenFleet fleet;
        fleet.learn();
        drain(fleet, firstSlow, executors, true);
        fleet.bench_.submit(spread("other", firstSlow)); // of the same priority: it isn't stopped
        fleet.run(4s, 20s);
        drain(fleet, firstSlow, executors, false);
        fleet.bench_.submit(urgentGang("gang", 3, 12s));
        fleet.run(3s, 20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.bench_.executorsOf("gang").size());
    }

    void gangWithASlowMemberIsMovedOnce()
    {
        UnevenFleet fleet;
        fleet.learn();
        drain(fleet, 1, firstSlow, true); // one fast host is left
        fleet.bench_.submit(urgentGang("gang", 2, 4s));
        fleet.run(300ms, 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.bench_.executorsOf("gang").size());
        drain(fleet, 1, firstSlow, false);
        fleet.run(3s, 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.bench_.logged("gang-moved").size());
        const auto used = fleet.bench_.executorsOf("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
        CPPUNIT_ASSERT(*used.rbegin() < firstSlow);
        fleet.run(20s, 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.bench_.logged("gang-moved").size());
    }

    void gangOfUnevenTasksIsNotMoved()
    {
        UnevenFleet fleet(0);
        fleet.bench_.setStretch(0, 1.5);
        fleet.learn();
        fleet.bench_.submit(urgentGang("gang", 3, 4s));
        fleet.run(300ms, 4s);
        const auto runs = fleet.bench_.running("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, runs.size());
        for (int tenth = 1; tenth <= 40; ++tenth) {
            for (const RunId &run : runs) {
                fleet.bench_.setPercent(run, run == runs.front() ? tenth * 5 / 4 : std::min(99, tenth * 5 / 2)); // twice as much work
            }
            fleet.bench_.advanceTime(100ms);
        }
        CPPUNIT_ASSERT(fleet.bench_.logged("gang-moved").empty());
        CPPUNIT_ASSERT(!fleet.bench_.wasStopped("gang"));
    }

    void newLeaderKnowsSlowHosts()
    {
        UnevenFleet fleet;
        fleet.learn();
        fleet.bench_.replaceLeaderWithRecords(1s);
        fleet.run(1s, 2s);
        CPPUNIT_ASSERT_EQUAL(slowExecutors, fleet.bench_.cluster().slowHosts_.size());
        fleet.bench_.submit(urgentGang("gang", 4, 2s));
        fleet.run(300ms, 2s);
        const auto used = fleet.bench_.executorsOf("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, used.size());
        CPPUNIT_ASSERT(*used.rbegin() < firstSlow);
    }

    void leaderKilledDuringTheWriteLosesOnlyThat()
    {
        for (const bool isStored : {false, true}) {
            UnevenFleet fleet;
            fleet.bench_.profileWritesArrive_ = false; // the store is away
            fleet.learn();
            CPPUNIT_ASSERT(fleet.bench_.profileWrites_ > 1);
            CPPUNIT_ASSERT(fleet.bench_.storedProfile_.empty());
            fleet.bench_.profileWritesArrive_ = isStored;
            const std::size_t writes = fleet.bench_.profileWrites_;
            for (int wait = 0; wait < 10 && fleet.bench_.profileWrites_ == writes; ++wait) {
                fleet.bench_.submit(makeJob("more-" + std::to_string(wait), executors, wholeExecutor, 2s));
                fleet.run(1s, 2s);
            }
            CPPUNIT_ASSERT_EQUAL(!isStored, fleet.bench_.storedProfile_.empty());
            fleet.bench_.replaceLeaderWithRecords(1s);
            fleet.bench_.advanceTime(600ms);
            CPPUNIT_ASSERT_EQUAL(isStored ? slowExecutors : 0, fleet.bench_.cluster().slowHosts_.size());
        }
    }

    void unreadableProfileIsLeftAlone()
    {
        UnevenFleet fleet;
        fleet.learn();
        fleet.bench_.storedProfile_[0] = 2; // the format of a later build
        const std::string stored = fleet.bench_.storedProfile_;
        fleet.bench_.replaceLeaderWithRecords(1s);
        fleet.learn();
        CPPUNIT_ASSERT(fleet.bench_.storedProfile_ == stored);
        CPPUNIT_ASSERT_EQUAL(slowExecutors, fleet.bench_.cluster().slowHosts_.size()); // learned anew
    }

    void nothingIsStoredBeforeTheProfileIsRead()
    {
        UnevenFleet fleet;
        fleet.learn();
        const std::string stored = fleet.bench_.storedProfile_;
        fleet.bench_.replaceLeader(1s); // its read of the profile fails for a while
        fleet.learn();
        CPPUNIT_ASSERT(fleet.bench_.storedProfile_ == stored);
        fleet.bench_.passProfile();
        fleet.learn();
        CPPUNIT_ASSERT(fleet.bench_.storedProfile_ != stored);
    }

    void executorsRestartKeepsItsHostsProfile()
    {
        UnevenFleet fleet;
        fleet.learn();
        batch::Report &report = fleet.bench_.report(firstSlow);
        report.executor_.incarnation_ = {ExecutorId("x-restarted"), 2, report.agent_};
        report.running_.clear();
        fleet.bench_.advanceTime(600ms);
        CPPUNIT_ASSERT_EQUAL(slowExecutors, fleet.bench_.cluster().slowHosts_.size());
        fleet.bench_.submit(urgentGang("gang", 6, 2s));
        fleet.run(600ms, 2s);
        const auto used = fleet.bench_.executorsOf("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, used.size());
        CPPUNIT_ASSERT(*used.rbegin() < firstSlow);
    }

    // Logs of a day with a loss of power: hosts flipped between slow and recovered at each refresh, as both records of a host were looked at.
    void hostWithTwoExecutorRecordsIsClassifiedOnce()
    {
        UnevenFleet fleet;
        fleet.learn();
        fleet.bench_.submit(bulkWithTime("bulk", executors));
        fleet.run(1s, 60s);
        batch::Report &report = fleet.bench_.report(firstSlow);
        report.executor_.incarnation_ = {ExecutorId("a-restarted"), 2, report.agent_};
        report.running_.clear();
        fleet.bench_.replaceLeaderWithRecords(1s); // it knows the former executor from the store alone, without a service
        fleet.run(1s, 60s);
        CPPUNIT_ASSERT_EQUAL(executors + 1, fleet.bench_.cluster().executors_.size());
        const std::size_t slow = fleet.bench_.logged("host-slow").size();
        const std::size_t recovered = fleet.bench_.logged("host-recovered").size();
        fleet.bench_.setStretch(0, 2.6); // hosts are classified again
        fleet.run(1s, 60s);
        CPPUNIT_ASSERT_EQUAL(slow, fleet.bench_.logged("host-slow").size());
        CPPUNIT_ASSERT_EQUAL(recovered, fleet.bench_.logged("host-recovered").size());
        CPPUNIT_ASSERT_EQUAL(slowExecutors, fleet.bench_.cluster().slowHosts_.size());
    }

private:
    /// Returns an urgent job with one task on each of \p count executors, which uses half of the accelerators there.
    static batch::Submission spread(const std::string &id, std::uint32_t count)
    {
        batch::Submission job = urgentJob(id, count, half, 20s);
        job.steps_[0].antiAffinity_ = 1;
        return job;
    }

    static batch::Submission bulkWithTime(const std::string &id, std::uint32_t count)
    {
        return makeJob(id, count, wholeExecutor, 20s);
    }

    static void drain(UnevenFleet &fleet, std::size_t first, std::size_t end, bool draining)
    {
        for (std::size_t executor = first; executor < end; ++executor) {
            fleet.bench_.report(executor).executor_.draining_ = draining;
        }
        fleet.bench_.advanceTime(100ms);
    }

    static void occupyFastHosts(UnevenFleet &fleet)
    {
        drain(fleet, firstSlow, executors, true);
        fleet.bench_.submit(makeJob("bulk", firstSlow, wholeExecutor, 60s));
        fleet.run(300ms, 60s);
        drain(fleet, firstSlow, executors, false);
        CPPUNIT_ASSERT_EQUAL(firstSlow, fleet.bench_.executorsOf("bulk").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchHostChoiceTest);

}
