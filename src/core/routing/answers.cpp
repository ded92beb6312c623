#include "core/routing/answers.h"

#include "core/commit/claims.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace bergamotwick {

namespace {

void keepAnswer(RouterBoard &board, const Pending &pending, const Verdict &verdict, Instant now)
{
    const std::string digest = claimDigest(pending.request_);
    board.answers_[digest] = {verdict.status_, verdict.body_, contentDigest(pending.request_), now};
    board.answerOrder_.emplace_back(now, digest);
    while (board.answerOrder_.size() > board.limits_.keptAnswers_ || now - board.answerOrder_.front().first > board.limits_.keepAnswers_) {
        board.answers_.erase(board.answerOrder_.front().second);
        board.answerOrder_.pop_front();
    }
}

Answer answerFor(const Request &request, const Verdict &verdict)
{
    Answer answer;
    answer.token_ = request.token_;
    answer.outcome_ = verdict.outcome_;
    answer.refusal_ = verdict.refusal_;
    answer.status_ = verdict.status_;
    answer.body_ = verdict.body_;
    answer.workspace_ = request.workspace_;
    answer.service_ = request.service_;
    answer.class_ = request.class_;
    answer.group_ = request.group_;
    return answer;
}

/// The longer the store has been away, the later callers come back, and not all at once.
Duration storeRetryAfter(const RouterBoard &board, RequestToken token, Instant now)
{
    constexpr std::int64_t steps = 16;
    const Duration away = board.storeAwaySince_ ? now - *board.storeAwaySince_ : Duration::zero();
    const Duration base = std::clamp(away / 4, board.limits_.minRetryAfter_, board.limits_.maxStoreRetry_);
    return base / 2 + base * (static_cast<std::int64_t>(token) % steps) / steps + board.limits_.minRetryAfter_ / 2;
}

/// Settles the claim of a finished request: kept with its answer if it ran, given back if it did not.
void settleClaim(RouterBoard &board, const Pending &pending, const Verdict &verdict, Instant now, RouterOutputs &outputs)
{
    if (pending.request_.repeatable_) {
        return;
    }
    board.underWay_.erase(claimDigest(pending.request_));
    if (verdict.outcome_ == Outcome::Answered) {
        keepAnswer(board, pending, verdict, now);
    } else if (verdict.outcome_ == Outcome::NotRun && pending.claimMayBeHeld_) {
        outputs.emplace_back(ReleaseKey{pending.request_.token_, claimDigest(pending.request_)});
    }
}

}

const char *toString(Outcome outcome) noexcept
{
    constexpr const char *words[] = {"answered", "not_run", "unknown", "duplicate", "invalid"};
    return words[static_cast<std::size_t>(outcome)];
}

const char *toString(Refusal refusal) noexcept
{
    constexpr const char *words[] = {"none",
                                     "queue_full",
                                     "deadline_too_short",
                                     "deadline_passed",
                                     "no_executor",
                                     "store_unavailable",
                                     "stopping",
                                     "caller_gone",
                                     "unknown_service",
                                     "unknown_class",
                                     "unknown_workspace",
                                     "missing_key",
                                     "key_reused"};
    return words[static_cast<std::size_t>(refusal)];
}

void finish(RouterBoard &board, RequestToken token, Verdict verdict, Instant now, RouterOutputs &outputs)
{
    const auto found = board.pending_.find(token);
    if (found == board.pending_.end()) {
        return;
    }
    Pending &pending = found->second;
    if (verdict.outcome_ == Outcome::NotRun && (pending.maybeRan_ || pending.stage_ == Stage::Sent)) {
        verdict.outcome_ = Outcome::Unknown;
    }
    if (pending.stage_ == Stage::Queued) {
        unqueue(board, pending);
    } else {
        freeSlot(board, pending);
    }
    settleClaim(board, pending, verdict, now, outputs);
    Answer answer = answerFor(pending.request_, verdict);
    answer.took_ = now - pending.arrivedAt_;
    if (verdict.outcome_ != Outcome::Answered) {
        const bool store = verdict.refusal_ == Refusal::StoreUnavailable;
        answer.retryAfter_ = store ? storeRetryAfter(board, token, now) : retryAfter(board, pending.request_.service_);
    }
    outputs.emplace_back(answer);
    for (const RequestToken joined : pending.joined_) {
        answer.token_ = joined;
        outputs.emplace_back(answer);
    }
    board.ready_.insert(pending.request_.service_);
    board.pending_.erase(found);
}

void refuse(const RouterBoard &board, const Request &request, Outcome outcome, Refusal refusal, RouterOutputs &outputs)
{
    Answer answer = answerFor(request, {outcome, refusal, 0, {}});
    answer.retryAfter_ = retryAfter(board, request.service_);
    outputs.emplace_back(std::move(answer));
}

void answerAgain(const Request &request, const KeptAnswer &kept, RouterOutputs &outputs)
{
    outputs.emplace_back(answerFor(request, {Outcome::Answered, Refusal::None, kept.status_, kept.body_}));
}

void freeSlot(RouterBoard &board, Pending &pending)
{
    if (const auto executor = board.executors_.find(pending.executor_); executor != board.executors_.end()) {
        --executor->second.inUse_;
    }
    --board.services_[pending.request_.service_].classes_[pending.request_.class_].inUse_;
    pending.executor_ = ExecutorId();
    board.ready_.insert(pending.request_.service_);
}

void unqueue(RouterBoard &board, Pending &pending)
{
    const Request &request = pending.request_;
    ServiceQueue &service = board.services_[request.service_];
    ClassQueue &queue = service.classes_[request.class_];
    const GroupId group = board.limits_.fairGroups_ ? request.group_ : GroupId();
    const WorkspaceId workspace = board.limits_.fairGroups_ ? request.workspace_ : WorkspaceId();
    std::erase(queue.workspaces_.flow(workspace).groups_.flow(group), request.token_);
    --queue.queued_;
    --service.queued_;
}

void enqueue(RouterBoard &board, Pending &pending, bool front)
{
    const Request &request = pending.request_;
    ServiceQueue &service = board.services_[request.service_];
    ClassQueue &queue = service.classes_[request.class_];
    if (queue.queued_ == 0) {
        queue.cost_ = std::max(queue.cost_, service.floor_);
    }
    const GroupId group = board.limits_.fairGroups_ ? request.group_ : GroupId();
    const WorkspaceId workspace = board.limits_.fairGroups_ ? request.workspace_ : WorkspaceId();
    auto &flow = queue.workspaces_.flow(workspace).groups_.flow(group);
    if (front) {
        flow.push_front(request.token_);
    } else {
        flow.push_back(request.token_);
    }
    pending.stage_ = Stage::Queued;
    ++queue.queued_;
    ++service.queued_;
    board.ready_.insert(request.service_);
}

Duration retryAfter(const RouterBoard &board, const ServiceId &id)
{
    const auto service = board.services_.find(id);
    if (service == board.services_.end()) {
        return board.limits_.minRetryAfter_;
    }
    double work = 0;
    for (const auto &[name, queue] : service->second.classes_) {
        work += queue.seconds_ * queue.queued_;
    }
    std::int32_t slots = 0;
    for (const auto &[name, executor] : board.executors_) {
        slots += executor.service_ == id && !executor.leaving_ ? executor.slots_ : 0;
    }
    const auto drain = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work / std::max(slots, 1)));
    return std::max(board.limits_.minRetryAfter_, drain);
}

bool takesWork(const RouterBoard &board, const Executor &executor, Instant now)
{
    return !executor.leaving_ && now >= executor.pausedUntil_ && now - executor.heardAt_ <= board.limits_.silence_;
}

std::int32_t openSlots(const RouterBoard &board, const ServiceId &service, Instant now)
{
    std::int32_t slots = 0;
    for (const auto &[id, executor] : board.executors_) {
        if (executor.service_ == service && !executor.leaving_ && now - executor.heardAt_ <= board.limits_.silence_) {
            slots += executor.slots_;
        }
    }
    return slots;
}

std::string claimDigest(const Request &request)
{
    return ClaimRegistry::digestOf(request.workspace_.str(), request.service_.str(), request.key_);
}

std::uint64_t contentDigest(const Request &request)
{
    const std::uint64_t path = XXH64(request.path_.data(), request.path_.size(), 1);
    return XXH64(request.body_.data(), request.body_.size(), path);
}

}
