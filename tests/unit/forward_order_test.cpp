#include "forward_order.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// Tests of which entry is asked to serve a call that this one can't.
class ForwardOrderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardOrderTest);
    CPPUNIT_TEST(unknownEntriesTakeTurns);
    CPPUNIT_TEST(entryThatServedIsAskedFirst);
    CPPUNIT_TEST(entryThatRefusedIsAskedLast);
    CPPUNIT_TEST(oldestRefusalIsAskedFirst);
    CPPUNIT_TEST(repliesAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownEntriesTakeTurns()
    {
        CPPUNIT_ASSERT(order() == Names({"a", "b", "c"}));
        CPPUNIT_ASSERT(order() == Names({"b", "c", "a"}));
        CPPUNIT_ASSERT(order() == Names({"c", "a", "b"}));
    }

    void entryThatServedIsAskedFirst()
    {
        order_.noteServed("b", now_);
        for (int call = 0; call < 3; ++call) {
            CPPUNIT_ASSERT_EQUAL(std::string("b"), order().front());
        }
    }

    void entryThatRefusedIsAskedLast()
    {
        order_.noteServed("b", now_);
        order_.noteRefused("b", now_);
        for (int call = 0; call < 3; ++call) {
            CPPUNIT_ASSERT_EQUAL(std::string("b"), order().back());
        }
    }

    void oldestRefusalIsAskedFirst()
    {
        order_.noteRefused("b", now_);
        order_.noteRefused("c", now_ + 1ms);
        order_.noteRefused("a", now_ + 2ms);
        now_ += 3ms;
        CPPUNIT_ASSERT(order() == Names({"b", "c", "a"}));
        CPPUNIT_ASSERT(order() == Names({"b", "c", "a"}));
    }

    void repliesAreForgotten()
    {
        order_.noteRefused("a", now_);
        order_.noteServed("c", now_);
        now_ += 1min;
        CPPUNIT_ASSERT(order() == Names({"a", "b", "c"}));
        order_.noteRefused("b", now_);
        (void)order_.order({"a", "c"}, now_); // it has left
        CPPUNIT_ASSERT(order() == Names({"c", "a", "b"}));
    }

private:
    using Names = std::vector<std::string>;

    Names order()
    {
        return order_.order({"a", "b", "c"}, now_);
    }

    node::ForwardOrder order_;
    Instant now_{Duration(1h)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardOrderTest);

}
