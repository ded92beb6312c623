#include "model/call_results.h"
#include "model/world.h"
#include "model/world_times.h"

namespace bergamotwick::model {

using batch::milliseconds;

namespace {

constexpr milliseconds lateDelay{2'500};
constexpr milliseconds laterDelay{7'000};

/// Delay before the next poll while the agent knows no executor.
constexpr milliseconds unknownExecutorDelay{50};

/// After an order, polls of its executor are choice points for this time.
constexpr milliseconds pollRelevance{1'000};

/// Added to leases of executors whose leases don't expire.
constexpr std::chrono::hours endlessLease{1};

std::string nameOf(const batch::CallStart &call)
{
    return "start " + batch::toString(call.order_.run_);
}

std::string nameOf(const batch::CallStop &call)
{
    return "stop " + batch::toString(call.run_);
}

CallResult toCallResult(test::OrderResult result)
{
    switch (result) {
    case test::OrderResult::Accepted:
        return CallResult::Ok;
    case test::OrderResult::StaleRun:
        return CallResult::AlreadyEnded;
    case test::OrderResult::Fenced:
    case test::OrderResult::LeaseExpired:
    case test::OrderResult::OtherExecutor:
        break;
    }
    return CallResult::Conflict;
}

/// The agent's shell doesn't send a start that has waited for too long.
bool isSentInTime(const batch::CallStart &call, Instant sentAt)
{
    return sentAt <= call.sendBefore_;
}

bool isSentInTime(const batch::CallStop & /*call*/, Instant /*sentAt*/)
{
    return true;
}

bool isLate(OrderFate fate)
{
    return fate == OrderFate::Late || fate == OrderFate::Later || fate == OrderFate::AtNextIncarnation;
}

}

void World::stepAgent(std::size_t index, const std::vector<batch::AgentInput> &inputs)
{
    Host &host = hosts_[index];
    if (now_ < host.agentFrozenUntil_) {
        host.heldInputs_.insert(host.heldInputs_.end(), inputs.begin(), inputs.end());
        return;
    }
    for (batch::AgentOutput &output : host.agent_->step(now_, inputs)) {
        if (const auto *start = std::get_if<batch::CallStart>(&output)) {
            sendOrder(index, *start);
        } else if (const auto *stop = std::get_if<batch::CallStop>(&output)) {
            sendOrder(index, *stop);
        } else if (const auto *poll = std::get_if<batch::PollCall>(&output)) {
            sendPoll(index, *poll, false);
        } else if (auto *report = std::get_if<batch::Report>(&output)) {
            sendReport(index, std::move(*report));
        } else if (const auto *event = std::get_if<batch::LogEvent>(&output)) {
            traceLog(host.name_, *event);
        }
    }
}

void World::deliverToAgent(std::size_t index, std::uint64_t agentLife, Duration delay, batch::AgentInput input)
{
    schedule(now_ + delay, [this, index, agentLife, input = std::move(input)] {
        if (hosts_[index].agentLife_ == agentLife) {
            stepAgent(index, {input});
        }
    });
}

void World::sendReport(std::size_t index, batch::Report report)
{
    if (!hosts_[index].leader_) {
        return;
    }
    schedule(now_ + netLatency, [this, leader = *hosts_[index].leader_, report = std::move(report)]() mutable {
        std::vector<batch::LeaderInput> inputs;
        inputs.emplace_back(std::move(report));
        stepLeader(leader, std::move(inputs));
    });
}

void World::deliverDirective(const std::string &agent, std::uint64_t agentLife, const batch::Directive &directive)
{
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        const Host &host = hosts_[index];
        if (host.name_ == agent && host.agentLife_ == agentLife && now_ >= host.cutFromLeadersUntil_) {
            stepAgent(index, {directive});
        }
    }
}

template<class Call>
void World::sendOrder(std::size_t index, const Call &call)
{
    Host &host = hosts_[index];
    host.ordered_ = true;
    host.lastOrderAt_ = now_;
    const auto fate = choose<OrderFate>([&] { return nameOf(call) + " on " + host.name_; }, orderFates);
    if (traced_) {
        trace(host.name_, "calls", nameOf(call) + ":", orderFates[static_cast<std::size_t>(fate)]);
    }
    if (fate == OrderFate::AgentFreezes) {
        freezeAgent(index, agentFreeze);
    }
    const Instant sentAt = std::max(now_, host.agentFrozenUntil_);
    schedule(sentAt + netLatency, [this, index, call, fate, agentLife = host.agentLife_, sentAt] { deliverOrder(index, agentLife, call, fate, sentAt); });
}

template<class Call>
void World::deliverOrder(std::size_t index, std::uint64_t agentLife, const Call &call, OrderFate fate, Instant sentAt)
{
    const Host &host = hosts_[index];
    const auto answer = [&](CallResult result) {
        const bool lost = result == CallResult::NoAnswer || fate == OrderFate::AnswerLost || now_ < host.answersLostUntil_;
        deliverToAgent(index, agentLife, lost ? orderTimeout : netLatency, toAgentInput(call, lost ? CallResult::NoAnswer : result));
    };
    if (host.agentLife_ != agentLife && fate == OrderFate::AgentFreezes) {
        return; // it restarted before it could send the order
    }
    if (!isSentInTime(call, sentAt)) {
        return answer(CallResult::Conflict);
    }
    if (isLate(fate)) {
        const auto carryOutCall = [this, index, call, sentAt] { carryOutLate(index, call, sentAt); };
        ++lateCalls_;
        if (fate == OrderFate::AtNextIncarnation) {
            carryOutAtNextIncarnation(index, sentAt, carryOutCall);
        } else {
            schedule(sentAt + (fate == OrderFate::Late ? lateDelay : laterDelay), carryOutCall);
        }
        return answer(CallResult::NoAnswer);
    }
    if (fate == OrderFate::NotCarriedOut || now_ < host.requestsLostUntil_) {
        return answer(CallResult::NoAnswer);
    }
    if (fate == OrderFate::ConnectionRefused || !host.executor_) {
        return answer(CallResult::ConnectionRefused);
    }
    if (fate == OrderFate::Unavailable || now_ < host.unavailableUntil_) {
        return answer(CallResult::Unavailable);
    }
    answer(toCallResult(*carryOut(index, call, sentAt)));
}

/// Calls \p carryOutCall just after the start of the host's next executor, but at least shortestDelay and at most longestDelay after \p sentAt.
void World::carryOutAtNextIncarnation(std::size_t index, Instant sentAt, const std::function<void()> &carryOutCall)
{
    const auto pending = std::make_shared<bool>(true);
    const auto once = [carryOutCall, pending] {
        if (std::exchange(*pending, false)) {
            carryOutCall();
        }
    };
    hosts_[index].atNextIncarnation_.emplace_back([this, once, sentAt] { schedule(std::max(now_, sentAt + shortestDelay), once); });
    schedule(sentAt + longestDelay, once);
}

template<class Call>
void World::carryOutLate(std::size_t index, const Call &call, Instant sentAt)
{
    --lateCalls_;
    trace(hosts_[index].name_, "late order arrives:", nameOf(call));
    (void)carryOut(index, call, sentAt);
}

std::optional<test::OrderResult> World::carryOut(std::size_t index, const batch::CallStart &call, Instant sentAt)
{
    const Host &host = hosts_[index];
    if (!host.executor_) {
        return std::nullopt;
    }
    batch::CallStart order = call;
    order.leaseEnd_ += disabled_.leaseExpiry_ ? endlessLease : 0h;
    milliseconds length{0};
    for (const batch::Submission &job : jobs_) {
        length = job.id_ == call.order_.run_.task_.job_ ? job.steps_[call.order_.run_.task_.step_].estimate_ : length;
    }
    orderSentAt_ = sentAt;
    const test::OrderResult result = host.executor_->start(order, now_, length, false);
    if (result != test::OrderResult::Accepted) {
        trace(host.name_, "start refused:", static_cast<int>(result));
    }
    return result;
}

std::optional<test::OrderResult> World::carryOut(std::size_t index, const batch::CallStop &call, Instant /*sentAt*/)
{
    if (!hosts_[index].executor_) {
        return std::nullopt;
    }
    return hosts_[index].executor_->stop(call, now_);
}

std::optional<batch::PollAnswered> World::carryOut(std::size_t index, const batch::PollCall &call)
{
    const Host &host = hosts_[index];
    if (!host.executor_) {
        return std::nullopt;
    }
    batch::PollCall poll = call;
    if (poll.leaseEnd_ && disabled_.leaseExpiry_) {
        *poll.leaseEnd_ += endlessLease;
    }
    return host.executor_->poll(poll, now_);
}

void World::pollLoop(std::size_t index, std::uint64_t agentLife)
{
    Host &host = hosts_[index];
    if (host.agentLife_ != agentLife) {
        return;
    }
    if (now_ < host.agentFrozenUntil_) {
        schedule(host.agentFrozenUntil_, [this, index, agentLife] { pollLoop(index, agentLife); });
        return;
    }
    const batch::PollCall call = host.agent_->nextPoll(now_);
    if (call.incarnation_.executor_.empty()) {
        schedule(now_ + unknownExecutorDelay, [this, index, agentLife] { pollLoop(index, agentLife); });
        return;
    }
    sendPoll(index, call, true);
}

/// Returns whether the fate of a poll may matter. While a run merely works, a poll only extends its lease; cuts of the agent cover that.
bool World::isPollRelevant(std::size_t index) const
{
    const Host &host = hosts_[index];
    return host.executor_ && (checker_.listsEnd(host.incarnation_) || (host.ordered_ && now_ < host.lastOrderAt_ + pollRelevance));
}

void World::sendPoll(std::size_t index, const batch::PollCall &call, bool isOfLoop)
{
    const Host &host = hosts_[index];
    const auto fate = isPollRelevant(index) ? choose<PollFate>([&] { return "poll of " + host.name_; }, pollFates) : PollFate::Answered;
    const SentPoll poll{call, now_, host.agentLife_, isOfLoop};
    schedule(now_ + netLatency, [this, index, poll, fate] { deliverPoll(index, poll, fate); });
}

void World::deliverPoll(std::size_t index, const SentPoll &poll, PollFate fate)
{
    Host &host = hosts_[index];
    const Duration timeout = poll.call_.wait_ + orderTimeout;
    const bool isLate = fate == PollFate::Late || fate == PollFate::AtNextIncarnation;
    if (isLate) {
        const auto carryOutCall = [this, index, call = poll.call_] {
            --lateCalls_;
            trace(hosts_[index].name_, "late poll arrives");
            (void)carryOut(index, call);
        };
        ++lateCalls_;
        if (fate == PollFate::AtNextIncarnation) {
            carryOutAtNextIncarnation(index, poll.sentAt_, carryOutCall);
        } else {
            schedule(poll.sentAt_ + lateDelay, carryOutCall);
        }
    }
    if (isLate || fate == PollFate::NotCarriedOut || now_ < host.requestsLostUntil_) {
        return finishPoll(index, poll, timeout, toAgentInput(poll.call_, CallResult::NoAnswer));
    }
    if (fate == PollFate::ConnectionRefused || !host.executor_) {
        return finishPoll(index, poll, netLatency, toAgentInput(poll.call_, CallResult::ConnectionRefused));
    }
    const bool isUnavailable = now_ < host.unavailableUntil_;
    auto result = isUnavailable ? std::nullopt : carryOut(index, poll.call_);
    if (fate == PollFate::AnswerLost || now_ < host.answersLostUntil_) {
        return finishPoll(index, poll, timeout, toAgentInput(poll.call_, CallResult::NoAnswer));
    }
    if (!result) {
        const bool isFenced = !isUnavailable && poll.call_.incarnation_.executor_ == host.incarnation_.executor_;
        return finishPoll(index, poll, netLatency, toAgentInput(poll.call_, isFenced ? CallResult::Conflict : CallResult::Unavailable));
    }
    const std::uint64_t number = ++host.lastPollNumber_;
    if (poll.call_.wait_ > milliseconds(0) && result->ended_.empty()) {
        host.waitingPoll_ = WaitingPoll{poll, number};
        schedule(now_ + poll.call_.wait_, [this, index, number] { answerWaitingPoll(index, number); });
        return;
    }
    result->sentAt_ = poll.sentAt_;
    finishPoll(index, poll, netLatency, std::move(*result));
}

void World::answerWaitingPoll(std::size_t index, std::uint64_t number)
{
    Host &host = hosts_[index];
    if (!host.waitingPoll_ || host.waitingPoll_->number_ != number) {
        return;
    }
    const SentPoll waiting = std::exchange(host.waitingPoll_, std::nullopt)->poll_;
    batch::PollCall lists = waiting.call_;
    lists.acknowledged_ = 0;
    lists.leaseEnd_.reset();
    auto result = host.executor_->poll(lists, now_);
    if (now_ < host.answersLostUntil_) {
        return finishPoll(index, waiting, orderTimeout, toAgentInput(waiting.call_, CallResult::NoAnswer));
    }
    if (!result) {
        return finishPoll(index, waiting, netLatency, toAgentInput(waiting.call_, CallResult::Conflict));
    }
    result->sentAt_ = waiting.sentAt_;
    result->wait_ = waiting.call_.wait_;
    finishPoll(index, waiting, netLatency, std::move(*result));
}

void World::breakWaitingPoll(std::size_t index)
{
    if (const auto waiting = std::exchange(hosts_[index].waitingPoll_, std::nullopt)) {
        finishPoll(index, waiting->poll_, netLatency, toAgentInput(waiting->poll_.call_, CallResult::NoAnswer));
    }
}

/// Delivers the result of a poll to its agent after \p delay and continues the agent's polling loop if the poll belongs to it.
void World::finishPoll(std::size_t index, const SentPoll &poll, Duration delay, batch::AgentInput result)
{
    if (auto *answered = std::get_if<batch::PollAnswered>(&result); answered != nullptr && disabled_.incarnationFilter_) {
        answered->startTimeMs_ = poll.call_.incarnation_.startTimeMs_;
    }
    const milliseconds pause = pauseAfter(index, result);
    deliverToAgent(index, poll.agentLife_, delay, std::move(result));
    if (poll.isOfLoop_) {
        schedule(now_ + delay + pause, [this, index, agentLife = poll.agentLife_] { pollLoop(index, agentLife); });
    }
}

milliseconds World::pauseAfter(std::size_t index, const batch::AgentInput &result) const
{
    if (const auto *failure = std::get_if<batch::PollFailed>(&result)) {
        return hosts_[index].agent_->pollRetryDelay(now_, failure->refused_);
    }
    return std::get<batch::PollAnswered>(result).ended_.empty() ? 0ms : hosts_[index].agent_->pollDelayAfterEnds();
}

}
