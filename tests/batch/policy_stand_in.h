#pragma once

#include "batch/leader_bench.h"

#include <functional>
#include <map>
#include <optional>

namespace bergamotwick::test {

/// The service of a placement policy: answers one request at a time, after the decision time and a time for each executor. Its tickets count from the answer.
class PolicyStandIn
{
public:
    using Allows = std::function<bool(const ExecutorId &executor)>;

    PolicyStandIn(batch::PlacementPolicy policy, Allows allows)
        : policy_(policy)
        , allows_(std::move(allows))
    {
    }

    /// Advances the bench by \p duration and answers the leader's requests meanwhile. The next \p failures_ requests are answered without tickets.
    void advance(LeaderBench &bench, Duration duration)
    {
        for (Duration elapsed{0}; elapsed < duration; elapsed += tick) {
            bench.advanceTime(tick);
            if (answerIn_ && (*answerIn_ -= tick) <= Duration(0)) {
                answerIn_.reset();
                answer(bench);
            }
            if (!answerIn_ && bench.adviceRequests().size() > answered_) {
                answerIn_ = policy_.decisionTime_ + policy_.timePerExecutor_ * bench.adviceRequests().at(answered_).executors_.size();
            }
        }
    }

    [[nodiscard]] std::size_t calls() const noexcept
    {
        return answered_;
    }

    std::size_t failures_ = 0;

private:
    static constexpr batch::milliseconds tick{50};

    void answer(LeaderBench &bench)
    {
        const batch::AdviceRequest request = bench.adviceRequests().at(answered_);
        ++answered_;
        if (failures_ > 0) {
            --failures_;
            bench.step({batch::AdviceAnswer{request.step_, {}, {}, {}, bench.now()}});
            return;
        }
        std::map<ExecutorId, std::string> tickets;
        for (const ExecutorId &executor : request.executors_) {
            if (allows_(executor)) {
                tickets.emplace(executor, "ticket-" + request.step_.job_.str());
            }
        }
        bench.step({batch::AdviceAnswer{request.step_, request.executors_, tickets, policy_.validFor_, bench.now()}});
    }

    batch::PlacementPolicy policy_;
    Allows allows_;
    std::size_t answered_ = 0;
    std::optional<Duration> answerIn_;
};

}
