#include "core/routing/router.h"

#include "core/overloaded.h"
#include "core/routing/admission.h"
#include "core/routing/answers.h"
#include "core/routing/dispatch.h"
#include "core/routing/executors.h"

#include <algorithm>

namespace bergamotwick {

namespace {

/// Tracks since when the store has been unavailable.
void trackStoreAvailability(RouterState &state, ClaimOutcome outcome, Instant now)
{
    if (outcome == ClaimOutcome::Granted || outcome == ClaimOutcome::Taken) {
        state.storeUnavailableSince_.reset();
    } else if (!state.storeUnavailableSince_) {
        state.storeUnavailableSince_ = now;
    }
}

void handleClaimEnded(RouterState &state, const ClaimEnded &ended, Instant now, RouterOutputs &outputs)
{
    trackStoreAvailability(state, ended.outcome_, now);
    const auto found = state.pending_.find(ended.token_);
    if (found == state.pending_.end()) {
        return; // the request ended meanwhile; its claim is being released
    }
    switch (ended.outcome_) {
    case ClaimOutcome::Granted:
        sendClaimed(state, ended.token_, now, outputs);
        return;
    case ClaimOutcome::Taken:
        finishRequest(state, ended.token_, {Outcome::Duplicate, Refusal::None, 0, {}}, now, outputs);
        return;
    case ClaimOutcome::Unavailable:
        found->second.claimMayBeHeld_ = false;
        [[fallthrough]];
    case ClaimOutcome::Unknown:
        finishRequest(state, ended.token_, {Outcome::NotRun, Refusal::StoreUnavailable, 0, {}}, now, outputs);
        return;
    }
}

}

Router::Router(const RouterLimits &limits, const EntryId &entry, std::uint64_t incarnation)
{
    state_.limits_ = limits;
    state_.entry_ = entry;
    state_.incarnation_ = incarnation;
}

RouterOutputs Router::step(Instant now, const RouterInput &input)
{
    RouterOutputs outputs;
    expireRequests(state_, now, outputs);
    std::visit(Overloaded{
                   [&](const RequestArrived &arrived) { admitRequest(state_, arrived.request_, now, outputs); },
                   [&](const ClaimEnded &ended) { handleClaimEnded(state_, ended, now, outputs); },
                   [&](const ExecutorReported &reported) { applyExecutorReport(state_, reported.report_, now, outputs); },
                   [&](const AttemptEnded &ended) { handleAttemptEnded(state_, ended.executor_, ended.reply_, now, outputs); },
                   [&](const ConnectionLost &lost) { handleConnectionLost(state_, lost.executor_, now, outputs); },
                   [&](const AttemptUnsent &unsent) { handleAttemptUnsent(state_, unsent.executor_, unsent.id_, now, outputs); },
                   [&](const CallerGone &gone) { handleCallerGone(state_, gone.token_, now, outputs); },
                   [&](const RouterConfigured &configured) {
                       state_.config_ = configured.config_;
                       state_.entries_ = std::max<std::size_t>(configured.entries_, 1);
                   },
                   [&](const RouterStopping &) { stopAdmission(state_, now, outputs); },
                   [&](const RouterTick &) { tickExecutors(state_, now); },
               },
               input);
    dispatchReady(state_, now, outputs);
    return outputs;
}

}
