#pragma once

#include "core/batch/agent.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace bergamotwick::test {

/// An agent with a leader and an executor that has answered a poll with empty lists. The agent's process has run for \p age: for so long that
/// a former process matters no more, by default.
class AgentBench
{
public:
    explicit AgentBench(Duration age = 20s)
    {
        (void)step({});
        advance(age);
        batch::HeartbeatReceived heartbeat;
        heartbeat.executor_.incarnation_ = {ExecutorId("x"), 5'000, ""};
        heartbeat.sequence_ = 1;
        (void)step({heartbeat});
        (void)step({directive()});
        answerPoll({});
    }

    std::vector<batch::AgentOutput> step(const std::vector<batch::AgentInput> &inputs)
    {
        std::vector<batch::AgentOutput> outputs = std::exchange(heldOutputs_, {});
        for (batch::AgentOutput &output : agent_.step(now_, inputs)) {
            outputs.push_back(std::move(output));
        }
        return outputs;
    }

    void advance(Duration length)
    {
        now_ += length;
    }

    /// Returns a directive that answers a report of now. The next step() returns what else the agent does.
    [[nodiscard]] batch::Directive directive()
    {
        batch::Directive directive;
        for (batch::AgentOutput &output : agent_.step(now_, {batch::LeaderConnected{}})) {
            if (const auto *report = std::get_if<batch::Report>(&output)) {
                directive.echoSequence_ = report->sequence_;
                directive.echoSentAt_ = report->sentAt_;
            } else {
                heldOutputs_.push_back(std::move(output));
            }
        }
        directive.epoch_ = 7;
        directive.permit_ = true;
        directive.incarnation_ = {ExecutorId("x"), 5'000, "host"};
        return directive;
    }

    void answerPoll(std::vector<batch::RunningTask> running)
    {
        (void)step({answer(std::move(running))});
    }

    /// Returns the executor's answer to a poll that is sent now.
    [[nodiscard]] batch::PollAnswered answer(std::vector<batch::RunningTask> running)
    {
        const batch::PollCall call = agent_.nextPoll(now_);
        batch::PollAnswered answer;
        answer.sentAt_ = now_;
        answer.wait_ = call.wait_;
        answer.fencingToken_ = call.fencingToken_;
        answer.acknowledged_ = call.acknowledged_;
        answer.startTimeMs_ = 5'000;
        answer.clock_ = 1s;
        answer.running_ = std::move(running);
        return answer;
    }

    /// Advances time until the next periodic report is due and returns it.
    [[nodiscard]] batch::Report report()
    {
        advance(600ms);
        for (const batch::AgentOutput &output : step({})) {
            if (const auto *found = std::get_if<batch::Report>(&output)) {
                return *found;
            }
        }
        throw std::logic_error("no report is due");
    }

    /// Returns the outcome in \p report of the order for \p run, or std::nullopt if none is reported.
    [[nodiscard]] static std::optional<batch::OrderOutcome> outcomeOf(const batch::Report &report, const batch::RunId &run)
    {
        for (const batch::SettledOrder &order : report.settled_) {
            if (order.run_ == run) {
                return order.outcome_;
            }
        }
        return std::nullopt;
    }

    /// Returns whether \p report says that \p run may be running although it isn't listed.
    [[nodiscard]] static bool mayBeRunning(const batch::Report &report, const batch::RunId &run)
    {
        return std::find(report.starting_.begin(), report.starting_.end(), run) != report.starting_.end();
    }

    [[nodiscard]] batch::PollCall nextPoll()
    {
        return agent_.nextPoll(now_);
    }

    [[nodiscard]] batch::milliseconds pollRetryDelay(bool connectionRefused) const
    {
        return agent_.pollRetryDelay(now_, connectionRefused);
    }

    [[nodiscard]] batch::milliseconds pollDelayAfterEnds() const
    {
        return agent_.pollDelayAfterEnds();
    }

    template<class Output>
    [[nodiscard]] static std::size_t count(const std::vector<batch::AgentOutput> &outputs)
    {
        return static_cast<std::size_t>(std::count_if(outputs.begin(), outputs.end(), [](const auto &any) { return std::holds_alternative<Output>(any); }));
    }

private:
    Instant now_{std::chrono::hours(1)};
    batch::AgentCore agent_{"host", 400ms};
    std::vector<batch::AgentOutput> heldOutputs_;
};

}
