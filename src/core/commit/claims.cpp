#include "core/commit/claims.h"

#include <array>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxClaimsPerDocument = 9'000; // about 90 bytes per claim keeps a document below the store's limit of 1 MB
constexpr int claimsVersion = 1;
constexpr Duration minClaimWriteInterval = 40ms; // between two writes of one document by one entry

std::string toHexString(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 16; i-- > 0; value >>= 4U) {
        text[i] = digits[value & 0xFU];
    }
    return text;
}

}

Result<ClaimDocument> ClaimTraits::decode(const std::string &text)
{
    ClaimDocument document;
    if (text.empty()) {
        return document;
    }
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || json.value("version", Json()) != claimsVersion || !json.contains("claims") || !json["claims"].is_object()) {
        return leaf::new_error(DocumentError{DocumentErrc::NotJson, "claims"});
    }
    for (const auto &[digest, claim] : json["claims"].items()) {
        if (!claim.is_array() || claim.size() != 2 || !claim[0].is_string() || !claim[1].is_number_integer()) {
            return leaf::new_error(DocumentError{DocumentErrc::WrongField, digest});
        }
        document.claims_[digest] = {claim[0], claim[1]};
    }
    return document;
}

std::string ClaimTraits::encode(const ClaimDocument &document)
{
    Json claims = Json::object();
    for (const auto &[digest, claim] : document.claims_) {
        claims[digest] = {claim.holder_, claim.expiresAt_};
    }
    return Json{{"version", claimsVersion}, {"claims", std::move(claims)}}.dump();
}

EditEffect ClaimTraits::apply(ClaimDocument &document, const ClaimEdit &edit)
{
    const auto found = document.claims_.find(edit.digest_);
    const bool taken = found != document.claims_.end() && found->second.expiresAt_ > edit.nowSeconds_;
    const bool heldByCaller = taken && found->second.holder_ == edit.holder_;
    if (edit.release_) {
        if (!heldByCaller) {
            return EditEffect::AlreadyApplied;
        }
        document.claims_.erase(found);
        return EditEffect::Changed;
    }
    if (taken) {
        return heldByCaller ? EditEffect::AlreadyApplied : EditEffect::Forbidden;
    }
    std::erase_if(document.claims_, [&edit](const auto &claim) { return claim.second.expiresAt_ <= edit.nowSeconds_; });
    if (document.claims_.size() >= maxClaimsPerDocument) {
        return EditEffect::Forbidden;
    }
    document.claims_[edit.digest_] = {edit.holder_, edit.expiresAt_};
    return EditEffect::Changed;
}

ClaimRegistry::ClaimRegistry(CallIdGenerator &ids, std::size_t shards)
{
    for (std::size_t i = 0; i < shards; ++i) {
        shards_.push_back(std::make_unique<Commit>(ids, "claims/" + std::to_string(i), minClaimWriteInterval));
    }
}

void ClaimRegistry::edit(ClaimEdit edit, Instant now, Commit::Outputs &outputs)
{
    const std::size_t shard = XXH64(edit.digest_.data(), edit.digest_.size(), 0) % shards_.size();
    shards_[shard]->add(std::move(edit), now, outputs);
}

bool ClaimRegistry::handleReply(const StoreReply &reply, Instant now, Commit::Outputs &outputs)
{
    for (const auto &shard : shards_) {
        if (shard->handleReply(reply, now, outputs)) {
            return true;
        }
    }
    return false;
}

void ClaimRegistry::expire(Instant now, Commit::Outputs &outputs)
{
    for (const auto &shard : shards_) {
        shard->expire(now, outputs);
    }
}

ClaimDigest ClaimRegistry::digestOf(std::string_view workspace, std::string_view service, std::string_view key)
{
    std::string text;
    for (const std::string_view part : {workspace, service, key}) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    const XXH128_hash_t digest = XXH3_128bits(text.data(), text.size());
    return toHexString(digest.high64) + toHexString(digest.low64);
}

}
