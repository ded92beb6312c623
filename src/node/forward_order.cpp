#include "forward_order.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace bergamotwick::node {

namespace {

/// How long the reply of an entry is remembered. The store turns hosts away for seconds.
constexpr Duration replyMemory = 10s;

enum class Rank : std::uint8_t {
    Served,
    Unknown,
    Refused,
};

}

std::vector<std::string> ForwardOrder::order(std::vector<std::string> entries, Instant now)
{
    std::sort(entries.begin(), entries.end());
    std::erase_if(replies_,
                  [&](const auto &reply) { return now - reply.second.at_ > replyMemory || !std::binary_search(entries.begin(), entries.end(), reply.first); });
    if (!entries.empty()) {
        std::rotate(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(turn_++ % entries.size()), entries.end());
    }
    const auto rankOf = [this](const std::string &entry) {
        const auto reply = replies_.find(entry);
        if (reply == replies_.end()) {
            return std::pair(Rank::Unknown, Instant());
        }
        return reply->second.served_ ? std::pair(Rank::Served, Instant()) : std::pair(Rank::Refused, reply->second.at_);
    };
    std::stable_sort(entries.begin(), entries.end(), [&rankOf](const std::string &first, const std::string &second) { return rankOf(first) < rankOf(second); });
    return entries;
}

void ForwardOrder::noteServed(const std::string &entry, Instant now)
{
    replies_[entry] = {true, now};
}

void ForwardOrder::noteRefused(const std::string &entry, Instant now)
{
    replies_[entry] = {false, now};
}

}
