#include "core/agent/members.h"

#include "core/agent/clocks.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr Duration adoptedLease = 10s;

constexpr Duration startGrace = 3s;

bool usesRoom(const HeldMember &member)
{
    return member.phase_ == MemberPhase::Prepared || member.phase_ == MemberPhase::Running;
}

Resources freeRoom(const AgentBoard &board)
{
    Resources room = board.identity_.capacity_;
    for (const auto &[job, member] : board.members_) {
        if (usesRoom(member)) {
            room -= member.each_ * member.tasks_;
        }
    }
    return room;
}

/// Holds room for members that wait for it.
void prepareWaiting(AgentBoard &board)
{
    Resources room = freeRoom(board);
    for (auto &[job, member] : board.members_) {
        const Resources need = member.each_ * member.tasks_;
        if (member.phase_ == MemberPhase::Waiting && room.covers(need)) {
            member.phase_ = MemberPhase::Prepared;
            room -= need;
            board.changed_ = true;
        }
    }
}

void stop(AgentBoard &board, std::map<JobId, HeldMember>::iterator at, AgentOutputs &outputs)
{
    HeldMember &member = at->second;
    if (member.phase_ != MemberPhase::Running) {
        board.members_.erase(at);
        board.changed_ = true;
        return;
    }
    if (!member.stopping_) {
        member.stopping_ = true;
        outputs.emplace_back(StopTasks{at->first, member.generation_});
    }
}

bool isListed(const WorkerListed &listed, const JobId &job, std::uint32_t generation)
{
    return std::any_of(listed.tasks_.begin(), listed.tasks_.end(), [&](const ListedTasks &tasks) {
        return tasks.member_.job_ == job && tasks.member_.generation_ == generation;
    });
}

/// Takes in one line of the worker's list.
void applyListed(AgentBoard &board, const ListedTasks &tasks, Instant now, AgentOutputs &outputs)
{
    const MemberReport &member = tasks.member_;
    const auto held = board.members_.find(member.job_);
    const bool known = held != board.members_.end() && held->second.generation_ == member.generation_;
    if (known && held->second.phase_ == MemberPhase::Running) {
        if (member.phase_ != MemberPhase::Running) {
            const MemberEventKind kind = member.phase_ == MemberPhase::Finished ? MemberEventKind::Finished
                : member.phase_ == MemberPhase::Failed                          ? MemberEventKind::Failed
                                                                                : MemberEventKind::Stopped;
            memberEnded(board, {member.job_, member.generation_, kind});
        }
        return;
    }
    if (known || member.phase_ == MemberPhase::Absent) {
        return;
    }
    if (!board.adopted_) {
        board.members_[member.job_] = {member.generation_, member.tasks_, tasks.each_, member.phase_, now + adoptedLease, now, false};
        board.changed_ = true;
    } else if (member.phase_ == MemberPhase::Running) {
        outputs.emplace_back(StopTasks{member.job_, member.generation_});
    }
}

/// One directive's view of time and rights.
class Obedience
{
public:
    Obedience(AgentBoard &board, const Directive &directive, Instant now, Instant entryNow, AgentOutputs &outputs)
        : board_(board)
        , directive_(directive)
        , now_(now)
        , entryNow_(entryNow)
        , leaseUntil_(now + (directive.sentAt_ + directive.lease_ - entryNow))
        , outputs_(outputs)
    {
    }

    void run()
    {
        if (board_.limits_.checkAges_ && leaseUntil_ <= now_ + board_.limits_.stopGrace_) {
            refuse(JobId(), RefusedOrder::Stale);
            return;
        }
        if (directive_.digestConfirmed_) {
            affirm();
            return;
        }
        for (const MemberOrder &order : directive_.orders_) {
            follow(order);
        }
        prepareWaiting(board_);
    }

private:
    void affirm()
    {
        if (directive_.digest_ != membersDigest(memberReports(board_))) {
            return;
        }
        for (auto &[job, member] : board_.members_) {
            renew(job, member);
        }
    }

    void follow(const MemberOrder &order)
    {
        const auto held = board_.members_.find(order.job_);
        const bool same = held != board_.members_.end() && held->second.generation_ == order.generation_;
        switch (order.action_) {
        case MemberAction::Stop:
            if (held != board_.members_.end() && held->second.generation_ <= order.generation_) {
                stop(board_, held, outputs_);
            }
            return;
        case MemberAction::Prepare:
            if (same) {
                renew(order.job_, held->second);
            } else if (held == board_.members_.end()) {
                admit(order);
            } else if (held->second.generation_ < order.generation_) {
                stop(board_, held, outputs_); // the next directive prepares the new one
            }
            return;
        case MemberAction::Run:
            if (same) {
                start(order, held->second);
            }
            return;
        }
    }

    void admit(const MemberOrder &order)
    {
        if (board_.leaving_) {
            return;
        }
        board_.members_[order.job_] = {order.generation_, order.tasks_, order.each_, MemberPhase::Waiting, leaseUntil_, Instant(), false};
        board_.changed_ = true;
    }

    void start(const MemberOrder &order, HeldMember &member)
    {
        if (member.phase_ == MemberPhase::Prepared) {
            if (!permitted()) {
                refuse(order.job_, RefusedOrder::NotPermitted);
                return;
            }
            member.phase_ = MemberPhase::Running;
            member.leaseUntil_ = leaseUntil_;
            member.startedAt_ = now_;
            board_.changed_ = true;
            outputs_.emplace_back(StartTasks{order.job_, member.generation_, member.tasks_, member.each_, order.payload_, leaseUntil_ - now_, startBefore()});
            return;
        }
        renew(order.job_, member);
    }

    bool permitted() const
    {
        const Permit &permit = directive_.permit_;
        if (!board_.limits_.checkPermits_) {
            return true;
        }
        return permit.inService_ && permit.revision_ >= board_.revision_ && entryNow_ - permit.readStartedAt_ <= board_.limits_.maxPermitAge_;
    }

    /// Returns when the right to start ends: with the lease or with the permit.
    Instant startBefore() const
    {
        if (!board_.limits_.checkPermits_) {
            return Instant::max();
        }
        const Instant permitEnds = now_ + board_.limits_.maxPermitAge_ - (entryNow_ - directive_.permit_.readStartedAt_);
        return std::min(leaseUntil_, permitEnds);
    }

    void renew(const JobId &job, HeldMember &member)
    {
        member.leaseUntil_ = std::max(member.leaseUntil_, leaseUntil_);
        if (member.phase_ == MemberPhase::Running && !member.stopping_) {
            outputs_.emplace_back(RenewTasks{job, member.generation_, member.leaseUntil_ - now_});
        }
    }

    void refuse(const JobId &job, RefusedOrder reason)
    {
        outputs_.emplace_back(OrderRefused{job, reason});
    }

    AgentBoard &board_;
    const Directive &directive_;
    Instant now_;
    Instant entryNow_;
    Instant leaseUntil_;
    AgentOutputs &outputs_;
};

}

const char *toString(RefusedOrder reason) noexcept
{
    constexpr const char *words[] = {"stale", "not_permitted", "old_epoch", "old_revision"};
    return words[static_cast<std::size_t>(reason)];
}

void obey(AgentBoard &board, const Directive &directive, Instant now, AgentOutputs &outputs)
{
    const auto entryNow = entryTimeAtMost(board, directive.entry_, directive.incarnation_, now);
    if (!entryNow || directive.epoch_ == 0) {
        return;
    }
    if (directive.epoch_ < board.epoch_) {
        outputs.emplace_back(OrderRefused{JobId(), RefusedOrder::OldEpoch});
        return;
    }
    if (directive.epoch_ > board.epoch_) {
        board.epoch_ = directive.epoch_;
        board.changed_ = true;
    }
    if (directive.permit_.revision_ < board.revision_) {
        outputs.emplace_back(OrderRefused{JobId(), RefusedOrder::OldRevision});
        return;
    }
    board.revision_ = directive.permit_.revision_;
    Obedience(board, directive, now, *entryNow, outputs).run();
}

void memberEnded(AgentBoard &board, const MemberEvent &event)
{
    const auto held = board.members_.find(event.job_);
    if (held == board.members_.end() || held->second.generation_ != event.generation_) {
        return;
    }
    board.changed_ = true;
    if (event.kind_ == MemberEventKind::Stopped || held->second.stopping_) {
        board.members_.erase(held);
    } else {
        held->second.phase_ = event.kind_ == MemberEventKind::Finished ? MemberPhase::Finished : MemberPhase::Failed;
    }
    prepareWaiting(board);
}

void reconcile(AgentBoard &board, const WorkerListed &listed, Instant now, AgentOutputs &outputs)
{
    for (const ListedTasks &tasks : listed.tasks_) {
        applyListed(board, tasks, now, outputs);
    }
    board.adopted_ = true;
    std::vector<MemberEvent> lost;
    for (const auto &[job, member] : board.members_) {
        if (member.phase_ == MemberPhase::Running && now - member.startedAt_ > startGrace && !isListed(listed, job, member.generation_)) {
            lost.push_back({job, member.generation_, MemberEventKind::Stopped});
        }
    }
    for (const MemberEvent &event : lost) {
        memberEnded(board, event);
    }
}

void enforceLeases(AgentBoard &board, Instant now, AgentOutputs &outputs)
{
    for (auto at = board.members_.begin(); at != board.members_.end();) {
        const auto member = at++;
        const bool running = member->second.phase_ == MemberPhase::Running;
        if (now >= member->second.leaseUntil_ - (running ? board.limits_.stopGrace_ : Duration::zero())) {
            stop(board, member, outputs);
        }
    }
    prepareWaiting(board);
}

std::vector<MemberReport> memberReports(const AgentBoard &board)
{
    std::vector<MemberReport> reports;
    for (const auto &[job, member] : board.members_) {
        reports.push_back({job, member.generation_, member.tasks_, member.phase_});
    }
    return reports;
}

}
