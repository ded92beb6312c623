#include "model/world.h"

#include "model/world_times.h"

namespace bergamotwick::model {

using batch::milliseconds;

namespace {

constexpr milliseconds electionDelay{300};
constexpr milliseconds freezeLength{4'000};
constexpr milliseconds shortFreezeLength{1'000};
constexpr milliseconds storeOutage{3'000};
constexpr milliseconds longStoreOutage{8'000};
constexpr milliseconds lateWriteDelay{2'000};

/// Time after which the key of a leader that no longer renews its lease is gone: the lease and some slack.
constexpr milliseconds leaseLapse{1'700};

/// How long a delayed directive is on its way; less than the age at which an agent ignores start orders.
constexpr milliseconds directiveDelay{1'500};

constexpr milliseconds connectDelay{100};

bool hasOrders(const batch::LeaderOutput &output)
{
    const auto *directive = std::get_if<batch::SendDirective>(&output);
    return directive != nullptr && (!directive->directive_.starts_.empty() || !directive->directive_.stops_.empty());
}

}

void World::electLeader()
{
    if (now_ < storeDownUntil_) {
        schedule(storeDownUntil_ + storeLatency, [this] { electLeader(); });
        return;
    }
    electing_ = false;
    leaderKey_ = ++revision_;
    batch::LeaderLimits limits;
    limits.stopLimit_ = stopDuration;
    LeaderInstance leader;
    leader.epoch_ = leaderKey_;
    leader.leader_ = std::make_unique<batch::Leader>(limits, leader.epoch_, now_);
    leaders_.push_back(std::move(leader));
    std::vector<batch::LeaderInput> inputs{batch::ConfigChanged{config_}};
    for (const batch::Submission &job : jobs_) {
        inputs.emplace_back(batch::JobStored{job});
    }
    for (const auto &[id, record] : records_) {
        inputs.emplace_back(batch::ProgressStored{record.progress_, record.revision_});
    }
    for (const auto &[id, history] : crashHistories_) {
        inputs.emplace_back(batch::CrashHistoryStored{history});
    }
    batch::StartRecordsStored starts;
    for (const auto &[id, record] : startRecords_) {
        starts.records_.push_back({record, Duration(0)});
    }
    inputs.emplace_back(std::move(starts));
    inputs.emplace_back(batch::FleetProfileStored{profile_});
    for (const JobId &job : cancelled_) {
        inputs.emplace_back(batch::CancelStored{job});
    }
    trace("store: elected leader", leaderKey_);
    stepLeader(leaders_.size() - 1, std::move(inputs));
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        schedule(now_ + connectDelay, [this, host] { connectAgent(host); });
    }
}

void World::connectAgent(std::size_t index)
{
    Host &host = hosts_[index];
    if (now_ < host.cutFromLeadersUntil_ || leaders_.back().dead_) {
        return;
    }
    if (host.leader_ && now_ < host.leaderKeptUntil_) {
        schedule(host.leaderKeptUntil_, [this, index] { connectAgent(index); });
        return;
    }
    host.leader_ = leaders_.size() - 1;
    stepAgent(index, {batch::LeaderConnected{}});
}

void World::removeLeaderKey(Duration untilElection)
{
    leaderKey_ = 0;
    ++revision_;
    if (!electing_) {
        electing_ = true;
        schedule(now_ + untilElection, [this] { electLeader(); });
    }
    expectActivityUntil(now_ + untilElection);
}

void World::killLeader(std::size_t index)
{
    LeaderInstance &leader = leaders_[index];
    if (leader.dead_) {
        return;
    }
    trace("leader", leader.epoch_, "dies");
    leader.dead_ = true;
    for (Host &host : hosts_) {
        if (host.leader_ == index) {
            host.leader_.reset();
        }
    }
    if (leader.epoch_ == leaderKey_) {
        removeLeaderKey(electionDelay);
    }
}

void World::freezeLeader(std::size_t index, Duration length, bool replaced, std::vector<batch::LeaderOutput> held)
{
    LeaderInstance &leader = leaders_[index];
    if (leader.dead_ || leader.frozenUntil_ > now_) {
        return;
    }
    trace("leader", leader.epoch_, "freezes");
    leader.frozenUntil_ = now_ + length;
    leader.heldOutputs_ = std::move(held);
    schedule(leader.frozenUntil_, [this, index] { resumeLeader(index); });
    if (replaced && leader.epoch_ == leaderKey_) {
        expireLeaderKey(leader.epoch_);
    }
    expectActivityUntil(leader.frozenUntil_ + 500ms);
}

/// Removes the leader's key once its lease has lapsed.
void World::expireLeaderKey(std::int64_t epoch)
{
    schedule(now_ + leaseLapse, [this, epoch] {
        if (leaderKey_ == epoch) {
            removeLeaderKey(storeLatency);
        }
    });
}

void World::cutLeaderFromStore(std::size_t index)
{
    LeaderInstance &leader = leaders_[index];
    trace("leader", leader.epoch_, "cut from store");
    leader.cutFromStoreUntil_ = now_ + longStoreOutage;
    expectActivityUntil(leader.cutFromStoreUntil_);
    if (leader.epoch_ == leaderKey_) {
        expireLeaderKey(leader.epoch_);
    }
}

void World::resumeLeader(std::size_t index)
{
    trace("leader", leaders_[index].epoch_, "resumes");
    handleOutputs(index, std::exchange(leaders_[index].heldOutputs_, {}));
    stepLeader(index, std::exchange(leaders_[index].heldInputs_, {}));
}

void World::stopStore(Duration length, bool leaseLapses)
{
    trace("store down");
    storeDownUntil_ = now_ + length;
    expectActivityUntil(storeDownUntil_ + 500ms);
    if (leaseLapses) {
        schedule(storeDownUntil_, [this] { removeLeaderKey(storeLatency); });
    }
}

void World::applyLeaderFault(LeaderFault fault)
{
    const std::size_t index = leaders_.size() - 1;
    switch (fault) {
    case LeaderFault::None:
        return;
    case LeaderFault::Dies:
        return killLeader(index);
    case LeaderFault::Freezes:
        return freezeLeader(index, freezeLength, true, {});
    case LeaderFault::FreezesShortly:
        return freezeLeader(index, shortFreezeLength, false, {});
    case LeaderFault::CutFromStore:
        return cutLeaderFromStore(index);
    case LeaderFault::StoreDown:
        return stopStore(storeOutage, false);
    case LeaderFault::StoreDownLong:
        return stopStore(longStoreOutage, false);
    case LeaderFault::StoreDownLeaseLapses:
        return stopStore(storeOutage, true);
    }
}

void World::renewLeaderLeases()
{
    for (std::size_t index = 0; index < leaders_.size(); ++index) {
        const bool holdsKey = leaders_[index].epoch_ == leaderKey_ && now_ >= std::max(storeDownUntil_, leaders_[index].cutFromStoreUntil_);
        if ((holdsKey || disabled_.leaderLease_) && now_ >= leaders_[index].frozenUntil_) {
            replyToLeader(index, batch::LeaderLeaseRenewed{now_}, storeLatency);
        }
    }
}

void World::stepLeader(std::size_t index, std::vector<batch::LeaderInput> inputs)
{
    LeaderInstance &leader = leaders_[index];
    if (leader.dead_) {
        return;
    }
    if (now_ < leader.frozenUntil_) {
        std::move(inputs.begin(), inputs.end(), std::back_inserter(leader.heldInputs_));
        return;
    }
    const batch::CalendarTime calendar(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
    handleOutputs(index, leader.leader_->step(now_, calendar, std::move(inputs)));
}

void World::handleOutputs(std::size_t index, std::vector<batch::LeaderOutput> outputs)
{
    for (const batch::LeaderOutput &output : traced_ ? outputs : std::vector<batch::LeaderOutput>()) {
        if (const auto *event = std::get_if<batch::LogEvent>(&output)) {
            traceLog("leader-" + std::to_string(leaders_[index].epoch_), *event);
        }
    }
    for (std::size_t position = 0; position < outputs.size(); ++position) {
        const bool isCommit = std::holds_alternative<batch::Commit>(outputs[position]);
        const bool isDirective = std::holds_alternative<batch::SendDirective>(outputs[position]);
        if (auto *profile = std::get_if<batch::StoreProfile>(&outputs[position])) {
            storeProfile(index, std::move(profile->profile_));
        }
        if ((isCommit && !sendCommit(index, outputs, position)) || (isDirective && !sendDirective(index, outputs, position))) {
            return;
        }
    }
}

void World::storeProfile(std::size_t index, batch::FleetProfile profile)
{
    if (leaders_[index].epoch_ == leaderKey_ && now_ >= std::max(storeDownUntil_, leaders_[index].cutFromStoreUntil_)) {
        profile_ = std::move(profile);
    }
}

/// Returns whether the leader goes on with its outputs.
bool World::sendCommit(std::size_t index, std::vector<batch::LeaderOutput> &outputs, std::size_t position)
{
    const auto fate = choose<CommitFate>([&] { return "commit of leader-" + std::to_string(leaders_[index].epoch_); }, commitFates);
    if (fate == CommitFate::LeaderDiesBefore) {
        killLeader(index);
        return false;
    }
    if (fate == CommitFate::LeaderFreezesBefore) {
        freezeLeader(index, freezeLength, true, {outputs.begin() + static_cast<std::ptrdiff_t>(position), outputs.end()});
        return false;
    }
    write(index, std::get<batch::Commit>(outputs[position]), fate);
    if (fate == CommitFate::LeaderDiesAfter) {
        killLeader(index);
        return false;
    }
    return true;
}

/// Returns whether the leader goes on with its outputs.
bool World::sendDirective(std::size_t index, std::vector<batch::LeaderOutput> &outputs, std::size_t position)
{
    const auto &output = std::get<batch::SendDirective>(outputs[position]);
    auto fate = DirectiveFate::Sent;
    if (hasOrders(outputs[position])) {
        fate = choose<DirectiveFate>([&] { return "orders of leader-" + std::to_string(leaders_[index].epoch_) + " to " + output.agent_; }, directiveFates);
    }
    if (fate == DirectiveFate::LeaderDiesBefore) {
        killLeader(index);
        return false;
    }
    if (fate == DirectiveFate::LeaderFreezesBefore) {
        freezeLeader(index, freezeLength, true, {outputs.begin() + static_cast<std::ptrdiff_t>(position), outputs.end()});
        return false;
    }
    for (Host &host : hosts_) {
        if (host.name_ != output.agent_) {
            continue;
        }
        if (fate == DirectiveFate::Delayed) {
            host.directivesHeldUntil_ = now_ + directiveDelay;
            expectActivityUntil(host.directivesHeldUntil_);
        }
        schedule(std::max(now_ + netLatency, host.directivesHeldUntil_),
                 [this, output, agentLife = host.agentLife_] { deliverDirective(output.agent_, agentLife, output.directive_); });
    }
    return true;
}

void World::write(std::size_t index, const batch::Commit &commit, CommitFate fate)
{
    const batch::LeaderInput unanswered = batch::CommitFailed{commit.commit_, {}};
    if (now_ < std::max(storeDownUntil_, leaders_[index].cutFromStoreUntil_) || fate == CommitFate::NotCarriedOut) {
        replyToLeader(index, unanswered, storeTimeout);
    } else if (fate == CommitFate::Late) {
        ++lateCalls_;
        schedule(now_ + lateWriteDelay, [this, epoch = leaders_[index].epoch_, commit] {
            --lateCalls_;
            (void)applyCommit(epoch, commit);
        });
        replyToLeader(index, unanswered, storeTimeout);
    } else {
        batch::LeaderInput reply = applyCommit(leaders_[index].epoch_, commit);
        const bool lost = fate == CommitFate::AnswerLost;
        replyToLeader(index, lost ? unanswered : std::move(reply), lost ? storeTimeout : storeLatency);
    }
}

void World::replyToLeader(std::size_t index, batch::LeaderInput reply, milliseconds delay)
{
    schedule(now_ + delay, [this, index, reply = std::move(reply)]() mutable {
        std::vector<batch::LeaderInput> inputs;
        inputs.push_back(std::move(reply));
        stepLeader(index, std::move(inputs));
    });
}

batch::LeaderInput World::applyCommit(std::int64_t epoch, const batch::Commit &commit)
{
    bool conditionsHold = epoch == leaderKey_;
    batch::CommitFailed failed{commit.commit_, {}};
    for (const batch::ProgressWrite &write : commit.writes_) {
        const auto found = records_.find(write.job_);
        const std::int64_t revision = found == records_.end() ? 0 : found->second.revision_;
        conditionsHold = conditionsHold && revision == write.expected_;
        failed.foundRevisions_.emplace_back(write.job_, revision);
    }
    if (!conditionsHold && !disabled_.commitConditions_) {
        return failed;
    }
    ++revision_;
    for (const batch::ProgressWrite &write : commit.writes_) {
        records_[write.job_] = {write.progress_, revision_};
        if (write.crashes_) {
            crashHistories_[write.job_] = *write.crashes_;
        }
        if (write.starts_) {
            startRecords_[write.job_] = *write.starts_;
        }
    }
    return batch::CommitDone{commit.commit_, revision_};
}

}
