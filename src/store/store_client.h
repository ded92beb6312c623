#pragma once

#include "bergamotwick/time.h"
#include "core/commit/store_call.h"
#include "store/memory_store.h"

#include <memory>
#include <string>
#include <variant>

namespace bergamotwick {

/// The platform's key-value store, reached through its HTTP/JSON gateway.
struct GatewayStore
{
    std::string url_; ///< for example "http://127.0.0.1:2379"
    Duration timeout_ = 2s;
};

/// A store in this process.
struct EmbeddedStore
{
    std::shared_ptr<MemoryStore> store_;
};

using StoreBackend = std::variant<GatewayStore, EmbeddedStore>;

/// A synchronous client of the store.
///
/// Thread safety: none; each thread must use its own client.
class StoreClient
{
public:
    explicit StoreClient(const StoreBackend &backend);
    ~StoreClient();
    StoreClient(StoreClient &&) noexcept;

    /// Executes \p call and waits for the reply. Failures are returned as CallFailed, whose code tells whether the call may have taken effect.
    [[nodiscard]] StoreReply call(const StoreCall &call);

private:
    struct Connection;
    StoreBackend backend_;
    std::unique_ptr<Connection> connection_;
};

}
