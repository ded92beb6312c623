#include "batch/agent_bench.h"
#include "batch/leader_bench.h"
#include "support/expect.h"

#include <stdexcept>

namespace bergamotwick::test {

using namespace std::chrono_literals;
using batch::EndKind;
using batch::FencingTokens;

namespace {

constexpr std::int64_t startTimeMs = 5'000;
constexpr batch::ResourceVector smallDemand{1'000, 1'000, 1};
const batch::RunId formerRun{{JobId("before"), 0, 0, 0}, 1};
const batch::RunId run{{JobId("job"), 0, 0, 0}, 1};

/// An agent whose executor lists an end that the leader has stored.
class AcknowledgingBench : public AgentBench
{
public:
    explicit AcknowledgingBench(Duration age = 20s)
        : AgentBench(age)
    {
        batch::PollAnswered listing = answer({});
        listing.ended_ = {{1, formerRun, EndKind::Done, ""}};
        (void)step({listing});
        batch::Directive order = directive();
        order.acknowledged_ = 1;
        (void)step({order});
    }

    /// Orders a start and returns its call.
    [[nodiscard]] batch::CallStart callOfStart()
    {
        batch::Directive order = directive();
        order.acknowledged_ = 1;
        order.starts_ = {{run, "spec", "", ""}};
        for (const batch::AgentOutput &output : step({order})) {
            if (const auto *call = std::get_if<batch::CallStart>(&output)) {
                return *call;
            }
        }
        throw std::logic_error("the start isn't called");
    }
};

}

/// Starts beside polls that acknowledge ends. An executor's next incarnation under the same name, which has seen no token and numbers its ends anew, may
/// carry out both late, the start first.
class BatchFencingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchFencingTest);
    CPPUNIT_TEST(startAfterAnUnansweredAcknowledgementHasAHigherToken);
    CPPUNIT_TEST(startAfterAnAnsweredAcknowledgementHasTheSameToken);
    CPPUNIT_TEST(startOfARestartedAgentHasAHigherToken);
    CPPUNIT_TEST(noEndIsAcknowledgedWhileAFormerProcessMayHaveStartedAnotherRun);
    CPPUNIT_TEST(fencedAgentRaisesItsToken);
    CPPUNIT_TEST(acknowledgementsDoNotWaitForEnds);
    CPPUNIT_TEST(listsForALowerTokenOfTheTermCount);
    CPPUNIT_TEST(tokensRiseWithTermsAndIncarnations);
    CPPUNIT_TEST(raisedTokensStayBelowThoseOfTheNextTerm);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A task that was done was started again: the end of a late start was acknowledged, unseen, by a poll that was sent before it.
    void startAfterAnUnansweredAcknowledgementHasAHigherToken()
    {
        AcknowledgingBench bench;
        const batch::PollCall poll = bench.nextPoll();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, poll.acknowledged_);
        CPPUNIT_ASSERT(bench.callOfStart().fencingToken_ > poll.fencingToken_);
    }

    void startAfterAnAnsweredAcknowledgementHasTheSameToken()
    {
        AcknowledgingBench bench;
        batch::PollAnswered listing = bench.answer({});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, listing.acknowledged_);
        (void)bench.step({listing});
        CPPUNIT_ASSERT_EQUAL(listing.fencingToken_, bench.callOfStart().fencingToken_);
    }

    /// The former process may have sent a poll that acknowledges ends.
    void startOfARestartedAgentHasAHigherToken()
    {
        AcknowledgingBench bench(0s);
        const std::int64_t token = bench.nextPoll().fencingToken_;
        CPPUNIT_ASSERT(bench.callOfStart().fencingToken_ > token);
        CPPUNIT_ASSERT(bench.nextPoll().fencingToken_ > token);
    }

    /// The acknowledgement would cover the end of that run, which nobody has seen.
    void noEndIsAcknowledgedWhileAFormerProcessMayHaveStartedAnotherRun()
    {
        LeaderBench bench(1);
        const RunId ended = bench.submitAndStart(makeJob("ended", 1, smallDemand, 60s)).at(0);
        const RunId open = bench.submitAndStart(makeJob("open", 1, smallDemand, 60s)).at(0);
        batch::Report &report = bench.report(0);
        report.starting_ = {open};
        bench.advanceTime(100ms);
        report.sequence_ = 0;
        report.starting_.clear();
        bench.advanceTime(100ms);
        bench.endRun(ended, EndKind::Done);
        bench.advanceTime(11s);
        CPPUNIT_ASSERT(bench.cluster().jobs_.at(JobId("ended")).progress_.state_ == batch::JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bench.acknowledgedTo(0));
        bench.advanceTime(1'500ms);
        CPPUNIT_ASSERT(bench.acknowledgedTo(0) >= 1);
    }

    /// Without that, an agent whose former process had raised the token could not reach its executor.
    void fencedAgentRaisesItsToken()
    {
        AgentBench bench(0s);
        const batch::PollCall poll = bench.nextPoll();
        (void)bench.step({batch::PollFailed{false, true, poll.fencingToken_, 0}});
        CPPUNIT_ASSERT(bench.nextPoll().fencingToken_ > poll.fencingToken_);
    }

    void acknowledgementsDoNotWaitForEnds()
    {
        AcknowledgingBench bench;
        CPPUNIT_ASSERT_EQUAL(batch::milliseconds(0), bench.nextPoll().wait_);
    }

    void listsForALowerTokenOfTheTermCount()
    {
        AcknowledgingBench bench;
        const batch::PollAnswered listing = bench.answer({{formerRun, "", 0, 0}});
        (void)bench.nextPoll();
        (void)bench.callOfStart();
        (void)bench.step({listing});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.report().running_.size());
    }

    static void tokensRiseWithTermsAndIncarnations()
    {
        constexpr std::int64_t tokensPerDay = 10 * 24 * 3'600;
        FencingTokens tokens;
        std::int64_t former = tokens.current();
        for (std::int64_t day = 1; day <= 4; ++day) { // the start time's part of the token begins anew after 29 hours
            tokens.follow(1 + day / 3, startTimeMs + 100 * tokensPerDay * day);
            CPPUNIT_ASSERT(tokens.current() > former);
            former = tokens.current();
        }
    }

    static void raisedTokensStayBelowThoseOfTheNextTerm()
    {
        FencingTokens tokens;
        FencingTokens next;
        tokens.follow(7, startTimeMs);
        next.follow(8, startTimeMs);
        tokens.raise(24h * 400);
        CPPUNIT_ASSERT(tokens.current() < next.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchFencingTest);

}
