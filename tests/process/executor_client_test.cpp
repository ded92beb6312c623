// Reads the replies of an executor over loopback.

#include "executor_client.h"

#include "../../soak/proxy.h"
#include "net/socket.h"
#include "support/expect.h"
#include "support/stand_ins.h"

#include <httplib.h>

#include <array>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>

namespace bergamotwick::test {

namespace {

/// An executor that gives every request the same reply.
class FixedReplyExecutor : public LoopbackServer
{
public:
    explicit FixedReplyExecutor(const std::string &body, int status = 200)
    {
        server_->set_pre_routing_handler([body, status](const httplib::Request &, httplib::Response &response) {
            response.status = status;
            response.set_content(body, "application/json");
            return httplib::Server::HandlerResponse::Handled;
        });
        serve();
    }

    ~FixedReplyExecutor() override
    {
        stop();
    }
};

/// An address at which attempts to connect aren't answered: its queue of new connections is full.
class UnansweringAddress
{
public:
    UnansweringAddress()
    {
        ::listen(listener_.descriptor(), 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(listener_.local().port());
        ::inet_pton(AF_INET, "127.0.0.2", &address.sin_addr);
        for (Socket &waiting : waiting_) {
            waiting = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            (void)::connect(waiting.descriptor(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        }
    }

    [[nodiscard]] std::string address() const
    {
        return listener_.local().str();
    }

private:
    Socket listener_ = value(listenTcp(*Address::parse("127.0.0.2:0")));
    std::array<Socket, 3> waiting_;
};

Result<platform::PollResponse> poll(const std::string &body)
{
    const FixedReplyExecutor executor(body);
    platform::ConnectionSuspicion connections;
    platform::ExecutorClient client("127.0.0.1:" + std::to_string(executor.port()), connections);
    return client.poll({}, 1, 0, std::nullopt, hangTimeout);
}

}

class ExecutorClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutorClientTest);
    CPPUNIT_TEST(listsAreRead);
    CPPUNIT_TEST(numbersOutOfRangeAreBadReplies);
    CPPUNIT_TEST(callWithoutAConnectionWasNotSent);
    CPPUNIT_TEST(rejectedPollIsToldFromALostReply);
    CPPUNIT_TEST(callAfterAnotherWithoutAReplyUsesANewConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    void listsAreRead()
    {
        const auto lists = value(poll(R"({"born":7,"clock_ms":9,"running":[["00000000000000aa.0.1.2",3,"c",40,900]],)"
                                      R"("ended_runs":[[7,"00000000000000aa.0.0.1",1,"done","d"]]})"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, lists.running_.at(0).run_.run_);
        CPPUNIT_ASSERT_EQUAL(40, lists.running_.at(0).percent_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, lists.ended_.at(0).number_);
    }

    void numbersOutOfRangeAreBadReplies()
    {
        for (const char *number : {"-1", "4294967296", "1e300", "-1e300"}) {
            const std::string running = std::string(R"({"running":[["00000000000000aa.0.1.2",)") + number + R"(,"c"]]})";
            CPPUNIT_ASSERT_MESSAGE(running, errorOf<platform::PollError>([&] { return poll(running); }).code_ == platform::PollErrc::BadReply);
            const std::string ended = std::string(R"({"ended_runs":[[7,"00000000000000aa.0.0.1",)") + number + R"(,"done"]]})";
            CPPUNIT_ASSERT_MESSAGE(ended, errorOf<platform::PollError>([&] { return poll(ended); }).code_ == platform::PollErrc::BadReply);
        }
    }

    // Review case 11: starts that had never left kept their tasks waiting on an executor that was lost for good.
    void callWithoutAConnectionWasNotSent()
    {
        const UnansweringAddress executor;
        platform::ConnectionSuspicion connections;
        platform::ExecutorClient client(executor.address(), connections);
        const auto start = client.start({}, {}, batch::ExecutorTime(1'000), 1);
        CPPUNIT_ASSERT(start.answer_ == batch::OrderAnswer::Refused && !start.wasSent_ && !start.connectionRefused_);
        CPPUNIT_ASSERT(client.stop({}, {}, 1).answer_ == batch::OrderAnswer::Refused);
        const auto error = errorOf<platform::PollError>([&] { return client.poll({}, 1, 0, std::nullopt, batch::milliseconds(0)); });
        CPPUNIT_ASSERT(error.code_ == platform::PollErrc::NotSent);
    }

    void rejectedPollIsToldFromALostReply()
    {
        for (const int status : {421, 429, 503}) {
            const FixedReplyExecutor executor("{}", status);
            platform::ConnectionSuspicion connections;
            platform::ExecutorClient client("127.0.0.1:" + std::to_string(executor.port()), connections);
            const auto error = errorOf<platform::PollError>([&] { return client.poll({}, 1, 0, std::nullopt, hangTimeout); });
            CPPUNIT_ASSERT(error.code_ == platform::PollErrc::Rejected);
        }
    }

    // Open connections go silent: each of an agent's clients lost a call to find it out for itself.
    void callAfterAnotherWithoutAReplyUsesANewConnection()
    {
        const FixedReplyExecutor executor(R"({"clock_ms":9,"running":[],"ended_runs":[]})");
        soak::Proxy link("127.0.0.1:" + std::to_string(executor.port()));
        platform::ConnectionSuspicion connections;
        platform::ExecutorClient first(link.address(), connections);
        platform::ExecutorClient second(link.address(), connections);
        const auto pollWith = [](platform::ExecutorClient &client) { return client.poll({}, 1, 0, std::nullopt, batch::milliseconds(0)); };
        (void)value(pollWith(first));
        (void)value(pollWith(second));
        link.silenceOpenConnections();
        std::this_thread::sleep_for(std::chrono::milliseconds(200)); // until the connections are silent
        CPPUNIT_ASSERT(errorOf<platform::PollError>([&] { return pollWith(first); }).code_ == platform::PollErrc::NoReply);
        (void)value(second.poll({}, 1, 0, std::nullopt, hangTimeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorClientTest);

}
