#include "net/receive_budget.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/// Share of a host's memory for requests that are being received or decoded.
constexpr std::size_t memoryDivisor = 4;

/// A host with less memory still takes one request of the largest size.
constexpr std::size_t minBytes = 16 * megabyte;

/// Memory for one connection: its thread and the thread's buffers.
constexpr std::size_t connectionBytes = std::size_t{64} * 1024;

/// Descriptors that the host keeps for files.
constexpr std::size_t reservedDescriptors = 200;
constexpr std::size_t minConnections = 16;

/// Requests above this size leave a quarter of the budget to smaller ones.
constexpr std::size_t smallRequestBytes = std::size_t{64} * 1024;

/// Requests up to this size are decoded at the same time.
constexpr std::size_t maxSmallDecodedBytes = std::size_t{16} * 1024;

std::size_t largeShare(std::size_t maxBytes)
{
    return maxBytes - maxBytes / 4;
}

}

ReceiveLimits receiveLimitsOf(std::size_t memoryMb, std::size_t maxDescriptors) noexcept
{
    const std::size_t share = memoryMb * megabyte / memoryDivisor;
    const std::size_t descriptors = maxDescriptors > reservedDescriptors ? maxDescriptors - reservedDescriptors : 0;
    return {std::max(share, minBytes), std::max(std::min(share / connectionBytes, descriptors / 2), minConnections)};
}

ReceiveBudget::ReceiveBudget(const ReceiveLimits &limits)
    : limits_(limits)
{
}

ReceiveBudget::Decision ReceiveBudget::open(ConnectionId id, Instant now)
{
    Decision decision;
    if (connections_.size() - closingConnections_ >= limits_.maxConnections_) {
        const auto victim = longestWithoutRequest();
        if (victim == connections_.end()) {
            return {Admission::Refused, std::nullopt};
        }
        victim->second.closed_ = true;
        closingBytes_ += victim->second.bytes_;
        ++closingConnections_;
        decision.closed_ = victim->first;
    }
    connections_[id].since_ = now;
    return decision;
}

void ReceiveBudget::close(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    usedBytes_ -= found->second.bytes_;
    if (decoding_ == id) {
        decoding_.reset();
    }
    if (found->second.closed_) {
        closingBytes_ -= found->second.bytes_;
        --closingConnections_;
    }
    connections_.erase(found);
}

void ReceiveBudget::beginRequest(ConnectionId id, Instant now)
{
    Connection &connection = connections_.at(id);
    connection.phase_ = Phase::Receiving;
    connection.since_ = now;
}

ReceiveBudget::Decision ReceiveBudget::reserve(ConnectionId id, std::size_t bytes, Instant now)
{
    Connection &connection = connections_.at(id);
    if (connection.closed_) {
        return {Admission::Refused, std::nullopt};
    }
    const std::size_t limit = bytes > smallRequestBytes ? largeShare(limits_.maxBytes_) : limits_.maxBytes_;
    const std::size_t others = usedBytes_ - connection.bytes_;
    if (others + bytes <= limit) {
        usedBytes_ = others + bytes;
        connection.bytes_ = bytes;
        return {};
    }
    if (others + bytes - closingBytes_ <= limit) {
        return {Admission::Wait, std::nullopt};
    }
    const auto victim = mostCostly(id, bytes, now);
    if (victim == connections_.end()) {
        return {Admission::Wait, std::nullopt};
    }
    victim->second.closed_ = true;
    closingBytes_ += victim->second.bytes_;
    ++closingConnections_;
    return victim->first == id ? Decision{Admission::Refused, std::nullopt} : Decision{Admission::Wait, victim->first};
}

ReceiveBudget::Admission ReceiveBudget::complete(ConnectionId id)
{
    Connection &connection = connections_.at(id);
    if (connection.closed_) {
        return Admission::Refused;
    }
    connection.phase_ = Phase::Complete;
    if (connection.bytes_ <= maxSmallDecodedBytes) {
        return Admission::Admitted;
    }
    if (decoding_ && *decoding_ != id) {
        return Admission::Wait;
    }
    decoding_ = id;
    return Admission::Admitted;
}

void ReceiveBudget::endRequest(ConnectionId id, Instant now)
{
    Connection &connection = connections_.at(id);
    usedBytes_ -= connection.bytes_;
    closingBytes_ -= connection.closed_ ? connection.bytes_ : 0;
    connection.bytes_ = 0;
    connection.phase_ = Phase::Idle;
    if (decoding_ == id) {
        decoding_.reset();
    }
    connection.since_ = now;
}

bool ReceiveBudget::isClosed(ConnectionId id) const
{
    return connections_.at(id).closed_;
}

ReceiveBudget::Connections::iterator ReceiveBudget::mostCostly(ConnectionId id, std::size_t bytes, Instant now)
{
    const auto cost = [&](const auto &entry) {
        const std::size_t held = entry.first == id ? bytes : entry.second.bytes_;
        return static_cast<double>(held) * static_cast<double>((now - entry.second.since_ + Duration(1ms)).count());
    };
    auto found = connections_.end();
    for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
        const bool candidate = entry->second.phase_ == Phase::Receiving && !entry->second.closed_ && (entry->first == id || entry->second.bytes_ > 0);
        if (candidate && (found == connections_.end() || cost(*entry) > cost(*found))) {
            found = entry;
        }
    }
    return found;
}

ReceiveBudget::Connections::iterator ReceiveBudget::longestWithoutRequest()
{
    auto found = connections_.end();
    for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
        const bool candidate = entry->second.phase_ != Phase::Complete && !entry->second.closed_;
        if (candidate && (found == connections_.end() || entry->second.since_ < found->second.since_)) {
            found = entry;
        }
    }
    return found;
}

}
