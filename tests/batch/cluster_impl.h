#pragma once

#include "batch/cluster.h"
#include "batch/judge.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

/// The parts of the virtual cluster and how they talk; Cluster's methods play with them.
namespace bergamotwick::test {

using batch::milliseconds;

constexpr milliseconds stopTakes{400};
constexpr milliseconds storeLatency{4};
constexpr milliseconds netLatency{1};
constexpr milliseconds tick{100};
constexpr milliseconds holdPeriod{200};
constexpr milliseconds heartbeatPeriod{1'500};
constexpr milliseconds renewalPeriod{500};
constexpr milliseconds callTimeout{700};
constexpr Instant beginning{std::chrono::hours(1)};

inline batch::ResourceVector executorRoom()
{
    return {64'000, 131'072, 8};
}

struct Cluster::Impl
{
    struct Seat
    {
        std::unique_ptr<batch::Leader> leader_;
        std::int64_t epoch_ = 0;
        Instant frozenUntil_{};
        Instant seen_{};
        bool gone_ = false;
    };

    struct Host
    {
        std::string name_;
        std::unique_ptr<batch::AgentCore> agent_;
        std::unique_ptr<ExecutorStandIn> executor_;
        std::int64_t beat_ = 0;
        std::size_t seat_ = 0;
        bool attached_ = false;
        Instant cutUntil_{};
        Instant silentUntil_{};
        Instant failingUntil_{};
        Instant hangingUntil_{};
        bool draining_ = false;
        bool gone_ = false;
        milliseconds remaining_{0};
        int names_ = 0;
        std::int64_t lastBorn_ = 0;
        std::uint64_t incarnation_ = 0; ///< of the agent; answers to a former one are dropped
    };

    struct Record
    {
        batch::Progress progress_;
        std::int64_t revision_ = 0;
    };

    struct Behaviour
    {
        milliseconds length_{0};
        bool fails_ = false;
    };

    std::mt19937_64 random_;
    Unprotected unprotected_;
    Faults *faults_ = nullptr;
    Instant now_ = beginning;
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<Seat> seats_;
    std::vector<Host> hosts_;
    std::vector<batch::Submission> jobs_;
    std::set<JobId> cancels_;
    std::map<JobId, Record> records_;
    std::map<JobId, Behaviour> behaviours_;
    std::int64_t revision_ = 1;
    std::int64_t leaderRevision_ = 0;
    batch::ClusterConfig config_;
    std::set<DataCentreId> evacuated_;
    Judge judge_;
    bool lateOrder_ = false;

    // Time

    void at(Instant when, std::function<void()> what)
    {
        events_.emplace(when, std::move(what));
    }

    void every(milliseconds period, std::function<void()> what)
    {
        at(now_ + period, [this, period, what = std::move(what)]() mutable {
            what();
            every(period, std::move(what));
        });
    }

    void run(Duration length)
    {
        const Instant until = now_ + length;
        while (!events_.empty() && events_.begin()->first <= until) {
            auto node = events_.extract(events_.begin());
            now_ = std::max(now_, node.key());
            node.mapped()();
        }
        now_ = until;
    }

    [[nodiscard]] bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    [[nodiscard]] milliseconds between(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
    }

    [[nodiscard]] batch::CalendarTime calendar() const
    {
        return batch::CalendarTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
    }

    // Leaders

    void elect()
    {
        leaderRevision_ = ++revision_;
        Seat seat;
        batch::LeaderLimits limits;
        limits.stopLimit_ = stopTakes;
        seat.epoch_ = leaderRevision_;
        seat.leader_ = std::make_unique<batch::Leader>(limits, seat.epoch_, now_);
        seat.seen_ = now_;
        seats_.push_back(std::move(seat));
        const std::size_t index = seats_.size() - 1;
        std::vector<batch::LeaderInput> inputs{batch::ConfigChanged{config_}, batch::EvacuationsChanged{evacuated_}};
        for (const batch::Submission &job : jobs_) {
            inputs.emplace_back(batch::JobStored{job});
        }
        for (const auto &[id, record] : records_) {
            inputs.emplace_back(batch::ProgressStored{record.progress_, record.revision_});
        }
        for (const JobId &job : cancels_) {
            inputs.emplace_back(batch::CancelStored{job});
        }
        stepLeader(index, std::move(inputs));
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            at(now_ + between(50, 300), [this, host, index] { attach(host, index); });
        }
    }

    void attach(std::size_t host, std::size_t seat)
    {
        if (hosts_[host].cutUntil_ > now_) {
            at(hosts_[host].cutUntil_ + between(50, 300), [this, host, seat] { attach(host, seat); });
            return;
        }
        if (seat + 1 == seats_.size()) {
            hosts_[host].seat_ = seat;
            hosts_[host].attached_ = true;
        }
    }

    void stepLeader(std::size_t index, std::vector<batch::LeaderInput> inputs)
    {
        Seat &seat = seats_[index];
        if (seat.gone_ || seat.frozenUntil_ > now_) {
            return;
        }
        for (batch::LeaderOutput &output : seat.leader_->step(now_, calendar(), std::move(inputs))) {
            if (auto *commit = std::get_if<batch::Commit>(&output)) {
                write(index, std::move(*commit));
            } else if (auto *directive = std::get_if<batch::SendDirective>(&output)) {
                at(now_ + netLatency, [this, directive = std::move(*directive)] { direct(directive); });
            } else if (const auto *decision = std::get_if<batch::LogEvent>(&output)) {
                trace("leader-" + std::to_string(seat.epoch_), decision->event_, decision->fields_);
            }
        }
    }

    void tickLeaders()
    {
        for (std::size_t index = 0; index < seats_.size(); ++index) {
            stepLeader(index, {});
        }
    }

    void renew()
    {
        const bool current = !seats_.empty() && seats_.back().epoch_ == leaderRevision_;
        if (current && faults_->storeDownUntil_ <= now_ && seats_.back().frozenUntil_ <= now_) {
            stepLeader(seats_.size() - 1, {batch::LeaderLeaseRenewed{now_}});
        }
    }

    // Store

    void write(std::size_t seat, batch::Commit commit)
    {
        if (faults_->storeDownUntil_ > now_) {
            answer(seat, batch::CommitFailed{commit.commit_, {}}, storeLatency);
        } else if (chance(faults_->lateWrites_)) {
            at(now_ + between(1'000, 3'000), [this, seat, commit] { (void)apply(seat, commit); });
            answer(seat, batch::CommitFailed{commit.commit_, {}}, milliseconds(1'500));
        } else {
            batch::LeaderInput reply = apply(seat, commit);
            const bool lost = chance(faults_->lostAnswers_);
            answer(seat, lost ? batch::LeaderInput(batch::CommitFailed{commit.commit_, {}}) : std::move(reply), lost ? milliseconds(1'500) : storeLatency);
        }
    }

    void answer(std::size_t seat, batch::LeaderInput reply, milliseconds after)
    {
        at(now_ + after, [this, seat, reply = std::move(reply)]() mutable {
            std::vector<batch::LeaderInput> inputs;
            inputs.push_back(std::move(reply));
            stepLeader(seat, std::move(inputs));
        });
    }

    [[nodiscard]] batch::LeaderInput apply(std::size_t seat, const batch::Commit &commit)
    {
        bool holds = seats_[seat].epoch_ == leaderRevision_ || unprotected_.leaderCondition_;
        for (const batch::ProgressWrite &write : commit.writes_) {
            const auto found = records_.find(write.job_);
            const std::int64_t revision = found == records_.end() ? 0 : found->second.revision_;
            holds = holds && (revision == write.expected_ || unprotected_.leaderCondition_);
        }
        if (!holds) {
            batch::CommitFailed failed{commit.commit_, {}};
            for (const batch::ProgressWrite &write : commit.writes_) {
                const auto found = records_.find(write.job_);
                failed.foundRevisions_.emplace_back(write.job_, found == records_.end() ? 0 : found->second.revision_);
            }
            return failed;
        }
        ++revision_;
        for (const batch::ProgressWrite &write : commit.writes_) {
            records_[write.job_] = {write.progress_, revision_};
            judge_.stored(write.progress_);
        }
        return batch::CommitDone{commit.commit_, revision_};
    }

    // Agents and executors

    void addHost(std::size_t index)
    {
        Host host;
        host.name_ = "host-" + std::to_string(index);
        host.agent_ = std::make_unique<batch::AgentCore>(host.name_, stopTakes);
        hosts_.push_back(std::move(host));
        bringUp(index, false);
    }

    void bringUp(std::size_t index, bool sameName)
    {
        Host &host = hosts_[index];
        host.names_ += sameName ? 0 : 1;
        host.lastBorn_ = std::max<std::int64_t>(host.lastBorn_ + 100, calendar().time_since_epoch().count());
        batch::ExecutorInfo facts;
        facts.incarnation_ = {ExecutorId("x" + std::to_string(index) + "-" + std::to_string(host.names_)), host.lastBorn_, host.name_};
        facts.service_ = ServiceId("service");
        facts.dataCentre_ = DataCentreId("dc-" + std::to_string(index % 3));
        facts.capacity_ = executorRoom();
        facts.labels_ = {"kind", "rack-" + std::to_string(index / 3)};
        judge_.executorUp(facts);
        host.draining_ = false;
        host.gone_ = false;
        host.executor_ = std::make_unique<ExecutorStandIn>(
            facts,
            now_,
            stopTakes,
            ExecutorWatch{[this](const auto &life, const auto &run, const auto &checkpoint) { judge_.began(life, run, checkpoint, now_, lateOrder_); },
                          [this](const auto &life, const auto &run, batch::EndKind how) { judge_.ended(life, run, how); }});
        if (unprotected_.fences_) {
            host.executor_->ignoreFences();
        }
        at(now_ + netLatency, [this, index] { beat(index); });
    }

    void beat(std::size_t index)
    {
        Host &host = hosts_[index];
        batch::HeartbeatReceived seen{host.executor_->facts(), ++host.beat_};
        seen.executor_.draining_ = host.draining_;
        seen.executor_.remaining_ = host.remaining_;
        if (host.silentUntil_ <= now_ && !host.gone_) {
            stepAgent(index, {seen});
        }
    }

    void stepAgent(std::size_t index, const std::vector<batch::AgentInput> &inputs)
    {
        Host &host = hosts_[index];
        for (batch::AgentOutput &output : host.agent_->step(now_, inputs)) {
            if (auto *start = std::get_if<batch::CallStart>(&output)) {
                call(index, *start);
            } else if (auto *stop = std::get_if<batch::CallStop>(&output)) {
                call(index, *stop);
            } else if (const auto *hold = std::get_if<batch::PollCall>(&output)) {
                at(now_ + netLatency, [this, index, hold = *hold] { ask(index, hold); });
            } else if (auto *report = std::get_if<batch::Report>(&output)) {
                send(index, std::move(*report));
            } else if (const auto *line = std::get_if<batch::LogEvent>(&output)) {
                trace(host.name_, line->event_, line->fields_);
            }
        }
    }

    /// Prints what was decided, where CLUSTER_TRACE is set: the way from a broken promise to its cause.
    void trace(const std::string &who, const std::string &event, const std::vector<std::pair<std::string, std::string>> &fields) const
    {
        if (std::getenv("CLUSTER_TRACE") == nullptr) {
            return;
        }
        std::cerr << std::chrono::duration_cast<milliseconds>(now_ - beginning).count() << " " << who << " " << event;
        for (const auto &[key, value] : fields) {
            std::cerr << " " << key << "=" << value;
        }
        std::cerr << "\n";
    }

    void send(std::size_t index, batch::Report report)
    {
        const Host &host = hosts_[index];
        if (!host.attached_ || host.cutUntil_ > now_) {
            return;
        }
        at(now_ + netLatency, [this, seat = host.seat_, report = std::move(report)]() mutable {
            std::vector<batch::LeaderInput> inputs;
            inputs.emplace_back(std::move(report));
            stepLeader(seat, std::move(inputs));
        });
    }

    void direct(const batch::SendDirective &directive)
    {
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            if (hosts_[index].name_ == directive.agent_ && hosts_[index].cutUntil_ <= now_) {
                stepAgent(index, {directive.directive_});
            }
        }
    }

    template<class Call>
    void call(std::size_t index, const Call &order)
    {
        const Host &host = hosts_[index];
        if (host.gone_) {
            at(now_ + netLatency, [this, index, order, life = host.incarnation_] { tell(index, life, answerFor(order, batch::OrderAnswer::Unknown)); });
            return;
        }
        const bool late = chance(faults_->lateOrders_);
        if (host.silentUntil_ > now_ || late) {
            if (late) {
                at(now_ + between(2'000, 6'000), [this, index, order] {
                    if (hosts_[index].gone_) {
                        return;
                    }
                    lateOrder_ = true;
                    (void)carryOut(index, order);
                    lateOrder_ = false;
                });
            }
            at(now_ + callTimeout, [this, index, order, life = host.incarnation_] { tell(index, life, answerFor(order, batch::OrderAnswer::Unknown)); });
            return;
        }
        const Taken taken = carryOut(index, order);
        const auto reply = taken == Taken::Yes ? batch::OrderAnswer::Accepted : batch::OrderAnswer::Refused;
        at(now_ + netLatency, [this, index, order, reply, life = host.incarnation_] { tell(index, life, answerFor(order, reply)); });
    }

    void tell(std::size_t index, std::uint64_t life, batch::AgentInput input)
    {
        if (hosts_[index].incarnation_ == life) {
            stepAgent(index, {std::move(input)});
        }
    }

    static batch::AgentInput answerFor(const batch::CallStart &call, batch::OrderAnswer answer)
    {
        return batch::StartAnswered{call.order_.run_, answer, ""};
    }

    static batch::AgentInput answerFor(const batch::CallStop &call, batch::OrderAnswer answer)
    {
        return batch::StopAnswered{call.run_, answer};
    }

    Taken carryOut(std::size_t index, const batch::CallStart &call)
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

    Taken carryOut(std::size_t index, const batch::CallStop &call)
    {
        return hosts_[index].executor_->stop(call, now_);
    }

    void hold(std::size_t index)
    {
        Host &host = hosts_[index];
        if (host.gone_) {
            stepAgent(index, {batch::PollFailed{true}});
            return;
        }
        host.executor_->advance(now_);
        if (host.silentUntil_ > now_) {
            stepAgent(index, {batch::PollFailed{false}});
            return;
        }
        ask(index, host.agent_->nextPoll(now_));
    }

    void ask(std::size_t index, const batch::PollCall &call)
    {
        Host &host = hosts_[index];
        if (host.gone_ || host.silentUntil_ > now_) {
            stepAgent(index, {batch::PollFailed{host.gone_}});
            return;
        }
        auto before = host.executor_->hold({call.incarnation_, call.epoch_, 0, std::nullopt, milliseconds(0)}, now_);
        auto answer = host.executor_->hold(call, now_);
        if (!answer) {
            return;
        }
        for (const batch::EndedRun &end : before ? before->ended_ : std::vector<batch::EndedRun>()) {
            if (end.number_ <= call.acknowledged_) {
                judge_.acknowledged(end);
            }
        }
        at(now_ + netLatency, [this, index, answer = std::move(*answer), life = host.incarnation_] { tell(index, life, answer); });
    }
};

}
