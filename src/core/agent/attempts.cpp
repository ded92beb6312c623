#include "core/agent/attempts.h"

#include "core/agent/clocks.h"

#include <algorithm>

namespace bergamotwick {

namespace {

void refuse(const AgentState &state, const AttemptReceived &received, AgentOutputs &outputs)
{
    AttemptReply reply;
    reply.id_ = received.attempt_.id_;
    reply.outcome_ = AttemptOutcome::NotRun;
    reply.leaving_ = state.leaving_;
    outputs.emplace_back(ReplyAttempt{received.connection_, std::move(reply)});
}

bool hasFreeSlot(const AgentState &state, Instant now)
{
    const auto maxRunning = static_cast<std::size_t>(std::min(state.identity_.slots_, state.identity_.connections_));
    const bool leaving = state.leaving_ && state.limits_.refuseWhenLeaving_;
    return !leaving && now >= state.endpointDownUntil_ && state.runningAttempts_.size() < maxRunning;
}

/// Returns the time that remains for the attempt, or nullopt if it must not start.
std::optional<Duration> timeLeft(const AgentState &state, const AttemptRequest &attempt, Instant now)
{
    if (attempt.agentIncarnation_ != state.incarnation_) {
        return std::nullopt;
    }
    const auto entryNow = latestEntryTime(state, attempt.entry_, attempt.entryIncarnation_, now);
    if (!entryNow) {
        return std::nullopt;
    }
    const Duration age = state.limits_.checkAges_ ? std::max(*entryNow - attempt.sentAt_, Duration::zero()) : Duration::zero();
    return attempt.timeout_ > age ? std::optional(attempt.timeout_ - age) : std::nullopt;
}

void rememberAttempt(AgentState &state, const AttemptId &id)
{
    state.seenAttempts_.insert(id);
    state.seenAttemptOrder_.push_back(id);
    if (state.seenAttemptOrder_.size() > state.limits_.maxRememberedAttempts_) {
        state.seenAttempts_.erase(state.seenAttemptOrder_.front());
        state.seenAttemptOrder_.pop_front();
    }
}

}

void admitAttempt(AgentState &state, const AttemptReceived &received, Instant now, AgentOutputs &outputs)
{
    const AttemptId &id = received.attempt_.id_;
    if (state.seenAttempts_.contains(id)) {
        return; // a duplicate; the reply goes to the first copy
    }
    const auto left = timeLeft(state, received.attempt_, now);
    if (!left || !hasFreeSlot(state, now)) {
        refuse(state, received, outputs);
        return;
    }
    rememberAttempt(state, id);
    state.runningAttempts_.emplace(id, received.connection_);
    outputs.emplace_back(RunAttempt{received.connection_, received.attempt_, *left});
}

void completeAttempt(AgentState &state, const AttemptCompleted &completed, Instant now, AgentOutputs &outputs)
{
    const auto running = state.runningAttempts_.find(completed.id_);
    if (running == state.runningAttempts_.end()) {
        return;
    }
    AttemptReply reply;
    reply.id_ = completed.id_;
    reply.status_ = completed.status_;
    reply.body_ = completed.body_;
    reply.leaving_ = state.leaving_;
    switch (completed.result_) {
    case EndpointResult::Answered:
        reply.outcome_ = AttemptOutcome::Answered;
        break;
    case EndpointResult::ConnectionRefused:
        reply.outcome_ = AttemptOutcome::NotRun;
        state.endpointDownUntil_ = now + state.limits_.endpointRetryDelay_;
        state.hasUnreportedChange_ = true;
        break;
    case EndpointResult::Disconnected:
        reply.outcome_ = AttemptOutcome::Unknown;
        break;
    }
    outputs.emplace_back(ReplyAttempt{running->second, std::move(reply)});
    state.runningAttempts_.erase(running);
}

}
