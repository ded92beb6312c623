#pragma once

#include "callers_server.h"
#include "forward_order.h"
#include "membership.h"

#include <functional>
#include <mutex>
#include <optional>

namespace bergamotwick::node {

/// Result of forwarding a call.
struct Forwarded
{
    std::optional<platform::Answer> answer_; ///< not set if there is no other entry, the call was forwarded before, or there was no answer in time
    bool mayBeServed_ = false; ///< an entry got the call and didn't serve it in time: it may have served it, or serve it later

    /// Returns whether the entry's store has served the call.
    [[nodiscard]] bool isServed() const noexcept;
};

/// Forwards calls to other entries, since the store may be unavailable to one host and serve the others.
///
/// Thread safety: forward() and forwardToLeader() may be called from several threads at once.
class Forwarder
{
public:
    using FindMembers = std::function<Members()>;

    /// \p ownName is this entry's name.
    Forwarder(std::string ownName, FindMembers findMembers);

    /// While the store serves nobody, asking all entries would multiply the calls to it.
    static constexpr std::size_t usualEntriesAsked = 3;

    /// Forwards \p call to at most \p maxEntries other entries, one after another, until one has served it or \p deadline has passed. Returns the answer of
    /// the entry that served it; without one, another answer than that the entry couldn't serve it, if there was one.
    [[nodiscard]] Forwarded forward(const platform::Call &call, Instant deadline, std::size_t maxEntries = usualEntriesAsked);

    /// Forwards \p call to the leader.
    [[nodiscard]] Forwarded forwardToLeader(platform::Call call);

private:
    [[nodiscard]] static Forwarded callEntry(const std::string &name, const Address &entry, platform::Call &&call);
    [[nodiscard]] std::vector<std::string> orderOf(const std::map<std::string, Address> &entries);
    void noteReply(const std::string &entry, const Forwarded &reply);

    std::string ownName_;
    FindMembers findMembers_;
    std::mutex orderMutex_;
    ForwardOrder order_;
};

/// Serves calls that other entries forward.
///
/// Thread safety: none; start() is called once.
class ForwardListener
{
public:
    ForwardListener(Address address, platform::CallHandler handler);

    /// Starts listening; retries for listenRetryLimit if the address is in use. Errors: SocketError.
    [[nodiscard]] Result<void> start();

private:
    void accept();
    void serve(const Socket &socket) const;

    Address address_;
    platform::CallHandler handler_;
    Socket listener_;
};

/// Returns the address at which the entry with \p agentAddress accepts forwarded calls. Thread-safe.
[[nodiscard]] Address forwardAddress(const Address &agentAddress);

}
