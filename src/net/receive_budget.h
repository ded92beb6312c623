#pragma once

#include "bergamotwick/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace bergamotwick {

/// Limits of a server over all its connections.
struct ReceiveLimits
{
    std::size_t maxBytes_ = std::size_t{32} * 1024 * 1024; ///< of all requests that are being received or decoded
    std::size_t maxConnections_ = 512;
};

/// Returns the limits of a server on a host with \p memoryMb megabytes and \p maxDescriptors descriptors.
[[nodiscard]] ReceiveLimits receiveLimitsOf(std::size_t memoryMb, std::size_t maxDescriptors) noexcept;

/// Decides which connections a server keeps and whose bytes it holds in memory. Bytes count when they arrive, not when they are declared. When
/// they run out, the request that holds the most for the longest time gives way; one whose body is complete doesn't.
///
/// Thread safety: none.
class ReceiveBudget
{
public:
    using ConnectionId = std::uint64_t;

    enum class Admission : std::uint8_t {
        Admitted,
        Wait, ///< ask again when a request has ended
        Refused, ///< the request, or the connection, has to end
    };

    struct Decision
    {
        Admission admission_ = Admission::Admitted;
        std::optional<ConnectionId> closed_; ///< this connection has to be closed
    };

    explicit ReceiveBudget(const ReceiveLimits &limits);

    /// Adds connection \p id. Of too many, the one is closed that has had no whole request for the longest time. Precondition: \p id is new.
    [[nodiscard]] Decision open(ConnectionId id, Instant now);

    /// Removes connection \p id and what it holds.
    void close(ConnectionId id);

    /// Says that a request on \p id begins to arrive.
    void beginRequest(ConnectionId id, Instant now);

    /// Asks for \p bytes in all for the request on \p id. Precondition: beginRequest() was called.
    [[nodiscard]] Decision reserve(ConnectionId id, std::size_t bytes, Instant now);

    /// Says that the request on \p id is complete and asks to decode it. Large ones are decoded and served one at a time, as their decoded form may
    /// be many times larger. A complete request isn't ended for others. Precondition: beginRequest() was called.
    [[nodiscard]] Admission complete(ConnectionId id);

    /// Says that the request on \p id has been answered.
    void endRequest(ConnectionId id, Instant now);

    /// Returns whether \p id has to be closed.
    [[nodiscard]] bool isClosed(ConnectionId id) const;

    [[nodiscard]] std::size_t usedBytes() const noexcept
    {
        return usedBytes_;
    }

private:
    enum class Phase : std::uint8_t {
        Idle,
        Receiving,
        Complete,
    };

    struct Connection
    {
        Phase phase_ = Phase::Idle;
        Instant since_{}; ///< begin of the phase; of Receiving for Complete
        std::size_t bytes_ = 0;
        bool closed_ = false;
    };

    using Connections = std::map<ConnectionId, Connection>;

    /// Returns the incomplete request that costs the most, counting \p id with \p bytes; end() if there is none.
    [[nodiscard]] Connections::iterator mostCostly(ConnectionId id, std::size_t bytes, Instant now);

    [[nodiscard]] Connections::iterator longestWithoutRequest();

    ReceiveLimits limits_;
    Connections connections_;
    std::size_t usedBytes_ = 0;
    std::size_t closingBytes_ = 0; ///< held by connections that have to be closed
    std::size_t closingConnections_ = 0;
    std::optional<ConnectionId> decoding_; ///< large request that is being decoded and served
};

}
