#include "core/scheduling/contacts.h"

#include "core/scheduling/ledger.h"

#include <algorithm>

namespace bergamotwick {

namespace {

MemberPhase phaseOf(const std::vector<MemberReport> &reported, const JobEntry &job)
{
    const auto same = [&job](const MemberReport &report) { return report.job_ == job.record_.spec_.id_ && report.generation_ == job.record_.generation_; };
    const auto found = std::find_if(reported.begin(), reported.end(), same);
    return found == reported.end() ? MemberPhase::Absent : found->phase_;
}

void applyPhases(SchedulerBoard &board, WorkerIndex worker)
{
    Contact &contact = board.contacts_[worker];
    for (const JobId &id : contact.residents_) {
        JobEntry &job = board.jobs_.at(id);
        const MemberPhase phase = phaseOf(contact.reported_, job);
        for (MemberState &member : job.members_) {
            if (member.worker_ == worker && member.phase_ != phase) {
                member.phase_ = phase;
                board.attention_.insert(id);
            }
        }
        if (job.record_.state_ == JobState::Stopping) {
            board.attention_.insert(id);
        }
    }
}

void setAlive(SchedulerBoard &board, WorkerIndex worker, bool alive)
{
    if (board.fleet_.worker(worker).alive_ == alive) {
        return;
    }
    board.fleet_.setAlive(worker, alive);
    const std::set<JobId> &residents = board.contacts_[worker].residents_;
    board.attention_.insert(residents.begin(), residents.end());
    board.placeAgain_ = true;
}

MemberAction actionFor(const JobEntry &job)
{
    switch (job.record_.state_) {
    case JobState::Placed:
        return MemberAction::Prepare;
    case JobState::Running:
        return MemberAction::Run;
    default:
        return MemberAction::Stop;
    }
}

bool asWanted(MemberAction action, MemberPhase phase)
{
    switch (action) {
    case MemberAction::Prepare:
        return phase == MemberPhase::Prepared;
    case MemberAction::Run:
        return phase == MemberPhase::Running || phase == MemberPhase::Finished;
    case MemberAction::Stop:
        break;
    }
    return phase == MemberPhase::Absent;
}

bool resides(const SchedulerBoard &board, const Contact &contact, const MemberReport &report)
{
    return contact.residents_.contains(report.job_) && board.jobs_.at(report.job_).record_.generation_ == report.generation_;
}

/// Writes the orders; returns whether the worker already is as wanted.
bool writeOrders(const SchedulerBoard &board, WorkerIndex worker, std::vector<MemberOrder> &orders)
{
    const Contact &contact = board.contacts_[worker];
    bool wanted = true;
    for (const JobId &id : contact.residents_) {
        const JobEntry &job = board.jobs_.at(id);
        if (job.record_.state_ == JobState::Placed && !job.durable()) {
            continue;
        }
        for (const MemberState &member : job.members_) {
            if (member.worker_ == worker) {
                const MemberAction action = actionFor(job);
                wanted = wanted && asWanted(action, member.phase_);
                const bool starts = action == MemberAction::Run && member.phase_ != MemberPhase::Running;
                orders.push_back(
                    {id, job.record_.generation_, member.tasks_, job.record_.spec_.each_, action, starts ? job.record_.spec_.payload_ : std::string()});
            }
        }
    }
    for (const MemberReport &report : contact.reported_) {
        if (!resides(board, contact, report)) {
            wanted = false;
            orders.push_back({report.job_, report.generation_, report.tasks_, Resources(), MemberAction::Stop, {}});
        }
    }
    return wanted;
}

}

WorkerIndex applyReport(SchedulerBoard &board, const AgentReport &report, Instant now)
{
    const WorkerIndex worker = board.fleet_.upsert(WorkerId(report.name_), report.dataCentre_, report.rack_, report.capacity_);
    Contact &contact = contactOf(board, worker);
    const bool restarted = contact.incarnation_ != report.incarnation_;
    if (!restarted && report.sequence_ <= contact.sequence_) {
        return worker;
    }
    contact.incarnation_ = report.incarnation_;
    contact.sequence_ = report.sequence_;
    contact.heardAt_ = now;
    const bool obeys = report.epoch_ == board.epoch_ && board.stage_ == OwnerStage::Active;
    if (obeys && !contact.obeys_) {
        contact.leaseUntil_ = now + leaseLength(board); // from here on only this owner renews
    }
    contact.obeys_ = obeys;
    const bool complete = report.membersIncluded_ || report.digest_ == membersDigest({});
    contact.stale_ = !complete && (restarted || report.digest_ != contact.digest_);
    if (complete) {
        contact.reported_ = report.members_;
        contact.digest_ = report.digest_;
        applyPhases(board, worker);
    }
    setAlive(board, worker, !report.leaving_);
    return worker;
}

void noticeSilence(SchedulerBoard &board, Instant now)
{
    const Duration silence = reportPeriod(board) * board.limits_.missedReports_ + board.limits_.minPeriod_ / 2;
    for (WorkerIndex worker = 0; worker < board.contacts_.size(); ++worker) {
        if (now - board.contacts_[worker].heardAt_ > silence) {
            setAlive(board, worker, false);
        }
    }
}

Directive directiveFor(SchedulerBoard &board, WorkerIndex worker, Instant now)
{
    const Worker &record = board.fleet_.worker(worker);
    Contact &contact = contactOf(board, worker);
    Directive directive;
    directive.agent_ = record.id_.str();
    directive.agentIncarnation_ = contact.incarnation_;
    directive.sentAt_ = now;
    directive.lease_ = leaseLength(board);
    directive.period_ = reportPeriod(board);
    const DataCentreId &dataCentre = board.fleet_.dataCentreId(record.dataCentre_);
    directive.permit_ = {board.control_.revision_, !board.control_.out_.contains(dataCentre), board.control_.readBegan_};
    if (board.stage_ != OwnerStage::Active || !mayRenew(board, now)) {
        return directive;
    }
    directive.epoch_ = board.epoch_;
    directive.digest_ = contact.digest_;
    directive.membersRequested_ = contact.stale_;
    directive.digestConfirmed_ = writeOrders(board, worker, directive.orders_) && !contact.stale_;
    if (directive.digestConfirmed_) {
        directive.orders_.clear();
    }
    if (contact.obeys_) {
        contact.leaseUntil_ = std::max(contact.leaseUntil_, now + directive.lease_);
    }
    return directive;
}

Duration reportPeriod(const SchedulerBoard &board)
{
    const auto workers = static_cast<std::int64_t>(board.fleet_.workers().size());
    const std::int64_t budgeted = workers * board.limits_.bytesPerReport_ * std::micro::den / board.limits_.bytesPerSecond_;
    return std::max(board.limits_.minPeriod_, Duration(budgeted));
}

Duration leaseLength(const SchedulerBoard &board)
{
    return std::max(board.limits_.minLease_, reportPeriod(board) * (board.limits_.missedReports_ + 1));
}

bool mayRenew(const SchedulerBoard &board, Instant now)
{
    return now - board.control_.readBegan_ <= board.limits_.blindRenewal_;
}

}
