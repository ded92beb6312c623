#include "batch/expect_cluster.h"
#include "batch/orders_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

using batch::CallFailure;

/// Time from one unanswered poll to the next: its wait, the call's timeout and the pause.
constexpr auto pollInterval = 900ms;

/// Longest time from an executor's last sign of life until its runs are known to have ended: until it counts as silent, its leases and two polls.
constexpr auto longestDetection = 12s;

/// Longest time for which an executor that has started again under its id may keep a run that a late call to the former one started.
constexpr auto longestLeaseOfNewExecutor = longestCallDelay + 10'200ms;

/// An agent whose executor has listed run and then answers no poll.
class SilentExecutor : public OrdersBench
{
public:
    SilentExecutor()
    {
        (void)answerStart(batch::OrderAnswer::Accepted);
        answerPoll({{run, "", 10, 0}});
        advance(batch::withSlowClockAllowance(batch::defaultMaxLeaseDuration) + 1s); // that of a new incarnation's first token
        sendHeartbeat("x", 5'000);
        keepPermitted();
        answerPoll({{run, "", 20, 0}});
    }

    /// Lets one poll fail after \p interval.
    void failPoll(CallFailure failure, Duration interval = pollInterval)
    {
        const batch::PollCall call = nextPoll();
        advance(interval);
        batch::PollFailed failed;
        failed.fencingToken_ = call.fencingToken_;
        failed.failure_ = failure;
        failed.extension_ = call.extension_;
        (void)step({failed});
    }

    void failPolls(CallFailure failure, Duration length)
    {
        for (Duration failed{0}; failed < length; failed += pollInterval) {
            failPoll(failure);
            keepPermitted();
        }
    }

    /// Lets the leader permit leases, as it does while the agent reports.
    void keepPermitted()
    {
        (void)step({directive()});
    }

    /// Lets an executor that has started again under the same id answer a poll.
    void answerPollAsNewExecutor()
    {
        batch::PollAnswered answered = answer({});
        answered.startTimeMs_ = 9'000;
        (void)step({answered});
    }

    [[nodiscard]] bool reportsNothingRunning()
    {
        const batch::Report last = report();
        return last.listsValid_ && last.running_.empty();
    }
};

}

/// Executors that are silent for good or for a while: without an answer to a call, and possibly without heartbeats.
class BatchSilentExecutorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchSilentExecutorTest);
    CPPUNIT_TEST(pollThatWasNotSentExtendsNoLease);
    CPPUNIT_TEST(pollThatWasRejectedExtendsNoLease);
    CPPUNIT_TEST(pollThatMayArriveLateExtendsTheLeases);
    CPPUNIT_TEST(silentExecutorIsGivenNoMoreLeases);
    CPPUNIT_TEST(leasesOfAnExecutorThatSendsHeartbeatsAreExtendedForLonger);
    CPPUNIT_TEST(executorThatAnswersAgainIsGivenLeases);
    CPPUNIT_TEST(pauseOfTheAgentIsNotTakenAsSilence);
    CPPUNIT_TEST(runsOfAHangingExecutorStartElsewhere);
    CPPUNIT_TEST(startsThatWereNotSentAreMadeElsewhere);
    CPPUNIT_TEST(startsForAHangingExecutorAreMadeElsewhere);
    CPPUNIT_TEST(startWaitsForAnAnswerOfAnExecutorThatHasNotJustGivenOne);
    CPPUNIT_TEST(startAfterAFailedPollIsCalledOnceAnotherIsAnswered);
    CPPUNIT_TEST(sameAnswersToAStopAreLoggedOnce);
    CPPUNIT_TEST(runsStartElsewhereThoughTheAgentRestartsBesideASilentExecutor);
    CPPUNIT_TEST(runsStartElsewhereThoughTheLeaderChangesWhileAgentsAreYoung);
    CPPUNIT_TEST(executorThatFallsSilentBeforeItsFirstAnswerKeepsNoRuns);
    CPPUNIT_TEST(executorThatFallsSilentBeforeItsFirstHeartbeatKeepsNoRuns);
    CPPUNIT_TEST(newExecutorKeepsItsRunsWhileALateCallMayExtendTheirLeases);
    CPPUNIT_TEST_SUITE_END();

public:
    // Review case 11: the leases of an executor that nothing reached counted as extended for ever, so that its runs were never given out again.
    void pollThatWasNotSentExtendsNoLease()
    {
        SilentExecutor agent;
        agent.failPolls(CallFailure::NotSent, batch::leaseDuration + 1s);
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    void pollThatWasRejectedExtendsNoLease()
    {
        SilentExecutor agent;
        agent.failPolls(CallFailure::Rejected, batch::leaseDuration + 1s);
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    void pollThatMayArriveLateExtendsTheLeases()
    {
        SilentExecutor agent; // its last answer extends them by leaseDuration
        agent.advance(1s);
        agent.keepPermitted();
        agent.failPoll(CallFailure::Unanswered);
        agent.failPolls(CallFailure::NotSent, batch::leaseDuration - 1s - pollInterval);
        CPPUNIT_ASSERT(!agent.reportsNothingRunning());
        agent.failPolls(CallFailure::NotSent, 1s);
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    // Review case 11 with an executor whose process hangs: connections to it are accepted and carry nothing.
    void silentExecutorIsGivenNoMoreLeases()
    {
        SilentExecutor agent;
        agent.failPolls(CallFailure::Unanswered, pollInterval + batch::HeartbeatLimits{}.maxGap_);
        CPPUNIT_ASSERT(!agent.nextPoll().leaseEnd_.has_value());
        agent.failPolls(CallFailure::Unanswered, batch::leaseDuration + 1s);
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    void leasesOfAnExecutorThatSendsHeartbeatsAreExtendedForLonger()
    {
        SilentExecutor agent;
        for (int poll = 0; poll < 6; ++poll) {
            agent.failPoll(CallFailure::Unanswered);
            agent.keepPermitted();
            agent.sendHeartbeat("x", 5'000);
        }
        CPPUNIT_ASSERT(agent.nextPoll().leaseEnd_.has_value());
        CPPUNIT_ASSERT(!agent.reportsNothingRunning());
        for (int poll = 0; poll < 16; ++poll) {
            agent.failPoll(CallFailure::Unanswered);
            agent.keepPermitted();
            agent.sendHeartbeat("x", 5'000);
        }
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    void executorThatAnswersAgainIsGivenLeases()
    {
        SilentExecutor agent;
        agent.failPolls(CallFailure::Unanswered, pollInterval + batch::HeartbeatLimits{}.maxGap_);
        agent.answerPoll({{run, "", 40, 0}});
        CPPUNIT_ASSERT(agent.nextPoll().leaseEnd_.has_value());
        CPPUNIT_ASSERT(!agent.reportsNothingRunning());
    }

    void pauseOfTheAgentIsNotTakenAsSilence()
    {
        SilentExecutor agent;
        agent.failPoll(CallFailure::Unanswered);
        agent.failPoll(CallFailure::Unanswered, 4s);
        agent.keepPermitted();
        CPPUNIT_ASSERT(agent.nextPoll().leaseEnd_.has_value());
    }

    void runsOfAHangingExecutorStartElsewhere()
    {
        Cluster cluster(2, 1);
        loseExecutorWithAJob(cluster, 4s);
        cluster.run(longestDetection + 5s);
        expectNoViolation(cluster);
        CPPUNIT_ASSERT(cluster.state(JobId("job")) == batch::JobState::Completed);
    }

    // Review case 11 with eight jobs handed in 0.2 s after the loss: the emptiest executor got seven of them, and they never began elsewhere.
    void startsThatWereNotSentAreMadeElsewhere()
    {
        Cluster cluster(3, 1);
        cluster.run(batch::maxCallDelay + 1s); // the agents know that no former process of theirs has called a start
        cluster.crashExecutor(0, 1h, false, true);
        cluster.disturbCalls(0, CallFault::NotConnected, 1h);
        cluster.run(200ms);
        expectJobsDoneSoon(cluster);
    }

    // As above on an executor that accepts connections and hangs: each start that it got held its task until the start could arrive late no more.
    void startsForAHangingExecutorAreMadeElsewhere()
    {
        Cluster cluster(3, 1);
        cluster.run(batch::maxCallDelay + 1s);
        cluster.crashExecutor(0, 1h, false, true);
        cluster.run(200ms);
        expectJobsDoneSoon(cluster);
    }

    void startWaitsForAnAnswerOfAnExecutorThatHasNotJustGivenOne()
    {
        AgentBench agent;
        agent.advance(300ms);
        const auto outputs = agent.step({startOrder(agent)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(outputs));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(outputs));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(agent.step({agent.answer({})})));
    }

    void startAfterAFailedPollIsCalledOnceAnotherIsAnswered()
    {
        AgentBench agent;
        agent.advance(300ms);
        (void)agent.step({startOrder(agent)});
        const auto outputs = agent.step({batch::PollFailed{}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(outputs));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(outputs));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(agent.step({agent.answer({})})));
    }

    // Review case 11: a stop every 0.9 s for ever, each with a log line.
    void sameAnswersToAStopAreLoggedOnce()
    {
        OrdersBench agent;
        (void)agent.answerStart(batch::OrderAnswer::Unknown);
        (void)agent.orderStop();
        std::size_t logged = 0;
        for (int call = 0; call < 10; ++call) {
            agent.advance(1s);
            for (const batch::AgentOutput &output : agent.step({batch::StopAnswered{run, batch::OrderAnswer::Unknown, "Read"}})) {
                const auto *event = std::get_if<batch::LogEvent>(&output);
                logged += event != nullptr && event->event_ == "stop-answered" ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logged);
    }

    // Review case 11 with an agent that starts again: it waited for a heartbeat of the executor for ever.
    void runsStartElsewhereThoughTheAgentRestartsBesideASilentExecutor()
    {
        for (const bool isConnected : {true, false}) {
            Cluster cluster(2, 1);
            loseExecutorWithAJob(cluster, 4s);
            if (!isConnected) {
                cluster.disturbCalls(0, CallFault::NotConnected, 1h);
            }
            cluster.run(500ms);
            cluster.restartAgent(0);
            cluster.run(longestDetection + 5s);
            expectNoViolation(cluster);
            CPPUNIT_ASSERT(cluster.state(JobId("job")) == batch::JobState::Completed);
        }
    }

    // Review case 11 with a leader that ends a second later: the next one waited for calls of a former process of the agent, which none had made.
    void runsStartElsewhereThoughTheLeaderChangesWhileAgentsAreYoung()
    {
        Cluster cluster(2, 1);
        loseExecutorWithAJob(cluster, 4s);
        cluster.run(1s);
        cluster.replaceLeader(1s, false);
        cluster.run(longestDetection + 5s);
        expectNoViolation(cluster);
        CPPUNIT_ASSERT(cluster.state(JobId("job")) == batch::JobState::Completed);
    }

    // Soak seed 9010: the agent had never read the clock of an executor that started again under its id, and kept its runs for ever.
    void executorThatFallsSilentBeforeItsFirstAnswerKeepsNoRuns()
    {
        SilentExecutor agent;
        agent.sendHeartbeat("x", 9'000);
        agent.failPolls(CallFailure::Unanswered, longestLeaseOfNewExecutor + 2 * pollInterval);
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    // As above, where an answer to a poll was the only sign of the new executor.
    void executorThatFallsSilentBeforeItsFirstHeartbeatKeepsNoRuns()
    {
        SilentExecutor agent;
        agent.answerPollAsNewExecutor();
        agent.failPolls(CallFailure::Unanswered, longestLeaseOfNewExecutor + 2 * pollInterval);
        CPPUNIT_ASSERT(agent.reportsNothingRunning());
    }

    void newExecutorKeepsItsRunsWhileALateCallMayExtendTheirLeases()
    {
        SilentExecutor announced;
        announced.sendHeartbeat("x", 9'000);
        announced.failPolls(CallFailure::Unanswered, longestLeaseOfNewExecutor - 2 * pollInterval);
        CPPUNIT_ASSERT(!announced.reportsNothingRunning());
        SilentExecutor answering;
        answering.answerPollAsNewExecutor();
        answering.failPolls(CallFailure::Unanswered, longestLeaseOfNewExecutor - 2 * pollInterval);
        CPPUNIT_ASSERT(!answering.reportsNothingRunning());
    }

private:
    /// Runs a job of \p length on host 0, whose executor then falls silent for good.
    static void loseExecutorWithAJob(Cluster &cluster, batch::milliseconds length)
    {
        cluster.setCapacity(1, {});
        cluster.run(2s);
        cluster.submit(makeJob("job", 1, wholeExecutor, length));
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.allStarts());
        cluster.setCapacity(1, executorCapacity);
        cluster.crashExecutor(0, 1h, false, true);
    }

    [[nodiscard]] static batch::Directive startOrder(AgentBench &agent)
    {
        batch::Directive order = agent.directive();
        order.starts_ = {{run, "spec", "", ""}};
        return order;
    }

    /// Hands in eight small jobs and fails unless they are done within five seconds.
    static void expectJobsDoneSoon(Cluster &cluster)
    {
        for (int number = 0; number < 8; ++number) {
            cluster.submit(makeJob("job-" + std::to_string(number), 1, {1'000, 1'000, 1}, 1s));
        }
        cluster.run(5s);
        expectNoViolation(cluster);
        for (int number = 0; number < 8; ++number) {
            CPPUNIT_ASSERT(cluster.state(JobId("job-" + std::to_string(number))) == batch::JobState::Completed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchSilentExecutorTest);

}
