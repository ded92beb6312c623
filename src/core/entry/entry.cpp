#include "core/entry/entry.h"

#include "core/overloaded.h"
#include "core/scheduling/queue.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr Duration releaseTimeout = 60s;

}

const char *toString(JobRefusal refusal) noexcept
{
    constexpr const char *words[] = {"none", "unknown_workspace", "never_fits", "over_quota", "id_in_use", "not_found", "store_unavailable", "stopping"};
    return words[static_cast<std::size_t>(refusal)];
}

const char *toString(ControlRefusal refusal) noexcept
{
    constexpr const char *words[] = {"none", "conflict", "unknown_datacentre", "bad_settings", "store_unavailable"};
    return words[static_cast<std::size_t>(refusal)];
}

Entry::Entry(const EntryLimits &limits, const EntryIdentity &identity, std::uint64_t incarnation)
    : limits_(limits)
    , identity_(identity)
    , incarnation_(incarnation)
    , router_(limits.router_, identity.id_, incarnation)
    , scheduler_(limits.scheduler_, limits.policy_, limits.jobShards_)
    , claims_(ids_, limits.claimShards_)
    , control_(ids_, controlKey())
    , submissions_(ids_, identity.region_, limits.jobShards_)
    , membership_(ids_, identity.id_, identity.region_, identity.address_)
{
}

bool Entry::ready() const noexcept
{
    return controlRead_ && !stopping_;
}

bool Entry::drained() const noexcept
{
    return stopping_ && router_.state().pending_.empty() && membership_.left();
}

EntryOutputs Entry::step(Instant now, WallTime wall, const EntryInput &input)
{
    now_ = now;
    wall_ = wall;
    take(input);
    return std::exchange(outputs_, {});
}

void Entry::take(const EntryInput &input)
{
    std::visit(Overloaded{
                   [&](const RouterInput &routed) { runRouter(routed); },
                   [&](const AgentReported &reported) { takeReport(reported.report_); },
                   [&](const StoreReply &reply) { takeReply(reply); },
                   [&](const SubmitJob &submission) { submit(submission); },
                   [&](const CancelJob &cancel) {
                       SubmissionBook::Commit::Outputs outputs;
                       submissions_.edit({cancel.job_, {}, wall_, true, cancel.token_, now_ + limits_.editTimeout_}, now_, outputs);
                       finishSubmissions(std::move(outputs));
                   },
                   [&](const ChangeControl &change) { changeControl(change); },
                   [&](const StopEntry &) {
                       stopping_ = true;
                       runRouter(RouterStopping{});
                       runScheduler(Relinquish{});
                   },
                   [&](const EntryTick &) { tick(); },
               },
               input);
}

// Agents

void Entry::takeReport(const AgentReport &report)
{
    revisionFloor_ = std::max(revisionFloor_, report.revision_);
    Directive directive;
    if (report.kind_ == AgentKind::Executor) {
        runRouter(ExecutorReported{report});
    } else if (report.region_ == identity_.region_ && scheduler_.active()) {
        runScheduler(WorkerReported{report});
        WorkerIndex worker = 0;
        if (scheduler_.state().fleet_.find(WorkerId(report.name_), worker)) {
            directive = scheduler_.directive(worker, now_);
        }
    }
    sendDirective(report.kind_, std::move(directive), &report);
}

void Entry::sendDirective(AgentKind kind, Directive directive, const AgentReport *answered)
{
    if (answered) {
        directive.agent_ = answered->name_;
        directive.agentIncarnation_ = answered->incarnation_;
        directive.echoSequence_ = answered->sequence_;
        directive.echoSentAt_ = answered->sentAt_;
    }
    directive.entry_ = identity_.id_;
    directive.incarnation_ = incarnation_;
    directive.sequence_ = ++directiveSequence_[directive.agent_];
    directive.sentAt_ = now_;
    if (directive.period_ == Duration::zero()) {
        directive.period_ = limits_.scheduler_.minReportPeriod_;
    }
    outputs_.emplace_back(SendDirective{kind, std::move(directive)});
}

// Store

void Entry::sendCalls(std::vector<StoreCall> calls)
{
    for (StoreCall &call : calls) {
        outputs_.emplace_back(std::move(call));
    }
}

void Entry::takeReply(const StoreReply &reply)
{
    const CallId call = callOf(reply);
    if (const auto *polled = std::get_if<KeysPolled>(&reply); polled && call == pollCall_) {
        takePoll(*polled);
        return;
    }
    if (call == pollCall_) {
        pollCall_ = 0;
        return;
    }
    std::vector<StoreCall> calls;
    if (membership_.reply(reply, now_, calls)) {
        sendCalls(std::move(calls));
        return;
    }
    if (const auto write = shardWrites_.extract(call)) {
        const auto *swapped = std::get_if<Swapped>(&reply);
        if (swapped && swapped->succeeded_) {
            runScheduler(ShardWritten{write.mapped(), swapped->modRevision_});
        } else {
            runScheduler(ShardWriteUnconfirmed{write.mapped()});
        }
        return;
    }
    if (const auto read = shardReads_.extract(call)) {
        const auto *found = std::get_if<KeyRead>(&reply);
        if (found) {
            adoptShard(read.mapped(), found->found_ ? found->found_->modRevision_ : 0, found->found_ ? found->found_->value_ : std::string());
        } else {
            runScheduler(ShardReadFailed{read.mapped()});
        }
        return;
    }
    ClaimBook::Commit::Outputs claimed;
    ControlCommit::Outputs controlled;
    SubmissionBook::Commit::Outputs submitted;
    if (claims_.reply(reply, now_, claimed)) {
        finishClaims(std::move(claimed));
    } else if (control_.reply(reply, now_, controlled)) {
        finishControl(std::move(controlled));
    } else if (submissions_.reply(reply, now_, submitted)) {
        finishSubmissions(std::move(submitted));
    }
}

void Entry::poll()
{
    const bool lost = now_ - pollBegan_ >= limits_.pollTimeout_;
    if (now_ < nextPoll_ || (pollCall_ != 0 && !lost)) {
        return;
    }
    pollCall_ = ids_.next();
    pollBegan_ = now_;
    nextPoll_ = now_ + limits_.pollInterval_;
    PollKeys poll{pollCall_, {}};
    poll.items_.push_back({controlKey(), false, controlModRevision_ + 1});
    poll.items_.push_back({membership_.ownerKey(), false, 0});
    poll.items_.push_back({"entries/", true, 0});
    for (const auto &shard : submissions_.shards()) {
        poll.items_.push_back({shard->key(), false, shard->modRevision() + 1});
    }
    outputs_.emplace_back(StoreCall(std::move(poll)));
}

void Entry::takePoll(const KeysPolled &polled)
{
    pollCall_ = 0;
    constexpr std::size_t fixedItems = 3;
    if (polled.storeRevision_ < storeRevision_ || polled.found_.size() != fixedItems + submissions_.shards().size()) {
        return; // an answer from the past
    }
    storeRevision_ = polled.storeRevision_;
    if (!polled.found_[0].empty()) {
        adoptControl(polled.found_[0].front().modRevision_, polled.found_[0].front().value_);
    }
    if (controlInForce_.revision_ < revisionFloor_) {
        return; // agents have seen a later revision than this answer knows
    }
    controlRead_ = true;
    view_.readStartedAt_ = pollBegan_;
    view_.revision_ = controlInForce_.revision_;
    view_.outOfService_ = controlInForce_.out_;
    runScheduler(ControlChanged{config_, view_});
    std::vector<StoreCall> calls;
    membership_.observe(polled.found_[1], polled.found_[2], calls);
    sendCalls(std::move(calls));
    runRouter(RouterConfigured{config_, membership_.entries().size()});
    for (std::size_t shard = 0; shard < submissions_.shards().size(); ++shard) {
        for (const KeyValue &found : polled.found_[fixedItems + shard]) {
            adoptShard(shard, found.modRevision_, found.value_);
        }
    }
    if (membership_.owner() && !stopping_) {
        runScheduler(TakeOver{});
    }
    giveClaimsBack();
}

/// Gives back claims of requests that did not run; only when the store has just answered.
void Entry::giveClaimsBack()
{
    ClaimBook::Commit::Outputs outputs;
    for (const WantedRelease &wanted : std::exchange(releases_, {})) {
        claims_.edit({wanted.digest_, wanted.holder_, wall_.time_since_epoch().count(), 0, true, 0, now_ + releaseTimeout}, now_, outputs);
    }
    finishClaims(std::move(outputs));
}

void Entry::adoptShard(std::size_t shard, std::int64_t modRevision, const std::string &text)
{
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(document, decodeShard(text));
            submissions_.observe(shard, modRevision, document);
            runScheduler(ShardRead{shard, modRevision, std::move(document)});
            return {};
        },
        [&] { outputs_.emplace_back(BadDocument{submissions_.shards()[shard]->key()}); });
}

void Entry::adoptControl(std::int64_t modRevision, const std::string &text)
{
    if (modRevision <= controlModRevision_) {
        return;
    }
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(document, ControlTraits::decode(text));
            if (document.revision_ < revisionFloor_ || document.revision_ < controlInForce_.revision_) {
                return {};
            }
            BOOST_LEAF_AUTO(config, Config::fromTree(document.settings_));
            config_ = std::make_shared<const Config>(std::move(config));
            controlModRevision_ = modRevision;
            control_.observe(modRevision, document);
            installControl(document);
            return {};
        },
        [&] { outputs_.emplace_back(BadDocument{controlKey()}); });
}

void Entry::installControl(const ControlDocument &document)
{
    controlInForce_ = document;
    outputs_.emplace_back(ControlInForce{document.revision_});
}

void Entry::tick()
{
    poll();
    std::vector<StoreCall> calls;
    membership_.tick(now_, stopping_, calls);
    sendCalls(std::move(calls));
    runRouter(RouterTick{});
    runScheduler(SchedulerTick{});
    ClaimBook::Commit::Outputs claimed;
    claims_.expire(now_, claimed);
    finishClaims(std::move(claimed));
    ControlCommit::Outputs controlled;
    control_.expire(now_, controlled);
    finishControl(std::move(controlled));
    SubmissionBook::Commit::Outputs submitted;
    submissions_.expire(now_, submitted);
    finishSubmissions(std::move(submitted));
}

// Requests and claims

void Entry::runRouter(const RouterInput &input)
{
    for (RouterOutput &output : router_.step(now_, input)) {
        if (const auto *wanted = std::get_if<ClaimKey>(&output)) {
            claim(*wanted);
        } else if (const auto *unwanted = std::get_if<ReleaseKey>(&output)) {
            release(unwanted->digest_, unwanted->token_);
        } else {
            outputs_.emplace_back(std::move(output));
        }
    }
}

std::string Entry::holderOf(RequestToken token) const
{
    return std::to_string(incarnation_) + "/" + std::to_string(token);
}

void Entry::claim(const ClaimKey &wanted)
{
    const std::int64_t nowS = wall_.time_since_epoch().count();
    ClaimBook::Commit::Outputs outputs;
    claims_.edit({wanted.digest_, holderOf(wanted.token_), nowS, nowS + limits_.claimLength_.count(), false, wanted.token_, wanted.deadline_}, now_, outputs);
    finishClaims(std::move(outputs));
}

void Entry::release(const std::string &digest, RequestToken token)
{
    releases_.push_back({digest, holderOf(token)});
}

void Entry::finishClaims(ClaimBook::Commit::Outputs outputs)
{
    sendCalls(std::move(outputs.calls_));
    for (const ClaimBook::Commit::Ended &ended : outputs.ended_) {
        const ClaimEdit &edit = ended.edit_;
        if (edit.release_) {
            if (ended.result_ != CommitResult::Committed) {
                releases_.push_back({edit.digest_, edit.holder_});
            }
            continue;
        }
        const ClaimOutcome outcome = ended.result_ == CommitResult::Committed ? ClaimOutcome::Granted
            : ended.result_ == CommitResult::Rejected                         ? ClaimOutcome::Taken
            : ended.result_ == CommitResult::Unknown                          ? ClaimOutcome::Unknown
                                                                              : ClaimOutcome::Unavailable;
        runRouter(ClaimEnded{edit.token_, outcome});
    }
}

// Jobs

void Entry::runScheduler(const SchedulerInput &input)
{
    for (const SchedulerOutput &output : scheduler_.step(now_, wall_, input)) {
        handle(output);
    }
}

void Entry::handle(const SchedulerOutput &output)
{
    std::visit(Overloaded{
                   [&](const WriteShard &write) {
                       const CallId call = ids_.next();
                       shardWrites_.emplace(call, write.shard_);
                       outputs_.emplace_back(StoreCall(CompareAndSwap{call, jobsKey(identity_.region_, write.shard_), write.expected_, write.text_}));
                   },
                   [&](const LoadShard &load) {
                       const CallId call = ids_.next();
                       shardReads_.emplace(call, load.shard_);
                       outputs_.emplace_back(StoreCall(ReadKey{call, jobsKey(identity_.region_, load.shard_)}));
                   },
                   [&](const PushDirective &push) { sendDirective(AgentKind::Worker, scheduler_.directive(push.worker_, now_), nullptr); },
                   [&](const Fenced &) {
                       shardWrites_.clear();
                       shardReads_.clear();
                       outputs_.emplace_back(output);
                   },
                   [&](const auto &) { outputs_.emplace_back(output); },
               },
               output);
}

JobRefusal Entry::refusalOf(const JobSpec &spec) const
{
    const auto workspace = config_->workspaces_.find(spec.workspace_);
    if (stopping_) {
        return JobRefusal::Stopping;
    }
    if (workspace == config_->workspaces_.end()) {
        return JobRefusal::UnknownWorkspace;
    }
    if (!canEverFit(*config_, spec)) {
        return JobRefusal::NeverFits;
    }
    return workspace->second.quota_.covers(spec.each_ * spec.tasks_) ? JobRefusal::None : JobRefusal::OverQuota;
}

void Entry::submit(const SubmitJob &submission)
{
    if (const JobRefusal refusal = refusalOf(submission.spec_); refusal != JobRefusal::None) {
        outputs_.emplace_back(JobAnswered{submission.token_, submission.spec_.id_, CommitResult::Rejected, refusal});
        return;
    }
    SubmissionBook::Commit::Outputs outputs;
    submissions_.edit({submission.spec_.id_, submission.spec_, wall_, false, submission.token_, now_ + limits_.editTimeout_}, now_, outputs);
    finishSubmissions(std::move(outputs));
}

void Entry::finishSubmissions(SubmissionBook::Commit::Outputs outputs)
{
    sendCalls(std::move(outputs.calls_));
    for (const SubmissionBook::Commit::Ended &ended : outputs.ended_) {
        JobRefusal refusal = JobRefusal::None;
        if (ended.result_ == CommitResult::Rejected) {
            refusal = ended.edit_.cancel_ ? JobRefusal::NotFound : JobRefusal::IdInUse;
        } else if (ended.result_ != CommitResult::Committed) {
            refusal = JobRefusal::StoreUnavailable;
        }
        outputs_.emplace_back(JobAnswered{ended.edit_.token_, ended.edit_.job_, ended.result_, refusal});
    }
    for (std::size_t shard = 0; shard < submissions_.shards().size() && !outputs.ended_.empty(); ++shard) {
        const auto &commit = *submissions_.shards()[shard];
        if (scheduler_.active() && commit.modRevision() > scheduler_.state().shards_[shard].modRevision_) {
            runScheduler(ShardRead{shard, commit.modRevision(), commit.document()});
        }
    }
}

// Operators

void Entry::changeControl(const ChangeControl &change)
{
    if (const auto *service = std::get_if<SetInService>(&change.change_); service && config_->regionOf(service->dataCentre_).empty()) {
        outputs_.emplace_back(ControlAnswered{change.token_, CommitResult::Rejected, ControlRefusal::UnknownDataCentre, controlInForce_.revision_});
        return;
    }
    if (const auto *apply = std::get_if<ApplySettings>(&change.change_)) {
        const bool valid = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(Config::fromTree(apply->settings_));
                return true;
            },
            [] { return false; });
        if (!valid) {
            outputs_.emplace_back(ControlAnswered{change.token_, CommitResult::Rejected, ControlRefusal::BadSettings, controlInForce_.revision_});
            return;
        }
    }
    ControlCommit::Outputs outputs;
    control_.add({change.operation_, change.change_, change.token_, now_ + limits_.editTimeout_}, now_, outputs);
    finishControl(std::move(outputs));
}

void Entry::finishControl(ControlCommit::Outputs outputs)
{
    sendCalls(std::move(outputs.calls_));
    for (const ControlCommit::Ended &ended : outputs.ended_) {
        const ControlRefusal refusal = ended.result_ == CommitResult::Committed ? ControlRefusal::None
            : ended.result_ == CommitResult::Rejected                           ? ControlRefusal::Conflict
                                                                                : ControlRefusal::StoreUnavailable;
        outputs_.emplace_back(ControlAnswered{ended.edit_.token_, ended.result_, refusal, control_.document().revision_});
    }
}

}
