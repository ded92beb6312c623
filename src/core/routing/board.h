#pragma once

#include "bergamotwick/config.h"
#include "core/messages.h"
#include "core/routing/fair_queue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bergamotwick {

/// Identifies a caller's request within one entry.
using RequestToken = std::uint64_t;

/// Time-outs and limits of the router.
struct RouterLimits
{
    Duration reportTimeout_ = 3s; ///< an executor without a report for longer than this gets no new requests
    Duration refusalPause_ = 20ms; ///< delay before an executor that refused an attempt gets another
    Duration minRetryAfter_ = 1s;
    Duration maxStoreRetryAfter_ = 16s; ///< upper bound of the base of the retry delay while the store is unavailable
    std::int32_t maxUnknownAttempts_ = 4; ///< attempts with an unknown outcome after which a request is not retried
    std::int32_t maxRetryTokens_ = 10; ///< capacity of a service's retry budget
    std::size_t maxCachedAnswers_ = 10'000; ///< answers to non-repeatable requests, kept for callers that repeat the key
    Duration cachedAnswerLifetime_ = 10min;
    bool fairQueueing_ = true; ///< false: one first-in, first-out queue per class
    bool limitClassSlots_ = true; ///< false: a class may use all slots
    bool treatLostAsUnknown_ = true; ///< false only in a test that must detect wrong Outcome::NotRun answers
};

struct Request
{
    RequestToken token_ = 0;
    ServiceId service_;
    ClassId class_;
    WorkspaceId workspace_;
    GroupId group_;
    bool repeatable_ = true;
    std::string key_; ///< idempotency key; required unless repeatable_
    std::string path_;
    std::string body_;
    Duration timeout_{}; ///< 0: deadline of the class
};

/// Outcome of a request as told to its caller.
enum class Outcome : std::uint8_t {
    Answered, ///< status and body come from the executor
    NotRun, ///< did not run and never will; may be retried after retryAfter_
    Unknown, ///< may have run; no answer was received
    Duplicate, ///< the key is already claimed; this request is not run
    Invalid, ///< unknown service, class or workspace, or a missing or reused key
};

[[nodiscard]] const char *toString(Outcome outcome) noexcept;

/// Why a request was not run.
enum class Refusal : std::uint8_t {
    None,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoExecutor,
    StoreUnavailable,
    Stopping,
    CallerGone,
    UnknownService,
    UnknownClass,
    UnknownWorkspace,
    MissingKey,
    KeyReused,
};

[[nodiscard]] const char *toString(Refusal refusal) noexcept;

struct Executor
{
    ExecutorId id_;
    ServiceId service_;
    DataCentreId dataCentre_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::int32_t slots_ = 0;
    std::int32_t inUse_ = 0; ///< slots in use by this entry
    double slotShare_ = 0; ///< estimate of the slots available to this entry while other entries use the executor too
    bool leaving_ = false;
    Instant lastReportAt_{};
    Instant pausedUntil_{};
    std::int32_t consecutiveFailures_ = 0;
};

/// Progress of a request inside the entry.
enum class RequestStage : std::uint8_t {
    Queued,
    Claiming,
    Sent,
};

struct PendingRequest
{
    Request request_;
    RequestStage stage_ = RequestStage::Queued;
    Instant arrivedAt_{};
    Instant deadline_{};
    Instant sentAt_{};
    ExecutorId executor_;
    std::uint32_t attempt_ = 0;
    bool claimed_ = false;
    bool claimMayBeHeld_ = false; ///< the store holds the claim or may hold it
    std::int32_t unknownAttempts_ = 0; ///< attempts that ended with an unknown outcome
    bool mayHaveRun_ = false; ///< an attempt ended with an unknown outcome
    std::vector<RequestToken> joinedTokens_; ///< requests with the same key that arrived while this one was in flight
};

using GroupQueue = FairQueue<GroupId, std::deque<RequestToken>>;

struct WorkspaceQueue
{
    GroupQueue groups_;

    [[nodiscard]] bool empty() const
    {
        return groups_.empty();
    }
};

struct ClassQueue
{
    FairQueue<WorkspaceId, WorkspaceQueue> workspaces_;
    std::int32_t queued_ = 0;
    std::int32_t inUse_ = 0; ///< executor slots in use by this class
    double startTag_ = 0; ///< virtual start time: service seconds charged so far, divided by the weight
    double serviceSeconds_ = 0; ///< moving average of the service time; 0 until the first answer
};

struct ServiceQueue
{
    std::map<ClassId, ClassQueue> classes_;
    std::int32_t queued_ = 0;
    double retryTokens_ = 0;
    double virtualTime_ = 0; ///< highest start tag of a class served so far
};

/// Answer kept for callers that repeat a request with the same key.
struct CachedAnswer
{
    std::int32_t status_ = 0;
    std::string body_;
    std::uint64_t requestDigest_ = 0;
    Instant answeredAt_{};
};

// Outputs

struct SendAttempt
{
    ExecutorId executor_;
    AttemptRequest attempt_;
};

struct Answer
{
    RequestToken token_ = 0;
    Outcome outcome_ = Outcome::Unknown;
    Refusal refusal_ = Refusal::None;
    std::int32_t status_ = 0;
    std::string body_;
    Duration retryAfter_{};
    Duration latency_{};
    WorkspaceId workspace_;
    ServiceId service_;
    ClassId class_;
    GroupId group_;
};

struct ClaimKey
{
    RequestToken token_ = 0;
    std::string digest_;
    Instant deadline_{};
};

struct ReleaseKey
{
    RequestToken token_ = 0;
    std::string digest_;
};

/// An executor gets no requests for the given duration, after failures.
struct ExecutorPaused
{
    ExecutorId executor_;
    Duration duration_{};
};

using RouterOutput = std::variant<SendAttempt, Answer, ClaimKey, ReleaseKey, ExecutorPaused>;
using RouterOutputs = std::vector<RouterOutput>;

/// State shared by the functions of the router.
struct RouterState
{
    RouterLimits limits_;
    EntryId entry_;
    std::uint64_t incarnation_ = 0; ///< random number; upper half of request ids
    std::shared_ptr<const Config> config_ = std::make_shared<Config>();
    std::size_t entries_ = 1; ///< number of entries that share the executors
    bool stopping_ = false;
    std::optional<Instant> storeUnavailableSince_; ///< time of the first claim in a row that the store neither granted nor rejected
    std::map<ExecutorId, Executor> executors_;
    std::map<ServiceId, ServiceQueue> services_;
    std::map<RequestToken, PendingRequest> pending_;
    std::multimap<Instant, RequestToken> deadlines_;
    std::map<std::string, RequestToken> inFlightByDigest_; ///< key: claim digest
    std::map<std::string, CachedAnswer> cachedAnswers_; ///< key: claim digest
    std::deque<std::pair<Instant, std::string>> cachedAnswerOrder_;
    std::set<ServiceId> readyServices_; ///< services whose queues are dispatched in this step
};

}
