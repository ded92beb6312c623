#include "request_run.h"

#include "core/agent/agent.h"
#include "core/overloaded.h"
#include "core/routing/router.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

namespace bergamotwick::bench {

namespace {

constexpr int entries = 3;
constexpr int executors = 10;
constexpr int slots = 8;
constexpr int towns = 6;
constexpr Duration oneWayLatency = 500us;
constexpr Duration lessonLength = 300s;
constexpr double quickServiceTimeS = 0.15;
constexpr double slowServiceTimeS = 4;
constexpr double quickPerSecond = 120;
constexpr double slowPerSecond = 25; ///< exceeds the capacity of all slots

std::shared_ptr<const Config> makeConfig()
{
    SettingsTree tree;
    const bool merged = static_cast<bool>(tree.merge("lesson.yaml", R"(
workspaces:
  school: {quota: {cores: 1}}
services:
  flight-lab:
    max-queued: 100000
    classes:
      chart: {weight: 4, deadline: 1h}
      stitch: {weight: 1, deadline: 1h, max-slots-percent: 50}
)"));
    return merged ? std::make_shared<const Config>(*Config::fromTree(tree)) : nullptr;
}

class RequestSimulation
{
public:
    explicit RequestSimulation(const RequestOptions &options)
        : options_(options)
        , random_(options.seed_)
    {
        RouterLimits limits;
        limits.fairQueueing_ = options.fair_;
        limits.limitClassSlots_ = options.fair_;
        for (int i = 0; i < entries; ++i) {
            routers_.emplace_back(limits, EntryId("entry-" + std::to_string(i)), static_cast<std::uint64_t>(100 + i));
            step(i, RouterConfigured{config_, entries});
        }
        for (int i = 0; i < executors; ++i) {
            AgentIdentity identity;
            identity.kind_ = AgentKind::Executor;
            identity.name_ = std::to_string(i);
            identity.service_ = ServiceId("flight-lab");
            identity.slots_ = slots;
            identity.connections_ = 60;
            agents_.emplace_back(AgentLimits(), identity, static_cast<std::uint64_t>(i + 1), entries);
        }
    }

    RequestResult run()
    {
        for (int i = 0; i < executors; ++i) {
            schedule(Duration(i * 1'000), [this, i] { tick(i); });
        }
        arriveNext(false);
        if (options_.slowLoad_) {
            arriveNext(true);
        }
        while (!events_.empty() && now_ < begin_ + lessonLength) {
            const Event next = events_.top();
            events_.pop();
            now_ = next.time_;
            next.action_();
        }
        return summary();
    }

private:
    struct Event
    {
        Instant time_;
        std::uint64_t order_;
        std::function<void()> action_;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.time_, left.order_) > std::tie(right.time_, right.order_);
        }
    };

    struct SentRequest
    {
        Instant at_;
        bool slow_;
        int town_;
    };

    void schedule(Duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++order_, std::move(action)});
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(random_);
    }

    static Duration toDuration(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    /// Town 0 sends ten times as much as each of the others.
    int drawTown()
    {
        const auto draw = static_cast<int>(random_() % (towns - 1 + 10));
        return draw < 10 ? 0 : draw - 9;
    }

    /// Returns the rate of quick requests, with a burst in the middle third of the lesson.
    double currentRate() const
    {
        const Duration elapsed = now_ - begin_;
        const bool burst = elapsed > lessonLength / 3 && elapsed < lessonLength * 2 / 3;
        return quickPerSecond * (burst ? 1.8 : 1);
    }

    void arriveNext(bool slow)
    {
        schedule(toDuration(exponential(1 / (slow ? slowPerSecond : currentRate()))), [this, slow] {
            arrive(slow);
            arriveNext(slow);
        });
    }

    void arrive(bool slow)
    {
        Request request;
        request.token_ = ++lastToken_;
        request.service_ = ServiceId("flight-lab");
        request.class_ = ClassId(slow ? "stitch" : "chart");
        request.workspace_ = WorkspaceId("school");
        const int town = drawTown();
        request.group_ = GroupId("town-" + std::to_string(town));
        request.path_ = slow ? "slow" : "quick";
        sent_[request.token_] = {now_, slow, town};
        step(static_cast<int>(random_() % entries), RequestArrived{request});
    }

    void tick(int agent)
    {
        stepAgent(agent, AgentTick{});
        schedule(100ms, [this, agent] { tick(agent); });
    }

    void step(int router, const RouterInput &input)
    {
        for (RouterOutput &output : routers_[static_cast<std::size_t>(router)].step(now_, input)) {
            if (auto *send = std::get_if<SendAttempt>(&output)) {
                ++attempts_;
                schedule(oneWayLatency, [this, router, attempt = send->attempt_, executor = std::stoi(send->executor_.str())] {
                    stepAgent(executor, AttemptReceived{static_cast<ConnectionId>(router), attempt});
                });
            } else if (const auto *answer = std::get_if<Answer>(&output)) {
                answered(*answer);
            }
        }
        if (!ticking_) {
            ticking_ = true;
            schedule(20ms, [this] {
                ticking_ = false;
                for (int i = 0; i < entries; ++i) {
                    step(i, RouterTick{});
                }
            });
        }
    }

    void stepAgent(int index, const AgentInput &input)
    {
        for (AgentOutput &output : agents_[static_cast<std::size_t>(index)].step(now_, input)) {
            std::visit(Overloaded{
                           [&](const SendReport &send) { schedule(oneWayLatency, [this, send, index] { report(send, index); }); },
                           [&](const RunAttempt &run) {
                               const double serviceTimeS = run.attempt_.path_ == "slow" ? slowServiceTimeS : quickServiceTimeS;
                               const double runTimeS = serviceTimeS * (0.5 + 0.5 * exponential(1));
                               schedule(toDuration(runTimeS), [this, index, id = run.attempt_.id_] {
                                   stepAgent(index, AttemptCompleted{id, EndpointResult::Answered, 200, {}});
                               });
                           },
                           [&](const ReplyAttempt &reply) {
                               schedule(oneWayLatency, [this, index, reply] {
                                   step(static_cast<int>(reply.connection_), AttemptEnded{ExecutorId(std::to_string(index)), reply.reply_});
                               });
                           },
                           [](const auto &) {},
                       },
                       output);
        }
    }

    void report(const SendReport &send, int index)
    {
        const auto entry = static_cast<int>(send.target_);
        step(entry, ExecutorReported{send.report_});
        Directive directive;
        directive.entry_ = EntryId("entry-" + std::to_string(entry));
        directive.incarnation_ = std::uint64_t{100} + send.target_;
        directive.sequence_ = ++directives_;
        directive.agent_ = send.report_.name_;
        directive.agentIncarnation_ = send.report_.incarnation_;
        directive.echoSequence_ = send.report_.sequence_;
        directive.echoSentAt_ = send.report_.sentAt_;
        directive.sentAt_ = now_;
        directive.period_ = 1s;
        schedule(oneWayLatency, [this, index, entry, directive] { stepAgent(index, DirectiveReceived{static_cast<std::size_t>(entry), directive}); });
    }

    void answered(const Answer &answer)
    {
        const SentRequest &sent = sent_.at(answer.token_);
        if (answer.outcome_ != Outcome::Answered || sent.slow_) {
            return;
        }
        const double elapsedS = std::chrono::duration<double>(now_ - sent.at_).count();
        result_.quickTimesS_.push_back(elapsedS);
        const Duration elapsed = sent.at_ - begin_;
        if (elapsed > lessonLength / 3 && elapsed < lessonLength * 2 / 3) {
            burstTimesByTownS_[sent.town_].push_back(elapsedS);
        }
    }

    RequestResult summary()
    {
        std::vector<double> means;
        for (int town = 1; town < towns; ++town) {
            double sum = 0;
            for (const double elapsedS : burstTimesByTownS_[town]) {
                sum += elapsedS;
            }
            means.push_back(sum / static_cast<double>(std::max<std::size_t>(burstTimesByTownS_[town].size(), 1)));
        }
        double sum = 0;
        double squares = 0;
        for (const double value : means) {
            sum += value;
            squares += value * value;
        }
        result_.jainIndex_ = sum * sum / (static_cast<double>(means.size()) * squares);
        result_.worstTownToMean_ = *std::max_element(means.begin(), means.end()) / (sum / static_cast<double>(means.size()));
        result_.attemptsPerRequest_ = static_cast<double>(attempts_) / static_cast<double>(lastToken_);
        return std::move(result_);
    }

    RequestOptions options_;
    std::mt19937_64 random_;
    std::shared_ptr<const Config> config_ = makeConfig();
    std::deque<Router> routers_;
    std::deque<Agent> agents_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    Instant begin_{Duration(1h)};
    Instant now_{Duration(1h)};
    std::uint64_t lastToken_ = 0;
    std::uint64_t directives_ = 0;
    std::size_t attempts_ = 0;
    bool ticking_ = false;
    std::map<RequestToken, SentRequest> sent_;
    std::map<int, std::vector<double>> burstTimesByTownS_;
    RequestResult result_;
};

}

RequestResult runRequests(const RequestOptions &options)
{
    return RequestSimulation(options).run();
}

}
