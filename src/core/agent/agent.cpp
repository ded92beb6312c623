#include "core/agent/agent.h"

#include "core/agent/attempts.h"
#include "core/agent/clocks.h"
#include "core/agent/members.h"
#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

AgentReport makeReport(const AgentBoard &board, const ReportTarget &target, std::vector<MemberReport> members, Instant now)
{
    const AgentIdentity &identity = board.identity_;
    AgentReport report;
    report.kind_ = identity.kind_;
    report.name_ = identity.name_;
    report.incarnation_ = board.incarnation_;
    report.sequence_ = board.sequence_;
    report.sentAt_ = now;
    report.region_ = identity.region_;
    report.dataCentre_ = identity.dataCentre_;
    report.rack_ = identity.rack_;
    report.leaving_ = board.leaving_;
    report.revision_ = board.revision_;
    report.epoch_ = board.epoch_;
    report.capacity_ = identity.capacity_;
    report.service_ = identity.service_;
    report.slots_ = now >= board.endpointDownUntil_ ? identity.slots_ : 0;
    report.connections_ = identity.connections_;
    report.port_ = identity.port_;
    report.digest_ = membersDigest(members);
    report.membersIncluded_ = target.acknowledged_ != report.digest_;
    if (report.membersIncluded_) {
        report.members_ = std::move(members);
    }
    return report;
}

/// Reports to each entry that is due; to all of them when something changed.
void reportDue(AgentBoard &board, Instant now, AgentOutputs &outputs)
{
    if (board.identity_.kind_ == AgentKind::Worker && !board.adopted_) {
        return; // what an earlier run of the agent left is not known yet
    }
    for (std::size_t at = 0; at < board.targets_.size(); ++at) {
        ReportTarget &target = board.targets_[at];
        const bool concerned = board.identity_.kind_ == AgentKind::Executor || target.owner_ || board.leaving_;
        if (now < target.nextAt_ && !(board.changed_ && concerned)) {
            continue;
        }
        ++board.sequence_;
        target.nextAt_ = now + target.period_;
        outputs.emplace_back(SendReport{at, makeReport(board, target, memberReports(board), now)});
    }
    board.changed_ = false;
}

void takeDirective(AgentBoard &board, const DirectiveArrived &arrived, Instant now, AgentOutputs &outputs)
{
    const Directive &directive = arrived.directive_;
    const bool forUs = directive.agent_ == board.identity_.name_ && directive.agentIncarnation_ == board.incarnation_;
    if (!forUs || arrived.target_ >= board.targets_.size() || !observeDirective(board, directive, now)) {
        return;
    }
    ReportTarget &target = board.targets_[arrived.target_];
    target.owner_ = directive.epoch_ != 0 && directive.epoch_ >= board.epoch_;
    target.acknowledged_ = directive.membersRequested_ ? 0 : directive.digest_;
    const Duration most = board.identity_.kind_ == AgentKind::Executor ? board.limits_.executorPeriod_ : Duration::max();
    target.period_ = std::clamp(directive.period_, board.limits_.firstPeriod_ / 2, most);
    obey(board, directive, now, outputs);
}

}

Agent::Agent(const AgentLimits &limits, const AgentIdentity &identity, std::uint64_t incarnation, std::size_t entries)
{
    board_.limits_ = limits;
    board_.identity_ = identity;
    board_.incarnation_ = incarnation;
    board_.targets_.resize(entries);
    for (ReportTarget &target : board_.targets_) {
        target.period_ = limits.firstPeriod_;
    }
}

AgentOutputs Agent::step(Instant now, const AgentInput &input)
{
    AgentOutputs outputs;
    std::visit(Overloaded{
                   [&](const DirectiveArrived &arrived) { takeDirective(board_, arrived, now, outputs); },
                   [&](const MemberEvent &event) { memberEnded(board_, event); },
                   [&](const WorkerListed &listed) { reconcile(board_, listed, now, outputs); },
                   [&](const AttemptArrived &arrived) { admitAttempt(board_, arrived, now, outputs); },
                   [&](const AttemptDone &done) { attemptDone(board_, done, now, outputs); },
                   [&](const Leave &) {
                       board_.leaving_ = true;
                       board_.changed_ = true;
                   },
                   [](const AgentTick &) {},
               },
               input);
    enforceLeases(board_, now, outputs);
    reportDue(board_, now, outputs);
    return outputs;
}

bool Agent::drained() const noexcept
{
    return board_.leaving_ && board_.running_.empty() && board_.members_.empty();
}

}
