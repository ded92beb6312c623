// A crowd of clients that send large bodies and don't finish them, against a real entry with little memory and few descriptors.

#include "../../soak/store_stand_in.h"
#include "support/node_process.h"
#include "support/running_server.h"

#include <deque>
#include <memory>
#include <thread>
#include <vector>

#include <sys/socket.h>

namespace bergamotwick::test {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t megabyte = 1024 * kibibyte;

/// Limits of the entry's host.
constexpr std::size_t memoryMb = 128;
constexpr std::size_t maxDescriptors = 400;
constexpr std::size_t reservedDescriptors = 200;

/// The crowd's bodies are twice the memory in all.
constexpr int senders = 128;
constexpr std::size_t bodyBytes = 2 * megabyte;
constexpr int wholeOneIn = 8; ///< of so many senders one sends its body to the end

/// Connections without a whole request: more than the descriptors that the host has.
constexpr int openConnections = 300;

constexpr const char *operatorConfig = R"({"version":1,"routes":[{"name":"usual","host":"h","prefix":"/n/","service":"service","priority":1,)"
                                       R"("max_attempts":3,"stretch":3,"target_latency_ms":1000,"public":true}],)"
                                       R"("services":[{"name":"service"}],"tenants":[],"limits":{"max_body_bytes":4194304}})";

constexpr const char *ordinaryBody = R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":100}]})";

/// Returns a body of \p size bytes whose decoded form is many times larger.
std::string largeBody(std::size_t size)
{
    std::string body = R"({"padding":[[])";
    while (body.size() + 5 <= size) {
        body += ",[]";
    }
    return body + "]}";
}

std::string head(int sender, const std::string &bodyHeader)
{
    return "POST /n/" + std::to_string(1'000'000'000'000'000 + sender) + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n" + bodyHeader + "\r\n\r\n";
}

/// Returns \p body in chunks of \p chunkBytes, without the last chunk.
std::string inChunks(const std::string &body, std::size_t chunkBytes)
{
    std::string chunks;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
        const std::string chunk = body.substr(at, chunkBytes);
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
        chunks += size + chunk + "\r\n";
    }
    return chunks;
}

/// Sends \p bytes in pieces of \p piece bytes. Returns when all are sent or the peer has closed the connection.
void sendInPieces(const Socket &socket, const std::string &bytes, std::size_t piece)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(socket.descriptor(), bytes.data() + sent, std::min(piece, bytes.size() - sent), MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

/// An entry with a stand-in of the store, and clients that stay connected until the end of the scope.
class Host
{
public:
    Host()
        : store_(1)
    {
        store_.put("op/config", operatorConfig);
        const std::string ip = NodeProcess::hostAddress(0);
        address_ = Address::parse(ip + ":8080").value_or(Address());
        entry_ = std::make_unique<NodeProcess>("entry",
                                               "node_name=entry-0\nzone=dc\nip=" + ip + "\nlisten.front=" + address_.str() + "\nlisten.readiness=" + ip
                                                   + ":8081\ninternal_ports=7000,7003\nplatform.address=" + store_.address() + "\nlimits.memory_mb="
                                                   + std::to_string(memoryMb) + "\nlimits.max_fds=" + std::to_string(maxDescriptors) + "\n");
        httplib::Client readiness(ip, 8'081);
        for (auto reply = readiness.Get("/bergamotwick/ready"); !reply || reply->status != 200; reply = readiness.Get("/bergamotwick/ready")) {
            CPPUNIT_ASSERT(entry_->alive());
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    /// Sends all requests at once in pieces of \p piece bytes, and leaves their connections open.
    void sendAll(const std::vector<std::string> &requests, std::size_t piece)
    {
        std::vector<std::thread> threads;
        for (const std::string &request : requests) {
            if (auto connection = connectTcp(address_, hangTimeout)) {
                connections_.push_back(std::move(*connection));
                setSocketTimeouts(connections_.back(), {hangTimeout, hangTimeout, hangTimeout});
                threads.emplace_back([&socket = connections_.back(), &request, piece] { sendInPieces(socket, request, piece); });
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    void expectSound()
    {
        CPPUNIT_ASSERT_MESSAGE("the entry has ended", entry_->alive());
        httplib::Client client(address_.host(), address_.port());
        client.set_read_timeout(hangTimeout);
        const std::size_t descriptors = entry_->openDescriptors();
        const auto reply = client.Post("/n/00000000000000aa", {{"Host", "h"}}, ordinaryBody, "application/json");
        const std::size_t peak = entry_->peakMemoryKib();
        const std::string figures = "peak memory " + std::to_string(peak) + " KiB, descriptors " + std::to_string(descriptors) + ", status "
            + std::to_string(reply ? reply->status : 0);
        CPPUNIT_ASSERT_MESSAGE(figures, entry_->alive());
        CPPUNIT_ASSERT_MESSAGE(figures, peak < memoryMb * kibibyte);
        CPPUNIT_ASSERT_MESSAGE(figures, descriptors < maxDescriptors - reservedDescriptors);
        CPPUNIT_ASSERT_MESSAGE(figures, reply && reply->status / 100 == 2);
    }

private:
    soak::StoreStandIn store_;
    Address address_;
    std::unique_ptr<NodeProcess> entry_;
    std::deque<Socket> connections_;
};

/// Returns the crowd's requests with a declared length; most lack their last byte.
std::vector<std::string> withLength()
{
    const std::string body = largeBody(bodyBytes);
    std::vector<std::string> requests;
    for (int sender = 0; sender < senders; ++sender) {
        requests.push_back(head(sender, "Content-Length: " + std::to_string(body.size())) + body);
        if (sender % wholeOneIn != 0) {
            requests.back().pop_back();
        }
    }
    return requests;
}

/// Returns the crowd's requests in chunks of \p chunkBytes; most lack their last chunk.
std::vector<std::string> chunked(std::size_t chunkBytes)
{
    const std::string chunks = inChunks(largeBody(bodyBytes), chunkBytes);
    std::vector<std::string> requests;
    for (int sender = 0; sender < senders; ++sender) {
        requests.push_back(head(sender, "Transfer-Encoding: chunked") + chunks + (sender % wholeOneIn == 0 ? "0\r\n\r\n" : ""));
    }
    return requests;
}

}

class UncontrolledClientsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UncontrolledClientsTest);
    CPPUNIT_TEST(largeBodiesAtOnce);
    CPPUNIT_TEST(largeBodiesPieceByPiece);
    CPPUNIT_TEST(bodiesInLargeChunks);
    CPPUNIT_TEST(bodiesInVerySmallChunks);
    CPPUNIT_TEST(connectionsWithoutARequest);
    CPPUNIT_TEST(headersWithoutAnEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void largeBodiesAtOnce()
    {
        Host host;
        host.sendAll(withLength(), bodyBytes * 2);
        host.expectSound();
    }

    void largeBodiesPieceByPiece()
    {
        Host host;
        host.sendAll(withLength(), 8 * kibibyte);
        host.expectSound();
    }

    void bodiesInLargeChunks()
    {
        Host host;
        host.sendAll(chunked(256 * kibibyte), bodyBytes * 2);
        host.expectSound();
    }

    void bodiesInVerySmallChunks()
    {
        Host host;
        host.sendAll(chunked(8), 64 * kibibyte);
        host.expectSound();
    }

    void connectionsWithoutARequest()
    {
        Host host;
        host.sendAll(std::vector<std::string>(openConnections, "POST /n/1000000000000000 HTTP/1.1\r\nHost: h\r\n"), kibibyte);
        host.expectSound();
    }

    void headersWithoutAnEnd()
    {
        Host host;
        host.sendAll(std::vector<std::string>(senders, "GET /n/1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(bodyBytes, 'x')), bodyBytes * 2);
        host.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UncontrolledClientsTest);

}
