#include "core/batch/agent.h"

#include "support/expect.h"

#include <algorithm>
#include <stdexcept>

namespace bergamotwick::test {

namespace {

const batch::RunId run{{JobId("job"), 0, 0, 0}, 1};

/// An agent with a leader and an executor that has answered a poll with empty lists.
class AgentBench
{
public:
    AgentBench()
    {
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.sequence_ = 1;
        (void)step({heartbeat});
        (void)step({directive()});
        answerPoll({});
    }

    std::vector<batch::AgentOutput> step(const std::vector<batch::AgentInput> &inputs)
    {
        return agent_.step(now_, inputs);
    }

    void advance(Duration length)
    {
        now_ += length;
    }

    [[nodiscard]] batch::Directive directive() const
    {
        batch::Directive directive;
        directive.epoch_ = 7;
        directive.echoSentAt_ = now_.time_since_epoch();
        directive.permit_ = true;
        directive.incarnation_ = {ExecutorId("x"), 5'000, "host"};
        return directive;
    }

    void answerPoll(std::vector<batch::RunningTask> running)
    {
        (void)step({answer(std::move(running))});
    }

    /// Returns the executor's answer to a poll that is sent now.
    [[nodiscard]] batch::PollAnswered answer(std::vector<batch::RunningTask> running)
    {
        const batch::PollCall call = agent_.nextPoll(now_);
        batch::PollAnswered answer;
        answer.sentAt_ = now_;
        answer.wait_ = call.wait_;
        answer.fencingToken_ = call.fencingToken_;
        answer.startTimeMs_ = 5'000;
        answer.clock_ = 1s;
        answer.running_ = std::move(running);
        return answer;
    }

    /// Advances time until the next periodic report is due and returns it.
    [[nodiscard]] batch::Report report()
    {
        advance(600ms);
        for (const batch::AgentOutput &output : step({})) {
            if (const auto *found = std::get_if<batch::Report>(&output)) {
                return *found;
            }
        }
        throw std::logic_error("no report is due");
    }

    [[nodiscard]] batch::PollCall nextPoll()
    {
        return agent_.nextPoll(now_);
    }

    template<class Output>
    [[nodiscard]] static std::size_t count(const std::vector<batch::AgentOutput> &outputs)
    {
        return static_cast<std::size_t>(std::count_if(outputs.begin(), outputs.end(), [](const auto &any) { return std::holds_alternative<Output>(any); }));
    }

private:
    Instant now_{std::chrono::hours(1)};
    batch::AgentCore agent_{"host", 400ms};
};

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
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStop>(bench.step({batch::StopAnswered{run, batch::OrderAnswer::Unknown}})));
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

    void acknowledgementIsSentOnlyToAConfirmedIncarnation()
    {
        AgentBench bench;
        batch::Directive directive = bench.directive();
        directive.acknowledged_ = 3;
        (void)bench.step({directive});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, bench.nextPoll().acknowledged_);
        (void)bench.step({batch::PollFailed{false}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bench.nextPoll().acknowledged_);
        bench.answerPoll({});
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
            (void)bench.step({batch::PollFailed{true}, batch::PollFailed{true}});
            const batch::Report report = bench.report();
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
