// The leader's key over loopback, against a store that goes away.

#include "election.h"

#include "../../soak/store_stand_in.h"
#include "support/expect.h"

#include <thread>

namespace bergamotwick::test {

class ElectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ElectionTest);
    CPPUNIT_TEST(leaderGoesOnAfterAnOutageInWhichLeasesPause);
    CPPUNIT_TEST(lesserEntryTakesAFreeKeyOnlyLater);
    CPPUNIT_TEST(restartedEntryEndsItsFormerTerm);
    CPPUNIT_TEST(entryLeavesAnothersTermAlone);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaderGoesOnAfterAnOutageInWhichLeasesPause()
    {
        waitUntil([this] { return renewals_ >= 1; });
        soak::StoreFaults down;
        down.down_ = true;
        down.leasesPause_ = true;
        store_.setFaults(down);
        std::this_thread::sleep_for(std::chrono::milliseconds(3'500)); // longer than a permit is given without the store
        const int before = renewals_;
        store_.setFaults({});
        waitUntil([&] { return renewals_ > before || losses_ > 0; });
        CPPUNIT_ASSERT_EQUAL(0, losses_.load());
        CPPUNIT_ASSERT_EQUAL(1, wins_.load());
    }

    void lesserEntryTakesAFreeKeyOnlyLater()
    {
        waitUntil([this] { return renewals_ >= 1; });
        std::atomic<int> won{0};
        node::Election *woken = nullptr;
        node::Membership members(client_, [&woken](const node::Members &) {
            if (woken != nullptr) {
                woken->wake();
            }
        });
        constexpr std::chrono::milliseconds back(700);
        node::Election lesser(client_,
                              members,
                              "127.0.0.1:3",
                              std::chrono::milliseconds(1'500),
                              back,
                              {[&won](std::int64_t, Instant) { ++won; }, [](Instant) {}, [](const char *) {}});
        woken = &lesser;
        std::thread following([&members] { members.run(); });
        std::thread electing([&lesser] { lesser.run(); });
        const auto freed = std::chrono::steady_clock::now();
        election_.stop(); // gives the key up
        waitUntil([&won] { return won > 0; });
        const auto took = std::chrono::steady_clock::now() - freed;
        lesser.stop();
        members.stop();
        store_.put("b/m/entry/other", "127.0.0.1:4"); // ends the watch
        electing.join();
        following.join();
        CPPUNIT_ASSERT(took >= back);
    }

    void restartedEntryEndsItsFormerTerm()
    {
        Candidate candidate("127.0.0.1:9", "127.0.0.1:9");
        waitUntil([&candidate] { return candidate.wins_ > 0; }); // the key has no lease: it ends by nobody else
        CPPUNIT_ASSERT_EQUAL(1, candidate.wins_.load());
    }

    void entryLeavesAnothersTermAlone()
    {
        Candidate candidate("127.0.0.1:9", "127.0.0.1:8");
        waitUntil([&candidate] { return candidate.members_.members().leader_.has_value(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0, candidate.wins_.load());
    }

    void tearDown() override
    {
        election_.stop();
        membership_.stop();
        store_.put("b/m/entry/last", "127.0.0.1:2"); // ends the watch
        electing_.join();
        following_.join();
    }

private:
    /// An entry that starts where a leader's key is left from before, in a store of its own.
    struct Candidate
    {
        Candidate(const std::string &leader, const std::string &address)
            : election_(client_,
                        members_,
                        address,
                        std::chrono::milliseconds(1'500),
                        std::chrono::milliseconds(0),
                        {[this](std::int64_t, Instant) { ++wins_; }, [](Instant) {}, [](const char *) {}})
        {
            store_.put("b/m/leader", leader);
            following_ = std::thread([this] { members_.run(); });
            electing_ = std::thread([this] { election_.run(); });
        }

        ~Candidate()
        {
            election_.stop();
            members_.stop();
            store_.put("b/m/entry/last", "127.0.0.1:2"); // ends the watch
            electing_.join();
            following_.join();
        }

        soak::StoreStandIn store_{2};
        platform::StoreClient client_{store_.address()};
        std::atomic<int> wins_{0};
        node::Membership members_{client_, [this](const node::Members &) { election_.wake(); }};
        node::Election election_;
        std::thread electing_;
        std::thread following_;
    };

    /// Waits for what is certain to come, or for the test runner to give up.
    template<class Condition>
    static void waitUntil(Condition condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    soak::StoreStandIn store_{1};
    platform::StoreClient client_{store_.address()};
    std::atomic<int> wins_{0};
    std::atomic<int> renewals_{0};
    std::atomic<int> losses_{0};
    node::Membership membership_{client_, [this](const node::Members &) { election_.wake(); }};
    node::Election election_{client_,
                             membership_,
                             "127.0.0.1:1",
                             std::chrono::milliseconds(1'500),
                             std::chrono::milliseconds(0),
                             {[this](std::int64_t, Instant) { ++wins_; }, [this](Instant) { ++renewals_; }, [this](const char *) { ++losses_; }}};
    std::thread electing_{[this] { election_.run(); }};
    std::thread following_{[this] { membership_.run(); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ElectionTest);

}
