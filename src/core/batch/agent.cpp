#include "core/batch/agent.h"

#include "core/batch/board.h"

#include <algorithm>
#include <iterator>

namespace bergamotwick::batch {

namespace {

/// Interval of reports while nothing changes; they also serve as the agent's heartbeat.
constexpr milliseconds reportPeriod{500};

/// How long a start may wait to be sent to the executor. Later, the executor may be another one, or have less capacity.
constexpr milliseconds maxCallQueueTime{1'000};

/// As above, for a start that is called only because the executor has just answered.
constexpr milliseconds maxCallQueueTimeAfterAnswer{200};

/// Delay before an executor is polled again that hasn't answered.
constexpr milliseconds pollRetryDelayNormally{200};

/// As above, while the executor's process isn't running and its next incarnation may carry out a start that was meant for this one.
constexpr milliseconds pollRetryDelayBeforeLateStarts{25};

/// Delay before an executor is polled again that lists ends which are about to be acknowledged.
constexpr milliseconds pollDelayUntilAcknowledged{50};

/// As above, while no listed end may be acknowledged because the runs' starts may be carried out late.
constexpr milliseconds pollDelayWhileEndsAreHeld{200};

/// A leave that arrives after a longer time without a sign of life was held up, and the executor has crashed in the meantime.
constexpr milliseconds maxSilenceBeforeLeave = pollWait + milliseconds(300);

/// While a next incarnation may carry out a start that was meant for this one, time without an answer after which a new incarnation is polled once more: the
/// poll may have been held up.
constexpr milliseconds fencingPollDelay{100};

/// Time between such polls; they may hang, too, and occupy the threads that call the executor.
constexpr milliseconds fencingPollInterval{800};

}

AgentCore::AgentCore(std::string name, milliseconds stopLimit, HeartbeatLimits heartbeatLimits, milliseconds maxLeaseDuration)
    : name_(std::move(name))
    , heartbeatLimits_(heartbeatLimits)
    , maxLeaseDuration_(maxLeaseDuration)
    , orders_(stopLimit)
{
}

std::vector<AgentOutput> AgentCore::step(Instant now, const std::vector<AgentInput> &inputs)
{
    now_ = now;
    if (!begun_) {
        begun_ = true;
        orders_.begin(now);
        leases_.reset(now + withSlowClockAllowance(leaseDuration)); // those that a former process has granted
    }
    for (const AgentInput &input : inputs) {
        std::visit([this](const auto &any) { handle(any); }, input);
    }
    callDueOrders();
    hurryFencing();
    reportDue_ = orders_.settleLostStarts(now_, emptyAt()) || reportDue_;
    orders_.prune(now_, knownAt());
    if (reportDue_ || now_ - reportedAt_ >= reportPeriod) {
        reportDue_ = false;
        reportedAt_ = now_;
        outputs_.emplace_back(report());
    }
    return std::exchange(outputs_, {});
}

PollCall AgentCore::nextPoll(Instant now)
{
    now_ = now;
    // After a failure the executor may be another one, whose start time is to be known at once.
    return pollCall(failedPolls_ == 0 ? pollWait : milliseconds(0));
}

milliseconds AgentCore::pollRetryDelay(Instant now, bool connectionRefused) const noexcept
{
    return connectionRefused && orders_.mayStartLate(now) ? pollRetryDelayBeforeLateStarts : pollRetryDelayNormally;
}

milliseconds AgentCore::pollDelayAfterEnds() const
{
    const bool areAllHeld = !ended_.empty() && std::all_of(ended_.begin(), ended_.end(), [this](const EndedRun &end) { return mayStartAgain(end); });
    return areAllHeld ? pollDelayWhileEndsAreHeld : pollDelayUntilAcknowledged;
}

/// Returns a poll that waits for an end for up to \p wait. One that acknowledges ends doesn't wait: the tokens of starts rise until it is answered.
PollCall AgentCore::pollCall(milliseconds wait)
{
    const auto lease = grantLease();
    PollCall call{polledIncarnation(), fencingToken(), acknowledgement(), std::nullopt, wait};
    if (lease) {
        call.leaseEnd_ = lease->end_;
        call.extension_ = lease->extension_;
    }
    if (call.acknowledged_ > 0) {
        fencingTokens_.acknowledgementSent();
        call.wait_ = milliseconds(0);
    }
    return call;
}

/// Returns whether a call of the start of the run that \p end belongs to may have been carried out after the lists with the end were made.
bool AgentCore::mayStartAgain(const EndedRun &end) const
{
    return orders_.mayStartLate(listsSentAt_, end.run_);
}

/// Returns the number up to which the next poll acknowledges ends, or 0 if it has none to acknowledge. A run must not end for good before lists that were
/// requested after its start could be carried out show the end. A poll that is held up may reach the next incarnation, whose ends are numbered anew: so none
/// acknowledges needlessly, or while that incarnation may carry out a start by itself, whose end nobody would see. For starts that a former process has
/// called, the leader sees to that.
std::int64_t AgentCore::acknowledgement() const
{
    if (!incarnationConfirmed_ || orders_.lateStarts(now_) > 0) {
        return 0;
    }
    std::int64_t number = acknowledged_;
    for (const EndedRun &end : ended_) {
        number = mayStartAgain(end) ? std::min(number, end.number_ - 1) : number;
    }
    const bool isDue = std::any_of(ended_.begin(), ended_.end(), [number](const EndedRun &end) { return end.number_ <= number; });
    return isDue ? number : 0;
}

/// Returns the last time at which certainly nothing ran on the executor, which isn't answering, or zero.
Instant AgentCore::emptyAt() const
{
    if (isGone()) {
        return refusedAt_;
    }
    // A call that was given up may have started a run, or extended its lease, on a next incarnation that isn't known.
    return now_ > leases_.end() + longestLeaseOfNewIncarnation() ? now_ : Instant();
}

/// Returns up to when it is known what ran on the executor.
Instant AgentCore::knownAt() const
{
    return std::max(listsSentAt_, emptyAt());
}

/// Returns the executor to poll. A process of the agent that has heard of none yet polls the former one, whose name a next incarnation may have, while
/// calls of a former process may still be carried out: the next incarnation is to see a fencing token at once. If nobody answers there, the polls go on until
/// it is certain that the former one is gone.
const Incarnation &AgentCore::polledIncarnation() const
{
    const bool pollsFormer = executor_.incarnation_.executor_.empty() && (orders_.mayStartLate(now_) || refusedSince_ || unansweredSince_);
    return pollsFormer ? formerIncarnation_ : executor_.incarnation_;
}

void AgentCore::pollNow()
{
    if (epoch_ != 0 && !polledIncarnation().executor_.empty()) {
        outputs_.emplace_back(pollCall(milliseconds(0)));
        polledAt_ = now_;
    }
}

/// Polls the executor once more if it may be a new incarnation that hasn't seen its fencing token because a poll of it hangs.
void AgentCore::hurryFencing()
{
    const bool isUnfenced = refusedSince_ ? now_ - refusedAt_ >= fencingPollDelay : fencedStartTimeMs_ != presentStartTimeMs();
    const bool isDue = now_ - polledAt_ >= fencingPollDelay && now_ - hurriedAt_ >= fencingPollInterval;
    if (isUnfenced && isDue && orders_.mayStartLate(now_)) {
        hurriedAt_ = now_;
        pollNow();
    }
}

std::int64_t AgentCore::presentStartTimeMs() const
{
    return std::max({executor_.incarnation_.startTimeMs_, answeringStartTimeMs_, formerIncarnation_.startTimeMs_});
}

std::int64_t AgentCore::fencingToken()
{
    fencingTokens_.follow(epoch_, presentStartTimeMs());
    return fencingTokens_.current();
}

bool AgentCore::isOfPresentTerm(std::int64_t fencingToken)
{
    fencingTokens_.follow(epoch_, presentStartTimeMs());
    return epoch_ != 0 && fencingTokens_.isOfPresentTerm(fencingToken);
}

/// Returns for how long the executor has run by its own clock, or 0 if that is unknown.
milliseconds AgentCore::executorUptime() const
{
    if (clockKnown_) {
        return executorClock(now_);
    }
    const bool isKnown = heartbeatClock_.count() > 0;
    return isKnown ? heartbeatClock_ + std::chrono::duration_cast<milliseconds>(now_ - heartbeatAt_) : milliseconds(0);
}

ExecutorTime AgentCore::executorClock(Instant at) const
{
    return clock_ + std::chrono::duration_cast<milliseconds>(at - clockAt_);
}

/// Returns the lease that a call which is made now grants, or nothing if it grants none.
std::optional<AgentCore::LeaseGrant> AgentCore::grantLease()
{
    const Instant end = std::min(now_ + leaseDuration, permitEnd_);
    // An executor that has left, is silent or whose process doesn't seem to run is given no leases, so that its runs are certain to end soon. The clock of
    // a next incarnation begins anew; a time on the former clock would be taken as the longest lease.
    if (!clockKnown_ || end <= now_ || executor_.hasLeft_ || refusedSince_ || isSilent() || isReplaced()) {
        return std::nullopt;
    }
    if (listsValid_ && orders_.areAllStopsOverdue(now_, running_)) {
        return std::nullopt; // what refuses to be stopped ends with its lease
    }
    return LeaseGrant{executorClock(end), leases_.add(clockAt_ + withSlowClockAllowance(end - clockAt_))};
}

void AgentCore::handle(const Directive &directive)
{
    if (directive.epoch_ < epoch_) {
        log("directive-ignored", {{"epoch", std::to_string(directive.epoch_)}, {"obeyed", std::to_string(epoch_)}});
        return;
    }
    if (directive.epoch_ > epoch_) {
        log("leader-obeyed", {{"epoch", std::to_string(directive.epoch_)}, {"before", std::to_string(epoch_)}});
        epoch_ = directive.epoch_;
        listsValid_ = false;
        reportDue_ = true;
        pollNow(); // the poll in flight carries the previous token and may still wait for a run to end
    }
    const std::optional<Instant> reportSentAt = echoedReport(directive);
    if (directive.permit_ && reportSentAt) {
        permitEnd_ = std::max(permitEnd_, *reportSentAt + permitDuration);
    }
    if (executor_.incarnation_.executor_.empty()) {
        formerIncarnation_ = directive.incarnation_;
    }
    if (directive.incarnation_ != executor_.incarnation_) {
        return;
    }
    acknowledged_ = std::max(acknowledged_, directive.acknowledged_);
    for (const RunId &run : directive.stops_) {
        if (!(isGone() || isSilent()) || !orders_.isLost(run)) { // nothing runs that could be stopped; the next incarnation's lists decide
            orders_.stop(now_, run);
        }
    }
    if (!reportSentAt || now_ - *reportSentAt > maxStartOrderAge || *reportSentAt < capacityShrankAt_) {
        return; // the directive was delayed in transit, or answers another process; the leader repeats the orders that it still needs
    }
    bool needsAnswer = false;
    for (const StartOrder &start : directive.starts_) {
        needsAnswer = refuseOrStart(start) || needsAnswer;
    }
    if (needsAnswer) {
        pollNow();
    }
}

/// Returns when this process sent the report that \p directive answers. Unset if it was sent too long ago, or by another process: that one's clock may be
/// of another boot, so that its time means nothing here.
std::optional<Instant> AgentCore::echoedReport(const Directive &directive) const
{
    const auto sent = sentReports_.find(directive.echoSequence_);
    const bool matches = sent != sentReports_.end() && sent->second.time_since_epoch() == directive.echoSentAt_;
    return matches ? std::optional(sent->second) : std::nullopt;
}

/// Returns whether the start waits until the executor has answered another poll.
bool AgentCore::refuseOrStart(const StartOrder &start)
{
    const auto isRun = [&start](const RunningTask &task) { return task.run_ == start.run_; };
    if (std::any_of(running_.begin(), running_.end(), isRun)) {
        return false; // a former process of this agent has started it
    }
    const bool drains = executor_.draining_ || executor_.hasLeft_;
    if (!drains && knowsCapacity()) {
        const bool isAway = refusedSince_ || isSilent(); // the start is given up at once
        return orders_.start(now_, start, hasJustAnswered() || isAway);
    }
    if (orders_.refuse(now_, start.run_)) {
        reportDue_ = true;
        log("start-refused", {{"run", toString(start.run_)}, {"reason", drains ? "draining" : "no-heartbeat"}});
    }
    return false;
}

bool AgentCore::knowsCapacity() const
{
    return now_ - heartbeatAt_ <= heartbeatLimits_.maxCapacityAge_;
}

bool AgentCore::isReplaced() const
{
    return answeringStartTimeMs_ > executor_.incarnation_.startTimeMs_;
}

void AgentCore::callDueOrders()
{
    if (isReplaced()) {
        return; // a start would be carried out by the next incarnation, whose capacity isn't known before its heartbeat
    }
    if (!knowsCapacity()) {
        orders_.stopPendingStarts(now_);
    }
    for (const RunId &run : orders_.giveUpUnanswered(now_)) {
        reportDue_ = true;
        log("start-given-up", {{"run", toString(run)}, {"reason", "no-answer"}});
    }
    const std::vector<RunId> due = orders_.takeDue(now_);
    raiseTokenForStarts(due);
    for (const RunId &run : due) {
        const StartOrder *start = orders_.startOf(run);
        const bool isRepeated = run.run_ > 1;
        if (start == nullptr) {
            outputs_.emplace_back(CallStop{executor_.incarnation_, run, fencingToken()});
        } else if (const auto lease = grantLease()) {
            const milliseconds queueTime = isRepeated ? maxCallQueueTimeAfterAnswer : maxCallQueueTime;
            outputs_.emplace_back(CallStart{executor_.incarnation_, *start, lease->end_, fencingToken(), now_ + queueTime, lease->extension_});
            orders_.recordStartCall(run);
            reportDue_ = reportDue_ || isRepeated; // if the executor crashes and takes this process along, the leader knows of the call
        } else {
            orders_.giveUpStart(now_, run, refusedSince_.has_value() || isSilent());
            reportDue_ = true;
        }
    }
}

/// Raises the token if one of the \p due orders is a start and a poll with the present token may still acknowledge ends, perhaps one of a former process.
void AgentCore::raiseTokenForStarts(const std::vector<RunId> &due)
{
    if (std::none_of(due.begin(), due.end(), [this](const RunId &run) { return orders_.startOf(run) != nullptr; })) {
        return;
    }
    fencingTokens_.follow(epoch_, presentStartTimeMs());
    const bool mayBeFormer = acknowledged_ > 0 && !orders_.knowsAllCalls(now_) && fencingTokens_.mayBeOfFormerProcess();
    if (fencingTokens_.mayAcknowledgeLate()) {
        raiseToken("acknowledgement-unanswered");
    } else if (mayBeFormer) {
        raiseToken("former-process");
    }
}

void AgentCore::raiseToken(const char *reason)
{
    fencingTokens_.raise(executorUptime());
    log("token-raised", {{"executor", executor_.incarnation_.executor_.str()}, {"reason", reason}, {"token", std::to_string(fencingTokens_.current())}});
}

void AgentCore::handle(const LeaderConnected &)
{
    reportDue_ = true;
}

void AgentCore::handle(const StartAnswered &answer)
{
    if (!answer.wasSent_ || answer.connectionRefused_) {
        leases_.withdraw(answer.extension_);
    }
    const auto logOutcome = [&](const char *event) {
        log(event, {{"run", toString(answer.run_)}, {"tries", std::to_string(orders_.attempts(answer.run_))}, {"reason", answer.reason_}});
    };
    switch (orders_.startAnswered(now_, answer.run_, answer.answer_, answer.connectionRefused_)) {
    case Orders::StartOutcome::NotAwaited:
        break;
    case Orders::StartOutcome::Unanswered:
        incarnationConfirmed_ = false;
        logOutcome("start-unanswered");
        break;
    case Orders::StartOutcome::Started:
        logOutcome("started");
        break;
    case Orders::StartOutcome::Refused:
        reportDue_ = true;
        logOutcome("start-refused");
        break;
    case Orders::StartOutcome::Stopped:
        logOutcome("start-stopped");
        break;
    }
}

void AgentCore::handle(const StopAnswered &answer)
{
    if (orders_.stopAnswered(now_, answer.run_, answer.answer_)) {
        log("stop-answered", {{"run", toString(answer.run_)}, {"answer", toString(answer.answer_)}, {"reason", answer.reason_}});
    }
    const auto overdue = std::chrono::duration_cast<milliseconds>(orders_.stopOverdue(now_, answer.run_));
    if (overdue > milliseconds(0)) {
        log("stop-overdue", {{"run", toString(answer.run_)}, {"for_ms", std::to_string(overdue.count())}, {"reason", answer.reason_}});
    }
}

void AgentCore::handle(const HeartbeatReceived &heartbeat)
{
    Incarnation incarnation = heartbeat.executor_.incarnation_;
    incarnation.host_ = name_;
    incarnation.startTimeMs_ = startTimes_.corrected(incarnation.startTimeMs_);
    if (isFormerAdopted_ && incarnation.startTimeMs_ < executor_.incarnation_.startTimeMs_) {
        incarnation.startTimeMs_ = startTimes_.recordSuccessor(heartbeat.executor_.incarnation_.startTimeMs_, executor_.incarnation_.startTimeMs_);
    }
    const bool sameIncarnation = incarnation == executor_.incarnation_;
    if (incarnation.startTimeMs_ < executor_.incarnation_.startTimeMs_ || (sameIncarnation && heartbeat.sequence_ <= heartbeatSequence_)) {
        log("heartbeat-ignored", {{"executor", incarnation.executor_.str()}, {"born", std::to_string(incarnation.startTimeMs_)}});
        return;
    }
    if (!sameIncarnation) {
        formerIncarnation_ = {};
        isFormerAdopted_ = false;
        const bool sameName = incarnation.executor_ == executor_.incarnation_.executor_;
        log("executor-seen",
            {{"executor", incarnation.executor_.str()},
             {"born", std::to_string(incarnation.startTimeMs_)},
             {"same_name", sameName ? "yes" : "no"},
             {"late_starts", std::to_string(orders_.lateStarts(now_))}});
        listsValid_ = false;
        incarnationConfirmed_ = false;
        clockKnown_ = false;
        answeredAt_ = Instant();
        acknowledged_ = 0;
        ended_.clear();
        orders_.executorReplaced(now_, sameName, knownAt());
        rebornAt_ = sameName ? std::optional(now_) : std::nullopt;
        if (fencedStartTimeMs_ != incarnation.startTimeMs_) {
            leases_.reset(now_ + longestLeaseOfNewIncarnation());
        }
    }
    if (heartbeat.executor_.capacity_ != executor_.capacity_) {
        log("executor-capacity",
            {{"executor", incarnation.executor_.str()}, {"before", toString(executor_.capacity_)}, {"now", toString(heartbeat.executor_.capacity_)}});
    }
    const bool infoChanged = !sameIncarnation || heartbeat.executor_.draining_ != executor_.draining_ || heartbeat.executor_.capacity_ != executor_.capacity_;
    reportDue_ = reportDue_ || infoChanged;
    const bool shrinks = sameIncarnation && !heartbeat.executor_.capacity_.covers(executor_.capacity_);
    const bool beginsToDrain = sameIncarnation && heartbeat.executor_.draining_ && !executor_.draining_;
    capacityShrankAt_ = shrinks ? now_ : capacityShrankAt_;
    if (shrinks || beginsToDrain) {
        orders_.stopPendingStarts(now_);
    }
    heartbeatSequence_ = heartbeat.sequence_;
    heardAt_ = now_;
    heartbeatAt_ = sentAt(heartbeat);
    heartbeatClock_ = heartbeat.clock_;
    // An executor that is ready doesn't end; a former incarnation under the same name announced it.
    const bool hasLeft = sameIncarnation && executor_.hasLeft_ && heartbeat.executor_.draining_;
    reportDue_ = reportDue_ || hasLeft != executor_.hasLeft_;
    executor_ = heartbeat.executor_;
    executor_.incarnation_ = incarnation;
    executor_.hasLeft_ = hasLeft;
    if (!sameIncarnation) {
        pollNow();
    }
}

/// Returns when \p heartbeat was sent, by the executor's clock if that is known. Precondition: it comes from the present incarnation.
Instant AgentCore::sentAt(const HeartbeatReceived &heartbeat) const
{
    const Duration age = clockKnown_ && heartbeat.clock_.count() > 0 ? Duration(executorClock(now_) - heartbeat.clock_) : Duration(0);
    return now_ - std::max(age, Duration(0));
}

void AgentCore::handle(const ExecutorLeft &left)
{
    const Incarnation &present = executor_.incarnation_;
    const bool tellsStart = left.startTimeMs_ != 0;
    const bool isOther = left.executor_ != present.executor_ || (tellsStart && startTimes_.corrected(left.startTimeMs_) != present.startTimeMs_);
    // An executor reports that it drains before it leaves, and announces its leave while its process still runs.
    const bool mayBeFormer = !tellsStart && !executor_.draining_ && rebornAt_ && now_ - *rebornAt_ < maxCallDelay;
    const bool hasCrashed = refusedSince_ || (!executor_.draining_ && now_ - std::max(answeredAt_, heartbeatAt_) > maxSilenceBeforeLeave);
    if (isOther || mayBeFormer || hasCrashed) {
        log("leave-ignored", {{"executor", left.executor_.str()}, {"born", std::to_string(left.startTimeMs_)}});
        return;
    }
    log("executor-left", {{"executor", left.executor_.str()}, {"born", std::to_string(left.startTimeMs_)}});
    executor_.hasLeft_ = true;
    orders_.stopPendingStarts(now_);
    reportDue_ = true;
}

Report AgentCore::report()
{
    Report report;
    report.agent_ = name_;
    sequence_ = std::max(sequence_ + 1, orders_.knowsAllCalls(knownAt()) ? informedSequence : 0);
    report.sequence_ = sequence_;
    report.sentAt_ = now_.time_since_epoch();
    std::erase_if(sentReports_, [this](const auto &sent) { return now_ - sent.second > permitDuration; });
    sentReports_[sequence_] = now_;
    report.epoch_ = epoch_;
    report.responsive_ = failedPolls_ < failedPollsUntilUnresponsive && !isReplaced();
    report.listsValid_ = listsValid_;
    report.listedAt_ = listedAt_;
    report.executor_ = executor_;
    if (!knowsCapacity() || orders_.isAnyStopOverdue(now_)) {
        report.executor_.capacity_ = {}; // it gets no more work
    }
    report.running_ = running_;
    addEndsTo(report);
    orders_.addTo(report, now_);
    return report;
}

/// Adds the listed ends. A run that has ended without success is to be started again: not while its former start may be carried out, so that its end is
/// provisional. The leader acknowledges ends in their order, so that those that follow are provisional as well.
void AgentCore::addEndsTo(Report &report) const
{
    const bool isFull = ended_.size() >= maxEndsPerList;
    const auto isHeld = [this](const EndedRun &end) { return end.kind_ != EndKind::Done && mayStartAgain(end); };
    const auto firstHeld = std::find_if(ended_.begin(), ended_.end(), isHeld);
    std::copy_if(ended_.begin(), firstHeld, std::back_inserter(report.ended_), [&](const EndedRun &end) { return isFull || end.number_ > acknowledged_; });
    for (auto end = firstHeld; end != ended_.end(); ++end) {
        report.starting_.push_back(end->run_);
        report.ended_.push_back({provisionalEnd, end->run_, end->kind_, end->checkpoint_});
    }
    report.listsValid_ = listsValid_ && (!isFull || firstHeld == ended_.end());
}

void AgentCore::log(std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    outputs_.emplace_back(LogEvent{std::move(event), std::move(fields)});
}

}
