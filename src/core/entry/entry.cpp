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
    constexpr const char *names[] = {"none", "unknown_workspace", "never_fits", "over_quota", "id_in_use", "not_found", "store_unavailable", "stopping"};
    return names[static_cast<std::size_t>(refusal)];
}

const char *toString(ControlRefusal refusal) noexcept
{
    constexpr const char *names[] = {"none", "conflict", "unknown_datacentre", "bad_settings", "store_unavailable"};
    return names[static_cast<std::size_t>(refusal)];
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
    return stopping_ && router_.state().pending_.empty() && membership_.leaseReleased();
}

EntryOutputs Entry::step(Instant now, WallTime wall, const EntryInput &input)
{
    now_ = now;
    wall_ = wall;
    handleInput(input);
    return std::exchange(outputs_, {});
}

void Entry::handleInput(const EntryInput &input)
{
    std::visit(Overloaded{
                   [&](const RouterInput &routed) { runRouter(routed); },
                   [&](const AgentReported &reported) { handleReport(reported.report_); },
                   [&](const StoreReply &reply) { handleStoreReply(reply); },
                   [&](const SubmitJob &submission) { submit(submission); },
                   [&](const CancelJob &cancel) {
                       SubmissionRegistry::Commit::Outputs outputs;
                       submissions_.edit({cancel.job_, {}, wall_, true, cancel.token_, now_ + limits_.editTimeout_}, now_, outputs);
                       handleSubmissionOutputs(std::move(outputs));
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

void Entry::handleReport(const AgentReport &report)
{
    highestAgentRevision_ = std::max(highestAgentRevision_, report.revision_);
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

void Entry::sendDirective(AgentKind kind, Directive directive, const AgentReport *answeredReport)
{
    if (answeredReport) {
        directive.agent_ = answeredReport->name_;
        directive.agentIncarnation_ = answeredReport->incarnation_;
        directive.echoSequence_ = answeredReport->sequence_;
        directive.echoSentAt_ = answeredReport->sentAt_;
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

void Entry::handleStoreReply(const StoreReply &reply)
{
    const CallId call = callOf(reply);
    if (const auto *polled = std::get_if<KeysPolled>(&reply); polled && call == pollCall_) {
        handlePollResult(*polled);
        return;
    }
    if (call == pollCall_) {
        pollCall_ = 0;
        return;
    }
    std::vector<StoreCall> calls;
    if (membership_.handleReply(reply, now_, calls)) {
        sendCalls(std::move(calls));
        return;
    }
    if (const auto write = shardWrites_.extract(call)) {
        const auto *swapped = std::get_if<SwapCompleted>(&reply);
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
            applyShard(read.mapped(), found->found_ ? found->found_->modRevision_ : 0, found->found_ ? found->found_->value_ : std::string());
        } else {
            runScheduler(ShardReadFailed{read.mapped()});
        }
        return;
    }
    ClaimRegistry::Commit::Outputs claimOutputs;
    ControlCommit::Outputs controlOutputs;
    SubmissionRegistry::Commit::Outputs submissionOutputs;
    if (claims_.handleReply(reply, now_, claimOutputs)) {
        handleClaimOutputs(std::move(claimOutputs));
    } else if (control_.handleReply(reply, now_, controlOutputs)) {
        handleControlOutputs(std::move(controlOutputs));
    } else if (submissions_.handleReply(reply, now_, submissionOutputs)) {
        handleSubmissionOutputs(std::move(submissionOutputs));
    }
}

void Entry::poll()
{
    const bool timedOut = now_ - pollBegan_ >= limits_.pollTimeout_;
    if (now_ < nextPoll_ || (pollCall_ != 0 && !timedOut)) {
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

void Entry::handlePollResult(const KeysPolled &polled)
{
    pollCall_ = 0;
    constexpr std::size_t fixedItems = 3;
    if (polled.storeRevision_ < storeRevision_ || polled.found_.size() != fixedItems + submissions_.shards().size()) {
        return; // a reply older than one already processed
    }
    storeRevision_ = polled.storeRevision_;
    if (!polled.found_[0].empty()) {
        applyControl(polled.found_[0].front().modRevision_, polled.found_[0].front().value_);
    }
    if (activeControl_.revision_ < highestAgentRevision_) {
        return; // an agent has already reported a newer configuration revision
    }
    controlRead_ = true;
    controlView_.readStartedAt_ = pollBegan_;
    controlView_.revision_ = activeControl_.revision_;
    controlView_.outOfService_ = activeControl_.outOfService_;
    runScheduler(ControlChanged{config_, controlView_});
    std::vector<StoreCall> calls;
    membership_.observe(polled.found_[1], polled.found_[2], calls);
    sendCalls(std::move(calls));
    runRouter(RouterConfigured{config_, membership_.entries().size()});
    for (std::size_t shard = 0; shard < submissions_.shards().size(); ++shard) {
        for (const KeyValue &found : polled.found_[fixedItems + shard]) {
            applyShard(shard, found.modRevision_, found.value_);
        }
    }
    if (membership_.isOwner() && !stopping_) {
        runScheduler(TakeOver{});
    }
    releaseClaims();
}

/// Releases the claims of requests that did not run. Called only after the store has just replied.
void Entry::releaseClaims()
{
    ClaimRegistry::Commit::Outputs outputs;
    for (const PendingRelease &release : std::exchange(pendingReleases_, {})) {
        claims_.edit({release.digest_, release.holder_, wall_.time_since_epoch().count(), 0, true, 0, now_ + releaseTimeout}, now_, outputs);
    }
    handleClaimOutputs(std::move(outputs));
}

void Entry::applyShard(std::size_t shard, std::int64_t modRevision, const std::string &text)
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

void Entry::applyControl(std::int64_t modRevision, const std::string &text)
{
    if (modRevision <= controlModRevision_) {
        return;
    }
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(document, ControlTraits::decode(text));
            if (document.revision_ < highestAgentRevision_ || document.revision_ < activeControl_.revision_) {
                return {};
            }
            BOOST_LEAF_AUTO(config, Config::fromTree(document.settings_));
            config_ = std::make_shared<const Config>(std::move(config));
            controlModRevision_ = modRevision;
            control_.observe(modRevision, document);
            setActiveControl(document);
            return {};
        },
        [&] { outputs_.emplace_back(BadDocument{controlKey()}); });
}

void Entry::setActiveControl(const ControlDocument &document)
{
    activeControl_ = document;
    outputs_.emplace_back(ControlActivated{document.revision_});
}

void Entry::tick()
{
    poll();
    std::vector<StoreCall> calls;
    membership_.tick(now_, stopping_, calls);
    sendCalls(std::move(calls));
    runRouter(RouterTick{});
    runScheduler(SchedulerTick{});
    ClaimRegistry::Commit::Outputs claimOutputs;
    claims_.expire(now_, claimOutputs);
    handleClaimOutputs(std::move(claimOutputs));
    ControlCommit::Outputs controlOutputs;
    control_.expire(now_, controlOutputs);
    handleControlOutputs(std::move(controlOutputs));
    SubmissionRegistry::Commit::Outputs submissionOutputs;
    submissions_.expire(now_, submissionOutputs);
    handleSubmissionOutputs(std::move(submissionOutputs));
}

// Requests and claims

void Entry::runRouter(const RouterInput &input)
{
    for (RouterOutput &output : router_.step(now_, input)) {
        if (const auto *claimKey = std::get_if<ClaimKey>(&output)) {
            claim(*claimKey);
        } else if (const auto *releaseKey = std::get_if<ReleaseKey>(&output)) {
            queueRelease(releaseKey->digest_, releaseKey->token_);
        } else {
            outputs_.emplace_back(std::move(output));
        }
    }
}

std::string Entry::claimHolder(RequestToken token) const
{
    return std::to_string(incarnation_) + "/" + std::to_string(token);
}

void Entry::claim(const ClaimKey &request)
{
    const std::int64_t nowSeconds = wall_.time_since_epoch().count();
    ClaimRegistry::Commit::Outputs outputs;
    claims_.edit(
        {request.digest_, claimHolder(request.token_), nowSeconds, nowSeconds + limits_.claimLifetime_.count(), false, request.token_, request.deadline_},
        now_,
        outputs);
    handleClaimOutputs(std::move(outputs));
}

void Entry::queueRelease(const std::string &digest, RequestToken token)
{
    pendingReleases_.push_back({digest, claimHolder(token)});
}

void Entry::handleClaimOutputs(ClaimRegistry::Commit::Outputs outputs)
{
    sendCalls(std::move(outputs.calls_));
    for (const ClaimRegistry::Commit::CompletedEdit &completed : outputs.completed_) {
        const ClaimEdit &edit = completed.edit_;
        if (edit.release_) {
            if (completed.result_ != CommitResult::Committed) {
                pendingReleases_.push_back({edit.digest_, edit.holder_});
            }
            continue;
        }
        const ClaimOutcome outcome = completed.result_ == CommitResult::Committed ? ClaimOutcome::Granted
            : completed.result_ == CommitResult::Rejected                         ? ClaimOutcome::Taken
            : completed.result_ == CommitResult::Unknown                          ? ClaimOutcome::Unknown
                                                                                  : ClaimOutcome::Unavailable;
        runRouter(ClaimEnded{edit.token_, outcome});
    }
}

// Jobs

void Entry::runScheduler(const SchedulerInput &input)
{
    for (const SchedulerOutput &output : scheduler_.step(now_, wall_, input)) {
        handleSchedulerOutput(output);
    }
}

void Entry::handleSchedulerOutput(const SchedulerOutput &output)
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

JobRefusal Entry::validateJob(const JobSpec &spec) const
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
    if (const JobRefusal refusal = validateJob(submission.spec_); refusal != JobRefusal::None) {
        outputs_.emplace_back(JobAnswered{submission.token_, submission.spec_.id_, CommitResult::Rejected, refusal});
        return;
    }
    SubmissionRegistry::Commit::Outputs outputs;
    submissions_.edit({submission.spec_.id_, submission.spec_, wall_, false, submission.token_, now_ + limits_.editTimeout_}, now_, outputs);
    handleSubmissionOutputs(std::move(outputs));
}

void Entry::handleSubmissionOutputs(SubmissionRegistry::Commit::Outputs outputs)
{
    sendCalls(std::move(outputs.calls_));
    for (const SubmissionRegistry::Commit::CompletedEdit &completed : outputs.completed_) {
        JobRefusal refusal = JobRefusal::None;
        if (completed.result_ == CommitResult::Rejected) {
            refusal = completed.edit_.cancel_ ? JobRefusal::NotFound : JobRefusal::IdInUse;
        } else if (completed.result_ != CommitResult::Committed) {
            refusal = JobRefusal::StoreUnavailable;
        }
        outputs_.emplace_back(JobAnswered{completed.edit_.token_, completed.edit_.job_, completed.result_, refusal});
    }
    for (std::size_t shard = 0; shard < submissions_.shards().size() && !outputs.completed_.empty(); ++shard) {
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
        outputs_.emplace_back(ControlAnswered{change.token_, CommitResult::Rejected, ControlRefusal::UnknownDataCentre, activeControl_.revision_});
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
            outputs_.emplace_back(ControlAnswered{change.token_, CommitResult::Rejected, ControlRefusal::BadSettings, activeControl_.revision_});
            return;
        }
    }
    ControlCommit::Outputs outputs;
    control_.add({change.operation_, change.change_, change.token_, now_ + limits_.editTimeout_}, now_, outputs);
    handleControlOutputs(std::move(outputs));
}

void Entry::handleControlOutputs(ControlCommit::Outputs outputs)
{
    sendCalls(std::move(outputs.calls_));
    for (const ControlCommit::CompletedEdit &completed : outputs.completed_) {
        const ControlRefusal refusal = completed.result_ == CommitResult::Committed ? ControlRefusal::None
            : completed.result_ == CommitResult::Rejected                           ? ControlRefusal::Conflict
                                                                                    : ControlRefusal::StoreUnavailable;
        outputs_.emplace_back(ControlAnswered{completed.edit_.token_, completed.result_, refusal, control_.document().revision_});
    }
}

}
