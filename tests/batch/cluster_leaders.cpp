#include "batch/cluster_impl.h"

namespace bergamotwick::test {

void Cluster::Impl::electLeader()
{
    if (faults_->storeDownUntil_ > now_) {
        schedule(faults_->storeDownUntil_ + randomDelay(10, 100), [this] { electLeader(); });
        return;
    }
    leaderRevision_ = ++revision_;
    LeaderInstance leader;
    batch::LeaderLimits limits;
    limits.stopLimit_ = stopDuration;
    leader.epoch_ = leaderRevision_;
    leader.leader_ = std::make_unique<batch::Leader>(limits, leader.epoch_, now_);
    leader.electedAt_ = now_;
    leaders_.push_back(std::move(leader));
    const std::size_t index = leaders_.size() - 1;
    std::vector<batch::LeaderInput> inputs{batch::ConfigChanged{config_}, batch::EvacuationsChanged{evacuated_}};
    for (const batch::Submission &job : jobs_) {
        inputs.emplace_back(batch::JobStored{job});
    }
    for (const auto &[id, record] : records_) {
        inputs.emplace_back(batch::ProgressStored{record.progress_, record.revision_});
    }
    for (const auto &[id, history] : *knowsCrashHistories_ ? crashHistories_ : std::map<JobId, batch::CrashHistory>()) {
        inputs.emplace_back(batch::CrashHistoryStored{history});
    }
    batch::StartRecordsStored starts;
    for (const auto &[id, record] : *knowsStartRecords_ ? startRecords_ : std::map<JobId, batch::StartRecord>()) {
        starts.records_.push_back({record, now_ - leaderGoneAt_}); // the next leader has seen the key go
    }
    inputs.emplace_back(std::move(starts));
    inputs.emplace_back(batch::FleetProfileStored{profile_});
    for (const JobId &job : cancels_) {
        inputs.emplace_back(batch::CancelStored{job});
    }
    stepLeader(index, std::move(inputs));
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        schedule(now_ + randomDelay(50, 300), [this, host, index] { connectAgent(host, index); });
    }
}

void Cluster::Impl::connectAgent(std::size_t host, std::size_t leaderIndex)
{
    if (hosts_[host].agentDisconnectedUntil_ > now_) {
        schedule(hosts_[host].agentDisconnectedUntil_ + randomDelay(50, 300), [this, host, leaderIndex] { connectAgent(host, leaderIndex); });
        return;
    }
    if (leaderIndex + 1 == leaders_.size()) {
        hosts_[host].leaderIndex_ = leaderIndex;
        hosts_[host].connected_ = true;
        stepAgent(host, {batch::LeaderConnected{}});
    }
}

void Cluster::Impl::stepLeader(std::size_t index, std::vector<batch::LeaderInput> inputs)
{
    LeaderInstance &leader = leaders_[index];
    if (leader.stopped_ || leader.frozenUntil_ > now_) {
        return;
    }
    for (batch::LeaderOutput &output : leader.leader_->step(now_, calendar(), std::move(inputs))) {
        if (auto *commit = std::get_if<batch::Commit>(&output)) {
            write(index, std::move(*commit));
        } else if (const auto *directive = std::get_if<batch::SendDirective>(&output)) {
            sendDirective(*directive);
        } else if (auto *profile = std::get_if<batch::StoreProfile>(&output)) {
            if (leader.epoch_ == leaderRevision_ && faults_->storeDownUntil_ <= now_) {
                profile_ = std::move(profile->profile_);
            }
        } else if (const auto *logEvent = std::get_if<batch::LogEvent>(&output)) {
            trace("leader-" + std::to_string(leader.epoch_), logEvent->event_, logEvent->fields_);
            noteSettlement(*logEvent);
            continue;
        }
        if (leaderCrash_ && index + 1 == leaders_.size() && --leaderCrash_->outputs_ == 0) {
            trace("leader-" + std::to_string(leader.epoch_), "crashed", {});
            replaceLeader(leaderCrash_->gap_, false);
            leaderCrash_.reset();
            return;
        }
    }
}

void Cluster::Impl::noteSettlement(const batch::LogEvent &event)
{
    if (event.event_ != "run-settled") {
        return;
    }
    const std::map<std::string, std::string> fields(event.fields_.begin(), event.fields_.end());
    const std::string &run = fields.at("run");
    settlements_[run.substr(0, run.find('/'))] = fields.at("reason");
}

void Cluster::Impl::tickLeaders()
{
    for (std::size_t index = 0; index < leaders_.size(); ++index) {
        stepLeader(index, {});
    }
}

void Cluster::Impl::renewLeaderLease()
{
    const bool current = !leaders_.empty() && leaders_.back().epoch_ == leaderRevision_;
    if (current && faults_->storeDownUntil_ <= now_ && leaders_.back().frozenUntil_ <= now_) {
        stepLeader(leaders_.size() - 1, {batch::LeaderLeaseRenewed{now_}});
    }
}

void Cluster::Impl::replaceLeader(Duration gap, bool resumes)
{
    LeaderInstance &previous = leaders_.back();
    previous.stopped_ = !resumes;
    previous.frozenUntil_ = now_ + gap + 500ms;
    leaderRevision_ = 0;
    leaderGoneAt_ = now_;
    ++revision_;
    schedule(now_ + gap, [this] { electLeader(); });
}

void Cluster::Impl::disturbStore(Duration length, bool leaseLapses)
{
    faults_->storeDownUntil_ = std::max(faults_->storeDownUntil_, now_ + length);
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        disturb(host, length);
    }
    if (!leaseLapses) {
        return;
    }
    schedule(faults_->storeDownUntil_, [this] {
        leaderRevision_ = 0;
        leaderGoneAt_ = now_;
        ++revision_;
        schedule(now_ + randomDelay(10, 400), [this] { electLeader(); });
    });
}

void Cluster::Impl::write(std::size_t leaderIndex, batch::Commit commit)
{
    if (faults_->storeDownUntil_ > now_) {
        replyToLeader(leaderIndex, batch::CommitFailed{commit.commit_, {}}, storeLatency);
    } else if (chance(faults_->delayedWriteRate_)) {
        schedule(now_ + randomDelay(1'000, 3'000), [this, leaderIndex, commit] { (void)applyCommit(leaderIndex, commit); });
        replyToLeader(leaderIndex, batch::CommitFailed{commit.commit_, {}}, milliseconds(1'500));
    } else {
        batch::LeaderInput reply = applyCommit(leaderIndex, commit);
        const bool lost = chance(faults_->lostReplyRate_);
        replyToLeader(
            leaderIndex, lost ? batch::LeaderInput(batch::CommitFailed{commit.commit_, {}}) : std::move(reply), lost ? milliseconds(1'500) : storeLatency);
    }
}

void Cluster::Impl::replyToLeader(std::size_t leaderIndex, batch::LeaderInput reply, milliseconds delay)
{
    schedule(now_ + delay, [this, leaderIndex, reply = std::move(reply)]() mutable {
        std::vector<batch::LeaderInput> inputs;
        inputs.push_back(std::move(reply));
        stepLeader(leaderIndex, std::move(inputs));
    });
}

batch::LeaderInput Cluster::Impl::applyCommit(std::size_t leaderIndex, const batch::Commit &commit)
{
    bool conditionsHold = leaders_[leaderIndex].epoch_ == leaderRevision_ || disabledProtections_.commitConditions_;
    for (const batch::ProgressWrite &write : commit.writes_) {
        const auto found = records_.find(write.job_);
        const std::int64_t revision = found == records_.end() ? 0 : found->second.revision_;
        conditionsHold = conditionsHold && (revision == write.expected_ || disabledProtections_.commitConditions_);
    }
    if (!conditionsHold) {
        batch::CommitFailed failed{commit.commit_, {}};
        for (const batch::ProgressWrite &write : commit.writes_) {
            const auto found = records_.find(write.job_);
            failed.foundRevisions_.emplace_back(write.job_, found == records_.end() ? 0 : found->second.revision_);
        }
        return failed;
    }
    ++revision_;
    for (const batch::ProgressWrite &write : commit.writes_) {
        records_[write.job_] = {write.progress_, revision_};
        if (write.crashes_ && *knowsCrashHistories_) {
            crashHistories_[write.job_] = *write.crashes_;
        }
        if (write.starts_ && *knowsStartRecords_) {
            startRecords_[write.job_] = *write.starts_;
        }
        judge_.stored(write.progress_);
    }
    return batch::CommitDone{commit.commit_, revision_};
}

}
