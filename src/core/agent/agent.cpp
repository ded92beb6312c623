#include "core/agent/agent.h"

#include "core/agent/attempts.h"
#include "core/agent/clocks.h"
#include "core/agent/members.h"
#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

AgentReport makeReport(const AgentState &state, const ReportTarget &target, std::vector<MemberReport> members, Instant now)
{
    const AgentIdentity &identity = state.identity_;
    AgentReport report;
    report.kind_ = identity.kind_;
    report.name_ = identity.name_;
    report.incarnation_ = state.incarnation_;
    report.sequence_ = state.sequence_;
    report.sentAt_ = now;
    report.region_ = identity.region_;
    report.dataCentre_ = identity.dataCentre_;
    report.rack_ = identity.rack_;
    report.leaving_ = state.leaving_;
    report.revision_ = state.revision_;
    report.epoch_ = state.epoch_;
    report.capacity_ = identity.capacity_;
    report.service_ = identity.service_;
    report.slots_ = now >= state.endpointDownUntil_ ? identity.slots_ : 0;
    report.connections_ = identity.connections_;
    report.port_ = identity.port_;
    report.digest_ = membersDigest(members);
    report.membersIncluded_ = target.acknowledgedDigest_ != report.digest_;
    if (report.membersIncluded_) {
        report.members_ = std::move(members);
    }
    return report;
}

/// Sends the reports that are due. A change is reported at once: by a worker to the owner of its region, by an executor or a leaving
/// agent to every entry.
void sendDueReports(AgentState &state, Instant now, AgentOutputs &outputs)
{
    if (state.identity_.kind_ == AgentKind::Worker && !state.recovered_) {
        return; // the tasks that an earlier run of the agent started are not known yet
    }
    for (std::size_t i = 0; i < state.targets_.size(); ++i) {
        ReportTarget &target = state.targets_[i];
        const bool notifyOfChange = state.identity_.kind_ == AgentKind::Executor || target.owner_ || state.leaving_;
        if (now < target.nextReportAt_ && !(state.hasUnreportedChange_ && notifyOfChange)) {
            continue;
        }
        ++state.sequence_;
        target.nextReportAt_ = now + target.period_;
        outputs.emplace_back(SendReport{i, makeReport(state, target, memberReports(state), now)});
    }
    state.hasUnreportedChange_ = false;
}

void handleDirective(AgentState &state, const DirectiveReceived &received, Instant now, AgentOutputs &outputs)
{
    const Directive &directive = received.directive_;
    const bool isAddressee = directive.agent_ == state.identity_.name_ && directive.agentIncarnation_ == state.incarnation_;
    if (!isAddressee || received.target_ >= state.targets_.size() || !updateEntryClock(state, directive, now)) {
        return;
    }
    ReportTarget &target = state.targets_[received.target_];
    target.owner_ = directive.epoch_ != 0 && directive.epoch_ >= state.epoch_;
    target.acknowledgedDigest_ = directive.membersRequested_ ? 0 : directive.digest_;
    const Duration maxPeriod = state.identity_.kind_ == AgentKind::Executor ? state.limits_.maxExecutorReportPeriod_ : Duration::max();
    target.period_ = std::clamp(directive.period_, state.limits_.initialReportPeriod_ / 2, maxPeriod);
    applyDirective(state, directive, now, outputs);
}

}

Agent::Agent(const AgentLimits &limits, const AgentIdentity &identity, std::uint64_t incarnation, std::size_t entries)
{
    state_.limits_ = limits;
    state_.identity_ = identity;
    state_.incarnation_ = incarnation;
    state_.targets_.resize(entries);
    for (ReportTarget &target : state_.targets_) {
        target.period_ = limits.initialReportPeriod_;
    }
}

AgentOutputs Agent::step(Instant now, const AgentInput &input)
{
    AgentOutputs outputs;
    std::visit(Overloaded{
                   [&](const DirectiveReceived &received) { handleDirective(state_, received, now, outputs); },
                   [&](const MemberEvent &event) { handleMemberEvent(state_, event); },
                   [&](const WorkerTasksListed &listed) { reconcile(state_, listed, now, outputs); },
                   [&](const AttemptReceived &received) { admitAttempt(state_, received, now, outputs); },
                   [&](const AttemptCompleted &completed) { completeAttempt(state_, completed, now, outputs); },
                   [&](const BeginDrain &) {
                       state_.leaving_ = true;
                       state_.hasUnreportedChange_ = true;
                   },
                   [](const AgentTick &) {},
               },
               input);
    enforceLeases(state_, now, outputs);
    sendDueReports(state_, now, outputs);
    return outputs;
}

bool Agent::drained() const noexcept
{
    return state_.leaving_ && state_.runningAttempts_.empty() && state_.members_.empty();
}

}
