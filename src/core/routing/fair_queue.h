#pragma once

#include <algorithm>
#include <deque>
#include <map>

namespace bergamotwick {

/// Start-time fair queueing: serves the flow with the lowest start tag first.
///
/// A flow that was idle starts at the current virtual time, so idling earns no credit.
///
/// Thread safety: none.
template<class Key, class Queue>
class FairQueue
{
public:
    /// Returns the queue of \p key; creates it if missing.
    Queue &flow(const Key &key)
    {
        Flow &flow = flows_[key];
        if (flow.queue_.empty()) {
            flow.startTag_ = std::max(flow.startTag_, virtualTime_);
        }
        return flow.queue_;
    }

    [[nodiscard]] bool empty() const
    {
        return std::all_of(flows_.begin(), flows_.end(), [](const auto &flow) { return flow.second.queue_.empty(); });
    }

    /// Returns the non-empty flow with the lowest start tag. Precondition: empty() is false.
    [[nodiscard]] Key next() const
    {
        const Key *best = nullptr;
        double lowestTag = 0;
        for (const auto &[key, flow] : flows_) {
            if (!flow.queue_.empty() && (!best || flow.startTag_ < lowestTag)) {
                best = &key;
                lowestTag = flow.startTag_;
            }
        }
        return *best;
    }

    /// Advances the virtual time to the start tag of \p key, then adds \p cost to that tag.
    void charge(const Key &key, double cost)
    {
        Flow &flow = flows_[key];
        virtualTime_ = std::max(virtualTime_, flow.startTag_);
        flow.startTag_ += cost;
    }

    /// Removes empty flows whose start tag does not exceed the virtual time.
    void removeIdleFlows()
    {
        std::erase_if(flows_, [this](const auto &flow) { return flow.second.queue_.empty() && flow.second.startTag_ <= virtualTime_; });
    }

private:
    struct Flow
    {
        Queue queue_;
        double startTag_ = 0;
    };

    std::map<Key, Flow> flows_;
    double virtualTime_ = 0;
};

}
