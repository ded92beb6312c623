#pragma once

#include "core/routing/board.h"

namespace bergamotwick {

// Inputs

struct RequestArrived
{
    Request request_;
};

enum class ClaimOutcome : std::uint8_t {
    Granted,
    Taken,
    Unavailable, ///< the store did not record the claim
    Unknown, ///< the store may have recorded the claim
};

struct ClaimEnded
{
    RequestToken token_ = 0;
    ClaimOutcome outcome_{};
};

struct ExecutorReported
{
    AgentReport report_;
};

struct AttemptEnded
{
    ExecutorId executor_;
    AttemptReply reply_;
};

/// The connection to an executor's agent was lost; attempts in flight there have no answer.
struct ConnectionLost
{
    ExecutorId executor_;
};

/// An attempt could not be passed to the connection; no part of it left this process.
struct AttemptUnsent
{
    ExecutorId executor_;
    AttemptId id_;
};

struct CallerGone
{
    RequestToken token_ = 0;
};

struct RouterConfigured
{
    std::shared_ptr<const Config> config_;
    std::size_t entries_ = 1; ///< number of entries that share the executors
};

/// The entry is stopping: no new requests are admitted, running ones are completed.
struct RouterStopping
{
};

struct RouterTick
{
};

using RouterInput = std::variant<RequestArrived,
                                 ClaimEnded,
                                 ExecutorReported,
                                 AttemptEnded,
                                 ConnectionLost,
                                 AttemptUnsent,
                                 CallerGone,
                                 RouterConfigured,
                                 RouterStopping,
                                 RouterTick>;

/// Routes callers' requests to executors and answers each request exactly once.
///
/// Thread safety: none; the caller serialises all calls.
class Router
{
public:
    /// \p incarnation must differ from that of every earlier run of any entry.
    Router(const RouterLimits &limits, const EntryId &entry, std::uint64_t incarnation);

    /// Processes one input and returns the actions to take. Precondition: \p now never decreases.
    [[nodiscard]] RouterOutputs step(Instant now, const RouterInput &input);

    [[nodiscard]] const RouterState &state() const noexcept
    {
        return state_;
    }

private:
    RouterState state_;
};

}
