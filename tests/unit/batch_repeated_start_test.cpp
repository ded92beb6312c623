#include "batch/agent_bench.h"
#include "support/expect.h"

namespace bergamotwick::test {

namespace {

using batch::OrderOutcome;
using batch::RunId;

const RunId firstRun{{JobId("job"), 0, 0, 0}, 1};
const RunId laterRun{{JobId("job"), 0, 0, 0}, 2};

/// An agent with the order to start a run.
class StartBench : public AgentBench
{
public:
    explicit StartBench(const RunId &run, Duration age = 20s)
        : AgentBench(age)
    {
        batch::Directive order = directive();
        order.starts_ = {{run, "spec", "", ""}};
        outputs_ = step({order});
    }

    /// Sends the first heartbeat of the host's next executor.
    void replaceExecutor(const std::string &name)
    {
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId(name), 9'000, ""};
        heartbeat.sequence_ = 1;
        (void)step({heartbeat});
    }

    std::vector<batch::AgentOutput> outputs_;
};

std::size_t countStarts(const std::vector<batch::AgentOutput> &outputs)
{
    return AgentBench::count<batch::CallStart>(outputs);
}

}

/// Later starts of a task than its first, which may have crashed an executor.
class BatchRepeatedStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchRepeatedStartTest);
    CPPUNIT_TEST(firstStartIsCalledAtOnce);
    CPPUNIT_TEST(laterStartIsCalledOnceTheExecutorHasAnswered);
    CPPUNIT_TEST(answerToAFormerPollDoesNotCount);
    CPPUNIT_TEST(startIsRefusedIfTheExecutorDoesNotAnswer);
    CPPUNIT_TEST(startThatAFormerProcessMayHaveCalledIsStoppedIfTheExecutorDoesNotAnswer);
    CPPUNIT_TEST(uncalledStartIsRefusedAfterTheExecutorWasReplaced);
    CPPUNIT_TEST(calledStartHasEndedAfterTheExecutorWasReplaced);
    CPPUNIT_TEST(lostAnswerOfAnExecutorOfAnotherNameHoldsUpNoAcknowledgement);
    CPPUNIT_TEST(callIsReportedAtOnce);
    CPPUNIT_TEST(uncalledStartIsNotReported);
    CPPUNIT_TEST(nothingIsAcknowledgedWhileAStartMayBeLate);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstStartIsCalledAtOnce()
    {
        const StartBench bench(firstRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countStarts(bench.outputs_));
    }

    void laterStartIsCalledOnceTheExecutorHasAnswered()
    {
        StartBench bench(laterRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countStarts(bench.outputs_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::PollCall>(bench.outputs_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countStarts(bench.step({bench.answer({})})));
    }

    void answerToAFormerPollDoesNotCount()
    {
        AgentBench bench;
        const batch::PollAnswered former = bench.answer({});
        bench.advance(10ms);
        batch::Directive order = bench.directive();
        order.starts_ = {{laterRun, "spec", "", ""}};
        (void)bench.step({order});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countStarts(bench.step({former})));
    }

    void startIsRefusedIfTheExecutorDoesNotAnswer()
    {
        StartBench bench(laterRun);
        bench.advance(1'100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countStarts(bench.step({batch::PollFailed{false}})));
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), laterRun) == OrderOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countStarts(bench.step({bench.answer({})})));
    }

    void startThatAFormerProcessMayHaveCalledIsStoppedIfTheExecutorDoesNotAnswer()
    {
        StartBench bench(laterRun, 100ms);
        bench.advance(1'100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::CallStop>(bench.step({batch::PollFailed{false}})));
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), laterRun));
    }

    void uncalledStartIsRefusedAfterTheExecutorWasReplaced()
    {
        for (const std::string &name : {std::string("x"), std::string("y")}) {
            StartBench bench(laterRun);
            bench.replaceExecutor(name);
            CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), laterRun) == OrderOutcome::Refused);
        }
    }

    void calledStartHasEndedAfterTheExecutorWasReplaced()
    {
        StartBench bench(laterRun);
        (void)bench.step({bench.answer({})});
        bench.replaceExecutor("y");
        CPPUNIT_ASSERT(AgentBench::outcomeOf(bench.report(), laterRun) == OrderOutcome::StopConfirmed);
    }

    void lostAnswerOfAnExecutorOfAnotherNameHoldsUpNoAcknowledgement()
    {
        StartBench bench(laterRun);
        (void)bench.step({bench.answer({})});
        bench.replaceExecutor("y");
        (void)bench.step({batch::StartAnswered{laterRun, batch::OrderAnswer::Unknown, "timeout"}});
        CPPUNIT_ASSERT(!AgentBench::mayBeRunning(bench.report(), laterRun));
        batch::PollAnswered lists = bench.answer({});
        lists.startTimeMs_ = 9'000;
        lists.ended_ = {{1, {{JobId("other"), 0, 0, 0}, 1}, batch::EndKind::Done, ""}};
        (void)bench.step({lists});
        batch::Directive stored = bench.directive();
        stored.incarnation_ = {ExecutorId("y"), 9'000, "host"};
        stored.acknowledged_ = 1;
        (void)bench.step({stored});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, bench.nextPoll().acknowledged_);
    }

    void callIsReportedAtOnce()
    {
        StartBench bench(laterRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AgentBench::count<batch::Report>(bench.step({bench.answer({})})));
        CPPUNIT_ASSERT(AgentBench::mayBeRunning(bench.report(), laterRun));
    }

    void uncalledStartIsNotReported()
    {
        StartBench bench(laterRun);
        CPPUNIT_ASSERT(!AgentBench::mayBeRunning(bench.report(), laterRun));
    }

    void nothingIsAcknowledgedWhileAStartMayBeLate()
    {
        StartBench bench(firstRun);
        batch::PollAnswered lists = bench.answer({});
        lists.ended_ = {{1, {{JobId("other"), 0, 0, 0}, 1}, batch::EndKind::Done, ""}};
        (void)bench.step({batch::StartAnswered{firstRun, batch::OrderAnswer::Accepted, ""}, lists});
        batch::Directive stored = bench.directive();
        stored.acknowledged_ = 1;
        (void)bench.step({stored});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, bench.nextPoll().acknowledged_);
        batch::Directive order = bench.directive();
        order.acknowledged_ = 1;
        order.starts_ = {{{{JobId("late"), 0, 0, 0}, 1}, "spec", "", ""}};
        (void)bench.step({order});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bench.nextPoll().acknowledged_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRepeatedStartTest);

}
