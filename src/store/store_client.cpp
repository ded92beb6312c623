#include "store/store_client.h"

#include "core/overloaded.h"
#include "store/gateway_json.h"

#include <httplib.h>

namespace bergamotwick {

namespace {

constexpr int tooManyRequests = 429;
constexpr int ok = 200;

CallId callIdOf(const StoreCall &call)
{
    return std::visit([](const auto &alternative) { return alternative.call_; }, call);
}

StoreErrc storeError(const httplib::Result &result, bool mutating)
{
    if (!result) {
        const bool neverSent = result.error() == httplib::Error::Connection;
        return mutating && !neverSent ? StoreErrc::Ambiguous : StoreErrc::Unavailable;
    }
    if (result->status == tooManyRequests) {
        return StoreErrc::RateLimited;
    }
    return mutating ? StoreErrc::Ambiguous : StoreErrc::Unavailable;
}

}

struct StoreClient::Connection
{
    explicit Connection(const GatewayStore &gateway)
        : client_(gateway.url_)
    {
        client_.set_keep_alive(true);
        client_.set_tcp_nodelay(true);
        client_.set_connection_timeout(gateway.timeout_);
        client_.set_read_timeout(gateway.timeout_);
        client_.set_write_timeout(gateway.timeout_);
    }

    StoreReply call(const StoreCall &call)
    {
        const GatewayRequest request = encodeGatewayCall(call);
        const httplib::Result result = client_.Post(request.path_, request.body_, "application/json");
        if (!result || result->status != ok) {
            return CallFailed{callIdOf(call), storeError(result, request.mutating_)};
        }
        return leaf::try_handle_all([&] { return decodeGatewayReply(call, result->body); },
                                    [&] {
                                        return StoreReply(CallFailed{callIdOf(call), request.mutating_ ? StoreErrc::Ambiguous : StoreErrc::BadReply});
                                    });
    }

    httplib::Client client_;
};

StoreClient::StoreClient(const StoreBackend &backend)
    : backend_(backend)
{
    if (const auto *gateway = std::get_if<GatewayStore>(&backend_)) {
        connection_ = std::make_unique<Connection>(*gateway);
    }
}

StoreClient::~StoreClient() = default;
StoreClient::StoreClient(StoreClient &&) noexcept = default;

StoreReply StoreClient::call(const StoreCall &call)
{
    return std::visit(Overloaded{
                          [&](const GatewayStore &) { return connection_->call(call); },
                          [&](const EmbeddedStore &embedded) { return embedded.store_->call(call, std::chrono::steady_clock::now()); },
                      },
                      backend_);
}

}
