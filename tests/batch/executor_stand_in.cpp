#include "batch/executor_stand_in.h"

#include <algorithm>

namespace bergamotwick::test {

using batch::EndKind;
using batch::milliseconds;

namespace {

constexpr milliseconds checkpointPeriod{1'000};

}

ExecutorStandIn::ExecutorStandIn(batch::ExecutorInfo facts, Instant born, milliseconds stopTakes, ExecutorWatch watch)
    : info_(std::move(facts))
    , startTimeMs_(born)
    , stopTakes_(stopTakes)
    , watch_(std::move(watch))
{
}

batch::ExecutorTime ExecutorStandIn::clock(Instant now) const
{
    // 1 % slow, within the 2 % that the protocol allows.
    return std::chrono::duration_cast<milliseconds>((now - startTimeMs_) * 99 / 100);
}

bool ExecutorStandIn::passesFence(std::int64_t epoch)
{
    if (fenced_ && epoch < epoch_) {
        return false;
    }
    epoch_ = std::max(epoch_, epoch);
    return true;
}

Taken ExecutorStandIn::start(const batch::CallStart &call, Instant now, milliseconds length, bool fails)
{
    advance(now);
    if (call.incarnation_.executor_ != info_.incarnation_.executor_) {
        return Taken::OtherLife;
    }
    if (!passesFence(call.epoch_)) {
        return Taken::Fenced;
    }
    const batch::RunId run = call.order_.run_;
    if (running_.contains(run)) {
        return Taken::Yes;
    }
    if (highest_.contains(run.task_) && run.run_ <= highest_[run.task_]) {
        return Taken::Old;
    }
    if (call.leaseEnd_ <= clock(now)) {
        return Taken::Late;
    }
    leaseEnd_ = std::max(leaseEnd_, call.leaseEnd_);
    Running running;
    running.began_ = now;
    running.length_ = length;
    if (!call.order_.checkpoint_.empty()) {
        running.done_ = milliseconds(std::stoll(call.order_.checkpoint_.substr(0, 8)));
    }
    running.endsAt_ = now + std::max(milliseconds(1), length - running.done_);
    running.kind_ = fails ? EndKind::Failed : EndKind::Done;
    watch_.began_(info_.incarnation_, run, call.order_.checkpoint_);
    running_.emplace(run, running);
    return Taken::Yes;
}

Taken ExecutorStandIn::stop(const batch::CallStop &call, Instant now)
{
    advance(now);
    if (call.incarnation_.executor_ != info_.incarnation_.executor_) {
        return Taken::OtherLife;
    }
    if (!passesFence(call.epoch_)) {
        return Taken::Fenced;
    }
    std::uint32_t &highest = highest_[call.run_.task_];
    highest = std::max(highest, call.run_.run_);
    const auto found = running_.find(call.run_);
    if (found != running_.end() && !found->second.stopping_) {
        found->second.stopping_ = true;
        found->second.kind_ = EndKind::Stopped;
        found->second.endsAt_ = now + stopTakes_;
    }
    return Taken::Yes;
}

std::string ExecutorStandIn::checkpointOf(const batch::RunId &run, const Running &running, Instant now) const
{
    const auto worked = running.done_ + std::chrono::duration_cast<milliseconds>(now - running.began_) / checkpointPeriod * checkpointPeriod;
    if (worked.count() == 0) {
        return "";
    }
    std::string text = std::to_string(worked.count());
    return std::string(8 - std::min<std::size_t>(8, text.size()), '0') + text + "@" + run.task_.job_.str() + "." + std::to_string(run.task_.step_);
}

void ExecutorStandIn::end(const batch::RunId &run, EndKind how, Instant now)
{
    const auto found = running_.find(run);
    const std::string checkpoint = how == EndKind::Done ? "" : checkpointOf(run, found->second, now);
    running_.erase(found);
    std::uint32_t &highest = highest_[run.task_];
    highest = std::max(highest, run.run_);
    ended_.push_back({++lastEnd_, run, how, checkpoint});
    watch_.ended_(info_.incarnation_, run, how);
}

void ExecutorStandIn::advance(Instant now)
{
    std::vector<std::pair<batch::RunId, EndKind>> over;
    for (const auto &[run, running] : running_) {
        if (running.endsAt_ <= now) {
            over.emplace_back(run, running.kind_);
        } else if (clock(now) >= leaseEnd_) {
            over.emplace_back(run, EndKind::LeaseExpired);
        }
    }
    for (const auto &[run, how] : over) {
        end(run, how, now);
    }
}

std::optional<batch::PollAnswered> ExecutorStandIn::hold(const batch::PollCall &call, Instant now)
{
    advance(now);
    if (call.incarnation_.executor_ != info_.incarnation_.executor_ || !passesFence(call.epoch_)) {
        return std::nullopt;
    }
    if (call.leaseEnd_) {
        leaseEnd_ = std::max(leaseEnd_, *call.leaseEnd_);
    }
    std::erase_if(ended_, [&call](const batch::EndedRun &end) { return end.number_ <= call.acknowledged_; });
    batch::PollAnswered answer;
    answer.sentAt_ = now;
    answer.wait_ = call.wait_;
    answer.epoch_ = call.epoch_;
    answer.startTimeMs_ = info_.incarnation_.startTimeMs_;
    answer.clock_ = clock(now);
    answer.ended_ = ended_;
    for (const auto &[run, running] : running_) {
        const auto worked = running.done_ + std::chrono::duration_cast<milliseconds>(now - running.began_);
        const auto percent = static_cast<std::int32_t>(worked * 100 / std::max(milliseconds(1), running.length_));
        answer.running_.push_back({run, checkpointOf(run, running, now), std::min(percent, 99), 0});
    }
    return answer;
}

}
