#include "batch/cluster_impl.h"

namespace bergamotwick::test {

using batch::OrderAnswer;

namespace {

/// How long the agent's polling loop pauses after a poll that returned ends, and while it knows no executor.
constexpr milliseconds shortPollPause{50};

constexpr const char *timeoutReason = "timeout";
constexpr const char *fencedReason = "fence";
constexpr const char *notConnectedReason = "not-connected";

constexpr milliseconds connectTimeout{300};

template<class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

batch::AgentInput makeAnswer(const batch::CallStart &call, OrderAnswer answer, const std::string &reason, bool connectionRefused)
{
    const bool wasSent = !connectionRefused && reason != notConnectedReason;
    return batch::StartAnswered{call.order_.run_, answer, reason, connectionRefused, wasSent, call.extension_};
}

batch::AgentInput makeAnswer(const batch::CallStop &call, OrderAnswer answer, const std::string &reason, bool)
{
    return batch::StopAnswered{call.run_, answer, reason};
}

batch::AgentInput makeAnswer(const batch::PollCall &call, OrderAnswer answer, const std::string &reason, bool connectionRefused)
{
    const bool wasSent = !connectionRefused && reason != notConnectedReason;
    const batch::CallFailure failure = !wasSent ? batch::CallFailure::NotSent
        : answer == OrderAnswer::Unknown        ? batch::CallFailure::Unanswered
                                                : batch::CallFailure::Rejected;
    return batch::PollFailed{connectionRefused, reason == fencedReason, call.fencingToken_, call.acknowledged_, failure, call.extension_};
}

template<class Call>
batch::AgentInput makeAnswer(const Call &call, OrderAnswer answer, const std::string &reason, bool connectionRefused = false)
{
    return std::visit([&](const auto &any) { return makeAnswer(any, answer, reason, connectionRefused); }, call);
}

std::string reasonOf(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "";
    case OrderResult::Fenced:
        return fencedReason;
    case OrderResult::StaleRun:
        return "old";
    case OrderResult::LeaseExpired:
        return "late";
    case OrderResult::OtherExecutor:
        break;
    }
    return "other-incarnation";
}

OrderAnswer answerOf(OrderResult result)
{
    return result == OrderResult::Accepted ? OrderAnswer::Accepted : result == OrderResult::StaleRun ? OrderAnswer::AlreadyEnded : OrderAnswer::Refused;
}

template<class Call>
milliseconds timeoutOf(const Call &call)
{
    const auto *poll = std::get_if<batch::PollCall>(&call);
    return callTimeout + (poll ? poll->wait_ : milliseconds(0));
}

}

bool Cluster::Impl::has(const Host &host, CallFault fault) const
{
    const auto found = host.callFaults_.find(fault);
    return found != host.callFaults_.end() && found->second > now_;
}

void Cluster::Impl::pollContinuously(std::size_t index, std::uint64_t agentIncarnation)
{
    Host &host = hosts_[index];
    if (host.agentIncarnation_ != agentIncarnation || host.agentDown_) {
        return;
    }
    const auto next = [this, index, agentIncarnation] { pollContinuously(index, agentIncarnation); };
    if (host.frozenUntil_ > now_) {
        schedule(host.frozenUntil_, next);
        return;
    }
    batch::PollCall call = host.agent_->nextPoll(agentTime(host));
    if (call.incarnation_.executor_.empty()) {
        schedule(now_ + shortPollPause, next);
        return;
    }
    send(index, std::move(call), next);
}

void Cluster::Impl::enqueueCall(std::size_t index, Call call)
{
    hosts_[index].waitingCalls_.push_back(std::move(call));
    sendWaitingCalls(index);
}

void Cluster::Impl::sendWaitingCalls(std::size_t index)
{
    Host &host = hosts_[index];
    while (host.frozenUntil_ <= now_ && host.busyThreads_ < callThreads && !host.waitingCalls_.empty()) {
        Call call = std::move(host.waitingCalls_.front());
        host.waitingCalls_.pop_front();
        const auto *start = std::get_if<batch::CallStart>(&call);
        if (start && agentTime(host) > start->sendBefore_) {
            stepAgent(index, {makeAnswer(*start, OrderAnswer::Refused, "not-sent-in-time", false)});
            continue;
        }
        ++host.busyThreads_;
        send(index, std::move(call), [this, index] {
            --hosts_[index].busyThreads_;
            sendWaitingCalls(index);
        });
    }
}

milliseconds Cluster::Impl::transitTime(const Host &host)
{
    const auto longest = static_cast<int>(callTimeout.count() / 2);
    return has(host, CallFault::Slow) ? randomDelay(1, longest) : netLatency;
}

void Cluster::Impl::send(std::size_t index, Call call, std::function<void()> onAnswered)
{
    const Host &host = hosts_[index];
    const SentCall sent{index, host.agentIncarnation_, std::move(call), now_, agentTime(host), std::move(onAnswered)};
    const bool isPoll = std::holds_alternative<batch::PollCall>(sent.call_);
    if ((host.executorDown_ && !host.silent_) || has(host, CallFault::Refusing)) {
        deliver(sent, now_ + netLatency, makeAnswer(sent.call_, OrderAnswer::Refused, "nobody-listens", true));
        return;
    }
    if (has(host, CallFault::NotConnected)) {
        deliver(sent, now_ + connectTimeout, makeAnswer(sent.call_, OrderAnswer::Refused, notConnectedReason));
        return;
    }
    if (chance(isPoll ? faults_->delayedPollRate_ : faults_->delayedOrderRate_)) {
        delayCall(index, sent.call_);
        leaveUnanswered(sent);
        return;
    }
    if (host.executorDown_ || host.executorDisconnectedUntil_ > now_ || has(host, CallFault::CallsLost)) {
        leaveUnanswered(sent);
        return;
    }
    schedule(now_ + transitTime(host), [this, sent] { arrive(sent); });
}

void Cluster::Impl::delayCall(std::size_t index, const Call &call)
{
    if (faults_->lateCallsAtBirth_) {
        hosts_[index].callsAtBirth_.push_back({call, now_});
        return;
    }
    const auto delay = randomDelay(static_cast<int>(minLateCallDelay.count()), static_cast<int>(maxLateCallDelay.count()));
    schedule(now_ + delay, [this, index, call, calledAt = now_] { carryOutLate(index, call, calledAt); });
}

/// Carries out the calls that waited for this executor, and keeps those that were made too shortly ago for the one after it.
void Cluster::Impl::carryOutCallsAtBirth(std::size_t index)
{
    std::vector<CallAtBirth> calls;
    if (faults_->lateCallsAtBirth_) {
        std::swap(calls, hosts_[index].callsAtBirth_);
    }
    for (CallAtBirth &late : calls) {
        const Duration age = now_ - late.calledAt_;
        if (age < minLateCallDelay) {
            hosts_[index].callsAtBirth_.push_back(std::move(late));
        } else if (age <= maxLateCallDelay) {
            carryOutLate(index, late.call_, late.calledAt_);
        }
    }
}

void Cluster::Impl::carryOutLate(std::size_t index, const Call &call, Instant calledAt)
{
    Host &host = hosts_[index];
    if (host.executorDown_ || has(host, CallFault::Unhealthy)) {
        return;
    }
    advanceExecutors();
    lateCallAt_ = calledAt;
    std::visit(
        Overloaded{[&](const batch::PollCall &poll) { (void)host.executor_->poll(poll, now_); }, [&](const auto &order) { (void)execute(index, order); }},
        call);
    lateCallAt_.reset();
}

void Cluster::Impl::arrive(const SentCall &sent)
{
    Host &host = hosts_[sent.host_];
    if (host.executorDown_ && !host.silent_) {
        deliver(sent, now_ + netLatency, makeAnswer(sent.call_, OrderAnswer::Unknown, "reset"));
        return;
    }
    if (host.executorDown_ || host.executorDisconnectedUntil_ > now_) {
        leaveUnanswered(sent);
        return;
    }
    if (has(host, CallFault::Unhealthy)) {
        answer(sent, makeAnswer(sent.call_, OrderAnswer::Refused, "status-503"));
        return;
    }
    advanceExecutors();
    std::visit(Overloaded{[&](const batch::PollCall &poll) {
                              if (host.executor_->poll(poll, now_)) {
                                  waitForEnd(sent, host.executor_->info().incarnation_, now_ + poll.wait_);
                              } else {
                                  const bool isOther = poll.incarnation_.executor_ != host.executor_->info().incarnation_.executor_;
                                  answer(sent,
                                         makeAnswer(sent.call_, OrderAnswer::Refused, reasonOf(isOther ? OrderResult::OtherExecutor : OrderResult::Fenced)));
                              }
                          },
                          [&](const auto &order) {
                              const OrderResult result = execute(sent.host_, order);
                              answer(sent, makeAnswer(sent.call_, answerOf(result), reasonOf(result)));
                          }},
               sent.call_);
}

void Cluster::Impl::waitForEnd(const SentCall &sent, const batch::Incarnation &incarnation, Instant waitEnd)
{
    Host &host = hosts_[sent.host_];
    if (host.executorDown_ || host.executor_->info().incarnation_ != incarnation) {
        if (host.executorDown_ && host.silent_) {
            leaveUnanswered(sent);
        } else {
            deliver(sent, now_ + netLatency, makeAnswer(sent.call_, OrderAnswer::Unknown, "reset"));
        }
        return;
    }
    batch::PollAnswered lists = host.executor_->lists(std::get<batch::PollCall>(sent.call_), now_);
    if (lists.ended_.empty() && now_ < waitEnd) {
        schedule(std::min(waitEnd, now_ + advancePeriod), [this, sent, incarnation, waitEnd] { waitForEnd(sent, incarnation, waitEnd); });
        return;
    }
    lists.sentAt_ = sent.sentAtByAgent_;
    answer(sent, std::move(lists));
}

bool Cluster::Impl::losesAnswer(const SentCall &sent)
{
    const Host &host = hosts_[sent.host_];
    return host.executorDisconnectedUntil_ > now_ || has(host, CallFault::AnswersLost) || chance(faults_->lostAnswerRate_);
}

void Cluster::Impl::answer(const SentCall &sent, batch::AgentInput input)
{
    const auto *start = std::get_if<batch::CallStart>(&sent.call_);
    const auto crashing = start ? crashing_.find(start->order_.run_.task_.job_) : crashing_.end();
    if (crashing != crashing_.end() && !crashing->second.answersStart_) {
        deliver(sent, now_ + netLatency, makeAnswer(sent.call_, OrderAnswer::Unknown, "reset"));
        return;
    }
    const Instant at = now_ + transitTime(hosts_[sent.host_]);
    if (losesAnswer(sent) || at > sent.sentAt_ + timeoutOf(sent.call_)) {
        leaveUnanswered(sent);
    } else {
        deliver(sent, at, std::move(input));
    }
}

void Cluster::Impl::leaveUnanswered(const SentCall &sent)
{
    deliver(sent, std::max(now_, sent.sentAt_ + timeoutOf(sent.call_)), makeAnswer(sent.call_, OrderAnswer::Unknown, timeoutReason));
}

void Cluster::Impl::deliver(const SentCall &sent, Instant at, batch::AgentInput input)
{
    schedule(at, [this, sent, input = std::move(input)]() mutable {
        const Host &host = hosts_[sent.host_];
        if (host.agentIncarnation_ != sent.agentIncarnation_) {
            return;
        }
        const auto *lists = std::get_if<batch::PollAnswered>(&input);
        const auto *failure = std::get_if<batch::PollFailed>(&input);
        const milliseconds pause = failure               ? host.agent_->pollRetryDelay(agentTime(host), failure->refused_)
            : lists != nullptr && !lists->ended_.empty() ? host.agent_->pollDelayAfterEnds()
                                                         : milliseconds(0);
        stepAgent(sent.host_, {std::move(input)});
        schedule(now_ + pause, [this, sent] {
            if (hosts_[sent.host_].agentIncarnation_ == sent.agentIncarnation_) {
                sent.onAnswered_();
            }
        });
    });
}

OrderResult Cluster::Impl::execute(std::size_t index, const batch::CallStart &call)
{
    Host &host = hosts_[index];
    const batch::TaskId &task = call.order_.run_.task_;
    const auto job = std::find_if(jobs_.begin(), jobs_.end(), [&task](const auto &any) { return any.id_ == task.job_; });
    const auto behaviour = behaviours_.find(task.job_);
    milliseconds length = behaviour != behaviours_.end() ? behaviour->second.length_ : job->steps_[task.step_].estimate_;
    const bool fails = host.failingUntil_ > now_ || (behaviour != behaviours_.end() && behaviour->second.fails_);
    length = host.hangingUntil_ > now_ ? milliseconds(std::chrono::hours(1)) : fails ? std::min(length, milliseconds(500)) : length;
    return host.executor_->start(call, now_, length, fails);
}

OrderResult Cluster::Impl::execute(std::size_t index, const batch::CallStop &call)
{
    return hosts_[index].executor_->stop(call, now_);
}

}
