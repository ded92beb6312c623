// Simulates a closing hour with a five-minute store outage. Prints the answers to callers and the load on the returning store.

#include "support/world.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace {

using namespace bergamotwick;
using namespace bergamotwick::test;

constexpr auto beforeOutage = 30s;
constexpr auto outageDuration = 300s;
constexpr auto afterOutage = 120s;
constexpr Duration arrivalInterval = 50ms; ///< twenty requests with a key per second, and as many repeatable ones

/// A request that must not run twice; its caller retries with the same key after the announced delay.
struct KeyedRequest
{
    std::string key_;
    Duration sentAt_{};
    std::uint64_t token_ = 0;
    Duration retryAt_{};
    bool answered_ = false;
    int attempts_ = 0;
};

class StoreOutageRun
{
public:
    StoreOutageRun()
        : simulation_(options())
    {
    }

    int run()
    {
        simulation_.run(5s);
        runFor(beforeOutage, true);
        const int callsBeforeOutage = simulation_.storeCalls();
        simulation_.setStore(StoreMode::Down);
        runFor(outageDuration, true);
        const std::size_t sentByReturn = keyedRequests_.size();
        const int callsAtReturn = simulation_.storeCalls();
        simulation_.setStore(StoreMode::Up);
        runFor(1s, true);
        const int callsInFirstSecond = simulation_.storeCalls() - callsAtReturn;
        runFor(afterOutage - 1s, false);
        print(callsBeforeOutage, callsInFirstSecond, sentByReturn);
        return simulation_.violations().empty() ? 0 : 1;
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

    void runFor(Duration length, bool sending)
    {
        for (Duration elapsed{}; elapsed < length; elapsed += arrivalInterval) {
            if (sending) {
                unanswered_.push_back(keyedRequests_.size());
                const std::string key = "entry-" + std::to_string(keyedRequests_.size());
                keyedRequests_.push_back({key, simulation_.now(), simulation_.request(nextEntry(), "quick", false, key), {}, false, 1});
                repeatableTokens_.push_back(simulation_.request(nextEntry(), "quick", true, ""));
            }
            simulation_.run(arrivalInterval);
            handleAnswers();
        }
    }

    int nextEntry()
    {
        return static_cast<int>(++lastEntry_ % 3);
    }

    void handleAnswers()
    {
        for (const std::size_t index : std::exchange(unanswered_, {})) {
            KeyedRequest &keyed = keyedRequests_[index];
            unanswered_.push_back(index);
            const auto answer = simulation_.answers().find(keyed.token_);
            if (answer == simulation_.answers().end()) {
                continue;
            }
            if (answer->second.outcome_ == Outcome::Answered) {
                keyed.answered_ = true;
                unanswered_.pop_back();
                waitTimes_.push_back(simulation_.now() - keyed.sentAt_);
            } else if (keyed.retryAt_ == Duration::zero()) {
                keyed.retryAt_ = simulation_.now() + answer->second.retryAfter_;
            } else if (simulation_.now() >= keyed.retryAt_) {
                keyed.retryAt_ = Duration::zero();
                keyed.token_ = simulation_.request(nextEntry(), "quick", false, keyed.key_);
                ++keyed.attempts_;
            }
        }
    }

    void print(int callsBeforeOutage, int callsInFirstSecond, std::size_t sentByReturn)
    {
        const auto answeredRepeatable = std::count_if(repeatableTokens_.begin(), repeatableTokens_.end(), [this](std::uint64_t token) {
            const auto answer = simulation_.answers().find(token);
            return answer != simulation_.answers().end() && answer->second.outcome_ == Outcome::Answered;
        });
        const auto answeredKeyed = std::count_if(keyedRequests_.begin(), keyedRequests_.end(), [](const KeyedRequest &keyed) { return keyed.answered_; });
        const auto refused = std::count_if(keyedRequests_.begin(), keyedRequests_.end(), [](const KeyedRequest &keyed) { return keyed.attempts_ > 1; });
        int mostRuns = 0;
        for (const KeyedRequest &keyed : keyedRequests_) {
            mostRuns = std::max(mostRuns, simulation_.runsOfKey(keyed.key_));
        }
        std::sort(waitTimes_.begin(), waitTimes_.end());
        std::cout << "repeatable: " << repeatableTokens_.size() << " sent, " << answeredRepeatable << " answered\n"
                  << "with key: " << keyedRequests_.size() << " sent, " << sentByReturn << " by the end of the outage, " << refused << " refused at first, "
                  << answeredKeyed << " answered in the end, at most " << mostRuns << " run(s) of one key\n"
                  << "longest wait of a request with key: " << std::chrono::duration<double>(waitTimes_.back()).count() << " s\n"
                  << "store calls: " << static_cast<double>(callsBeforeOutage) / 35 << " a second before, " << callsInFirstSecond
                  << " in the first second after the outage\n"
                  << "breaches: " << simulation_.violations().size() << '\n';
    }

    Simulation simulation_;
    std::uint64_t lastEntry_ = 0;
    std::vector<KeyedRequest> keyedRequests_;
    std::vector<std::uint64_t> repeatableTokens_;
    std::vector<std::size_t> unanswered_; ///< indexes of keyed requests without an answer
    std::vector<Duration> waitTimes_;
};

}

int main()
{
    return StoreOutageRun().run();
}
