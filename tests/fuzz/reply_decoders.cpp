#include "decoder.h"

#include "advice_client.h"
#include "executor_client.h"
#include "store_client.h"

#include <array>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace bergamotwick::fuzz {

namespace {

constexpr std::chrono::milliseconds timeout{2'000};
constexpr std::array statuses{200, 200, 200, 404, 409, 410, 412, 421};

/// A server that answers each call with the status that the first byte of the input selects, and the rest of the input as the body.
class ReplyServer
{
public:
    ReplyServer()
    {
        server_.set_tcp_nodelay(true);
        server_.set_keep_alive_max_count(1'000'000'000);
        server_.set_pre_routing_handler([this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(mutex_);
            response.status = status_;
            response.set_content(body_, "application/json");
            return httplib::Server::HandlerResponse::Handled;
        });
        port_ = server_.bind_to_any_port("127.0.0.1");
        std::thread([this] { server_.listen_after_bind(); }).detach();
    }

    /// A call that timed out may still be in progress; it gets either reply.
    void setReply(const std::string &input)
    {
        const std::lock_guard lock(mutex_);
        status_ = statuses[input.empty() ? 0 : static_cast<unsigned char>(input.front()) % statuses.size()];
        body_ = input.empty() ? input : input.substr(1);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    httplib::Server server_;
    int port_ = 0;
    std::mutex mutex_;
    int status_ = statuses.front();
    std::string body_;
};

ReplyServer &server()
{
    static auto *instance = new ReplyServer; // its thread runs until the process ends
    return *instance;
}

/// Runs \p call, which may fail with an \p Error only.
template<class Error, class Call>
void expectOnly(Call call)
{
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(reply, call());
            (void)reply;
            return {};
        },
        [](const Error &) {},
        [] { std::abort(); });
}

void readStoreReplies(const std::string &input)
{
    server().setReply(input);
    static platform::StoreClient client(server().address());
    expectOnly<StoreError>([] { return client.get("k", timeout); });
    expectOnly<StoreError>([] { return client.watch("p/", 1, timeout); });
    expectOnly<StoreError>([] { return client.apply({}, timeout); });
    expectOnly<StoreError>([] { return client.grantLease(timeout, timeout); });
    expectOnly<StoreError>([] { return client.renewLease(1, timeout); });
    expectOnly<StoreError>([] { return client.range("p/", timeout); });
}

void readExecutorReplies(const std::string &input)
{
    server().setReply(input);
    static platform::ConnectionSuspicion connections;
    static platform::ExecutorClient client(server().address(), connections);
    expectOnly<platform::PollError>([] { return client.poll({}, 1, 0, std::nullopt, std::chrono::milliseconds(0)); });
    (void)client.stop({}, {}, 1);
}

void readAdviceReplies(const std::string &input)
{
    server().setReply(input);
    expectOnly<platform::AdviceError>([] { return platform::requestAdvice(server().address(), {}, timeout); });
}

constexpr std::array decoders{
    Decoder{"store-reply", readStoreReplies},
    Decoder{"executor-reply", readExecutorReplies},
    Decoder{"advice-reply", readAdviceReplies},
};

}

std::span<const Decoder> replyDecoders()
{
    return decoders;
}

}
