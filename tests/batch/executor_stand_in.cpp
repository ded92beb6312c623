#include "batch/executor_stand_in.h"

#include <algorithm>

namespace bergamotwick::test {

using batch::EndKind;
using batch::milliseconds;

namespace {

constexpr milliseconds checkpointPeriod{1'000};

/// A longer lease is shortened to this.
constexpr milliseconds maxLeaseDuration{10'000};

}

ExecutorStandIn::ExecutorStandIn(batch::ExecutorInfo info, Instant startedAt, milliseconds stopDuration, RunObserver observer)
    : info_(std::move(info))
    , startedAt_(startedAt)
    , stopDuration_(stopDuration)
    , observer_(std::move(observer))
{
}

batch::ExecutorTime ExecutorStandIn::clock(Instant now) const
{
    // 1 % slow; the protocol allows 2 %.
    return std::chrono::duration_cast<milliseconds>((now - startedAt_) * 99 / 100);
}

bool ExecutorStandIn::acceptsFencingToken(std::int64_t epoch)
{
    if (fencingEnabled_ && epoch < epoch_) {
        return false;
    }
    epoch_ = std::max(epoch_, epoch);
    return true;
}

OrderResult ExecutorStandIn::start(const batch::CallStart &call, Instant now, milliseconds taskDuration, bool fails)
{
    advance(now);
    if (call.incarnation_.executor_ != info_.incarnation_.executor_) {
        return OrderResult::OtherExecutor;
    }
    if (!acceptsFencingToken(call.fencingToken_)) {
        return OrderResult::Fenced;
    }
    const batch::RunId run = call.order_.run_;
    if (running_.contains(run)) {
        return OrderResult::Accepted;
    }
    if (highestRun_.contains(run.task_) && run.run_ <= highestRun_[run.task_]) {
        extendLease(call.leaseEnd_, now);
        return OrderResult::StaleRun;
    }
    if (call.leaseEnd_ <= clock(now)) {
        return OrderResult::LeaseExpired;
    }
    extendLease(call.leaseEnd_, now);
    ActiveRun running;
    running.startedAt_ = now;
    running.totalWork_ = taskDuration;
    if (!call.order_.checkpoint_.empty()) {
        running.restoredWork_ = milliseconds(std::stoll(call.order_.checkpoint_.substr(0, 8)));
    }
    running.endsAt_ = now + std::max(milliseconds(1), taskDuration - running.restoredWork_);
    running.kind_ = fails ? EndKind::Failed : EndKind::Done;
    observer_.onStarted_(info_.incarnation_, run, call.order_.checkpoint_);
    running_.emplace(run, running);
    return OrderResult::Accepted;
}

OrderResult ExecutorStandIn::stop(const batch::CallStop &call, Instant now)
{
    advance(now);
    if (call.incarnation_.executor_ != info_.incarnation_.executor_) {
        return OrderResult::OtherExecutor;
    }
    if (!acceptsFencingToken(call.fencingToken_)) {
        return OrderResult::Fenced;
    }
    std::uint32_t &highestRun = highestRun_[call.run_.task_];
    highestRun = std::max(highestRun, call.run_.run_);
    const auto found = running_.find(call.run_);
    if (found != running_.end() && !found->second.stopping_) {
        found->second.stopping_ = true;
        found->second.kind_ = EndKind::Stopped;
        found->second.endsAt_ = now + stopDuration_;
    }
    return OrderResult::Accepted;
}

std::string ExecutorStandIn::checkpointOf(const batch::RunId &run, const ActiveRun &running, Instant now) const
{
    const auto workDone = running.restoredWork_ + std::chrono::duration_cast<milliseconds>(now - running.startedAt_) / checkpointPeriod * checkpointPeriod;
    if (workDone.count() == 0) {
        return "";
    }
    std::string text = std::to_string(workDone.count());
    return std::string(8 - std::min<std::size_t>(8, text.size()), '0') + text + "@" + run.task_.job_.str() + "." + std::to_string(run.task_.step_);
}

void ExecutorStandIn::extendLease(batch::ExecutorTime end, Instant now)
{
    leaseEnd_ = std::max(leaseEnd_, std::min(end, clock(now) + maxLeaseDuration));
    leaseLapsed_ = leaseEnd_ <= clock(now);
}

void ExecutorStandIn::end(const batch::RunId &run, EndKind kind, Instant now)
{
    const auto found = running_.find(run);
    const std::string checkpoint = kind == EndKind::Done ? "" : checkpointOf(run, found->second, now);
    running_.erase(found);
    std::uint32_t &highestRun = highestRun_[run.task_];
    highestRun = std::max(highestRun, run.run_);
    ended_.push_back({++lastEndNumber_, run, kind, checkpoint});
    observer_.onEnded_(info_.incarnation_, run, kind);
}

void ExecutorStandIn::advance(Instant now)
{
    std::vector<std::pair<batch::RunId, EndKind>> endedRuns;
    for (const auto &[run, running] : running_) {
        if (running.endsAt_ <= now) {
            endedRuns.emplace_back(run, running.kind_);
        } else if (clock(now) >= leaseEnd_) {
            endedRuns.emplace_back(run, EndKind::LeaseExpired);
        }
    }
    for (const auto &[run, kind] : endedRuns) {
        end(run, kind, now);
    }
    if (!leaseLapsed_ && clock(now) >= leaseEnd_) {
        leaseLapsed_ = true;
        observer_.onLeaseLapsed_(info_.incarnation_);
    }
}

std::optional<batch::PollAnswered> ExecutorStandIn::poll(const batch::PollCall &call, Instant now)
{
    advance(now);
    if (call.incarnation_.executor_ != info_.incarnation_.executor_ || !acceptsFencingToken(call.fencingToken_)) {
        return std::nullopt;
    }
    if (call.leaseEnd_) {
        extendLease(*call.leaseEnd_, now);
    }
    for (const batch::EndedRun &end : ended_) {
        if (end.number_ <= call.acknowledged_) {
            observer_.onAcknowledged_(info_.incarnation_, end);
        }
    }
    std::erase_if(ended_, [&call](const batch::EndedRun &end) { return end.number_ <= call.acknowledged_; });
    return lists(call, now);
}

batch::PollAnswered ExecutorStandIn::lists(const batch::PollCall &call, Instant now) const
{
    batch::PollAnswered answer;
    answer.sentAt_ = now;
    answer.wait_ = call.wait_;
    answer.fencingToken_ = call.fencingToken_;
    answer.acknowledged_ = call.acknowledged_;
    answer.startTimeMs_ = info_.incarnation_.startTimeMs_;
    answer.clock_ = clock(now);
    answer.ended_ = ended_;
    for (const auto &[run, running] : running_) {
        const auto workDone = running.restoredWork_ + std::chrono::duration_cast<milliseconds>(now - running.startedAt_);
        const auto percent = static_cast<std::int32_t>(workDone * 100 / std::max(milliseconds(1), running.totalWork_));
        answer.running_.push_back({run, checkpointOf(run, running, now), std::min(percent, 99), 0});
    }
    return answer;
}

}
