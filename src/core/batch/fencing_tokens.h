#pragma once

#include "core/batch/time.h"

#include <cstdint>

namespace bergamotwick::batch {

/// The fencing tokens of an agent's calls to its executor, which never fall. An executor carries out no call with a lower token than it has seen; its next
/// incarnation under the same name has seen none. So a token rises
/// - with each term of a leader and with each incarnation of the executor, so that calls of former ones aren't carried out any more, and
/// - before a start that follows a poll which acknowledges ends and hasn't been answered. The poll may reach the next incarnation, whose ends are numbered
///   anew, after the start: it must not acknowledge the end of that run, which nobody has seen.
///
/// Thread safety: none; the caller serialises calls.
class FencingTokens
{
public:
    /// Follows the term with number \p epoch and the incarnation that started at \p startTimeMs.
    void follow(std::int64_t epoch, std::int64_t startTimeMs) noexcept;

    /// Returns the token of calls that are made now.
    [[nodiscard]] std::int64_t current() const noexcept;

    /// Returns whether \p token is of the present term and incarnation.
    [[nodiscard]] bool isOfPresentTerm(std::int64_t token) const noexcept;

    /// Records that a poll which acknowledges ends is sent with the current token.
    void acknowledgementSent() noexcept;

    /// Records that such a poll with \p token was carried out, or will never be.
    void acknowledgementSettled(std::int64_t token) noexcept;

    /// Returns whether a poll that acknowledges ends, with the current token, may still be carried out. Of those of a former process, which may have had
    /// the same token, nothing is known.
    [[nodiscard]] bool mayAcknowledgeLate() const noexcept;

    /// Returns whether a former process of the agent may have used the current token.
    [[nodiscard]] bool mayBeOfFormerProcess() const noexcept;

    /// Raises the token. It is higher than those of former processes if \p uptime, for how long the executor has run by its own clock, is known: not zero.
    void raise(milliseconds uptime) noexcept;

private:
    std::int64_t epoch_ = 0;
    std::int64_t startTimeMs_ = 0;
    std::int64_t lowest_ = 0; ///< the first token of the present term and incarnation
    std::int64_t raisedBy_ = 0; ///< since the start of the incarnation
    int outstandingAcknowledgements_ = 0; ///< polls with the current token
    bool mayBeOfFormerProcess_ = true;
};

}
