#include "core/batch/fencing_tokens.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// Distance between the tokens of two terms.
constexpr std::int64_t tokensPerTerm = std::int64_t{1} << 20;

/// Start times count in these units, modulo tokensPerTerm: more than a day.
constexpr milliseconds startTimeUnit{100};

/// Uptimes count in these units, up to tokensPerTerm: twelve days.
constexpr milliseconds uptimeUnit{1'000};

std::int64_t firstToken(std::int64_t epoch, std::int64_t startTimeMs)
{
    return epoch * tokensPerTerm + startTimeMs / startTimeUnit.count() % tokensPerTerm;
}

}

void FencingTokens::follow(std::int64_t epoch, std::int64_t startTimeMs) noexcept
{
    if (epoch == epoch_ && startTimeMs == startTimeMs_) {
        return;
    }
    const std::int64_t former = current();
    if (startTimeMs != startTimeMs_) {
        mayBeOfFormerProcess_ = startTimeMs_ == 0;
        raisedBy_ = 0;
    }
    epoch_ = epoch;
    startTimeMs_ = startTimeMs;
    raisedBy_ = std::max(raisedBy_, former + 1 - firstToken(epoch, startTimeMs));
    lowest_ = current();
    outstandingAcknowledgements_ = 0;
}

std::int64_t FencingTokens::current() const noexcept
{
    return firstToken(epoch_, startTimeMs_) + raisedBy_;
}

bool FencingTokens::isOfPresentTerm(std::int64_t token) const noexcept
{
    return token >= lowest_;
}

void FencingTokens::acknowledgementSent() noexcept
{
    ++outstandingAcknowledgements_;
}

void FencingTokens::acknowledgementSettled(std::int64_t token) noexcept
{
    if (token == current()) {
        outstandingAcknowledgements_ = std::max(0, outstandingAcknowledgements_ - 1);
    }
}

bool FencingTokens::mayAcknowledgeLate() const noexcept
{
    return outstandingAcknowledgements_ > 0;
}

bool FencingTokens::mayBeOfFormerProcess() const noexcept
{
    return mayBeOfFormerProcess_;
}

void FencingTokens::raise(milliseconds uptime) noexcept
{
    raisedBy_ = std::min(std::max(raisedBy_, uptime / uptimeUnit) + 1, tokensPerTerm - 1); // below all tokens of the next term
    outstandingAcknowledgements_ = 0;
    mayBeOfFormerProcess_ = false;
}

}
