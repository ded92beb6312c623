#pragma once

#include "bergamotwick/time.h"
#include "core/commit/store_call.h"
#include "core/overloaded.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamotwick {

/// Result of an edit.
enum class CommitResult : std::uint8_t {
    Committed, ///< the stored document contains the edit
    Rejected, ///< the document forbids it, as read after the edit was added
    Unavailable, ///< the store did not apply it; it has no effect
    Unknown, ///< the store may have applied it, but could not be read again in time
};

/// Effect of applying an edit to a document.
enum class EditEffect : std::uint8_t {
    Changed,
    AlreadyApplied,
    Forbidden,
};

/// Edits one stored document by compare-and-swap and batches many edits into each write.
///
/// After a write whose reply was lost, reads the document again; each edit can tell whether it has been applied.
///
/// \tparam Traits has Document, Edit (with a deadline_ member), decode(text), encode(document) and apply(document, edit).
///
/// Thread safety: none; the caller serialises all calls.
template<class Traits>
class GroupCommit
{
public:
    using Document = typename Traits::Document;
    using Edit = typename Traits::Edit;

    /// An edit and its result.
    struct CompletedEdit
    {
        Edit edit_;
        CommitResult result_{};
    };

    struct Outputs
    {
        std::vector<StoreCall> calls_;
        std::vector<CompletedEdit> completed_;
    };

    /// \p minWriteInterval is the minimum time between two writes. It keeps many processes that edit one document from overloading the store.
    GroupCommit(CallIdGenerator &ids, std::string key, Duration minWriteInterval = Duration::zero())
        : ids_(ids)
        , key_(std::move(key))
        , minWriteInterval_(minWriteInterval)
    {
    }

    /// Queues \p edit. Its result appears in \p outputs of this call or a later one.
    void add(Edit edit, Instant now, Outputs &outputs)
    {
        now_ = now;
        pending_.push_back({std::move(edit)});
        startNextCall(outputs);
    }

    /// Updates the cached document from a read by another component, if it is newer.
    void observe(std::int64_t modRevision, const Document &document)
    {
        if (modRevision > modRevision_) {
            modRevision_ = modRevision;
            document_ = document;
            cacheValid_ = true;
        }
    }

    /// Processes a reply. Returns whether it belongs to the current call for this document.
    bool handleReply(const StoreReply &reply, Instant now, Outputs &outputs)
    {
        now_ = now;
        const CallId call = callOf(reply);
        if (call != call_ || call == 0) {
            return false;
        }
        call_ = 0;
        std::visit(Overloaded{
                       [&](const KeyRead &read) { handleRead(read, outputs); },
                       [&](const SwapCompleted &swapped) { handleSwap(swapped, outputs); },
                       [&](const CallFailed &failed) { handleFailure(failed, outputs); },
                       [](const auto &) {},
                   },
                   reply);
        startNextCall(outputs);
        return true;
    }

    /// Completes edits whose deadline has passed, and starts the next write once the minimum interval has elapsed.
    void expire(Instant now, Outputs &outputs)
    {
        now_ = now;
        for (auto item = pending_.begin(); item != pending_.end();) {
            if (item->edit_.deadline_ > now) {
                ++item;
                continue;
            }
            outputs.completed_.push_back(abandon(*item));
            item = pending_.erase(item);
        }
        startNextCall(outputs);
    }

    [[nodiscard]] const Document &document() const noexcept
    {
        return document_;
    }

    [[nodiscard]] std::int64_t modRevision() const noexcept
    {
        return modRevision_;
    }

    [[nodiscard]] const std::string &key() const noexcept
    {
        return key_;
    }

    [[nodiscard]] bool idle() const noexcept
    {
        return pending_.empty() && call_ == 0;
    }

private:
    struct Pending
    {
        Edit edit_;
        bool inFlight_ = false; ///< part of the write in flight
        bool ambiguous_ = false; ///< part of an earlier write whose reply was lost
        bool readSinceAdded_ = false; ///< the document has been read since the edit was added
    };

    void startNextCall(Outputs &outputs)
    {
        if (call_ != 0 || pending_.empty() || now_ < nextWrite_) {
            return;
        }
        if (!cacheValid_) {
            read(outputs);
            return;
        }
        Document next = document_;
        std::vector<EditEffect> effects;
        for (const Pending &item : pending_) {
            effects.push_back(Traits::apply(next, item.edit_));
        }
        if (completeWithoutWrite(effects, outputs)) {
            read(outputs); // the cached document, which may be outdated, rejects an edit or already contains it
            return;
        }
        if (std::count(effects.begin(), effects.end(), EditEffect::Changed) > 0) {
            write(std::move(next), outputs);
        }
    }

    /// Completes edits that need no write. Returns whether the document must be read again first.
    bool completeWithoutWrite(std::vector<EditEffect> &effects, Outputs &outputs)
    {
        bool needsRead = false;
        std::vector<Pending> remaining;
        std::vector<EditEffect> remainingEffects;
        for (std::size_t i = 0; i < pending_.size(); ++i) {
            Pending &item = pending_[i];
            if (effects[i] == EditEffect::Changed || !item.readSinceAdded_) {
                needsRead = needsRead || effects[i] != EditEffect::Changed;
                remaining.push_back(std::move(item));
                remainingEffects.push_back(effects[i]);
                continue;
            }
            const bool alreadyApplied = effects[i] == EditEffect::AlreadyApplied;
            outputs.completed_.push_back({std::move(item.edit_), alreadyApplied ? CommitResult::Committed : CommitResult::Rejected});
        }
        pending_ = std::move(remaining);
        effects = std::move(remainingEffects);
        return needsRead;
    }

    void read(Outputs &outputs)
    {
        call_ = ids_.next();
        for (Pending &item : pending_) {
            item.readSinceAdded_ = true;
        }
        outputs.calls_.emplace_back(ReadKey{call_, key_});
    }

    void write(Document next, Outputs &outputs)
    {
        call_ = ids_.next();
        for (Pending &item : pending_) {
            item.inFlight_ = true;
        }
        inFlightDocument_ = std::move(next);
        outputs.calls_.emplace_back(CompareAndSwap{call_, key_, modRevision_, Traits::encode(inFlightDocument_)});
    }

    void handleRead(const KeyRead &read, Outputs &outputs)
    {
        const std::int64_t readRevision = read.found_ ? read.found_->modRevision_ : 0;
        auto document = Traits::decode(read.found_ ? read.found_->value_ : std::string());
        if (!document || readRevision < modRevision_) {
            abandonAll(outputs); // not a valid document, or an outdated reply
            return;
        }
        modRevision_ = readRevision;
        document_ = std::move(*document);
        cacheValid_ = true;
    }

    void handleSwap(const SwapCompleted &swapped, Outputs &outputs)
    {
        nextWrite_ = now_ + minWriteInterval_;
        if (!swapped.succeeded_) {
            cacheValid_ = false;
            finishWrite(false, false, outputs);
            return;
        }
        modRevision_ = std::max(modRevision_, swapped.modRevision_);
        document_ = std::move(inFlightDocument_);
        finishWrite(true, false, outputs);
    }

    /// Ends the write in flight: completes its edits if \p committed, otherwise leaves them pending.
    void finishWrite(bool committed, bool ambiguous, Outputs &outputs)
    {
        std::vector<Pending> remaining;
        for (Pending &item : pending_) {
            if (committed && item.inFlight_) {
                outputs.completed_.push_back({std::move(item.edit_), CommitResult::Committed});
                continue;
            }
            item.ambiguous_ = item.ambiguous_ || (ambiguous && item.inFlight_);
            item.inFlight_ = false;
            remaining.push_back(std::move(item));
        }
        pending_ = std::move(remaining);
    }

    /// Ends an unfinished edit: as unknown if the store may have applied it, otherwise as unavailable.
    static CompletedEdit abandon(Pending &item)
    {
        const bool ambiguous = item.inFlight_ || item.ambiguous_;
        return {std::move(item.edit_), ambiguous ? CommitResult::Unknown : CommitResult::Unavailable};
    }

    void handleFailure(const CallFailed &failed, Outputs &outputs)
    {
        cacheValid_ = false;
        finishWrite(false, failed.code_ == StoreErrc::Ambiguous, outputs);
        if (failed.code_ != StoreErrc::Ambiguous) {
            abandonAll(outputs);
        }
    }

    void abandonAll(Outputs &outputs)
    {
        cacheValid_ = false;
        for (Pending &item : pending_) {
            outputs.completed_.push_back(abandon(item));
        }
        pending_.clear();
    }

    CallIdGenerator &ids_;
    std::string key_;
    Duration minWriteInterval_;
    Instant now_{};
    Instant nextWrite_{};
    Document document_{};
    Document inFlightDocument_{};
    std::int64_t modRevision_ = 0;
    bool cacheValid_ = false;
    CallId call_ = 0;
    std::vector<Pending> pending_;
};

}
