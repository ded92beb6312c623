#include "core/agent/clocks.h"

#include <algorithm>

namespace bergamotwick {

namespace {

void updateMinimum(std::optional<Duration> &minimum, Duration value)
{
    minimum = minimum ? std::min(*minimum, value) : value;
}

/// Lowers the upper bound of the entry's clock offset.
///
/// The entry sent its reply after the agent had sent the report, so the difference of the two send times is an upper bound of the offset.
void updateClockOffset(const AgentLimits &limits, EntryClock &clock, Duration difference, Instant now)
{
    updateMinimum(clock.maxOffset_, difference);
    updateMinimum(clock.nextMaxOffset_, difference);
    if (now >= clock.windowEnds_) {
        clock.maxOffset_ = clock.nextMaxOffset_; // drops older round trips, which clock drift may have invalidated
        clock.nextMaxOffset_.reset();
        clock.windowEnds_ = now + limits.clockOffsetWindow_;
    }
}

}

bool updateEntryClock(AgentState &state, const Directive &directive, Instant now)
{
    EntryClock &clock = state.clocks_[directive.entry_];
    if (clock.incarnation_ != directive.incarnation_) {
        clock = EntryClock();
        clock.incarnation_ = directive.incarnation_;
        clock.windowEnds_ = now + state.limits_.clockOffsetWindow_;
    }
    if (directive.sequence_ <= clock.sequence_) {
        return false;
    }
    clock.sequence_ = directive.sequence_;
    if (directive.echoSequence_ != 0 && directive.echoSentAt_ <= now) {
        updateClockOffset(state.limits_, clock, directive.sentAt_ - directive.echoSentAt_, now);
    }
    return true;
}

std::optional<Instant> latestEntryTime(const AgentState &state, const EntryId &entry, std::uint64_t incarnation, Instant now)
{
    const auto clock = state.clocks_.find(entry);
    if (clock == state.clocks_.end() || clock->second.incarnation_ != incarnation || !clock->second.maxOffset_) {
        return std::nullopt;
    }
    return now + *clock->second.maxOffset_;
}

}
