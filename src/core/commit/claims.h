#pragma once

#include "core/commit/group_commit.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick {

/// Digest of a request key within its workspace and service.
using ClaimDigest = std::string;

/// Stored document that maps each claimed key to its holder and expiry time.
struct ClaimDocument
{
    struct Claim
    {
        std::string holder_;
        std::int64_t expiresAt_ = 0; ///< seconds since the Unix epoch

        friend bool operator==(const Claim &, const Claim &) = default;
    };

    std::map<ClaimDigest, Claim, std::less<>> claims_;
};

/// Claims or releases one key.
struct ClaimEdit
{
    ClaimDigest digest_;
    std::string holder_;
    std::int64_t nowSeconds_ = 0;
    std::int64_t expiresAt_ = 0;
    bool release_ = false;
    std::uint64_t token_ = 0; ///< request token
    Instant deadline_{};
};

struct ClaimTraits
{
    using Document = ClaimDocument;
    using Edit = ClaimEdit;

    [[nodiscard]] static Result<Document> decode(const std::string &text);
    [[nodiscard]] static std::string encode(const Document &document);
    [[nodiscard]] static EditEffect apply(Document &document, const Edit &edit);
};

/// Claims the keys of non-repeatable requests. Claims are sharded over several documents to limit the size of each.
///
/// Thread safety: none; the caller serialises all calls.
class ClaimRegistry
{
public:
    using Commit = GroupCommit<ClaimTraits>;

    ClaimRegistry(CallIdGenerator &ids, std::size_t shards);

    /// Queues \p edit on the document that holds its key.
    void edit(ClaimEdit edit, Instant now, Commit::Outputs &outputs);

    /// Processes a reply. Returns whether it belongs to a call for a claim document.
    bool handleReply(const StoreReply &reply, Instant now, Commit::Outputs &outputs);

    /// Completes edits whose deadline has passed, and starts writes that are due.
    void expire(Instant now, Commit::Outputs &outputs);

    /// Returns the digest of \p key, unique per workspace and service. Thread-safe.
    [[nodiscard]] static ClaimDigest digestOf(std::string_view workspace, std::string_view service, std::string_view key);

private:
    std::vector<std::unique_ptr<Commit>> shards_;
};

}
