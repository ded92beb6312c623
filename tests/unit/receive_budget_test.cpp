#include "net/receive_budget.h"

#include "support/expect.h"

namespace bergamotwick::test {

namespace {

using Admission = ReceiveBudget::Admission;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t megabyte = 1024 * kibibyte;
constexpr Instant start{};

}

class ReceiveBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReceiveBudgetTest);
    CPPUNIT_TEST(requestOfTheLargestSizeIsAdmittedOnTheSmallestHost);
    CPPUNIT_TEST(unfinishedBodyGivesWayToASmallRequest);
    CPPUNIT_TEST(requestThatCostsMostIsRefused);
    CPPUNIT_TEST(completeRequestIsNotEnded);
    CPPUNIT_TEST(largeRequestsAreServedOneAtATime);
    CPPUNIT_TEST(connectionLongestWithoutARequestGivesWay);
    CPPUNIT_TEST(bytesComeBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestOfTheLargestSizeIsAdmittedOnTheSmallestHost()
    {
        ReceiveBudget budget(receiveLimitsOf(1, 1));
        begin(budget, 1, start);
        CPPUNIT_ASSERT(reserve(budget, 1, 4 * megabyte, start) == Admission::Admitted);
        CPPUNIT_ASSERT(budget.complete(1) == Admission::Admitted);
    }

    void unfinishedBodyGivesWayToASmallRequest()
    {
        ReceiveBudget budget({megabyte, 10});
        begin(budget, 1, start);
        begin(budget, 2, start);
        CPPUNIT_ASSERT(reserve(budget, 1, 512 * kibibyte, start) == Admission::Admitted);
        CPPUNIT_ASSERT(reserve(budget, 2, 256 * kibibyte, start) == Admission::Admitted);
        for (ReceiveBudget::ConnectionId id = 3; id < 7; ++id) {
            begin(budget, id, start + 1s);
            CPPUNIT_ASSERT(reserve(budget, id, 64 * kibibyte, start + 1s) == Admission::Admitted);
        }
        begin(budget, 7, start + 2s);
        const auto decision = budget.reserve(7, 4 * kibibyte, start + 2s);
        CPPUNIT_ASSERT(decision.admission_ == Admission::Wait && decision.closed_ == ReceiveBudget::ConnectionId{1});
        CPPUNIT_ASSERT(budget.reserve(7, 4 * kibibyte, start + 2s).closed_ == std::nullopt);
        budget.close(1);
        CPPUNIT_ASSERT(reserve(budget, 7, 4 * kibibyte, start + 2s) == Admission::Admitted);
    }

    void requestThatCostsMostIsRefused()
    {
        ReceiveBudget budget({megabyte, 10});
        begin(budget, 1, start);
        begin(budget, 2, start);
        CPPUNIT_ASSERT(reserve(budget, 1, 300 * kibibyte, start) == Admission::Admitted);
        const auto decision = budget.reserve(2, 600 * kibibyte, start);
        CPPUNIT_ASSERT(decision.admission_ == Admission::Refused && !decision.closed_);
        CPPUNIT_ASSERT(budget.isClosed(2) && !budget.isClosed(1));
    }

    void completeRequestIsNotEnded()
    {
        ReceiveBudget budget({megabyte, 1});
        begin(budget, 1, start);
        CPPUNIT_ASSERT(reserve(budget, 1, 700 * kibibyte, start) == Admission::Admitted);
        CPPUNIT_ASSERT(budget.complete(1) == Admission::Admitted);
        CPPUNIT_ASSERT(budget.open(2, start + 9s).admission_ == Admission::Refused);
        budget.endRequest(1, start + 9s);
        CPPUNIT_ASSERT(budget.open(2, start + 9s).closed_ == ReceiveBudget::ConnectionId{1});
    }

    void largeRequestsAreServedOneAtATime()
    {
        ReceiveBudget budget({megabyte, 10});
        for (ReceiveBudget::ConnectionId id = 1; id < 4; ++id) {
            begin(budget, id, start);
            CPPUNIT_ASSERT(reserve(budget, id, id < 3 ? 100 * kibibyte : 4 * kibibyte, start) == Admission::Admitted);
        }
        CPPUNIT_ASSERT(budget.complete(1) == Admission::Admitted);
        CPPUNIT_ASSERT(budget.complete(2) == Admission::Wait);
        CPPUNIT_ASSERT(budget.complete(3) == Admission::Admitted);
        budget.endRequest(1, start);
        CPPUNIT_ASSERT(budget.complete(2) == Admission::Admitted);
    }

    void connectionLongestWithoutARequestGivesWay()
    {
        ReceiveBudget budget({megabyte, 2});
        CPPUNIT_ASSERT(budget.open(1, start).admission_ == Admission::Admitted);
        CPPUNIT_ASSERT(budget.open(2, start + 1s).admission_ == Admission::Admitted);
        budget.beginRequest(1, start + 2s);
        const auto decision = budget.open(3, start + 3s);
        CPPUNIT_ASSERT(decision.admission_ == Admission::Admitted && decision.closed_ == ReceiveBudget::ConnectionId{2});
    }

    void bytesComeBack()
    {
        ReceiveBudget budget({megabyte, 2});
        begin(budget, 1, start);
        begin(budget, 2, start);
        CPPUNIT_ASSERT(reserve(budget, 1, 100, start) == Admission::Admitted);
        CPPUNIT_ASSERT(reserve(budget, 2, 100, start) == Admission::Admitted);
        budget.endRequest(1, start);
        budget.close(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.usedBytes());
    }

private:
    static void begin(ReceiveBudget &budget, ReceiveBudget::ConnectionId id, Instant now)
    {
        CPPUNIT_ASSERT(budget.open(id, now).admission_ == Admission::Admitted);
        budget.beginRequest(id, now);
    }

    static Admission reserve(ReceiveBudget &budget, ReceiveBudget::ConnectionId id, std::size_t bytes, Instant now)
    {
        return budget.reserve(id, bytes, now).admission_;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReceiveBudgetTest);

}
