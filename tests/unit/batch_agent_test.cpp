#include "batch/agent_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

const batch::RunId run{{JobId("job"), 0, 0, 0}, 1};

}

/// Decisions of the agent: retries of orders, leases, polls and reports.
class BatchAgentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchAgentTest);
    CPPUNIT_TEST(unansweredStopIsRetriedAfterADelay);
    CPPUNIT_TEST(unansweredStartIsRetriedAfterADelay);
    CPPUNIT_TEST(startsOfStaleDirectiveAreIgnored);
    CPPUNIT_TEST(directiveOfLowerEpochIsIgnored);
    CPPUNIT_TEST(leasesAreNotRenewedWithoutAPermit);
    CPPUNIT_TEST(directiveThatAnswersAnotherProcessPermitsNothing);
    CPPUNIT_TEST(acknowledgementIsSentOnlyToAConfirmedIncarnation);
    CPPUNIT_TEST(newLeaderTriggersAPollWithoutAWait);
    CPPUNIT_TEST(newIncarnationIsPolledWithoutAWait);
    CPPUNIT_TEST(listsOfAnOvertakenPollAreIgnored);
    CPPUNIT_TEST(newConnectionTriggersAReport);
    CPPUNIT_TEST(startThatMayHaveCrashedItsExecutorIsNotReportedAsRefused);
    CPPUNIT_TEST(pendingStartIsStoppedWhenCapacityShrinks);
    CPPUNIT_TEST_SUITE_END();

public:
    void unansweredStopIsRetriedAfterADelay()
    {
        AgentBench bench;
        batch::Directive stop = bench.directive();
        stop.stops_ = {run};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({stop})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStop>(bench.step({batch::StopAnswered{run, batch::OrderAnswer::Unknown, ""}})));
        bench.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({})));
        bench.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStop>(bench.step({})));
    }

    void unansweredStartIsRetriedAfterADelay()
    {
        AgentBench bench;
        batch::Directive start = bench.directive();
        start.starts_ = {{run, "spec", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(bench.step({start})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({batch::StartAnswered{run, batch::OrderAnswer::Unknown, ""}})));
        bench.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(bench.step({})));
    }

    void startsOfStaleDirectiveAreIgnored()
    {
        AgentBench bench;
        batch::Directive start = bench.directive();
        start.starts_ = {{run, "spec", "", ""}};
        bench.advance(2'500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({start})));
    }

    void directiveOfLowerEpochIsIgnored()
    {
        AgentBench bench;
        batch::Directive start = bench.directive();
        start.epoch_ = 6;
        start.starts_ = {{run, "spec", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({start})));
    }

    void leasesAreNotRenewedWithoutAPermit()
    {
        AgentBench bench;
        CPPUNIT_ASSERT(bench.nextPoll().leaseEnd_.has_value());
        bench.advance(6'600ms);
        CPPUNIT_ASSERT(!bench.nextPoll().leaseEnd_.has_value());
    }

    void directiveThatAnswersAnotherProcessPermitsNothing()
    {
        AgentBench bench;
        batch::Directive directive = bench.directive();
        directive.echoSentAt_ += 30s; // by the clock of a former boot
        directive.starts_ = {{run, "", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({directive})));
        bench.advance(6'600ms);
        CPPUNIT_ASSERT(!bench.nextPoll().leaseEnd_.has_value());
    }

    void acknowledgementIsSentOnlyToAConfirmedIncarnation()
    {
        AgentBench bench;
        batch::PollAnswered listing = bench.answer({});
        listing.ended_ = {{3, run, batch::EndKind::Done, ""}};
        (void)bench.step({listing});
        batch::Directive directive = bench.directive();
        directive.acknowledged_ = 3;
        (void)bench.step({directive});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, bench.nextPoll().acknowledged_);
        (void)bench.step({batch::PollFailed{false}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bench.nextPoll().acknowledged_);
        (void)bench.step({listing});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, bench.nextPoll().acknowledged_);
    }

    void newLeaderTriggersAPollWithoutAWait()
    {
        AgentBench bench;
        batch::Directive directive = bench.directive();
        directive.epoch_ = 8;
        const auto outputs = bench.step({directive});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(outputs));
        for (const batch::AgentOutput &output : outputs) {
            if (const auto *call = std::get_if<batch::PollCall>(&output)) {
                CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, std::int64_t{call->wait_.count()});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::PollCall>(bench.step({directive})));
    }

    void newIncarnationIsPolledWithoutAWait()
    {
        AgentBench bench;
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("y"), 6'000, ""};
        heartbeat.sequence_ = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(bench.step({heartbeat})));
    }

    void newConnectionTriggersAReport()
    {
        AgentBench bench;
        (void)bench.report();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::Report>(bench.step({})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::Report>(bench.step({batch::LeaderConnected()})));
    }

    void listsOfAnOvertakenPollAreIgnored()
    {
        AgentBench bench;
        const batch::PollAnswered delayedAnswer = bench.answer({});
        bench.advance(100ms);
        bench.answerPoll({{run, "", 5, 0}});
        (void)bench.step({delayedAnswer});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.report().running_.size());
    }

    void startThatMayHaveCrashedItsExecutorIsNotReportedAsRefused()
    {
        for (const bool retriedBeforeLoss : {true, false}) {
            AgentBench bench;
            batch::Directive directive = bench.directive();
            directive.starts_ = {{run, "", "", ""}};
            (void)bench.step({directive});
            (void)bench.step({batch::StartAnswered{run, batch::OrderAnswer::Unknown, "", false}});
            bench.advance(250ms);
            if (retriedBeforeLoss) {
                (void)bench.step({});
                (void)bench.step({batch::StartAnswered{run, batch::OrderAnswer::Refused, "", true}});
            }
            for (int poll = 0; poll < 14; ++poll) {
                (void)bench.step({batch::PollFailed{true}});
                CPPUNIT_ASSERT(bench.report().settled_.empty());
            }
            batch::Report report;
            for (int poll = 0; poll < 9; ++poll) {
                (void)bench.step({batch::PollFailed{true}});
                report = bench.report();
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.settled_.size());
            CPPUNIT_ASSERT(report.settled_.front().outcome_ == batch::OrderOutcome::StopConfirmed);
        }
    }

    void pendingStartIsStoppedWhenCapacityShrinks()
    {
        AgentBench bench;
        batch::Directive directive = bench.directive();
        directive.starts_ = {{run, "", "", ""}};
        (void)bench.step({directive});
        (void)bench.step({batch::StartAnswered{run, batch::OrderAnswer::Unknown, "", false}});
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.executor_.capacity_ = {-1, 0, 0};
        heartbeat.sequence_ = 2;
        const auto outputs = bench.step({heartbeat});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(outputs));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::Report>(outputs));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchAgentTest);

}
