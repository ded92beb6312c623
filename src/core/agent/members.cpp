#include "core/agent/members.h"

#include "core/agent/clocks.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr Duration recoveredMemberLease = 10s; // lease of members that the first list of the worker contains

constexpr Duration startListingGrace = 3s; // time after a start in which the worker's list may not contain the member yet

bool holdsResources(const LocalMember &member)
{
    return member.phase_ == MemberPhase::Prepared || member.phase_ == MemberPhase::Running;
}

Resources freeResources(const AgentState &state)
{
    Resources available = state.identity_.capacity_;
    for (const auto &[job, member] : state.members_) {
        if (holdsResources(member)) {
            available -= member.taskDemand_ * member.tasks_;
        }
    }
    return available;
}

/// Reserves resources for waiting members that now fit.
void prepareWaitingMembers(AgentState &state)
{
    Resources available = freeResources(state);
    for (auto &[job, member] : state.members_) {
        const Resources demand = member.taskDemand_ * member.tasks_;
        if (member.phase_ == MemberPhase::Waiting && available.covers(demand)) {
            member.phase_ = MemberPhase::Prepared;
            available -= demand;
            state.hasUnreportedChange_ = true;
        }
    }
}

void stop(AgentState &state, std::map<JobId, LocalMember>::iterator found, AgentOutputs &outputs)
{
    LocalMember &member = found->second;
    if (member.phase_ != MemberPhase::Running) {
        state.members_.erase(found);
        state.hasUnreportedChange_ = true;
        return;
    }
    if (!member.stopping_) {
        member.stopping_ = true;
        outputs.emplace_back(StopTasks{found->first, member.generation_});
    }
}

bool isListed(const WorkerTasksListed &listed, const JobId &job, std::uint32_t generation)
{
    return std::any_of(listed.tasks_.begin(), listed.tasks_.end(), [&](const ListedTasks &tasks) {
        return tasks.member_.job_ == job && tasks.member_.generation_ == generation;
    });
}

/// Applies one item of the worker's list.
void applyListed(AgentState &state, const ListedTasks &tasks, Instant now, AgentOutputs &outputs)
{
    const MemberReport &member = tasks.member_;
    const auto found = state.members_.find(member.job_);
    const bool known = found != state.members_.end() && found->second.generation_ == member.generation_;
    if (known && found->second.phase_ == MemberPhase::Running) {
        if (member.phase_ != MemberPhase::Running) {
            const MemberEventKind kind = member.phase_ == MemberPhase::Finished ? MemberEventKind::Finished
                : member.phase_ == MemberPhase::Failed                          ? MemberEventKind::Failed
                                                                                : MemberEventKind::Stopped;
            handleMemberEvent(state, {member.job_, member.generation_, kind});
        }
        return;
    }
    if (known || member.phase_ == MemberPhase::Absent) {
        return;
    }
    if (!state.recovered_) {
        state.members_[member.job_] = {member.generation_, member.tasks_, tasks.taskDemand_, member.phase_, now + recoveredMemberLease, now, false};
        state.hasUnreportedChange_ = true;
    } else if (member.phase_ == MemberPhase::Running) {
        outputs.emplace_back(StopTasks{member.job_, member.generation_});
    }
}

/// Applies one directive, with its lease converted to the agent's clock.
class DirectiveApplier
{
public:
    DirectiveApplier(AgentState &state, const Directive &directive, Instant now, Instant entryNow, AgentOutputs &outputs)
        : state_(state)
        , directive_(directive)
        , now_(now)
        , entryNow_(entryNow)
        , leaseExpiresAt_(now + (directive.sentAt_ + directive.lease_ - entryNow))
        , outputs_(outputs)
    {
    }

    void run()
    {
        if (state_.limits_.checkAges_ && leaseExpiresAt_ <= now_ + state_.limits_.stopGrace_) {
            refuse(JobId(), OrderRefusal::Stale);
            return;
        }
        if (directive_.digestConfirmed_) {
            renewAllMembers();
            return;
        }
        for (const MemberOrder &order : directive_.orders_) {
            applyOrder(order);
        }
        prepareWaitingMembers(state_);
    }

private:
    void renewAllMembers()
    {
        if (directive_.digest_ != membersDigest(memberReports(state_))) {
            return;
        }
        for (auto &[job, member] : state_.members_) {
            renew(job, member);
        }
    }

    void applyOrder(const MemberOrder &order)
    {
        const auto found = state_.members_.find(order.job_);
        const bool sameGeneration = found != state_.members_.end() && found->second.generation_ == order.generation_;
        switch (order.action_) {
        case MemberAction::Stop:
            if (found != state_.members_.end() && found->second.generation_ <= order.generation_) {
                stop(state_, found, outputs_);
            }
            return;
        case MemberAction::Prepare:
            if (sameGeneration) {
                renew(order.job_, found->second);
            } else if (found == state_.members_.end()) {
                addMember(order);
            } else if (found->second.generation_ < order.generation_) {
                stop(state_, found, outputs_); // a later directive prepares the new generation
            }
            return;
        case MemberAction::Run:
            if (sameGeneration) {
                start(order, found->second);
            }
            return;
        }
    }

    void addMember(const MemberOrder &order)
    {
        if (state_.leaving_) {
            return;
        }
        state_.members_[order.job_] = {order.generation_, order.tasks_, order.each_, MemberPhase::Waiting, leaseExpiresAt_, Instant(), false};
        state_.hasUnreportedChange_ = true;
    }

    void start(const MemberOrder &order, LocalMember &member)
    {
        if (member.phase_ == MemberPhase::Prepared) {
            if (!isPermitted()) {
                refuse(order.job_, OrderRefusal::NotPermitted);
                return;
            }
            member.phase_ = MemberPhase::Running;
            member.leaseExpiresAt_ = leaseExpiresAt_;
            member.startedAt_ = now_;
            state_.hasUnreportedChange_ = true;
            outputs_.emplace_back(
                StartTasks{order.job_, member.generation_, member.tasks_, member.taskDemand_, order.payload_, leaseExpiresAt_ - now_, startDeadline()});
            return;
        }
        renew(order.job_, member);
    }

    bool isPermitted() const
    {
        const Permit &permit = directive_.permit_;
        if (!state_.limits_.checkPermits_) {
            return true;
        }
        return permit.inService_ && permit.revision_ >= state_.revision_ && entryNow_ - permit.readStartedAt_ <= state_.limits_.maxPermitAge_;
    }

    /// Returns when the permission to start ends, with the lease or with the permit, whichever is earlier.
    Instant startDeadline() const
    {
        if (!state_.limits_.checkPermits_) {
            return Instant::max();
        }
        const Instant permitEnds = now_ + state_.limits_.maxPermitAge_ - (entryNow_ - directive_.permit_.readStartedAt_);
        return std::min(leaseExpiresAt_, permitEnds);
    }

    void renew(const JobId &job, LocalMember &member)
    {
        member.leaseExpiresAt_ = std::max(member.leaseExpiresAt_, leaseExpiresAt_);
        if (member.phase_ == MemberPhase::Running && !member.stopping_) {
            outputs_.emplace_back(RenewTasks{job, member.generation_, member.leaseExpiresAt_ - now_});
        }
    }

    void refuse(const JobId &job, OrderRefusal reason)
    {
        outputs_.emplace_back(OrderRefused{job, reason});
    }

    AgentState &state_;
    const Directive &directive_;
    Instant now_;
    Instant entryNow_;
    Instant leaseExpiresAt_;
    AgentOutputs &outputs_;
};

}

const char *toString(OrderRefusal reason) noexcept
{
    constexpr const char *names[] = {"stale", "not_permitted", "old_epoch", "old_revision"};
    return names[static_cast<std::size_t>(reason)];
}

void applyDirective(AgentState &state, const Directive &directive, Instant now, AgentOutputs &outputs)
{
    const auto entryNow = latestEntryTime(state, directive.entry_, directive.incarnation_, now);
    if (!entryNow || directive.epoch_ == 0) {
        return;
    }
    if (directive.epoch_ < state.epoch_) {
        outputs.emplace_back(OrderRefused{JobId(), OrderRefusal::OldEpoch});
        return;
    }
    if (directive.epoch_ > state.epoch_) {
        state.epoch_ = directive.epoch_;
        state.hasUnreportedChange_ = true;
    }
    if (directive.permit_.revision_ < state.revision_) {
        outputs.emplace_back(OrderRefused{JobId(), OrderRefusal::OldRevision});
        return;
    }
    state.revision_ = directive.permit_.revision_;
    DirectiveApplier(state, directive, now, *entryNow, outputs).run();
}

void handleMemberEvent(AgentState &state, const MemberEvent &event)
{
    const auto found = state.members_.find(event.job_);
    if (found == state.members_.end() || found->second.generation_ != event.generation_) {
        return;
    }
    state.hasUnreportedChange_ = true;
    if (event.kind_ == MemberEventKind::Stopped || found->second.stopping_) {
        state.members_.erase(found);
    } else {
        found->second.phase_ = event.kind_ == MemberEventKind::Finished ? MemberPhase::Finished : MemberPhase::Failed;
    }
    prepareWaitingMembers(state);
}

void reconcile(AgentState &state, const WorkerTasksListed &listed, Instant now, AgentOutputs &outputs)
{
    for (const ListedTasks &tasks : listed.tasks_) {
        applyListed(state, tasks, now, outputs);
    }
    state.recovered_ = true;
    std::vector<MemberEvent> missing;
    for (const auto &[job, member] : state.members_) {
        if (member.phase_ == MemberPhase::Running && now - member.startedAt_ > startListingGrace && !isListed(listed, job, member.generation_)) {
            missing.push_back({job, member.generation_, MemberEventKind::Stopped});
        }
    }
    for (const MemberEvent &event : missing) {
        handleMemberEvent(state, event);
    }
}

void enforceLeases(AgentState &state, Instant now, AgentOutputs &outputs)
{
    for (auto next = state.members_.begin(); next != state.members_.end();) {
        const auto member = next++;
        const bool running = member->second.phase_ == MemberPhase::Running;
        if (now >= member->second.leaseExpiresAt_ - (running ? state.limits_.stopGrace_ : Duration::zero())) {
            stop(state, member, outputs);
        }
    }
    prepareWaitingMembers(state);
}

std::vector<MemberReport> memberReports(const AgentState &state)
{
    std::vector<MemberReport> reports;
    for (const auto &[job, member] : state.members_) {
        reports.push_back({job, member.generation_, member.tasks_, member.phase_});
    }
    return reports;
}

}
