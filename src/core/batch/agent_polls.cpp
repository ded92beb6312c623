#include "core/batch/agent.h"

#include "core/batch/board.h"

#include <algorithm>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Polls that are further apart than this don't show what the executor did in the meantime: the agent's process was paused.
constexpr milliseconds maxPollGap{1'000};

/// As above, for polls that aren't answered: each may take as long as its wait and the timeouts of the call.
constexpr milliseconds maxUnansweredPollGap{2'500};

/// For this long after an answer an executor isn't polled before a start. Polls are answered once in pollWait while nothing ends.
constexpr milliseconds maxAnswerAge{100};

/// An executor that sends heartbeats but has answered no poll for this long is silent as well.
constexpr milliseconds maxUnansweredTime{8'000};

}

void AgentCore::handle(const PollAnswered &answer)
{
    refusedSince_.reset();
    unansweredSince_.reset();
    failedPolls_ = 0;
    if (answer.acknowledged_ > 0) {
        fencingTokens_.acknowledgementSettled(answer.fencingToken_);
    }
    const std::int64_t startTimeMs = startTimeOf(answer);
    if (startTimeMs == presentStartTimeMs()) {
        heardAt_ = now_;
        if (isOfPresentTerm(answer.fencingToken_)) {
            noteFenced(startTimeMs);
        }
    }
    incarnationConfirmed_ = startTimeMs == executor_.incarnation_.startTimeMs_;
    if (!incarnationConfirmed_ || executor_.incarnation_.executor_.empty()) {
        noteReplacement(startTimeMs);
        return; // the next heartbeat announces the present incarnation
    }
    // The executor read its clock before the answer arrived, so its clock at clockAt_ is at least clock_. Apart from clock drift, leases
    // computed from clock_ thus end early rather than late.
    clock_ = answer.clock_;
    clockAt_ = now_;
    clockKnown_ = true;
    if (!isOfPresentTerm(answer.fencingToken_)) {
        return;
    }
    answeredAt_ = now_;
    orders_.executorAnswered(now_, answer.sentAt_);
    if (listsValid_ && answer.sentAt_ < listsSentAt_) {
        return; // the answer to a later poll has already been processed
    }
    listsSentAt_ = answer.sentAt_;
    const auto isHeld = [this](const EndedRun &end) { return mayStartAgain(end); };
    const bool hasEnds = !std::all_of(answer.ended_.begin(), answer.ended_.end(), isHeld) || answer.ended_.size() != ended_.size();
    const bool changed = !listsValid_ || answer.running_.size() != running_.size() || hasEnds;
    listsValid_ = true;
    listedAt_ = std::min(now_, answer.sentAt_ + answer.wait_).time_since_epoch();
    running_ = answer.running_;
    ended_ = answer.ended_;
    Orders::ListedRuns lists{answer.sentAt_, {}, {}, answer.ended_.size() < maxEndsPerList};
    for (const RunningTask &task : answer.running_) {
        lists.running_.insert(task.run_);
    }
    for (const EndedRun &end : answer.ended_) {
        lists.ended_.insert(end.run_);
    }
    const bool settled = orders_.applyLists(now_, lists);
    reportDue_ = reportDue_ || changed || settled;
}

/// Returns whether the executor's process has ended: its host refuses connections, and it has sent no heartbeat in the meantime.
bool AgentCore::isGone() const
{
    return refusedSince_ && now_ - *refusedSince_ >= heartbeatLimits_.maxGap_ && heartbeatAt_ <= *refusedSince_;
}

/// Returns whether nothing shows that the executor lives, neither an answer nor, for long enough, a heartbeat: it may have lost its power, or hang.
bool AgentCore::isSilent() const
{
    if (!unansweredSince_) {
        return false;
    }
    const Instant lastSign = std::max(heartbeatAt_, *unansweredSince_);
    return now_ - lastSign >= heartbeatLimits_.maxGap_ || now_ - *unansweredSince_ >= maxUnansweredTime;
}

/// Returns whether the executor has answered so recently that starts are called without another poll.
bool AgentCore::hasJustAnswered() const
{
    return !unansweredSince_ && answeredAt_ != Instant() && now_ - answeredAt_ <= maxAnswerAge;
}

/// Records whether the executor answered the poll that failed.
void AgentCore::noteSilence(const PollFailed &failure)
{
    if (failure.fenced_ || failure.failure_ == CallFailure::Rejected) {
        unansweredSince_.reset();
        return;
    }
    unansweredSince_ = unansweredSince_ && now_ - unansweredAt_ <= maxUnansweredPollGap ? unansweredSince_ : now_;
    unansweredAt_ = now_;
}

/// Returns the corrected start time of the incarnation that gave \p answer. An answer to a poll that was sent after the present incarnation was last
/// heard of comes from a later one, even if that says that it started earlier: its clock was set back.
std::int64_t AgentCore::startTimeOf(const PollAnswered &answer)
{
    const std::int64_t startTimeMs = startTimes_.corrected(answer.startTimeMs_);
    if (startTimeMs >= presentStartTimeMs() || answer.sentAt_ <= heardAt_) {
        return startTimeMs;
    }
    log("executor-clock-set-back", {{"executor", executor_.incarnation_.executor_.str()}, {"born", std::to_string(answer.startTimeMs_)}});
    return startTimes_.recordSuccessor(answer.startTimeMs_, presentStartTimeMs());
}

/// Records that the incarnation with \p startTimeMs has answered under its own fencing token: calls to a former one extend its lease no longer.
void AgentCore::noteFenced(std::int64_t startTimeMs)
{
    if (fencedStartTimeMs_ == startTimeMs) {
        return;
    }
    fencedStartTimeMs_ = startTimeMs;
    leases_.reset(now_ + withSlowClockAllowance(maxLeaseDuration_));
}

/// Returns how long a new incarnation may keep runs without being granted a lease: until it has seen its fencing token it carries out calls to a former one,
/// whose clock was ahead, so that their lease is the longest.
Duration AgentCore::longestLeaseOfNewIncarnation() const
{
    return maxCallDelay + withSlowClockAllowance(maxLeaseDuration_);
}

void AgentCore::noteReplacement(std::int64_t startTimeMs)
{
    if (startTimeMs <= presentStartTimeMs()) {
        return;
    }
    log("executor-replaced",
        {{"executor", executor_.incarnation_.executor_.str()},
         {"born", std::to_string(startTimeMs)},
         {"late_starts", std::to_string(orders_.lateStarts(now_))}});
    answeringStartTimeMs_ = startTimeMs;
    leases_.reset(now_ + longestLeaseOfNewIncarnation());
    reportDue_ = true;
    pollNow(); // its first fencing token, so that calls to the former incarnation aren't carried out
}

void AgentCore::handle(const PollFailed &failure)
{
    if (!failure.refused_) {
        refusedSince_.reset();
    } else {
        refusedSince_ = refusedSince_ && now_ - refusedAt_ <= maxPollGap ? refusedSince_ : now_;
        refusedAt_ = now_;
    }
    if (failure.refused_ || failure.fenced_ || failure.failure_ != CallFailure::Unanswered) { // it wasn't carried out
        leases_.withdraw(failure.extension_);
        if (failure.acknowledged_ > 0) {
            fencingTokens_.acknowledgementSettled(failure.fencingToken_);
        }
    }
    noteSilence(failure);
    if (!failure.refused_ && orders_.isAnyAwaitingAnswer()) {
        pollNow(); // the connection may have been lost alone
    }
    if (failure.fenced_ && epoch_ != 0 && failure.fencingToken_ == fencingToken()) {
        raiseToken("fenced"); // a former process has raised it
    }
    incarnationConfirmed_ = false;
    reportDue_ = reportDue_ || failedPolls_ + 1 == failedPollsUntilUnresponsive;
    ++failedPolls_;
    adoptFormerIfGone();
    if (executor_.incarnation_.executor_.empty() || epoch_ == 0) {
        return;
    }
    if (isGone()) {
        assumeNothingRuns("executor-gone");
    } else if (now_ > leases_.end()) {
        assumeNothingRuns("lease-over");
    }
}

/// Takes the former incarnation, which the leader has told of, for this process's executor once nobody has listened at its address for long enough, and no
/// call of a former process can be carried out any more, or once it is silent and its leases are over: the report that nothing runs there settles its runs,
/// except for those that a call of a former process may still start.
void AgentCore::adoptFormerIfGone()
{
    const bool isUnknown = executor_.incarnation_.executor_.empty() && !formerIncarnation_.executor_.empty();
    const bool hasNoCalls = isGone() && orders_.knowsAllCalls(refusedAt_);
    const bool hasNoLeases = !refusedSince_ && isSilent() && now_ > leases_.end();
    if (!isUnknown || epoch_ == 0 || (!hasNoCalls && !hasNoLeases)) {
        return;
    }
    executor_.incarnation_ = std::exchange(formerIncarnation_, {});
    isFormerAdopted_ = true;
}

void AgentCore::assumeNothingRuns(const char *reason)
{
    if (listsValid_ && running_.empty() && ended_.empty() && !orders_.isAnyOpen()) {
        return;
    }
    log("executor-empty",
        {{"executor", executor_.incarnation_.executor_.str()},
         {"reason", reason},
         {"late_starts", std::to_string(orders_.lateStarts(now_))},
         {"lease_over_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now_ - leases_.end()).count())},
         {"lists_age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now_ - listsSentAt_).count())}});
    listsValid_ = true;
    listedAt_ = now_.time_since_epoch();
    running_.clear();
    ended_.clear();
    orders_.executorEnded(now_, emptyAt(), !isFormerAdopted_);
    reportDue_ = true;
}

}
