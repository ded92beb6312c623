#include "core/batch/orders.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Maximum number of attempts of a start that isn't answered; the run is then stopped.
constexpr int maxStartAttempts = 3;

/// Delay before an unanswered order is called again. An executor that resets its connections fails calls at once; without a delay the agent
/// would retry continuously.
constexpr milliseconds retryDelay{200};

/// As above, for a stop that the executor has refused for so long that it is overdue.
constexpr milliseconds overdueStopRetryDelay{1'000};

/// A stop that hasn't been carried out for this long is overdue. Calls without an answer may take up to twice a call's timeout.
constexpr milliseconds maxStopTime{5'000};

/// How long a start waits for the executor to answer a poll.
constexpr milliseconds maxAnswerWait{1'000};

/// How long the outcome of an order is reported; long enough to outlast a lost connection.
constexpr milliseconds orderRetention{10'000};

}

Orders::Orders(milliseconds stopLimit) noexcept
    : stopLimit_(stopLimit)
{
}

void Orders::enter(Order &order, Phase phase, Instant now)
{
    order.phase_ = phase;
    order.hasStarted_ = order.hasStarted_ || phase == Phase::Started;
    order.hasEnded_ = false;
    order.awaitsAnswer_ = false;
    order.phaseSince_ = now;
    order.callAt_.reset();
}

void Orders::begin(Instant now) noexcept
{
    formerCallsUntil_ = now + maxCallDelay;
    lateStartsUntil_ = formerCallsUntil_;
}

bool Orders::knowsAllCalls(Instant now) const noexcept
{
    return now >= formerCallsUntil_;
}

bool Orders::mayStartLate(Instant now) const noexcept
{
    return now < lateStartsUntil_;
}

bool Orders::mayHaveStarted(const Order &order, Instant now) const
{
    return order.unansweredAt_ || !knowsAllCalls(now);
}

bool Orders::isUnanswered(const Order &order, Instant now)
{
    return order.unansweredAt_ && now - *order.unansweredAt_ < maxCallDelay;
}

/// Returns how many calls of the start may not have been carried out. A run that has started shows that one of its calls was, if none was accepted.
int Orders::callsNotCarriedOut(const Order &order) noexcept
{
    const bool isOneCarriedOut = order.hasStarted_ && !order.wasAccepted_ && !order.mayHaveFormerCalls_;
    return order.unansweredCalls_ + order.callsInProgress_ - (isOneCarriedOut ? 1 : 0);
}

bool Orders::mayStartLate(const Order &order, Instant now)
{
    return callsNotCarriedOut(order) > 0 && (order.callsInProgress_ > 0 || isUnanswered(order, now));
}

/// Returns whether no call of the start has been made, by this process or a former one.
bool Orders::isUncalled(const Order &order) noexcept
{
    return order.awaitsAnswer_ && !order.mayHaveFormerCalls_;
}

/// Returns whether the start was called because the executor had just answered, and no lists show yet whether its run is there.
bool Orders::isInDoubt(const Order &order) noexcept
{
    const bool isUnlisted = order.phase_ == Phase::Starting || order.phase_ == Phase::Lost || (order.phase_ == Phase::Started && !order.listed_);
    return order.calledAfterAnswer_ && isUnlisted;
}

void Orders::executorReplaced(Instant now, bool sameName, Instant knownAt)
{
    for (auto &[run, order] : orders_) {
        if (sameName && mayStartLate(order, knownAt)) {
            enter(order, Phase::Lost, now);
        } else if (isUncalled(order)) {
            enter(order, Phase::Refused, now);
        } else if (isInDoubt(order) && !order.mayHaveFormerCalls_) {
            order.isOfFormerName_ = !sameName;
            order.callsInProgress_ = 0;
            order.unansweredCalls_ = 0; // none is carried out by an executor of another name
            enter(order, Phase::Ended, now);
        }
    }
    std::erase_if(orders_, [](const auto &entry) {
        const Phase phase = entry.second.phase_;
        return phase != Phase::Lost && phase != Phase::Refused && phase != Phase::Ended;
    });
}

bool Orders::start(Instant now, const StartOrder &start, bool mayBeCalledAtOnce)
{
    const auto [found, isNew] = orders_.try_emplace(start.run_);
    Order &order = found->second;
    order.wantedAt_ = now;
    if (isNew) {
        order.start_ = start;
        order.mayHaveFormerCalls_ = !knowsAllCalls(now);
        order.phaseSince_ = now;
        order.awaitsAnswer_ = start.run_.run_ > 1 || !mayBeCalledAtOnce;
        if (!order.awaitsAnswer_) {
            order.callAt_ = now;
        }
    }
    return isNew && order.awaitsAnswer_;
}

void Orders::executorAnswered(Instant now, Instant sentAt)
{
    for (auto &[run, order] : orders_) {
        if (order.awaitsAnswer_ && sentAt >= order.phaseSince_) {
            order.awaitsAnswer_ = false;
            order.calledAfterAnswer_ = run.run_ > 1;
            order.callAt_ = now;
        }
    }
}

bool Orders::refuse(Instant now, const RunId &run)
{
    if (orders_.contains(run)) {
        return false;
    }
    if (!knowsAllCalls(now)) {
        stop(now, run);
        return false;
    }
    enter(orders_[run], Phase::Refused, now);
    return true;
}

void Orders::stop(Instant now, const RunId &run)
{
    beginStop(orders_[run], now);
}

void Orders::beginStop(Order &order, Instant now)
{
    if (isUncalled(order)) {
        enter(order, Phase::Refused, now);
    } else if (order.phase_ == Phase::Starting || order.phase_ == Phase::Started || order.phase_ == Phase::Lost) {
        enter(order, Phase::Stopping, now);
        order.callAt_ = now;
    }
}

void Orders::stopPendingStarts(Instant now)
{
    for (auto &[run, order] : orders_) {
        if (order.phase_ != Phase::Starting) {
            continue;
        }
        order.attempts_ = maxStartAttempts;
        if (order.callAt_ || order.awaitsAnswer_) {
            beginStop(order, now);
        }
    }
}

std::vector<RunId> Orders::giveUpUnanswered(Instant now)
{
    std::vector<RunId> givenUp;
    for (auto &[run, order] : orders_) {
        if (order.awaitsAnswer_ && now - order.phaseSince_ > maxAnswerWait) {
            beginStop(order, now);
            givenUp.push_back(run);
        }
    }
    return givenUp;
}

void Orders::stopUnwantedStarts(Instant now)
{
    for (auto &[run, order] : orders_) {
        if (order.phase_ == Phase::Starting && order.callAt_ && now - order.wantedAt_ > maxStartOrderAge) {
            beginStop(order, now);
        }
    }
}

std::vector<RunId> Orders::takeDue(Instant now)
{
    stopUnwantedStarts(now);
    std::vector<RunId> due;
    for (auto &[run, order] : orders_) {
        if (order.callAt_ && *order.callAt_ <= now) {
            order.callAt_.reset();
            due.push_back(run);
        }
    }
    return due;
}

const StartOrder *Orders::startOf(const RunId &run) const
{
    const Order &order = orders_.at(run);
    return order.phase_ == Phase::Starting ? &order.start_ : nullptr;
}

void Orders::recordStartCall(const RunId &run)
{
    Order &order = orders_.at(run);
    ++order.attempts_;
    ++order.callsInProgress_;
}

void Orders::giveUpStart(Instant now, const RunId &run, bool isAway)
{
    Order &order = orders_.at(run);
    if (order.attempts_ > 0 || (isAway && mayHaveStarted(order, now))) {
        stop(now, run);
    } else if (isAway) {
        enter(order, Phase::Refused, now);
    } else {
        orders_.erase(run);
    }
}

Orders::StartOutcome Orders::startAnswered(Instant now, const RunId &run, OrderAnswer answer, bool connectionRefused)
{
    if (answer == OrderAnswer::Unknown) {
        lateStartsUntil_ = now + maxCallDelay;
    }
    const auto found = orders_.find(run);
    if (found == orders_.end() || found->second.isOfFormerName_) {
        return StartOutcome::NotAwaited;
    }
    Order &order = found->second;
    order.callsInProgress_ = std::max(0, order.callsInProgress_ - 1);
    order.wasAccepted_ = order.wasAccepted_ || answer == OrderAnswer::Accepted;
    if (answer == OrderAnswer::Unknown) {
        order.unansweredAt_ = now;
        ++order.unansweredCalls_;
    }
    if (order.phase_ == Phase::Lost) {
        lostStartAnswered(order, answer, now);
    }
    if (order.phase_ != Phase::Starting) {
        return StartOutcome::NotAwaited;
    }
    if (answer == OrderAnswer::Unknown || (connectionRefused && mayHaveStarted(order, now))) {
        if (order.attempts_ < maxStartAttempts) {
            order.callAt_ = now + retryDelay;
        } else {
            stop(now, run);
        }
        return StartOutcome::Unanswered;
    }
    if (answer == OrderAnswer::Accepted) {
        enter(order, Phase::Started, now);
        return StartOutcome::Started;
    }
    if (answer == OrderAnswer::AlreadyEnded) {
        enter(order, Phase::Stopped, now);
        return StartOutcome::Stopped;
    }
    if (mayHaveStarted(order, now)) {
        stop(now, run);
        return StartOutcome::Stopped;
    }
    enter(order, Phase::Refused, now);
    return StartOutcome::Refused;
}

void Orders::lostStartAnswered(Order &order, OrderAnswer answer, Instant now)
{
    if (answer == OrderAnswer::Accepted) {
        enter(order, Phase::Started, now);
    } else if (answer == OrderAnswer::Refused && !order.unansweredAt_ && !order.mayHaveFormerCalls_) {
        enter(order, Phase::Refused, now);
    }
}

bool Orders::stopAnswered(Instant now, const RunId &run, OrderAnswer answer)
{
    const auto found = orders_.find(run);
    if (found == orders_.end()) {
        return true;
    }
    Order &order = found->second;
    const bool isOther = std::exchange(order.stopAnswer_, answer) != answer;
    if (order.phase_ != Phase::Stopping) {
        return isOther;
    }
    if (answer == OrderAnswer::Accepted || answer == OrderAnswer::AlreadyEnded) {
        enter(order, Phase::Stopped, now);
        return isOther;
    }
    order.wasStopRefused_ = order.wasStopRefused_ || answer == OrderAnswer::Refused;
    order.callAt_ = now + (stopOverdue(order, now) > Duration(0) ? overdueStopRetryDelay : retryDelay);
    return isOther;
}

Duration Orders::stopOverdue(const Order &order, Instant now)
{
    const Duration age = now - order.phaseSince_;
    return order.phase_ == Phase::Stopping && order.wasStopRefused_ && age > maxStopTime ? age : Duration(0);
}

Duration Orders::stopOverdue(Instant now, const RunId &run) const
{
    const auto found = orders_.find(run);
    return found == orders_.end() ? Duration(0) : stopOverdue(found->second, now);
}

bool Orders::isAnyStopOverdue(Instant now) const
{
    return std::any_of(orders_.begin(), orders_.end(), [now](const auto &entry) { return stopOverdue(entry.second, now) > Duration(0); });
}

bool Orders::areAllStopsOverdue(Instant now, const std::vector<RunningTask> &running) const
{
    const bool isAnyStarting = std::any_of(orders_.begin(), orders_.end(), [](const auto &entry) {
        const Order &order = entry.second;
        return order.phase_ == Phase::Starting || (order.phase_ == Phase::Started && !order.listed_);
    });
    return !running.empty() && !isAnyStarting
        && std::all_of(running.begin(), running.end(), [&](const RunningTask &task) { return stopOverdue(now, task.run_) > Duration(0); });
}

/// Returns whether \p lists show that \p run, whose stop hasn't been carried out, has ended or has never started.
bool Orders::hasEndedUnstopped(const RunId &run, const Order &order, const ListedRuns &lists) const
{
    const bool mayStart = order.hasStarted_ || !knowsAllCalls(lists.sentAt_);
    const bool isMissing = lists.complete_ && lists.sentAt_ > order.phaseSince_ && !lists.running_.contains(run);
    return lists.ended_.contains(run) || (isMissing && !mayStart);
}

bool Orders::applyLists(Instant now, const ListedRuns &lists)
{
    bool changed = false;
    for (auto &[run, order] : orders_) {
        const bool isListed = lists.running_.contains(run) || lists.ended_.contains(run);
        const bool stopLimitPassed = lists.sentAt_ > order.phaseSince_ + stopLimit_;
        const bool isStopped = order.phase_ == Phase::Stopped && stopLimitPassed && !isListed && lists.complete_;
        const bool hasEnded = isStopped || (order.phase_ == Phase::Stopping && hasEndedUnstopped(run, order, lists));
        // A run that is only missing may still begin if its stop hasn't been carried out.
        order.hasEnded_ = isStopped || (order.phase_ == Phase::Stopping && lists.ended_.contains(run));
        if (isListed && (order.phase_ == Phase::Starting || order.phase_ == Phase::Lost)) {
            enter(order, Phase::Started, now);
        } else if (order.phase_ == Phase::Lost) {
            beginStop(order, now); // the executor hasn't ended after all, or its next incarnation must not start the run
        } else if (hasEnded && !mayStartLate(order, lists.sentAt_)) {
            enter(order, Phase::Ended, now);
            changed = true;
        } else if (order.phase_ == Phase::Started && lists.sentAt_ > order.phaseSince_) {
            order.listed_ = true;
        }
    }
    return changed;
}

/// Returns whether a call of the start, by this process or a former one, could be carried out after \p emptyAt.
bool Orders::mayStartAfter(const Order &order, Instant emptyAt) const
{
    return mayStartLate(order, emptyAt) || (order.isOfUnknownExecutor_ && !knowsAllCalls(emptyAt));
}

void Orders::executorEnded(Instant now, Instant emptyAt, bool isHeardOf)
{
    for (auto &[run, order] : orders_) {
        order.isOfUnknownExecutor_ = order.isOfUnknownExecutor_ || !isHeardOf;
        if (isUncalled(order)) {
            enter(order, Phase::Refused, now);
        } else if (order.phase_ != Phase::Refused) {
            enter(order, mayStartAfter(order, emptyAt) ? Phase::Lost : Phase::Ended, now);
        }
    }
}

bool Orders::settleLostStarts(Instant now, Instant emptyAt)
{
    bool changed = false;
    for (auto &[run, order] : orders_) {
        if (order.phase_ == Phase::Lost && !mayStartAfter(order, emptyAt)) {
            enter(order, Phase::Ended, now);
            changed = true;
        }
    }
    return changed;
}

void Orders::prune(Instant now, Instant knownAt)
{
    std::erase_if(orders_, [now, knownAt](const auto &entry) {
        const auto &[run, order] = entry;
        const bool closed = order.phase_ == Phase::Refused || order.phase_ == Phase::Ended || (order.phase_ == Phase::Started && order.listed_);
        return closed && !mayStartLate(order, knownAt) && now - order.phaseSince_ > orderRetention;
    });
}

std::size_t Orders::lateStarts(Instant now) const
{
    const auto isLate = [now](const auto &entry) { return mayStartLate(entry.second, now); };
    return static_cast<std::size_t>(std::count_if(orders_.begin(), orders_.end(), isLate));
}

bool Orders::mayStartLate(Instant now, const RunId &run) const
{
    const auto found = orders_.find(run);
    return found != orders_.end() && mayStartLate(found->second, now);
}

bool Orders::isLost(const RunId &run) const
{
    const auto found = orders_.find(run);
    return found != orders_.end() && found->second.phase_ == Phase::Lost;
}

int Orders::attempts(const RunId &run) const
{
    const auto found = orders_.find(run);
    return found == orders_.end() ? 0 : found->second.attempts_;
}

bool Orders::isAnyAwaitingAnswer() const
{
    return std::any_of(orders_.begin(), orders_.end(), [](const auto &entry) { return entry.second.awaitsAnswer_; });
}

bool Orders::isAnyOpen() const
{
    return std::any_of(orders_.begin(), orders_.end(), [](const auto &entry) {
        const Phase phase = entry.second.phase_;
        return phase != Phase::Refused && phase != Phase::Lost && phase != Phase::Ended;
    });
}

/// Returns the runs whose ends \p report holds.
std::set<RunId> Orders::endedRuns(const Report &report)
{
    std::set<RunId> runs;
    for (const EndedRun &end : report.ended_) {
        runs.insert(end.run_);
    }
    return runs;
}

void Orders::addTo(Report &report, Instant now) const
{
    const std::set<RunId> ended = endedRuns(report);
    for (const auto &[run, order] : orders_) {
        if (ended.contains(run) && !mayStartLate(order, now)) {
            continue;
        }
        const bool unlisted = order.phase_ == Phase::Started && (!order.listed_ || mayStartLate(order, now));
        const bool stopping = order.phase_ == Phase::Stopping || order.phase_ == Phase::Stopped;
        const bool starting = order.phase_ == Phase::Starting && !isUncalled(order);
        if (starting || unlisted || stopping || order.phase_ == Phase::Lost) {
            report.starting_.push_back(run);
            if (order.hasEnded_) {
                report.ended_.push_back({provisionalEnd, run, EndKind::Stopped, ""});
            }
        } else if (order.phase_ == Phase::Refused) {
            report.settled_.push_back({run, OrderOutcome::Refused});
        } else if (order.phase_ == Phase::Ended) {
            report.settled_.push_back({run, OrderOutcome::StopConfirmed});
        }
    }
}

}
