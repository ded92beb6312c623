// Runs the client of the platform's store over loopback against a simulated store that can drop replies.

#include "store_client.h"

#include "../../soak/proxy.h"
#include "../../soak/store_stand_in.h"
#include "support/expect.h"
#include "support/stand_ins.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

namespace bergamotwick::test {

class StoreClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(createIsAppliedOnlyOnce);
    CPPUNIT_TEST(rangeReadsAllPages);
    CPPUNIT_TEST(watchReportsChangesAndRemovals);
    CPPUNIT_TEST(watchThatEndsDuringAWriteReportsIt);
    CPPUNIT_TEST(compactedHistoryIsReported);
    CPPUNIT_TEST(keysAreRemovedWithTheirLease);
    CPPUNIT_TEST(unavailableStoreIsReported);
    CPPUNIT_TEST(lostReplyIsAmbiguous);
    CPPUNIT_TEST(unreadableReplyToWriteIsNotTakenAsApplied);
    CPPUNIT_TEST(writeThatTheStoreDoesNotTakeIsToldFromALostReply);
    CPPUNIT_TEST(incompleteRepliesAreErrors);
    CPPUNIT_TEST(rangeEndsWhenPagesRepeat);
    CPPUNIT_TEST(callAfterAFailedOneUsesANewConnection);
    CPPUNIT_TEST(watchOnASilentConnectionIsMadeAgainAfterAFailedCall);
    CPPUNIT_TEST_SUITE_END();

public:
    void createIsAppliedOnlyOnce()
    {
        platform::Transaction create;
        create.expected_ = {{"k", 0}};
        create.puts_ = {{"k", std::string("\0\xff", 2), 0}};
        CPPUNIT_ASSERT(value(client_.apply(create, hangTimeout)).applied_);
        const auto second = value(client_.apply(create, hangTimeout));
        CPPUNIT_ASSERT(!second.applied_);
        CPPUNIT_ASSERT_EQUAL(std::string("\0\xff", 2), second.current_.at(0).value_);
        CPPUNIT_ASSERT_EQUAL(std::string("\0\xff", 2), value(client_.get("k", hangTimeout))->value_);
        CPPUNIT_ASSERT(!value(client_.get("other", hangTimeout)).has_value());
    }

    void rangeReadsAllPages()
    {
        for (int number = 0; number < 130; ++number) {
            store_.put("p/" + std::to_string(1'000 + number), "v");
        }
        store_.put("q/other", "v");
        CPPUNIT_ASSERT_EQUAL(std::size_t{130}, value(client_.range("p/", hangTimeout)).items_.size());
    }

    void watchReportsChangesAndRemovals()
    {
        const auto from = value(client_.range("p/", hangTimeout)).atRevision_;
        store_.put("p/a", "v");
        store_.remove("p/a");
        const auto changes = value(client_.watch("p/", from, hangTimeout));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.events_.size());
        CPPUNIT_ASSERT(!changes.events_[0].removed_ && changes.events_[1].removed_);
    }

    void watchThatEndsDuringAWriteReportsIt()
    {
        constexpr int writes = 1'500;
        constexpr int watchers = 6;
        std::atomic<bool> written{false};
        std::array<std::size_t, watchers> seen{};
        std::vector<std::thread> threads;
        for (int watcher = 0; watcher < watchers; ++watcher) {
            threads.emplace_back([this, &written, &seen, watcher] {
                std::int64_t revision = 0;
                for (bool last = false; !last;) {
                    const bool allWritten = written;
                    leaf::try_handle_all(
                        [&]() -> Result<void> {
                            BOOST_LEAF_AUTO(changes, client_.watch("p/", revision, std::chrono::milliseconds(1)));
                            revision = changes.atRevision_;
                            seen[static_cast<std::size_t>(watcher)] += changes.events_.size();
                            last = allWritten;
                            return {};
                        },
                        [] {}); // a watch that the store answered too late is repeated, as the node does
                }
            });
        }
        for (int number = 0; number < writes; ++number) {
            store_.put("p/" + std::to_string(number), "v");
            std::this_thread::sleep_for(std::chrono::microseconds(900 + number % 40 * 10));
        }
        written = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        for (const std::size_t events : seen) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{writes}, events);
        }
    }

    void compactedHistoryIsReported()
    {
        const auto from = value(client_.range("p/", hangTimeout)).atRevision_;
        store_.put("p/a", "v");
        store_.compact();
        CPPUNIT_ASSERT(value(client_.watch("p/", from, hangTimeout)).compacted_);
    }

    void keysAreRemovedWithTheirLease()
    {
        const auto lease = value(client_.grantLease(hangTimeout, hangTimeout));
        platform::Transaction put;
        put.puts_ = {{"leased", "v", lease}};
        CPPUNIT_ASSERT(value(client_.apply(put, hangTimeout)).applied_);
        CPPUNIT_ASSERT(value(client_.renewLease(lease, hangTimeout)));
        requireSuccess(client_.revokeLease(lease, hangTimeout));
        CPPUNIT_ASSERT(!value(client_.get("leased", hangTimeout)).has_value());
        CPPUNIT_ASSERT(!value(client_.renewLease(lease, hangTimeout)));
        CPPUNIT_ASSERT(!value(client_.apply(put, hangTimeout)).applied_);
    }

    void unavailableStoreIsReported()
    {
        soak::StoreFaults down;
        down.down_ = true;
        store_.setFaults(down);
        const auto error = errorOf<StoreError>([&] { return client_.get("k", hangTimeout); });
        CPPUNIT_ASSERT(error.code_ == StoreErrc::Unavailable);
    }

    void lostReplyIsAmbiguous()
    {
        soak::StoreFaults lossy;
        lossy.lostReplyRate_ = 1;
        store_.setFaults(lossy);
        platform::Transaction create;
        create.expected_ = {{"k", 0}};
        create.puts_ = {{"k", "v", 0}};
        const auto error = errorOf<StoreError>([&] { return client_.apply(create, hangTimeout); });
        CPPUNIT_ASSERT(error.code_ == StoreErrc::Ambiguous);
        store_.setFaults({});
        CPPUNIT_ASSERT(value(client_.get("k", hangTimeout)).has_value());
    }

    void unreadableReplyToWriteIsNotTakenAsApplied()
    {
        soak::StoreFaults unreadable;
        unreadable.unreadableReplyRate_ = 1;
        store_.setFaults(unreadable);
        platform::Transaction create;
        create.expected_ = {{"k", 0}};
        create.puts_ = {{"k", "v", 0}};
        const auto error = errorOf<StoreError>([&] { return client_.apply(create, hangTimeout); });
        CPPUNIT_ASSERT(error.code_ == StoreErrc::BadReply);
        store_.setFaults({});
        const auto retried = value(client_.apply(create, hangTimeout));
        CPPUNIT_ASSERT(!retried.applied_);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), retried.current_.at(0).value_);
    }

    void writeThatTheStoreDoesNotTakeIsToldFromALostReply()
    {
        for (const int status : {400, 413}) {
            const FixedReplyServer server(status, "{}");
            platform::StoreClient client(server.address());
            const auto error = errorOf<StoreError>([&] { return client.apply({}, hangTimeout); });
            CPPUNIT_ASSERT(error.code_ == StoreErrc::Rejected);
        }
        platform::Transaction create;
        create.puts_ = {{"k", std::string(soak::maxValueBytes + 1, 'v'), 0}};
        const auto error = errorOf<StoreError>([&] { return client_.apply(create, hangTimeout); });
        CPPUNIT_ASSERT(error.code_ == StoreErrc::Rejected);
        create.puts_.front().value_.pop_back();
        CPPUNIT_ASSERT(value(client_.apply(create, hangTimeout)).applied_);
    }

    void incompleteRepliesAreErrors()
    {
        const FixedReplyServer server(200, "{}");
        platform::StoreClient client(server.address());
        const auto isBadReply = [](auto call) { return errorOf<StoreError>(call).code_ == StoreErrc::BadReply; };
        CPPUNIT_ASSERT(isBadReply([&] { return client.apply({}, hangTimeout); }));
        CPPUNIT_ASSERT(isBadReply([&] { return client.get("k", hangTimeout); }));
        CPPUNIT_ASSERT(isBadReply([&] { return client.range("p/", hangTimeout); }));
        CPPUNIT_ASSERT(isBadReply([&] { return client.grantLease(hangTimeout, hangTimeout); }));
    }

    void rangeEndsWhenPagesRepeat()
    {
        const FixedReplyServer server(200, R"({"items":[{"key":"p/a","value":"","revision":4,"created_rev":4}],"has_more":true,"at_rev":9})");
        platform::StoreClient client(server.address());
        const auto error = errorOf<StoreError>([&] { return client.range("p/", hangTimeout); });
        CPPUNIT_ASSERT(error.code_ == StoreErrc::BadReply);
    }

    // Review case 14: after a call on a silent connection the next one got another idle connection, as silent as the first.
    void callAfterAFailedOneUsesANewConnection()
    {
        soak::Proxy link(store_.address());
        platform::StoreClient client(link.address());
        openConnections(client);
        silence(link);
        CPPUNIT_ASSERT(errorOf<StoreError>([&] { return client.get("k", shortTimeout); }).code_ == StoreErrc::Ambiguous);
        CPPUNIT_ASSERT(!value(client.get("k", hangTimeout)).has_value());
    }

    // Review case 14: a watch on a silent connection was noticed only once it had lasted for its whole length.
    void watchOnASilentConnectionIsMadeAgainAfterAFailedCall()
    {
        soak::Proxy link(store_.address());
        platform::StoreClient client(link.address());
        const auto from = value(client.range("p/", hangTimeout)).atRevision_;
        std::atomic<std::size_t> events{0};
        const std::jthread watcher([&] { events = value(client.watch("p/", from, hangTimeout)).events_.size(); });
        std::this_thread::sleep_for(settlingTime); // for the watch to begin; if it begins later, it isn't silent
        openConnections(client);
        silence(link);
        store_.put("p/a", "v");
        (void)errorOf<StoreError>([&] { return client.get("k", shortTimeout); });
        const auto until = std::chrono::steady_clock::now() + hangTimeout / 2;
        while (events == 0 && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.load());
    }

private:
    static constexpr std::chrono::milliseconds shortTimeout{300};
    static constexpr std::chrono::milliseconds settlingTime{300};

    /// Leaves several idle connections in \p client.
    static void openConnections(platform::StoreClient &client)
    {
        std::vector<std::jthread> calls;
        for (int call = 0; call < 4; ++call) {
            calls.emplace_back([&client] { (void)client.watch("none/", 1, settlingTime); });
        }
    }

    static void silence(soak::Proxy &link)
    {
        link.silenceOpenConnections();
        std::this_thread::sleep_for(settlingTime);
    }

    /// A store that gives every request the same reply.
    class FixedReplyServer : public LoopbackServer
    {
    public:
        FixedReplyServer(int status, const std::string &body)
        {
            server_->set_pre_routing_handler([status, body](const httplib::Request &, httplib::Response &response) {
                response.status = status;
                response.set_content(body, "application/json");
                return httplib::Server::HandlerResponse::Handled;
            });
            serve();
        }

        ~FixedReplyServer() override
        {
            stop();
        }

        [[nodiscard]] std::string address() const
        {
            return "127.0.0.1:" + std::to_string(port());
        }
    };

    static void requireSuccess(const Result<void> &result)
    {
        CPPUNIT_ASSERT(static_cast<bool>(result));
    }

    soak::StoreStandIn store_{1};
    platform::StoreClient client_{store_.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

}
