#include "core/batch/agent.h"

#include "support/expect.h"

#include <algorithm>
#include <stdexcept>

namespace bergamotwick::test {

namespace {

const batch::RunId run{{JobId("job"), 0, 0, 0}, 1};

/// An agent with a leader and an executor that has told its lists.
class AgentBench
{
public:
    AgentBench()
    {
        batch::HeartbeatReceived beat;
        beat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        beat.sequence_ = 1;
        (void)step({beat});
        (void)step({directive()});
        answerHold({});
    }

    std::vector<batch::AgentOutput> step(const std::vector<batch::AgentInput> &inputs)
    {
        return agent_.step(now_, inputs);
    }

    void pass(Duration length)
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

    void answerHold(std::vector<batch::RunningTask> running)
    {
        (void)step({answer(std::move(running))});
    }

    /// Returns what the executor says to a call that is sent now.
    [[nodiscard]] batch::PollAnswered answer(std::vector<batch::RunningTask> running)
    {
        const batch::PollCall call = agent_.nextPoll(now_);
        batch::PollAnswered answer;
        answer.sentAt_ = now_;
        answer.wait_ = call.wait_;
        answer.epoch_ = call.epoch_;
        answer.startTimeMs_ = 5'000;
        answer.clock_ = 1s;
        answer.running_ = std::move(running);
        return answer;
    }

    /// Returns the agent's next report.
    [[nodiscard]] batch::Report report()
    {
        pass(600ms);
        for (const batch::AgentOutput &output : step({})) {
            if (const auto *found = std::get_if<batch::Report>(&output)) {
                return *found;
            }
        }
        throw std::logic_error("no report is due");
    }

    [[nodiscard]] batch::PollCall hold()
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

/// What the process beside an executor decides.
class BatchAgentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchAgentTest);
    CPPUNIT_TEST(unansweredStopIsRepeatedAfterAPause);
    CPPUNIT_TEST(unansweredStartIsRepeatedAfterAPause);
    CPPUNIT_TEST(staleDirectiveStartsNothing);
    CPPUNIT_TEST(lowerEpochIsIgnored);
    CPPUNIT_TEST(leasesEndWithoutTheLeadersWord);
    CPPUNIT_TEST(cursorGoesOnlyToALifeThatHasJustAnswered);
    CPPUNIT_TEST(newLeaderGetsListsWithoutAWait);
    CPPUNIT_TEST(newLifeIsAskedWithoutAWait);
    CPPUNIT_TEST(overtakenListsAreDropped);
    CPPUNIT_TEST(newConnectionGetsAReportAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void unansweredStopIsRepeatedAfterAPause()
    {
        AgentBench bench;
        batch::Directive stop = bench.directive();
        stop.stops_ = {run};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({stop})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStop>(bench.step({batch::StopAnswered{run, batch::OrderAnswer::Unknown}})));
        bench.pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({})));
        bench.pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStop>(bench.step({})));
    }

    void unansweredStartIsRepeatedAfterAPause()
    {
        AgentBench bench;
        batch::Directive start = bench.directive();
        start.starts_ = {{run, "spec", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(bench.step({start})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({batch::StartAnswered{run, batch::OrderAnswer::Unknown, ""}})));
        bench.pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStart>(bench.step({})));
    }

    void staleDirectiveStartsNothing()
    {
        AgentBench bench;
        batch::Directive start = bench.directive();
        start.starts_ = {{run, "spec", "", ""}};
        bench.pass(2'500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({start})));
    }

    void lowerEpochIsIgnored()
    {
        AgentBench bench;
        batch::Directive start = bench.directive();
        start.epoch_ = 6;
        start.starts_ = {{run, "spec", "", ""}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::CallStart>(bench.step({start})));
    }

    void leasesEndWithoutTheLeadersWord()
    {
        AgentBench bench;
        CPPUNIT_ASSERT(bench.hold().leaseEnd_.has_value());
        bench.pass(6'600ms);
        CPPUNIT_ASSERT(!bench.hold().leaseEnd_.has_value());
    }

    void cursorGoesOnlyToALifeThatHasJustAnswered()
    {
        AgentBench bench;
        batch::Directive acknowledging = bench.directive();
        acknowledging.acknowledged_ = 3;
        (void)bench.step({acknowledging});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, bench.hold().acknowledged_);
        (void)bench.step({batch::PollFailed{false}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bench.hold().acknowledged_);
        bench.answerHold({});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, bench.hold().acknowledged_);
    }

    void newLeaderGetsListsWithoutAWait()
    {
        AgentBench bench;
        batch::Directive word = bench.directive();
        word.epoch_ = 8;
        const auto outputs = bench.step({word});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(outputs));
        for (const batch::AgentOutput &output : outputs) {
            if (const auto *call = std::get_if<batch::PollCall>(&output)) {
                CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, std::int64_t{call->wait_.count()});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::PollCall>(bench.step({word})));
    }

    void newLifeIsAskedWithoutAWait()
    {
        AgentBench bench;
        batch::HeartbeatReceived beat;
        beat.executor_.incarnation_ = {ExecutorId("y"), 6'000, ""};
        beat.sequence_ = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(bench.step({beat})));
    }

    void newConnectionGetsAReportAtOnce()
    {
        AgentBench bench;
        (void)bench.report();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentBench::count<batch::Report>(bench.step({})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::Report>(bench.step({batch::LeaderConnected()})));
    }

    void overtakenListsAreDropped()
    {
        AgentBench bench;
        const batch::PollAnswered early = bench.answer({});
        bench.pass(100ms);
        bench.answerHold({{run, "", 5, 0}});
        (void)bench.step({early});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.report().running_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchAgentTest);

}
