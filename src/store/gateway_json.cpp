#include "store/gateway_json.h"

#include "core/overloaded.h"

#include <algorithm>
#include <charconv>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;
namespace iterators = boost::archive::iterators;

/// The gateway writes 64-bit numbers as texts and leaves zeros out.
std::int64_t number(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number_integer()) {
        return found->get<std::int64_t>();
    }
    std::int64_t value = 0;
    if (found->is_string()) {
        const auto &text = found->get_ref<const std::string &>();
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

std::string bytes(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? fromBase64(found->get_ref<const std::string &>()) : std::string();
}

/// The first key behind all keys with this prefix.
std::string endOfPrefix(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

Json rangeOf(const PollItem &item)
{
    Json range = {{"key", toBase64(item.key_)}, {"min_mod_revision", std::to_string(item.minModRevision_)}};
    if (item.prefix_) {
        range["range_end"] = toBase64(endOfPrefix(item.key_));
    }
    return range;
}

std::vector<KeyValue> keyValues(const Json &range)
{
    std::vector<KeyValue> found;
    const auto items = range.find("kvs");
    if (items != range.end() && items->is_array()) {
        for (const Json &item : *items) {
            if (item.is_object()) {
                found.push_back({bytes(item, "key"), bytes(item, "value"), number(item, "mod_revision")});
            }
        }
    }
    return found;
}

Json swapOf(const CompareAndSwap &swap)
{
    const std::string key = toBase64(swap.key_);
    Json put = {{"key", key}, {"value", toBase64(swap.value_)}};
    if (swap.lease_ != 0) {
        put["lease"] = std::to_string(swap.lease_);
    }
    return {{"compare", {{{"key", key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(swap.expected_)}}}},
            {"success", {{{"request_put", std::move(put)}}}}};
}

Json pollOf(const PollKeys &poll)
{
    Json success = Json::array();
    for (const PollItem &item : poll.items_) {
        success.push_back({{"request_range", rangeOf(item)}});
    }
    return {{"success", std::move(success)}};
}

std::int64_t headerRevision(const Json &reply)
{
    const auto header = reply.find("header");
    return header != reply.end() && header->is_object() ? number(*header, "revision") : 0;
}

Result<StoreReply> readPoll(const PollKeys &poll, const Json &reply)
{
    const auto responses = reply.find("responses");
    if (responses == reply.end() || !responses->is_array() || responses->size() != poll.items_.size()) {
        return leaf::new_error(StoreError{StoreErrc::BadReply});
    }
    KeysPolled polled{poll.call_, headerRevision(reply), {}};
    for (const Json &response : *responses) {
        const auto range = response.is_object() ? response.find("response_range") : response.end();
        polled.found_.push_back(range != response.end() && range->is_object() ? keyValues(*range) : std::vector<KeyValue>());
    }
    return StoreReply(std::move(polled));
}

StoreReply readKey(const ReadKey &read, const Json &reply)
{
    auto found = keyValues(reply);
    return KeyRead{read.call_, found.empty() ? std::nullopt : std::optional(std::move(found.front()))};
}

StoreReply readSwap(const CompareAndSwap &swap, const Json &reply)
{
    const auto succeeded = reply.find("succeeded");
    const bool done = succeeded != reply.end() && succeeded->is_boolean() && succeeded->get<bool>();
    return SwapCompleted{swap.call_, done, headerRevision(reply)};
}

StoreReply readKept(const RenewLease &keep, const Json &reply)
{
    const auto result = reply.find("result");
    return LeaseRenewed{keep.call_, result != reply.end() && result->is_object() && number(*result, "TTL") > 0};
}

}

std::string toBase64(const std::string &bytes)
{
    using Encode = iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encode(bytes.begin()), Encode(bytes.end()));
    return text.append((3 - bytes.size() % 3) % 3, '=');
}

std::string fromBase64(const std::string &text)
{
    using Decode = iterators::transform_width<iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
    const std::size_t end = text.find_last_not_of('=');
    const std::string core = end == std::string::npos ? std::string() : text.substr(0, end + 1);
    try {
        std::string bytes(Decode(core.begin()), Decode(core.end()));
        bytes.resize(core.size() * 3 / 4);
        return bytes;
    } catch (const iterators::dataflow_exception &) {
        return {};
    }
}

GatewayRequest toGateway(const StoreCall &call)
{
    return std::visit(Overloaded{
                          [](const ReadKey &read) {
                              return GatewayRequest{"/v3/kv/range", rangeOf({read.key_, false, 0}).dump(), false};
                          },
                          [](const CompareAndSwap &swap) {
                              return GatewayRequest{"/v3/kv/txn", swapOf(swap).dump(), true};
                          },
                          [](const GrantLease &grant) {
                              return GatewayRequest{"/v3/lease/grant", Json{{"TTL", std::to_string(grant.ttl_.count())}}.dump(), true};
                          },
                          [](const RenewLease &keep) {
                              return GatewayRequest{"/v3/lease/keepalive", Json{{"ID", std::to_string(keep.lease_)}}.dump(), true};
                          },
                          [](const RevokeLease &revoke) {
                              return GatewayRequest{"/v3/lease/revoke", Json{{"ID", std::to_string(revoke.lease_)}}.dump(), true};
                          },
                          [](const PollKeys &poll) {
                              return GatewayRequest{"/v3/kv/txn", pollOf(poll).dump(), false};
                          },
                      },
                      call);
}

Result<StoreReply> fromGateway(const StoreCall &call, const std::string &body)
{
    const Json reply = Json::parse(body, nullptr, false);
    if (!reply.is_object()) {
        return leaf::new_error(StoreError{StoreErrc::BadReply});
    }
    return std::visit(Overloaded{
                          [&](const ReadKey &read) -> Result<StoreReply> { return readKey(read, reply); },
                          [&](const CompareAndSwap &swap) -> Result<StoreReply> { return readSwap(swap, reply); },
                          [&](const GrantLease &grant) -> Result<StoreReply> {
                              return StoreReply(LeaseGranted{grant.call_, number(reply, "ID")});
                          },
                          [&](const RenewLease &keep) -> Result<StoreReply> { return readKept(keep, reply); },
                          [&](const RevokeLease &revoke) -> Result<StoreReply> { return StoreReply(LeaseRevoked{revoke.call_}); },
                          [&](const PollKeys &poll) { return readPoll(poll, reply); },
                      },
                      call);
}

}
