#include "batch/orders_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

using batch::OrderAnswer;
using batch::OrderOutcome;

/// Starts that weren't answered and may be carried out by the executor's next incarnation.
class BatchLateStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchLateStartTest);
    CPPUNIT_TEST(crashedExecutorIsPolledOftenWhileItsNextIncarnationMayCarryOutAStart);
    CPPUNIT_TEST(nextIncarnationIsPolledOftenEvenIfTheStartWasStopped);
    CPPUNIT_TEST(pollAfterAFailureDoesNotWaitForAnEnd);
    CPPUNIT_TEST(heldUpFirstPollOfANextIncarnationIsRepeated);
    CPPUNIT_TEST(pollThatHangsAfterRefusedConnectionsIsRepeated);
    CPPUNIT_TEST(restartedAgentFencesANextIncarnationBeforeItsFirstHeartbeat);
    CPPUNIT_TEST(restartedAgentTellsThatTheFormerExecutorIsGone);
    CPPUNIT_TEST(stopOfALostStartIsNotCalledWhileItsExecutorIsGone);
    CPPUNIT_TEST(nextIncarnationGetsNoLeaseOnTheFormerClock);
    CPPUNIT_TEST(lostStartIsNotSettledWhileTheNextIncarnationMayRunIt);
    CPPUNIT_TEST(lostStartIsSettledOnceTheNextIncarnationIsGone);
    CPPUNIT_TEST(leasesOfTheFormerIncarnationSayNothingAboutTheNext);
    CPPUNIT_TEST(startOfAListedRunThatMayStillBeCarriedOutIsReported);
    CPPUNIT_TEST(startThatIsListedBeforeItsAnswerIsNotReportedAsLate);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashedExecutorIsPolledOftenWhileItsNextIncarnationMayCarryOutAStart()
    {
        OrdersBench bench;
        CPPUNIT_ASSERT(bench.pollRetryDelay(true) >= 200ms);
        bench.loseFirstAnswer();
        (void)bench.answerStart(OrderAnswer::Accepted);
        CPPUNIT_ASSERT(bench.pollRetryDelay(true) <= 25ms);
        CPPUNIT_ASSERT(bench.pollRetryDelay(false) >= 200ms);
        bench.advance(longestCallDelay);
        CPPUNIT_ASSERT(bench.pollRetryDelay(true) >= 200ms);
    }

    void nextIncarnationIsPolledOftenEvenIfTheStartWasStopped()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        (void)bench.orderStop();
        (void)bench.step({batch::StopAnswered{run, OrderAnswer::Accepted, ""}});
        bench.answerPollsWithoutTheRun();
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
        CPPUNIT_ASSERT(bench.pollRetryDelay(true) <= 25ms);
    }

    void pollAfterAFailureDoesNotWaitForAnEnd()
    {
        OrdersBench bench;
        CPPUNIT_ASSERT(bench.nextPoll().wait_ > 0ms);
        bench.refusePolls();
        CPPUNIT_ASSERT(bench.nextPoll().wait_ == 0ms);
        bench.answerPoll({});
        CPPUNIT_ASSERT(bench.nextPoll().wait_ > 0ms);
    }

    void heldUpFirstPollOfANextIncarnationIsRepeated()
    {
        OrdersBench bench;
        bench.loseFirstAnswer();
        bench.sendHeartbeat("x", 6'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pollsAfter(bench, 50ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pollsAfter(bench, 50ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pollsAfter(bench, 200ms)); // the threads that call the executor may hang
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pollsAfter(bench, 600ms));
        batch::PollAnswered answer = bench.answer({});
        answer.startTimeMs_ = 6'000;
        (void)bench.step({answer});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pollsAfter(bench, 1s));
    }

    void pollThatHangsAfterRefusedConnectionsIsRepeated()
    {
        OrdersBench bench;
        bench.loseFirstAnswer();
        bench.refusePolls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pollsAfter(bench, 100ms));
    }

    void restartedAgentFencesANextIncarnationBeforeItsFirstHeartbeat()
    {
        batch::AgentCore agent("host", 400ms);
        const Instant now{std::chrono::hours(1)};
        (void)agent.step(now, {});
        batch::Directive directive;
        directive.epoch_ = 7;
        directive.permit_ = true;
        directive.echoSequence_ = 1;
        directive.echoSentAt_ = now.time_since_epoch();
        directive.incarnation_ = {ExecutorId("x"), 5'000, "host"};
        (void)agent.step(now, {directive});
        const batch::PollCall poll = agent.nextPoll(now);
        CPPUNIT_ASSERT(poll.incarnation_.executor_ == ExecutorId("x"));
        CPPUNIT_ASSERT(agent.pollRetryDelay(now, true) <= 25ms);
        batch::PollAnswered answer;
        answer.sentAt_ = now;
        answer.fencingToken_ = poll.fencingToken_;
        answer.startTimeMs_ = 6'000;
        answer.clock_ = 1s;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(agent.step(now, {answer})));
        CPPUNIT_ASSERT(agent.nextPoll(now).fencingToken_ > poll.fencingToken_);
        CPPUNIT_ASSERT(!agent.nextPoll(now).leaseEnd_.has_value());
        CPPUNIT_ASSERT(agent.nextPoll(now + longestCallDelay).incarnation_.executor_.empty());
    }

    /// A run waited for a late start and the longest lease after that, though its host was back without its executor.
    void restartedAgentTellsThatTheFormerExecutorIsGone()
    {
        batch::AgentCore agent("host", 400ms);
        Instant now{std::chrono::hours(1)};
        const Instant begun = now;
        (void)agent.step(now, {});
        batch::Directive directive;
        directive.epoch_ = 7;
        directive.echoSequence_ = 1;
        directive.echoSentAt_ = now.time_since_epoch();
        directive.incarnation_ = {ExecutorId("x"), 5'000, "host"};
        (void)agent.step(now, {directive});
        std::optional<batch::Report> told;
        while (!told && now < begun + 20s) {
            now += 200ms;
            CPPUNIT_ASSERT(agent.nextPoll(now).incarnation_.executor_ == ExecutorId("x"));
            for (const batch::AgentOutput &output : agent.step(now, {batch::PollFailed{true}})) {
                const auto *report = std::get_if<batch::Report>(&output);
                if (report != nullptr && report->executor_.incarnation_.executor_ == ExecutorId("x")) {
                    told = *report;
                }
            }
        }
        CPPUNIT_ASSERT(told && now >= begun + batch::maxCallDelay && now <= begun + batch::maxCallDelay + 1s);
        CPPUNIT_ASSERT(told->listsValid_ && told->running_.empty() && !told->responsive_ && knowsAllCalls(*told));
        batch::HeartbeatReceived successor;
        successor.executor_.incarnation_ = {ExecutorId("y"), 4'000, ""}; // its clock was set back
        successor.sequence_ = 1;
        (void)agent.step(now, {successor});
        CPPUNIT_ASSERT(agent.nextPoll(now).incarnation_.executor_ == ExecutorId("y"));
    }

    /// The stop was called, refused and called again every 25 ms, with two log lines each time.
    void stopOfALostStartIsNotCalledWhileItsExecutorIsGone()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.loseExecutor();
        std::size_t stops = 0;
        for (int directive = 0; directive < 10; ++directive) {
            stops += AgentBench::count<batch::CallStop>(bench.orderStop());
            bench.refusePolls();
            bench.advance(25ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stops);
    }

    void nextIncarnationGetsNoLeaseOnTheFormerClock()
    {
        AgentBench bench;
        CPPUNIT_ASSERT(bench.nextPoll().leaseEnd_.has_value());
        answerAsNextIncarnation(bench);
        CPPUNIT_ASSERT(!bench.nextPoll().leaseEnd_.has_value());
    }

    void lostStartIsNotSettledWhileTheNextIncarnationMayRunIt()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.loseExecutor();
        answerAsNextIncarnation(bench);
        bench.advance(longestCallDelay);
        answerAsNextIncarnation(bench);
        const batch::Report report = bench.report();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(report, run));
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(report, run));
    }

    void lostStartIsSettledOnceTheNextIncarnationIsGone()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.loseExecutor();
        answerAsNextIncarnation(bench);
        bench.advance(longestCallDelay);
        bench.loseExecutor();
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), run) == OrderOutcome::StopConfirmed);
    }

    void leasesOfTheFormerIncarnationSayNothingAboutTheNext()
    {
        OrdersBench bench;
        bench.loseFirstAnswer();
        (void)bench.answerStart(OrderAnswer::Accepted);
        answerAsNextIncarnation(bench);
        bench.advance(longestCallDelay);
        (void)bench.step({batch::PollFailed{false}});
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void startOfAListedRunThatMayStillBeCarriedOutIsReported()
    {
        OrdersBench bench;
        bench.loseFirstAnswer();
        (void)bench.answerStart(OrderAnswer::Accepted);
        for (int poll = 0; poll < 3; ++poll) {
            bench.advance(100ms);
            bench.answerPoll({{run, "", 0, 0}});
        }
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
        bench.advance(longestCallDelay);
        bench.answerPoll({{run, "", 50, 0}});
        CPPUNIT_ASSERT(!AgentBench::mayBeRunning(bench.report(), run));
    }

    void startThatIsListedBeforeItsAnswerIsNotReportedAsLate()
    {
        OrdersBench bench;
        for (int poll = 0; poll < 2; ++poll) {
            bench.advance(100ms);
            bench.answerPoll({{run, "", 0, 0}});
        }
        CPPUNIT_ASSERT(!AgentBench::mayBeRunning(bench.report(), run));
    }

private:
    static void answerAsNextIncarnation(AgentBench &bench)
    {
        batch::PollAnswered answer = bench.answer({});
        answer.startTimeMs_ = 6'000;
        (void)bench.step({answer});
    }

    static std::size_t pollsAfter(OrdersBench &bench, Duration delay)
    {
        bench.advance(delay);
        return AgentBench::count<batch::PollCall>(bench.step({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLateStartTest);

}
