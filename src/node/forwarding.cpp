#include "forwarding.h"

#include "clock.h"
#include "daemon/log.h"
#include "forwarding_codec.h"
#include "http_status.h"

#include <algorithm>
#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;

constexpr std::size_t maxFrameBytes = std::size_t{1} * 1024 * 1024;
constexpr Duration connectTimeout = 200ms;
constexpr Duration acceptWait = 1s;

/// Time that the other entry has to serve the call. It leaves this entry enough time to try another one.
constexpr milliseconds forwardTimeout{900};

/// With less time left, another entry isn't asked: it could only begin.
constexpr milliseconds minForwardTimeout{50};

/// The reply to a call is awaited for this long after the call's timeout.
constexpr Duration replyMargin = 100ms;

constexpr SocketTimeouts connectionTimeouts{1s, 1s, 1s};

/// Sets \p sent once the other entry may have got the whole call.
Result<std::string> exchangeFrames(const Address &address, const platform::Call &call, bool &sent)
{
    BOOST_LEAF_AUTO(socket, connectTcp(address, connectTimeout));
    setSocketTimeouts(socket, {call.timeout_ + replyMargin, connectionTimeouts.send_, connectionTimeouts.unacknowledged_});
    if (writeFrame(socket, encode(call)) != FrameWriteResult::Complete) {
        return leaf::new_error(SocketError{errno});
    }
    sent = true;
    auto frame = readFrame(socket, maxFrameBytes);
    if (!frame) {
        return leaf::new_error(SocketError{ETIMEDOUT});
    }
    return std::move(*frame);
}

}

Address forwardAddress(const Address &agentAddress)
{
    return agentAddress.withPort(static_cast<std::uint16_t>(agentAddress.port() + 1));
}

bool Forwarded::isServed() const noexcept
{
    return answer_ && (answer_->status_ == platform::statusOk || answer_->status_ == platform::statusGone);
}

Forwarder::Forwarder(std::string ownName, FindMembers findMembers)
    : ownName_(std::move(ownName))
    , findMembers_(std::move(findMembers))
{
}

std::vector<std::string> Forwarder::orderOf(const std::map<std::string, Address> &entries)
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const auto &[name, address] : entries) {
        names.push_back(name);
    }
    const std::lock_guard lock(orderMutex_);
    return order_.order(std::move(names), bootNow());
}

void Forwarder::noteReply(const std::string &entry, const Forwarded &reply)
{
    const std::lock_guard lock(orderMutex_);
    if (reply.isServed()) {
        order_.noteServed(entry, bootNow());
    } else if (!reply.answer_) {
        order_.noteRefused(entry, bootNow());
    }
}

Forwarded Forwarder::forward(const platform::Call &call, Instant deadline, std::size_t maxEntries)
{
    auto entries = findMembers_().entries_;
    entries.erase(ownName_);
    Forwarded result;
    if (call.forwarded_) {
        return result;
    }
    std::size_t asked = 0;
    for (const std::string &name : orderOf(entries)) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - bootNow());
        if (asked++ == maxEntries || remaining < minForwardTimeout) {
            break;
        }
        platform::Call forwarded = call;
        forwarded.timeout_ = std::min(forwardTimeout, remaining);
        Forwarded reply = callEntry(name, entries.at(name), std::move(forwarded));
        noteReply(name, reply);
        if (reply.isServed()) {
            return reply;
        }
        result.mayBeServed_ = result.mayBeServed_ || reply.mayBeServed_;
        result.answer_ = reply.answer_ ? std::move(reply.answer_) : std::move(result.answer_);
    }
    return result;
}

Forwarded Forwarder::forwardToLeader(platform::Call call)
{
    const auto leader = findMembers_().leader_;
    if (!leader || call.forwarded_) {
        return {};
    }
    call.timeout_ = forwardTimeout;
    return callEntry("leader", *leader, std::move(call));
}

Forwarded Forwarder::callEntry(const std::string &name, const Address &entry, platform::Call &&call)
{
    Forwarded result;
    result.answer_ = leaf::try_handle_all(
        [&]() -> Result<std::optional<platform::Answer>> {
            BOOST_LEAF_AUTO(frame, exchangeFrames(forwardAddress(entry), call, result.mayBeServed_));
            platform::Answer answer;
            BOOST_LEAF_ASSIGN(answer, decodeAnswer(frame));
            logEvent(LogLevel::Info, "call-forwarded", {{"path", call.path_}, {"entry", name}, {"status", answer.status_}});
            result.mayBeServed_ = answer.status_ == platform::statusTimeout;
            const bool isUnserved = answer.status_ == platform::statusUnavailable || answer.status_ == platform::statusTimeout;
            return isUnserved ? std::nullopt : std::optional<platform::Answer>(std::move(answer));
        },
        [&](const SocketError &error) -> std::optional<platform::Answer> {
            logEvent(LogLevel::Warning, "call-not-forwarded", {{"path", call.path_}, {"entry", name}, {"errno", error.errno_}, {"sent", result.mayBeServed_}});
            return std::nullopt;
        },
        [&](const WireError &error) -> std::optional<platform::Answer> {
            logEvent(LogLevel::Warning, "call-not-forwarded", {{"path", call.path_}, {"entry", name}, {"error", toString(error.code_)}});
            return std::nullopt;
        },
        []() -> std::optional<platform::Answer> { return std::nullopt; });
    return result;
}

ForwardListener::ForwardListener(Address address, platform::CallHandler handler)
    : address_(address)
    , handler_(std::move(handler))
{
}

Result<void> ForwardListener::start()
{
    BOOST_LEAF_AUTO(listener, listenTcpWithin(address_, listenRetryLimit));
    listener_ = std::move(listener);
    std::thread([this] { accept(); }).detach();
    return {};
}

void ForwardListener::accept()
{
    for (;;) {
        Socket socket = acceptTcp(listener_, acceptWait);
        if (socket.valid()) {
            std::thread([this, shared = std::make_shared<Socket>(std::move(socket))] { serve(*shared); }).detach();
        }
    }
}

void ForwardListener::serve(const Socket &socket) const
{
    setSocketTimeouts(socket, connectionTimeouts);
    const auto frame = readFrame(socket, maxFrameBytes);
    if (!frame) {
        return;
    }
    leaf::try_handle_all(
        [&]() -> Result<void> {
            platform::Call call;
            BOOST_LEAF_ASSIGN(call, decodeCall(*frame));
            call.forwarded_ = true;
            (void)writeFrame(socket, encode(handler_(call)));
            return {};
        },
        [](const WireError &error) {
            logEvent(LogLevel::Warning, "forwarded-call-unreadable", {{"error", toString(error.code_)}});
        },
        [] {});
}

}
