// Leader election over loopback against a store with outages.

#include "election.h"

#include "../../soak/proxy.h"
#include "../../soak/store_stand_in.h"
#include "support/expect.h"

#include <thread>

namespace bergamotwick::test {

class ElectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ElectionTest);
    CPPUNIT_TEST(leaderKeepsItsTermAfterOutageThatPausesLeases);
    CPPUNIT_TEST(pausedLeaseOutlivesItsLengthAndEndsAfterThePause);
    CPPUNIT_TEST(smallHostWaitsBeforeTakingFreeKey);
    CPPUNIT_TEST(restartedEntryRemovesItsStaleLeaderKey);
    CPPUNIT_TEST(entryKeepsLeaderKeyOfAnotherEntry);
    CPPUNIT_TEST(entryLeadsOnlyWithEpochOfReadableReply);
    CPPUNIT_TEST(leaderWhoseLeaseEndedLeadsAgainThoughItsWatchIsSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    // CppUnit constructs all fixtures before the first test runs: an election of a member would go on beside all earlier tests.
    void setUp() override
    {
        candidate_ = std::make_unique<Candidate>("127.0.0.1:1");
    }

    void tearDown() override
    {
        candidate_.reset();
    }

    void leaderKeepsItsTermAfterOutageThatPausesLeases()
    {
        waitUntil([this] { return candidate_->renewals_ >= 1; });
        soak::StoreFaults outage = pausedLeases();
        outage.down_ = true;
        candidate_->store_.setFaults(outage);
        std::this_thread::sleep_for(std::chrono::milliseconds(3'500)); // longer than a leader without the store lets agents extend leases
        const int before = candidate_->renewals_;
        candidate_->store_.setFaults(pausedLeases());
        waitUntil([&] { return candidate_->renewals_ > before || candidate_->losses_ > 0; });
        CPPUNIT_ASSERT_EQUAL(0, candidate_->losses_.load());
        CPPUNIT_ASSERT_EQUAL(1, candidate_->wins_.load());
    }

    void pausedLeaseOutlivesItsLengthAndEndsAfterThePause()
    {
        soak::StoreStandIn store(3);
        store.setFaults(pausedLeases());
        platform::StoreClient client(store.address());
        constexpr std::chrono::milliseconds ttl(200);
        constexpr std::chrono::seconds callTimeout(30);
        platform::Transaction put;
        put.puts_ = {{"leased", "v", value(client.grantLease(ttl, callTimeout))}};
        CPPUNIT_ASSERT(value(client.apply(put, callTimeout)).applied_);
        std::this_thread::sleep_for(5 * ttl);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.values("leased").size());
        store.setFaults({});
        waitUntil([&store] { return store.values("leased").empty(); });
    }

    void smallHostWaitsBeforeTakingFreeKey()
    {
        waitUntil([this] { return candidate_->renewals_ >= 1; });
        std::atomic<int> won{0};
        node::Election *toWake = nullptr;
        node::Membership members(candidate_->client_, [&toWake](const node::Members &) {
            if (toWake != nullptr) {
                toWake->wake();
            }
        });
        constexpr std::chrono::milliseconds candidacyDelay(700);
        node::Election smallHost(candidate_->client_,
                                 members,
                                 "127.0.0.1:3",
                                 std::chrono::milliseconds(1'500),
                                 candidacyDelay,
                                 {[&won](std::int64_t, Instant) { ++won; }, [](Instant) {}, [](const char *) {}});
        toWake = &smallHost;
        std::thread membershipThread([&members] { members.run(); });
        std::thread electionThread([&smallHost] { smallHost.run(); });
        const auto releasedAt = std::chrono::steady_clock::now();
        candidate_->election_.stop(); // releases the key
        waitUntil([&won] { return won > 0; });
        const auto elapsed = std::chrono::steady_clock::now() - releasedAt;
        smallHost.stop();
        members.stop();
        candidate_->store_.put("b/m/entry/other", "127.0.0.1:4"); // makes the pending watch return
        electionThread.join();
        membershipThread.join();
        CPPUNIT_ASSERT(elapsed >= candidacyDelay);
    }

    void restartedEntryRemovesItsStaleLeaderKey()
    {
        Candidate candidate("127.0.0.1:9", "127.0.0.1:9");
        waitUntil([&candidate] { return candidate.wins_ > 0; }); // the key has no lease, so only the entry itself can remove it
        CPPUNIT_ASSERT_EQUAL(1, candidate.wins_.load());
    }

    void entryKeepsLeaderKeyOfAnotherEntry()
    {
        Candidate candidate("127.0.0.1:9", "127.0.0.1:8");
        waitUntil([&candidate] { return candidate.members_.members().leader_.has_value(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0, candidate.wins_.load());
    }

    void entryLeadsOnlyWithEpochOfReadableReply()
    {
        soak::StoreFaults unreadable = pausedLeases();
        unreadable.unreadableReplyRate_ = 1;
        Candidate candidate("127.0.0.1:9", "127.0.0.1:9", unreadable);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(0, candidate.wins_.load());
        candidate.store_.setFaults(pausedLeases());
        waitUntil([&candidate] { return candidate.wins_ > 0; });
        CPPUNIT_ASSERT(candidate.epoch_ > 0);
    }

    // Review case 14: a leader that the store had told that its lease has ended waited for its watch, which was silent, before it stood again.
    void leaderWhoseLeaseEndedLeadsAgainThoughItsWatchIsSilent()
    {
        waitUntil([this] { return candidate_->renewals_ >= 1; });
        candidate_->watchLink_.setMode(soak::LinkMode::Stalled);
        candidate_->store_.endLeases();
        waitUntil([this] { return candidate_->wins_ >= 2; });
        CPPUNIT_ASSERT_EQUAL(1, candidate_->losses_.load());
        candidate_->watchLink_.setMode(soak::LinkMode::Pass);
    }

private:
    /// Leases end only when they are revoked, however slow the machine is.
    static soak::StoreFaults pausedLeases()
    {
        soak::StoreFaults faults;
        faults.leaseExpiryPaused_ = true;
        return faults;
    }

    /// An entry with its own store, which may hold a leader key at the start.
    struct Candidate
    {
        explicit Candidate(const std::string &address, const std::string &leader = {}, const soak::StoreFaults &faults = pausedLeases())
            : election_(client_,
                        members_,
                        address,
                        std::chrono::milliseconds(1'500),
                        std::chrono::milliseconds(0),
                        {[this](std::int64_t epoch, Instant) {
                             epoch_ = epoch;
                             ++wins_;
                         },
                         [this](Instant) { ++renewals_; },
                         [this](const char *) { ++losses_; }})
        {
            store_.setFaults(faults);
            if (!leader.empty()) {
                store_.put("b/m/leader", leader);
            }
            membershipThread_ = std::thread([this] { members_.run(); });
            electionThread_ = std::thread([this] { election_.run(); });
        }

        ~Candidate()
        {
            election_.stop();
            members_.stop();
            store_.put("b/m/entry/last", "127.0.0.1:2"); // makes the pending watch return
            electionThread_.join();
            membershipThread_.join();
        }

        soak::StoreStandIn store_{2};
        platform::StoreClient client_{store_.address()};
        soak::Proxy watchLink_{store_.address()};
        platform::StoreClient watchClient_{watchLink_.address()};
        std::atomic<int> wins_{0};
        std::atomic<int> renewals_{0};
        std::atomic<int> losses_{0};
        std::atomic<std::int64_t> epoch_{0};
        node::Membership members_{watchClient_, [this](const node::Members &) { election_.wake(); }};
        node::Election election_;
        std::thread electionThread_;
        std::thread membershipThread_;
    };

    /// Waits until \p condition holds. If it never does, the test runner's timeout ends the test.
    template<class Condition>
    static void waitUntil(Condition condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::unique_ptr<Candidate> candidate_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ElectionTest);

}
