#include "core/batch/agent.h"

#include "core/batch/board.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// Interval of reports while nothing changes; they also serve as the agent's heartbeat.
constexpr milliseconds reportPeriod{500};

/// Maximum number of attempts of a start that isn't answered; the run is then stopped.
constexpr int maxStartAttempts = 3;

/// Delay before an unanswered order is retried. An executor that resets its connections fails calls at once; without a delay the agent
/// would retry continuously.
constexpr milliseconds retryDelay{200};

/// How long the outcome of an order is reported; long enough to outlast a lost connection.
constexpr milliseconds orderRetention{10'000};

/// Returns the longest time in which an executor's clock advances by \p length; the clock may be up to 2 % slow.
constexpr Duration withSlowClockAllowance(Duration length)
{
    return length * 51 / 50;
}

/// Consecutive polls with a refused connection after which the executor counts as crashed. A crashed executor runs nothing.
constexpr int refusedPollsUntilCrashed = 2;

/// Consecutive polls without an answer after which the executor is reported as unresponsive and gets no new work.
constexpr int failedPollsUntilUnresponsive = 2;

}

AgentCore::AgentCore(std::string name, milliseconds stopLimit)
    : name_(std::move(name))
    , stopLimit_(stopLimit)
{
}

std::vector<AgentOutput> AgentCore::step(Instant now, const std::vector<AgentInput> &inputs)
{
    now_ = now;
    for (const AgentInput &input : inputs) {
        std::visit([this](const auto &any) { handle(any); }, input);
    }
    retryOrders();
    pruneOrders();
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
    return pollCall(pollWait);
}

PollCall AgentCore::pollCall(milliseconds wait)
{
    return {executor_.incarnation_, fencingToken(), incarnationConfirmed_ ? acknowledged_ : 0, leaseEnd(), wait};
}

void AgentCore::pollNow()
{
    if (epoch_ != 0 && !executor_.incarnation_.executor_.empty()) {
        outputs_.emplace_back(pollCall(milliseconds(0)));
    }
}

std::int64_t AgentCore::fencingToken() const
{
    // A new incarnation under the same name has seen no token yet, and an order for the previous one may still be in transit. So the token
    // also rises with each incarnation: its low part is the start time in tenths of a second, modulo 2^20, which is more than a day.
    constexpr std::int64_t incarnationModulus = std::int64_t{1} << 20;
    return epoch_ * incarnationModulus + executor_.incarnation_.startTimeMs_ / 100 % incarnationModulus;
}

ExecutorTime AgentCore::executorClock(Instant at) const
{
    return clock_ + std::chrono::duration_cast<milliseconds>(at - clockAt_);
}

std::optional<ExecutorTime> AgentCore::leaseEnd()
{
    const Instant end = std::min(now_ + leaseDuration, permitEnd_);
    if (!clockKnown_ || end <= now_) {
        return std::nullopt;
    }
    lastLeaseEnd_ = std::max(lastLeaseEnd_, now_ + withSlowClockAllowance(end - now_));
    return executorClock(end);
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
    const Instant reportSentAt{directive.echoSentAt_};
    if (directive.permit_) {
        permitEnd_ = std::max(permitEnd_, reportSentAt + permitDuration);
    }
    if (directive.incarnation_ != executor_.incarnation_) {
        return;
    }
    acknowledged_ = std::max(acknowledged_, directive.acknowledged_);
    for (const RunId &run : directive.stops_) {
        beginStop(run);
    }
    if (now_ - reportSentAt > maxStartOrderAge) {
        return; // the leader repeats the orders that it still needs
    }
    for (const StartOrder &start : directive.starts_) {
        beginStart(start);
    }
}

void AgentCore::beginStart(const StartOrder &start)
{
    if (orders_.contains(start.run_)) {
        return;
    }
    Order order{OrderPhase::Starting, executor_.incarnation_, start, now_};
    if (executor_.draining_ || executor_.hasLeft_) {
        order.phase_ = OrderPhase::Refused;
        reportDue_ = true;
        log("start-refused", {{"run", toString(start.run_)}, {"reason", "draining"}});
    }
    Order &inserted = orders_.emplace(start.run_, std::move(order)).first->second;
    if (inserted.phase_ == OrderPhase::Starting) {
        callStart(start.run_, inserted);
    }
}

void AgentCore::callStart(const RunId &run, Order &order)
{
    const auto end = leaseEnd();
    if (!end) {
        orders_.erase(run); // no lease can be granted yet; the leader repeats the order
        return;
    }
    ++order.attempts_;
    outputs_.emplace_back(CallStart{order.incarnation_, order.start_, *end, fencingToken()});
}

/// Stops the starts that haven't been answered, instead of repeating them: they were ordered for a capacity that has shrunk.
void AgentCore::stopPendingStarts()
{
    std::vector<RunId> waiting;
    for (auto &[run, order] : orders_) {
        if (order.phase_ == OrderPhase::Starting) {
            order.attempts_ = maxStartAttempts;
        }
        if (order.phase_ == OrderPhase::Starting && order.retryAt_) {
            waiting.push_back(run);
        }
    }
    for (const RunId &run : waiting) {
        beginStop(run);
    }
}

void AgentCore::beginStop(const RunId &run)
{
    Order &order = orders_[run];
    if (order.phase_ == OrderPhase::Stopping || order.phase_ == OrderPhase::Stopped || order.phase_ == OrderPhase::StopConfirmed
        || order.phase_ == OrderPhase::Refused) {
        return;
    }
    order.phase_ = OrderPhase::Stopping;
    order.retryAt_.reset();
    order.incarnation_ = executor_.incarnation_;
    order.phaseSince_ = now_;
    callStop(run, order);
}

void AgentCore::callStop(const RunId &run, const Order &order)
{
    outputs_.emplace_back(CallStop{order.incarnation_, run, fencingToken()});
}

void AgentCore::handle(const LeaderConnected &)
{
    reportDue_ = true;
}

void AgentCore::handle(const StartAnswered &answer)
{
    const auto found = orders_.find(answer.run_);
    if (found == orders_.end() || found->second.phase_ != OrderPhase::Starting) {
        return; // no longer awaited, for example because a stop order overtook the answer
    }
    Order &order = found->second;
    // An earlier call without an answer may have been carried out, and the executor may have crashed by it.
    const bool mayHaveStarted = answer.connectionRefused_ && order.attempts_ > 1;
    if (answer.answer_ == OrderAnswer::Unknown || mayHaveStarted) {
        incarnationConfirmed_ = false;
        log("start-unanswered", {{"run", toString(answer.run_)}, {"tries", std::to_string(order.attempts_)}, {"reason", answer.reason_}});
        if (order.attempts_ < maxStartAttempts) {
            order.retryAt_ = now_ + retryDelay;
        } else {
            beginStop(answer.run_);
        }
        return;
    }
    const bool accepted = answer.answer_ == OrderAnswer::Accepted;
    order.phase_ = accepted ? OrderPhase::Started : OrderPhase::Refused;
    order.phaseSince_ = now_;
    reportDue_ = reportDue_ || !accepted;
    log(accepted ? "started" : "start-refused", {{"run", toString(answer.run_)}, {"reason", answer.reason_}});
}

void AgentCore::handle(const StopAnswered &answer)
{
    const auto found = orders_.find(answer.run_);
    if (found == orders_.end() || found->second.phase_ != OrderPhase::Stopping) {
        return;
    }
    if (answer.answer_ == OrderAnswer::Unknown) {
        found->second.retryAt_ = now_ + retryDelay;
        return;
    }
    found->second.phase_ = OrderPhase::Stopped;
    found->second.phaseSince_ = now_;
}

void AgentCore::handle(const HeartbeatReceived &heartbeat)
{
    Incarnation incarnation = heartbeat.executor_.incarnation_;
    incarnation.host_ = name_;
    const bool sameIncarnation = incarnation == executor_.incarnation_;
    if (incarnation.startTimeMs_ < executor_.incarnation_.startTimeMs_ || (sameIncarnation && heartbeat.sequence_ <= heartbeatSequence_)) {
        log("heartbeat-ignored", {{"executor", incarnation.executor_.str()}, {"born", std::to_string(incarnation.startTimeMs_)}});
        return;
    }
    if (!sameIncarnation) {
        log("executor-seen", {{"executor", incarnation.executor_.str()}, {"born", std::to_string(incarnation.startTimeMs_)}});
        listsValid_ = false;
        incarnationConfirmed_ = false;
        clockKnown_ = false;
        acknowledged_ = 0;
        orders_.clear();
        lastLeaseEnd_ = now_ + withSlowClockAllowance(leaseDuration); // a previous process of this agent may just have granted a lease
    }
    const bool infoChanged = !sameIncarnation || heartbeat.executor_.draining_ != executor_.draining_ || heartbeat.executor_.capacity_ != executor_.capacity_;
    reportDue_ = reportDue_ || infoChanged;
    if (sameIncarnation && !heartbeat.executor_.capacity_.covers(executor_.capacity_)) {
        stopPendingStarts();
    }
    heartbeatSequence_ = heartbeat.sequence_;
    const bool hasLeft = sameIncarnation && executor_.hasLeft_;
    executor_ = heartbeat.executor_;
    executor_.incarnation_ = incarnation;
    executor_.hasLeft_ = hasLeft;
    if (!sameIncarnation) {
        pollNow();
    }
}

void AgentCore::handle(const ExecutorLeft &left)
{
    if (left.executor_ != executor_.incarnation_.executor_) {
        return;
    }
    log("executor-left", {{"executor", left.executor_.str()}});
    executor_.hasLeft_ = true;
    reportDue_ = true;
}

void AgentCore::handle(const PollAnswered &answer)
{
    refusedPolls_ = 0;
    failedPolls_ = 0;
    incarnationConfirmed_ = answer.startTimeMs_ == executor_.incarnation_.startTimeMs_;
    if (answer.startTimeMs_ != executor_.incarnation_.startTimeMs_ || executor_.incarnation_.executor_.empty()) {
        return; // the next heartbeat announces the present incarnation
    }
    // The executor read its clock before the answer arrived, so its clock at clockAt_ is at least clock_. Apart from clock drift, leases
    // computed from clock_ thus end early rather than late.
    clock_ = answer.clock_;
    clockAt_ = now_;
    clockKnown_ = true;
    if (answer.fencingToken_ != fencingToken() || epoch_ == 0) {
        return;
    }
    if (listsValid_ && answer.sentAt_ < listsSentAt_) {
        return; // the answer to a later poll has already been processed
    }
    listsSentAt_ = answer.sentAt_;
    const bool changed = !listsValid_ || answer.running_.size() != running_.size() || !answer.ended_.empty();
    listsValid_ = true;
    listedAt_ = std::min(now_, answer.sentAt_ + answer.wait_).time_since_epoch();
    running_ = answer.running_;
    ended_ = answer.ended_;
    std::erase_if(ended_, [this](const EndedRun &end) { return end.number_ <= acknowledged_; });
    settleOrders(answer);
    reportDue_ = reportDue_ || changed;
}

void AgentCore::settleOrders(const PollAnswered &answer)
{
    std::map<RunId, bool> listed;
    for (const RunningTask &task : answer.running_) {
        listed[task.run_] = true;
    }
    for (const EndedRun &end : answer.ended_) {
        listed[end.run_] = true;
    }
    for (auto &[run, order] : orders_) {
        const bool stopLimitPassed = answer.sentAt_ > order.phaseSince_ + stopLimit_;
        if (order.phase_ == OrderPhase::Stopped && stopLimitPassed && !listed.contains(run)) {
            order.phase_ = OrderPhase::StopConfirmed;
            order.phaseSince_ = now_;
            reportDue_ = true;
        }
        if (order.phase_ == OrderPhase::Started && answer.sentAt_ > order.phaseSince_) {
            order.listed_ = true;
        }
    }
}

void AgentCore::handle(const PollFailed &failure)
{
    refusedPolls_ = failure.refused_ ? refusedPolls_ + 1 : 0;
    incarnationConfirmed_ = false;
    reportDue_ = reportDue_ || failedPolls_ + 1 == failedPollsUntilUnresponsive;
    ++failedPolls_;
    if (executor_.incarnation_.executor_.empty() || epoch_ == 0) {
        return;
    }
    if (refusedPolls_ >= refusedPollsUntilCrashed) {
        assumeNothingRuns("executor-gone");
    } else if (clockKnown_ && now_ > lastLeaseEnd_) {
        assumeNothingRuns("lease-over");
    }
}

void AgentCore::assumeNothingRuns(const char *reason)
{
    const auto isOpen = [](const auto &entry) { return entry.second.phase_ != OrderPhase::Refused && entry.second.phase_ != OrderPhase::StopConfirmed; };
    if (listsValid_ && running_.empty() && ended_.empty() && std::none_of(orders_.begin(), orders_.end(), isOpen)) {
        return;
    }
    log("executor-empty", {{"executor", executor_.incarnation_.executor_.str()}, {"reason", reason}});
    listsValid_ = true;
    listedAt_ = now_.time_since_epoch();
    running_.clear();
    ended_.clear();
    for (auto &[run, order] : orders_) {
        // A start that wasn't answered may have been carried out before.
        order.phase_ = order.phase_ == OrderPhase::Refused ? OrderPhase::Refused : OrderPhase::StopConfirmed;
        order.phaseSince_ = now_;
    }
    reportDue_ = true;
}

void AgentCore::retryOrders()
{
    std::vector<RunId> due;
    for (const auto &[run, order] : orders_) {
        if (order.retryAt_ && *order.retryAt_ <= now_) {
            due.push_back(run);
        }
    }
    for (const RunId &run : due) {
        Order &order = orders_.at(run);
        order.retryAt_.reset();
        if (order.phase_ == OrderPhase::Starting) {
            callStart(run, order);
        } else if (order.phase_ == OrderPhase::Stopping) {
            callStop(run, order);
        }
    }
}

void AgentCore::pruneOrders()
{
    std::erase_if(orders_, [this](const auto &entry) {
        const OrderPhase phase = entry.second.phase_;
        const bool open = phase == OrderPhase::Starting || phase == OrderPhase::Stopping || phase == OrderPhase::Stopped;
        return !open && now_ - entry.second.phaseSince_ > orderRetention;
    });
}

Report AgentCore::report()
{
    Report report;
    report.agent_ = name_;
    report.sequence_ = ++sequence_;
    report.sentAt_ = now_.time_since_epoch();
    report.epoch_ = epoch_;
    report.responsive_ = failedPolls_ < failedPollsUntilUnresponsive;
    report.listsValid_ = listsValid_;
    report.listedAt_ = listedAt_;
    report.executor_ = executor_;
    report.running_ = running_;
    report.ended_ = ended_;
    for (const auto &[run, order] : orders_) {
        const bool unlisted = order.phase_ == OrderPhase::Started && !order.listed_;
        if (order.phase_ == OrderPhase::Starting || unlisted) {
            report.starting_.push_back(run);
        } else if (order.phase_ == OrderPhase::Refused) {
            report.settled_.push_back({run, OrderOutcome::Refused});
        } else if (order.phase_ == OrderPhase::StopConfirmed) {
            report.settled_.push_back({run, OrderOutcome::StopConfirmed});
        }
    }
    return report;
}

void AgentCore::log(std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    outputs_.emplace_back(LogEvent{std::move(event), std::move(fields)});
}

}
