#include "batch/orders_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

using batch::OrderAnswer;
using batch::OrderOutcome;

/// Which runs an agent reports as certain to have ended, or as certain not to start.
class BatchOrdersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchOrdersTest);
    CPPUNIT_TEST(refusedStopIsNotTakenAsCarriedOut);
    CPPUNIT_TEST(refusedStartIsNotSettledWhileAnEarlierCallMayBeCarriedOut);
    CPPUNIT_TEST(startRefusedBecauseItsRunHasEndedIsNotReportedAsNeverStarted);
    CPPUNIT_TEST(refusalDoesNotSettleARunThatAFormerProcessMayHaveStarted);
    CPPUNIT_TEST(runsBeingStoppedAreReportedAsPossiblyRunning);
    CPPUNIT_TEST(unansweredStartOfALostExecutorMayReachItsNextIncarnation);
    CPPUNIT_TEST(queuedStartOfALostExecutorMayReachItsNextIncarnation);
    CPPUNIT_TEST(refusedConnectionsAreNoProofOfAnEndWhileHeartbeatsArrive);
    CPPUNIT_TEST(executorThatRefusesConnectionsAndSendsNoHeartbeatHasEnded);
    CPPUNIT_TEST(unansweredStartIsStoppedIfItsExecutorAnswersAgain);
    CPPUNIT_TEST(startOfAListedRunIsNotRepeated);
    CPPUNIT_TEST(startsOrderedBeforeACapacityShrankAreIgnored);
    CPPUNIT_TEST(unansweredStartIsNotForgottenWhenNoLeaseCanBeGranted);
    CPPUNIT_TEST(capacityThatIsTooOldIsNotUsed);
    CPPUNIT_TEST(lateHeartbeatDoesNotRefreshTheCapacity);
    CPPUNIT_TEST(replacedExecutorIsFencedAtOnceAndGetsNoStartBeforeItsHeartbeat);
    CPPUNIT_TEST(leasesAllowForClockDriftSinceTheLastReading);
    CPPUNIT_TEST(leasesOfAnExecutorThatHasLeftAreNotRenewed);
    CPPUNIT_TEST(leaveOfAFormerIncarnationIsIgnored);
    CPPUNIT_TEST(executorThatIsReadyHasNotLeft);
    CPPUNIT_TEST(leaveThatArrivesAfterTheEndDoesNotHideACrash);
    CPPUNIT_TEST(leaveThatArrivesAfterASilentCrashDoesNotHideIt);
    CPPUNIT_TEST(leaveOfADrainingExecutorIsNotIgnoredAfterASilence);
    CPPUNIT_TEST(leaveThatArrivesAfterARebirthDoesNotHideACrash);
    CPPUNIT_TEST(incompleteListOfEndsDoesNotConfirmAStop);
    CPPUNIT_TEST(olderListsDoNotHideAStartedRun);
    CPPUNIT_TEST(pendingStartIsStoppedWhenItsExecutorDrains);
    CPPUNIT_TEST(pauseOfTheAgentIsNotTakenAsRefusedConnections);
    CPPUNIT_TEST(startForAnExecutorThatRefusesConnectionsIsRefused);
    CPPUNIT_TEST(startIsNotRepeatedOnceTheLeaderNoLongerOrdersIt);
    CPPUNIT_TEST(incompleteListOfEndsIsNotCutFurther);
    CPPUNIT_TEST(startThatHasWaitedForASecondIsNotSent);
    CPPUNIT_TEST(startIsNotRepeatedOnACapacityThatIsTooOld);
    CPPUNIT_TEST(runThatAFormerProcessHasStartedIsNotStartedAgain);
    CPPUNIT_TEST(refusalWhileDrainingDoesNotSettleARunThatAFormerProcessMayHaveStarted);
    CPPUNIT_TEST(refusalAfterALossDoesNotSettleAnEarlierUnansweredCall);
    CPPUNIT_TEST(startThatTheNextIncarnationHasAcceptedIsNotSettled);
    CPPUNIT_TEST(unansweredCallOfAListedRunOutlastsTheRetentionOfOrders);
    CPPUNIT_TEST(unansweredStartIsStoppedWhileConnectionsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusedStopIsNotTakenAsCarriedOut()
    {
        for (const char *reason : {"status-503", "status-429", "fence"}) {
            OrdersBench bench;
            (void)bench.answerStart(OrderAnswer::Accepted);
            (void)bench.orderStop();
            (void)bench.step({batch::StopAnswered{run, OrderAnswer::Refused, reason}});
            bench.answerPollsWithoutTheRun();
            CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStop>(bench.step({})));
            (void)bench.step({batch::StopAnswered{run, OrderAnswer::Refused, reason}});
            bench.advance(250ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({})));
        }
    }

    void refusedStartIsNotSettledWhileAnEarlierCallMayBeCarriedOut()
    {
        for (const char *reason : {"status-503", "room", "late", "ticket"}) {
            OrdersBench bench;
            bench.loseFirstAnswer();
            const auto outputs = bench.answerStart(OrderAnswer::Refused, reason);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(outputs));
            CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
            (void)bench.step({batch::StopAnswered{run, OrderAnswer::Accepted, ""}});
            bench.answerPollsWithoutTheRun();
            CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
            bench.advance(longestCallDelay);
            bench.answerPoll({});
            CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), run) == OrderOutcome::StopConfirmed);
        }
    }

    void startRefusedBecauseItsRunHasEndedIsNotReportedAsNeverStarted()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::AlreadyEnded, "old");
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
        batch::PollAnswered listing = bench.answer({});
        listing.ended_ = {{1, run, batch::EndKind::Done, ""}};
        (void)bench.step({listing});
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void refusalDoesNotSettleARunThatAFormerProcessMayHaveStarted()
    {
        OrdersBench bench(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.answerStart(OrderAnswer::Refused, "status-503")));
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void runsBeingStoppedAreReportedAsPossiblyRunning()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        (void)bench.orderStop();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
        (void)bench.step({batch::StopAnswered{run, OrderAnswer::Accepted, ""}});
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
        bench.answerPollsWithoutTheRun();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
        bench.advance(longestCallDelay);
        bench.answerPoll({});
        CPPUNIT_ASSERT(!AgentBench::mayBeRunning(bench.report(), run));
    }

    void unansweredStartOfALostExecutorMayReachItsNextIncarnation()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.loseExecutor();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
        bench.advance(longestCallDelay);
        bench.loseExecutor();
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), run) == OrderOutcome::StopConfirmed);
    }

    void queuedStartOfALostExecutorMayReachItsNextIncarnation()
    {
        OrdersBench bench;
        bench.loseExecutor();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
        (void)bench.answerStart(OrderAnswer::Refused, "nobody-listens", true);
        CPPUNIT_ASSERT(!AgentBench::mayBeRunning(bench.report(), run));
    }

    void refusedConnectionsAreNoProofOfAnEndWhileHeartbeatsArrive()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Accepted);
        for (int poll = 0; poll < 20; ++poll) {
            bench.refusePolls();
            bench.advance(200ms);
            if (poll % 7 == 6) {
                bench.sendHeartbeat("x", 5'000);
            }
        }
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
        CPPUNIT_ASSERT(!bench.nextPoll().leaseEnd_.has_value());
    }

    void executorThatRefusesConnectionsAndSendsNoHeartbeatHasEnded()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Accepted);
        bench.loseExecutor();
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), run) == OrderOutcome::StopConfirmed);
    }

    void unansweredStartIsStoppedIfItsExecutorAnswersAgain()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.loseExecutor();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({bench.answer({})})));
    }

    void startOfAListedRunIsNotRepeated()
    {
        OrdersBench bench;
        batch::PollAnswered listing = bench.answer({});
        listing.ended_ = {{1, run, batch::EndKind::Done, ""}};
        (void)bench.step({listing});
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.advance(250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({})));
    }

    void unansweredStartIsNotForgottenWhenNoLeaseCanBeGranted()
    {
        OrdersBench bench;
        bench.advance(6'400ms);
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.sendHeartbeat("x", 5'000);
        bench.advance(300ms);
        (void)bench.step({});
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
    }

    void startsOrderedBeforeACapacityShrankAreIgnored()
    {
        AgentBench bench;
        batch::Directive before = bench.directive();
        before.starts_ = {{run, "", "", ""}};
        bench.advance(200ms);
        bench.answerPoll({}); // starts are called at once
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.executor_.capacity_ = {-1, 0, 0};
        heartbeat.sequence_ = 2;
        (void)bench.step({heartbeat});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({before})));
        bench.advance(100ms);
        bench.answerPoll({});
        batch::Directive after = bench.directive();
        after.starts_ = before.starts_;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(bench.step({after})));
    }

    void capacityThatIsTooOldIsNotUsed()
    {
        AgentBench bench;
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.executor_.capacity_ = {1'000, 1'000, 1};
        heartbeat.sequence_ = 2;
        (void)bench.step({heartbeat});
        CPPUNIT_ASSERT(bench.report().executor_.capacity_ == heartbeat.executor_.capacity_);
        bench.advance(4'000ms);
        CPPUNIT_ASSERT(bench.report().executor_.capacity_ == batch::ResourceVector{});
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({order})));
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), run) == OrderOutcome::Refused);
    }

    void lateHeartbeatDoesNotRefreshTheCapacity()
    {
        AgentBench bench;
        bench.advance(4s);
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.executor_.capacity_ = {1'000, 1'000, 1};
        heartbeat.sequence_ = 2;
        heartbeat.clock_ = 1'100ms; // the executor's clock is at 5 s
        (void)bench.step({heartbeat});
        CPPUNIT_ASSERT(bench.report().executor_.capacity_ == batch::ResourceVector{});
    }

    void replacedExecutorIsFencedAtOnceAndGetsNoStartBeforeItsHeartbeat()
    {
        AgentBench bench;
        const std::int64_t formerToken = bench.nextPoll().fencingToken_;
        batch::PollAnswered answer = bench.answer({});
        answer.startTimeMs_ = 6'000;
        const auto outputs = bench.step({answer});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(outputs));
        CPPUNIT_ASSERT(bench.nextPoll().fencingToken_ > formerToken);
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({order})));
        CPPUNIT_ASSERT(!bench.report().responsive_);
    }

    void leasesAllowForClockDriftSinceTheLastReading()
    {
        // The executor's clock is 2 % slow: 10 s after its last reading it is 200 ms behind, and the lease ends later by that and 2 % of its length.
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Accepted);
        for (int second = 0; second < 10; ++second) {
            bench.advance(1s);
            (void)bench.step({bench.directive()});
            (void)bench.nextPoll();
        }
        bench.advance(5s + 250ms);
        (void)bench.step({batch::PollFailed{false}});
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void leasesOfAnExecutorThatHasLeftAreNotRenewed()
    {
        OrdersBench bench;
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(!bench.nextPoll().leaseEnd_.has_value());
    }

    void leaveOfAFormerIncarnationIsIgnored()
    {
        AgentBench bench;
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 4'000}});
        CPPUNIT_ASSERT(!bench.report().executor_.hasLeft_);
    }

    void executorThatIsReadyHasNotLeft()
    {
        OrdersBench bench;
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(bench.report().executor_.hasLeft_);
        bench.sendHeartbeat("x", 5'000);
        CPPUNIT_ASSERT(!bench.report().executor_.hasLeft_);
    }

    void incompleteListOfEndsDoesNotConfirmAStop()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Accepted);
        (void)bench.orderStop();
        (void)bench.step({batch::StopAnswered{run, OrderAnswer::Accepted, ""}});
        bench.advance(1s);
        batch::PollAnswered listing = bench.answer({});
        for (std::uint32_t number = 1; number <= batch::maxEndsPerList; ++number) {
            listing.ended_.push_back({number, {{JobId("other"), 0, 0, number}, 1}, batch::EndKind::Failed, ""});
        }
        (void)bench.step({listing});
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void olderListsDoNotHideAStartedRun()
    {
        OrdersBench bench;
        const batch::PollAnswered newerLists = bench.answer({{run, "", 0, 0}});
        bench.advance(100ms);
        const batch::PollAnswered olderLists = bench.answer({});
        bench.advance(400ms);
        (void)bench.step({newerLists});
        (void)bench.step({olderLists});
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
    }

    void pendingStartIsStoppedWhenItsExecutorDrains()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.executor_.draining_ = true;
        heartbeat.sequence_ = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({heartbeat})));
    }

    void pauseOfTheAgentIsNotTakenAsRefusedConnections()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Accepted);
        bench.refusePolls();
        bench.advance(3s);
        bench.refusePolls();
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void startForAnExecutorThatRefusesConnectionsIsRefused()
    {
        AgentBench bench;
        (void)bench.step({batch::PollFailed{true}});
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "", "", ""}};
        (void)bench.step({order});
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), run) == OrderOutcome::Refused);
    }

    void leaveThatArrivesAfterTheEndDoesNotHideACrash()
    {
        OrdersBench bench;
        bench.refusePolls();
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(!bench.report().executor_.hasLeft_);
    }

    // BUDGET on random day 50037: a crash by a task, with connections that are silent and not refused, counted as an announced end.
    void leaveThatArrivesAfterASilentCrashDoesNotHideIt()
    {
        OrdersBench bench;
        bench.advance(900ms);
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(!bench.report().executor_.hasLeft_);
    }

    void leaveOfADrainingExecutorIsNotIgnoredAfterASilence()
    {
        OrdersBench bench;
        batch::HeartbeatReceived draining = bench.heartbeat("x", 5'000);
        draining.executor_.draining_ = true;
        (void)bench.step({draining});
        bench.advance(900ms);
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(bench.report().executor_.hasLeft_);
    }

    void leaveThatArrivesAfterARebirthDoesNotHideACrash()
    {
        OrdersBench bench;
        bench.sendHeartbeat("x", 6'000);
        (void)bench.step({batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(!bench.report().executor_.hasLeft_);
        batch::HeartbeatReceived draining;
        draining.executor_.incarnation_ = {ExecutorId("x"), 6'000, ""};
        draining.executor_.draining_ = true;
        draining.sequence_ = 20;
        (void)bench.step({draining, batch::ExecutorLeft{ExecutorId("x"), 0}});
        CPPUNIT_ASSERT(bench.report().executor_.hasLeft_);
    }

    void startIsNotRepeatedOnceTheLeaderNoLongerOrdersIt()
    {
        OrdersBench bench;
        bench.advance(2'500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.answerStart(OrderAnswer::Unknown)));
        bench.advance(250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({})));
    }

    void incompleteListOfEndsIsNotCutFurther()
    {
        AgentBench bench;
        batch::PollAnswered listing = bench.answer({});
        for (std::int64_t number = 1; number <= 500; ++number) {
            listing.ended_.push_back({number, {{JobId("job"), 0, 0, static_cast<std::uint32_t>(number)}, 1}, batch::EndKind::Done, ""});
        }
        batch::Directive directive = bench.directive();
        directive.acknowledged_ = 300;
        (void)bench.step({directive});
        (void)bench.step({listing});
        CPPUNIT_ASSERT_EQUAL(std::size_t{500}, bench.report().ended_.size());
    }

    void startThatHasWaitedForASecondIsNotSent()
    {
        AgentBench bench;
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "", "", ""}};
        const Instant orderedAt{order.echoSentAt_};
        std::size_t calls = 0;
        for (const batch::AgentOutput &output : bench.step({order})) {
            if (const auto *call = std::get_if<batch::CallStart>(&output)) {
                ++calls;
                CPPUNIT_ASSERT(call->sendBefore_ > orderedAt);
                CPPUNIT_ASSERT(call->sendBefore_ <= orderedAt + 1s);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls);
    }

    void startIsNotRepeatedOnACapacityThatIsTooOld()
    {
        OrdersBench bench;
        bench.advance(3'400ms);
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "spec", "", ""}};
        (void)bench.step({order});
        bench.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.answerStart(OrderAnswer::Unknown)));
        bench.advance(250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({})));
    }

    void runThatAFormerProcessHasStartedIsNotStartedAgain()
    {
        AgentBench bench;
        bench.answerPoll({{run, "", 5, 0}});
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({order})));
    }

    void refusalWhileDrainingDoesNotSettleARunThatAFormerProcessMayHaveStarted()
    {
        AgentBench bench(100ms);
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.executor_.draining_ = true;
        heartbeat.sequence_ = 2;
        (void)bench.step({heartbeat});
        batch::Directive order = bench.directive();
        order.starts_ = {{run, "", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({order})));
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(bench.report(), run));
    }

    void refusalAfterALossDoesNotSettleAnEarlierUnansweredCall()
    {
        OrdersBench bench;
        bench.loseFirstAnswer();
        bench.loseExecutor();
        (void)bench.answerStart(OrderAnswer::Refused, "nobody-listens", true);
        const batch::Report report = bench.report();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(report, run));
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(report, run));
    }

    void startThatTheNextIncarnationHasAcceptedIsNotSettled()
    {
        OrdersBench bench;
        bench.loseExecutor();
        (void)bench.answerStart(OrderAnswer::Accepted);
        const batch::Report report = bench.report();
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(report, run));
        CPPUNIT_ASSERT(!AgentBench::outcomeOf(report, run));
    }

    void unansweredCallOfAListedRunOutlastsTheRetentionOfOrders()
    {
        OrdersBench bench;
        bench.loseFirstAnswer();
        (void)bench.answerStart(OrderAnswer::Accepted);
        bench.advance(100ms);
        bench.answerPoll({{run, "", 0, 0}});
        bench.advance(10'100ms);
        (void)bench.step({});
        (void)bench.step({batch::PollFailed{false}}); // all leases have lapsed
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
    }

    void unansweredStartIsStoppedWhileConnectionsAreRefused()
    {
        OrdersBench bench;
        (void)bench.answerStart(OrderAnswer::Unknown);
        bench.refusePolls();
        bench.advance(250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({})) + AgentBench::count<batch::CallStop>(bench.step({})));
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), run));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchOrdersTest);

}
