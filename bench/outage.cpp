// A closing hour in which the store is away for five minutes: what callers get, and what the store gets when it returns.

#include "support/world.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace {

using namespace bergamotwick;
using namespace bergamotwick::test;

constexpr auto quiet = 30s;
constexpr auto outage = 300s;
constexpr auto after = 120s;
constexpr Duration between = 50ms; ///< twenty paid entries a second, and as many that may be repeated

/// A paid entry whose caller comes back when it was told to.
struct PaidEntry
{
    std::string key_;
    Duration sentAt_{};
    std::uint64_t token_ = 0;
    Duration againAt_{};
    bool answered_ = false;
    int tries_ = 0;
};

class ClosingHour
{
public:
    ClosingHour()
        : world_(options())
    {
    }

    int run()
    {
        world_.run(5s);
        drive(quiet, true);
        const int quietCalls = world_.storeCalls();
        world_.setStore(StoreMode::Down);
        drive(outage, true);
        const std::size_t sentBefore = paid_.size();
        const int before = world_.storeCalls();
        world_.setStore(StoreMode::Up);
        drive(1s, true);
        const int firstSecond = world_.storeCalls() - before;
        drive(after - 1s, false);
        print(quietCalls, firstSecond, sentBefore);
        return world_.violations().empty() ? 0 : 1;
    }

private:
    static SimulationOptions options()
    {
        SimulationOptions options;
        options.executors_ = 10;
        options.lossRate_ = 0;
        options.duplicationRate_ = 0;
        options.delayRate_ = 0;
        return options;
    }

    void drive(Duration length, bool arriving)
    {
        for (Duration passed{}; passed < length; passed += between) {
            if (arriving) {
                open_.push_back(paid_.size());
                const std::string key = "entry-" + std::to_string(paid_.size());
                paid_.push_back({key, world_.now(), world_.request(next(), "quick", false, key), {}, false, 1});
                repeatable_.push_back(world_.request(next(), "quick", true, ""));
            }
            world_.run(between);
            comeBack();
        }
    }

    int next()
    {
        return static_cast<int>(++turn_ % 3);
    }

    void comeBack()
    {
        for (const std::size_t index : std::exchange(open_, {})) {
            PaidEntry &entry = paid_[index];
            open_.push_back(index);
            const auto answer = world_.answers().find(entry.token_);
            if (answer == world_.answers().end()) {
                continue;
            }
            if (answer->second.outcome_ == Outcome::Answered) {
                entry.answered_ = true;
                open_.pop_back();
                waits_.push_back(world_.now() - entry.sentAt_);
            } else if (entry.againAt_ == Duration::zero()) {
                entry.againAt_ = world_.now() + answer->second.retryAfter_;
            } else if (world_.now() >= entry.againAt_) {
                entry.againAt_ = Duration::zero();
                entry.token_ = world_.request(next(), "quick", false, entry.key_);
                ++entry.tries_;
            }
        }
    }

    void print(int quietCalls, int firstSecond, std::size_t sentBefore)
    {
        const auto answeredRepeatable = std::count_if(repeatable_.begin(), repeatable_.end(), [this](std::uint64_t token) {
            const auto answer = world_.answers().find(token);
            return answer != world_.answers().end() && answer->second.outcome_ == Outcome::Answered;
        });
        const auto answeredPaid = std::count_if(paid_.begin(), paid_.end(), [](const PaidEntry &entry) { return entry.answered_; });
        const auto refused = std::count_if(paid_.begin(), paid_.end(), [](const PaidEntry &entry) { return entry.tries_ > 1; });
        int mostRuns = 0;
        for (const PaidEntry &entry : paid_) {
            mostRuns = std::max(mostRuns, world_.runsOfKey(entry.key_));
        }
        std::sort(waits_.begin(), waits_.end());
        std::cout << "repeatable: " << repeatable_.size() << " sent, " << answeredRepeatable << " answered\n"
                  << "paid: " << paid_.size() << " sent, " << sentBefore << " by the end of the outage, " << refused << " refused at first, " << answeredPaid
                  << " answered in the end, at most " << mostRuns << " run(s) of one key\n"
                  << "longest wait of a paid entry: " << std::chrono::duration<double>(waits_.back()).count() << " s\n"
                  << "store calls: " << static_cast<double>(quietCalls) / 35 << " a second before, " << firstSecond << " in the first second after the outage\n"
                  << "breaches: " << world_.violations().size() << '\n';
    }

    Simulation world_;
    std::uint64_t turn_ = 0;
    std::vector<PaidEntry> paid_;
    std::vector<std::uint64_t> repeatable_;
    std::vector<std::size_t> open_; ///< paid entries without an answer
    std::vector<Duration> waits_;
};

}

int main()
{
    return ClosingHour().run();
}
