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

/// Reads an integer field. The gateway writes 64-bit integers as strings and omits fields that are zero.
std::int64_t integerField(const Json &object, const char *name)
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

std::string base64Field(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? fromBase64(found->get_ref<const std::string &>()) : std::string();
}

/// Returns the first key after all keys that start with \p prefix. Precondition: \p prefix is not empty.
std::string prefixRangeEnd(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

Json rangeRequest(const PollItem &item)
{
    Json range = {{"key", toBase64(item.key_)}, {"min_mod_revision", std::to_string(item.minModRevision_)}};
    if (item.prefix_) {
        range["range_end"] = toBase64(prefixRangeEnd(item.key_));
    }
    return range;
}

std::vector<KeyValue> parseKeyValues(const Json &range)
{
    std::vector<KeyValue> found;
    const auto items = range.find("kvs");
    if (items != range.end() && items->is_array()) {
        for (const Json &item : *items) {
            if (item.is_object()) {
                found.push_back({base64Field(item, "key"), base64Field(item, "value"), integerField(item, "mod_revision")});
            }
        }
    }
    return found;
}

Json compareAndSwapRequest(const CompareAndSwap &swap)
{
    const std::string key = toBase64(swap.key_);
    Json put = {{"key", key}, {"value", toBase64(swap.value_)}};
    if (swap.lease_ != 0) {
        put["lease"] = std::to_string(swap.lease_);
    }
    return {{"compare", {{{"key", key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(swap.expected_)}}}},
            {"success", {{{"request_put", std::move(put)}}}}};
}

Json pollRequest(const PollKeys &poll)
{
    Json success = Json::array();
    for (const PollItem &item : poll.items_) {
        success.push_back({{"request_range", rangeRequest(item)}});
    }
    return {{"success", std::move(success)}};
}

std::int64_t headerRevision(const Json &reply)
{
    const auto header = reply.find("header");
    return header != reply.end() && header->is_object() ? integerField(*header, "revision") : 0;
}

Result<StoreReply> parsePollReply(const PollKeys &poll, const Json &reply)
{
    const auto responses = reply.find("responses");
    if (responses == reply.end() || !responses->is_array() || responses->size() != poll.items_.size()) {
        return leaf::new_error(StoreError{StoreErrc::BadReply});
    }
    KeysPolled polled{poll.call_, headerRevision(reply), {}};
    for (const Json &response : *responses) {
        const auto range = response.is_object() ? response.find("response_range") : response.end();
        polled.found_.push_back(range != response.end() && range->is_object() ? parseKeyValues(*range) : std::vector<KeyValue>());
    }
    return StoreReply(std::move(polled));
}

StoreReply parseReadReply(const ReadKey &read, const Json &reply)
{
    auto found = parseKeyValues(reply);
    return KeyRead{read.call_, found.empty() ? std::nullopt : std::optional(std::move(found.front()))};
}

StoreReply parseSwapReply(const CompareAndSwap &swap, const Json &reply)
{
    const auto succeeded = reply.find("succeeded");
    const bool done = succeeded != reply.end() && succeeded->is_boolean() && succeeded->get<bool>();
    return SwapCompleted{swap.call_, done, headerRevision(reply)};
}

StoreReply parseKeepLeaseReply(const RenewLease &renew, const Json &reply)
{
    const auto result = reply.find("result");
    return LeaseRenewed{renew.call_, result != reply.end() && result->is_object() && integerField(*result, "TTL") > 0};
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
    const std::string unpadded = end == std::string::npos ? std::string() : text.substr(0, end + 1);
    try {
        std::string bytes(Decode(unpadded.begin()), Decode(unpadded.end()));
        bytes.resize(unpadded.size() * 3 / 4);
        return bytes;
    } catch (const iterators::dataflow_exception &) {
        return {};
    }
}

GatewayRequest encodeGatewayCall(const StoreCall &call)
{
    return std::visit(Overloaded{
                          [](const ReadKey &read) {
                              return GatewayRequest{"/v3/kv/range", rangeRequest({read.key_, false, 0}).dump(), false};
                          },
                          [](const CompareAndSwap &swap) {
                              return GatewayRequest{"/v3/kv/txn", compareAndSwapRequest(swap).dump(), true};
                          },
                          [](const GrantLease &grant) {
                              return GatewayRequest{"/v3/lease/grant", Json{{"TTL", std::to_string(grant.ttl_.count())}}.dump(), true};
                          },
                          [](const RenewLease &renew) {
                              return GatewayRequest{"/v3/lease/keepalive", Json{{"ID", std::to_string(renew.lease_)}}.dump(), true};
                          },
                          [](const RevokeLease &revoke) {
                              return GatewayRequest{"/v3/lease/revoke", Json{{"ID", std::to_string(revoke.lease_)}}.dump(), true};
                          },
                          [](const PollKeys &poll) {
                              return GatewayRequest{"/v3/kv/txn", pollRequest(poll).dump(), false};
                          },
                      },
                      call);
}

Result<StoreReply> decodeGatewayReply(const StoreCall &call, const std::string &body)
{
    const Json reply = Json::parse(body, nullptr, false);
    if (!reply.is_object()) {
        return leaf::new_error(StoreError{StoreErrc::BadReply});
    }
    return std::visit(Overloaded{
                          [&](const ReadKey &read) -> Result<StoreReply> { return parseReadReply(read, reply); },
                          [&](const CompareAndSwap &swap) -> Result<StoreReply> { return parseSwapReply(swap, reply); },
                          [&](const GrantLease &grant) -> Result<StoreReply> {
                              return StoreReply(LeaseGranted{grant.call_, integerField(reply, "ID")});
                          },
                          [&](const RenewLease &renew) -> Result<StoreReply> { return parseKeepLeaseReply(renew, reply); },
                          [&](const RevokeLease &revoke) -> Result<StoreReply> { return StoreReply(LeaseRevoked{revoke.call_}); },
                          [&](const PollKeys &poll) { return parsePollReply(poll, reply); },
                      },
                      call);
}

}
