#include "job_service.h"

#include "clock.h"
#include "core/batch/codec.h"
#include "daemon/log.h"
#include "http_status.h"
#include "job_codec.h"
#include "keys.h"

#include <algorithm>
#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;
using platform::Answer;

/// Timeout of a call that doesn't specify one.
constexpr milliseconds defaultCallerTimeout{3'000};

/// The answer is sent this long before the caller's deadline, so that it arrives in time.
constexpr milliseconds answerMargin{150};
constexpr milliseconds storeCallTimeout{800};

/// Pause between two rounds in which this entry's store is called, and that of one other entry.
constexpr milliseconds retryDelay{160};

/// With this delay a caller's usual number of retries outlasts most outages of the store.
constexpr std::chrono::seconds unavailableRetryAfter{2};

/// If the store hasn't served a call for this long, it is probed with a read before a write. A write without a reply may still be applied,
/// so the caller would get a timeout instead of a retryable error.
constexpr milliseconds probeAfterIdle{100};
constexpr milliseconds probeTimeout{450};

/// How long the leader's count of a queue's waiting jobs is cached. The count is up to one second old when it arrives, and callers accept
/// an age of two seconds.
constexpr milliseconds maxCountAge{800};

const char *methodName(platform::CallMethod method)
{
    switch (method) {
    case platform::CallMethod::Submit:
        return "submit";
    case platform::CallMethod::Cancel:
        return "cancel";
    case platform::CallMethod::Read:
        break;
    }
    return "read";
}

/// Returns until when a call that arrived at \p receivedAt is served.
Instant deadlineOf(const platform::Call &call, Instant receivedAt)
{
    return receivedAt + (call.timeout_.count() > 0 ? call.timeout_ : defaultCallerTimeout) - answerMargin;
}

Answer answerWithStatus(int status)
{
    return {status, "{}", status == platform::statusUnavailable ? unavailableRetryAfter : std::chrono::seconds(0)};
}

/// Decodes \p body into \p submission. Returns the answer if it isn't a valid job.
std::optional<Answer> decodeOrRefuse(const std::string &id, const std::string &body, batch::Submission &submission)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Answer>> {
            BOOST_LEAF_ASSIGN(submission, platform::decodeJob(body));
            return std::optional<Answer>();
        },
        [&](const DocumentError &error) -> std::optional<Answer> {
            logEvent(LogLevel::Info, "job-malformed", {{"job", id}, {"field", error.field_}});
            return Answer{platform::statusBadRequest, platform::encodeMalformed(error.field_), {}};
        },
        []() -> std::optional<Answer> { return answerWithStatus(platform::statusBadRequest); });
}

/// Returns the transaction that stores \p submission with the settings of \p queue, unless it is stored or has been cancelled.
platform::Transaction makeTransaction(const batch::Submission &submission, const batch::Queue &queue, std::size_t maxRecordBytes)
{
    const std::string id = submission.id_.str();
    const std::string record = batch::isFolded(submission, maxRecordBytes) ? batch::encodeLong(submission) : batch::encode(submission);
    platform::Transaction transaction;
    transaction.expected_ = {{keys::jobs + id, 0}, {keys::cancels + id, 0}};
    transaction.puts_ = {{keys::jobs + id, record, 0}, {keys::settings + id, batch::encode(batch::AcceptedSettings{submission.id_, queue}), 0}};
    return transaction;
}

/// Returns whether \p result of storing a job under \p jobKey shows that the job was cancelled before it was stored.
bool isCancelledBefore(const platform::TransactionResult &result, const std::string &jobKey)
{
    const auto isStored = [&jobKey](const platform::Item &item) { return item.key_ == jobKey && item.revision_ != 0; };
    return !result.applied_ && std::none_of(result.current_.begin(), result.current_.end(), isStored);
}

/// Returns the answer to a submission of which a record may become larger, even folded, than \p maxRecordBytes.
std::optional<Answer> refuseExcess(const batch::Submission &submission, std::size_t maxRecordBytes)
{
    const auto excess = batch::foldedRecordExcess(submission, maxRecordBytes);
    if (!excess) {
        return std::nullopt;
    }
    logEvent(LogLevel::Info,
             "job-too-large",
             {{"job", submission.id_.str()}, {"reason", batch::toString(excess->kind_)}, {"found", excess->found_}, {"limit", excess->limit_}});
    return Answer{platform::statusTooLarge, platform::encodeRefusal(*excess), {}};
}

}

/// A call with its queue and its caller's workspace.
struct JobService::Request
{
    const batch::Queue *queue_ = nullptr;
    WorkspaceId workspace_;
    std::string id_; ///< empty for a call about the queue
    Instant receivedAt_{};
    Instant deadline_{};

    [[nodiscard]] milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(bootNow() - receivedAt_);
    }

    [[nodiscard]] milliseconds remaining() const
    {
        return std::chrono::duration_cast<milliseconds>(deadline_ - bootNow());
    }

    [[nodiscard]] milliseconds timeout() const
    {
        return std::clamp(remaining(), milliseconds(1), storeCallTimeout);
    }
};

JobService::JobService(platform::StoreClient &store,
                       const ConfigReplica &config,
                       Forwarder &forwarder,
                       CountWaiting countWaiting,
                       Metrics &metrics,
                       Duration maxConfigAge,
                       std::size_t maxRecordBytes)
    : store_(store)
    , config_(config)
    , forwarder_(forwarder)
    , countWaiting_(std::move(countWaiting))
    , metrics_(metrics)
    , maxConfigAge_(maxConfigAge)
    , maxRecordBytes_(maxRecordBytes)
{
}

bool JobService::ready() const
{
    return config_.age() < maxConfigAge_.load();
}

Answer JobService::answer(const platform::Call &call)
{
    const Instant startedAt = bootNow();
    Answer answer = serveOrForward(call);
    const std::string method = std::string("method=\"") + methodName(call.method_) + "\"";
    metrics_.count("calls_total", method + ",status=\"" + std::to_string(answer.status_) + "\"");
    metrics_.observe("call_seconds", bootNow() - startedAt, method);
    return answer;
}

Answer JobService::serveOrForward(const platform::Call &call)
{
    const Instant deadline = deadlineOf(call, bootNow());
    Answer answer = serve(call);
    if (answer.status_ != platform::statusUnavailable) {
        return answer;
    }
    const Forwarded forwarded = forwarder_.forward(call, deadline);
    if (!forwarded.isServed() && forwarded.mayBeServed_ && call.method_ == platform::CallMethod::Submit) {
        return answerWithStatus(platform::statusTimeout); // a refusal would say that the job never runs
    }
    return forwarded.answer_.value_or(answer);
}

Answer JobService::serve(const platform::Call &call)
{
    const auto snapshot = config_.snapshot();
    if (!snapshot || config_.age() >= maxConfigAge_.load()) {
        return answerWithStatus(platform::statusUnavailable);
    }
    const batch::ClusterConfig &config = snapshot->config_;
    Request request;
    request.queue_ = config.route(call.host_, call.path_);
    if (request.queue_ == nullptr) {
        return answerWithStatus(platform::statusNotFound);
    }
    const batch::Workspace *workspace = config.workspaceOfKey(call.key_);
    if (workspace == nullptr && !request.queue_->public_) {
        return answerWithStatus(platform::statusUnauthorized);
    }
    if (workspace != nullptr) {
        request.workspace_ = workspace->name_;
    }
    request.id_ = call.path_.substr(request.queue_->prefix_.size());
    request.receivedAt_ = bootNow();
    request.deadline_ = deadlineOf(call, request.receivedAt_);
    if (request.id_.empty() && call.method_ == platform::CallMethod::Read) {
        return readWaitingCount(request, call);
    }
    if (!platform::isJobId(request.id_)) {
        return answerWithStatus(call.method_ == platform::CallMethod::Submit ? platform::statusBadRequest : platform::statusGone);
    }
    switch (call.method_) {
    case platform::CallMethod::Submit:
        return config.maxBodyBytes_ > 0 && call.body_.size() > config.maxBodyBytes_ ? answerWithStatus(platform::statusTooLarge) : submit(request, call);
    case platform::CallMethod::Cancel:
        return cancel(request, call);
    case platform::CallMethod::Read:
        break;
    }
    return readState(request, call);
}

std::optional<Answer> JobService::probeStore(const Request &request)
{
    if (bootNow() - store_.lastServed() < probeAfterIdle) {
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Answer>> {
            BOOST_LEAF_AUTO(job, store_.get(keys::jobs + request.id_, std::min(request.timeout(), probeTimeout)));
            return job ? std::optional<Answer>(answerWithStatus(platform::statusOk)) : std::nullopt;
        },
        [&](const StoreError &error) -> std::optional<Answer> {
            logEvent(LogLevel::Warning,
                     "job-refused",
                     {{"job", request.id_}, {"reason", "store-away"}, {"error", toString(error.code_)}, {"took_ms", request.elapsed().count()}});
            return answerWithStatus(platform::statusUnavailable);
        },
        []() -> std::optional<Answer> { return answerWithStatus(platform::statusUnavailable); });
}

Answer JobService::submit(const Request &request, const platform::Call &call)
{
    batch::Submission submission;
    if (auto refusal = decodeOrRefuse(request.id_, call.body_, submission)) {
        return *refusal;
    }
    if (const auto known = probeStore(request)) {
        return *known;
    }
    submission.id_ = JobId(request.id_);
    submission.queue_ = request.queue_->key();
    submission.workspace_ = request.workspace_;
    submission.service_ = request.queue_->service_;
    submission.acceptedAt_ = calendarNow();
    if (auto refusal = refuseExcess(submission, maxRecordBytes_)) {
        return *refusal;
    }
    const std::string key = keys::jobs + request.id_;
    const platform::Transaction transaction = makeTransaction(submission, *request.queue_, maxRecordBytes_);
    bool mayBeStored = false;
    for (std::size_t round = 0; round == 0 || request.remaining().count() > 0; ++round) {
        const int status = leaf::try_handle_all(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(result, store_.apply(transaction, request.timeout()));
                if (isCancelledBefore(result, key)) {
                    logEvent(LogLevel::Info, "job-not-stored", {{"job", request.id_}, {"reason", "cancelled"}, {"took_ms", request.elapsed().count()}});
                    return platform::statusGone;
                }
                logEvent(LogLevel::Info,
                         "job-stored",
                         {{"job", request.id_},
                          {"queue", request.queue_->name_},
                          {"new", result.applied_},
                          {"revision", result.revision_},
                          {"took_ms", request.elapsed().count()}});
                return platform::statusOk;
            },
            [&](const StoreError &error) {
                mayBeStored = mayBeStored || error.code_ == StoreErrc::Ambiguous || error.code_ == StoreErrc::BadReply;
                logEvent(LogLevel::Warning,
                         "job-not-stored",
                         {{"job", request.id_}, {"error", toString(error.code_)}, {"may_be_stored", mayBeStored}, {"took_ms", request.elapsed().count()}});
                if (error.code_ == StoreErrc::Rejected) {
                    return platform::statusTooLarge;
                }
                return mayBeStored ? 0 : platform::statusUnavailable;
            },
            [] { return 0; });
        if (status != 0) {
            return answerWithStatus(status);
        }
        if (call.forwarded_) {
            break; // the entry that was called asks the next one
        }
        if (auto elsewhere = askOtherEntries(request, call, round)) {
            return *elsewhere;
        }
        std::this_thread::sleep_for(retryDelay);
    }
    return answerWithStatus(platform::statusTimeout);
}

Answer JobService::cancel(const Request &request, const platform::Call &call)
{
    const std::string job = keys::jobs + request.id_;
    for (std::size_t round = 0; round == 0 || request.remaining().count() > 0; ++round) {
        const int status = leaf::try_handle_all(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(found, store_.get(job, request.timeout()));
                platform::Transaction transaction;
                transaction.expected_ = {{job, found ? found->revision_ : 0}};
                transaction.puts_ = {{keys::cancels + request.id_, "", 0}};
                BOOST_LEAF_AUTO(result, store_.apply(transaction, request.timeout()));
                logEvent(LogLevel::Info, "cancel-stored", {{"job", request.id_}, {"applied", result.applied_}, {"job_stored", found.has_value()}});
                if (!result.applied_) {
                    return 0;
                }
                return found ? platform::statusOk : platform::statusGone;
            },
            [&](const StoreError &error) {
                logEvent(LogLevel::Warning, "cancel-not-stored", {{"job", request.id_}, {"error", toString(error.code_)}});
                return 0;
            },
            [] { return 0; });
        if (status != 0) {
            return answerWithStatus(status);
        }
        if (call.forwarded_) {
            break; // as a cancel may be repeated, it isn't told whether it may be stored
        }
        if (auto elsewhere = askOtherEntries(request, call, round)) {
            return *elsewhere;
        }
        std::this_thread::sleep_for(retryDelay);
    }
    return answerWithStatus(platform::statusTimeout);
}

std::optional<Answer> JobService::askOtherEntries(const Request &request, const platform::Call &call, std::size_t round)
{
    Forwarded forwarded = round == 0 ? forwarder_.forward(call, request.deadline_) : forwarder_.forward(call, request.deadline_, 1);
    return forwarded.isServed() ? std::move(forwarded.answer_) : std::nullopt;
}

Answer JobService::readState(const Request &request, const platform::Call &call)
{
    for (std::size_t round = 0; round == 0 || request.remaining().count() > 0; ++round) {
        Answer answer = leaf::try_handle_all(
            [&]() -> Result<Answer> {
                BOOST_LEAF_AUTO(record, store_.get(keys::progress + request.id_, request.timeout()));
                if (record) {
                    BOOST_LEAF_AUTO(progress, batch::decodeProgress(record->value_));
                    if (batch::isFinal(progress.state_)) {
                        logEvent(LogLevel::Info, "end-shown", {{"job", request.id_}, {"state", batch::toString(progress.state_)}});
                    }
                    return Answer{platform::statusOk, platform::encodeState(progress.state_)};
                }
                BOOST_LEAF_AUTO(job, store_.get(keys::jobs + request.id_, request.timeout()));
                return job ? Answer{platform::statusOk, platform::encodeState(batch::JobState::Queued)} : answerWithStatus(platform::statusGone);
            },
            [&](const StoreError &error) {
                logEvent(LogLevel::Warning, "state-unread", {{"job", request.id_}, {"error", toString(error.code_)}});
                return Answer();
            },
            [&](const WireError &error) {
                logEvent(LogLevel::Error, "progress-unreadable", {{"job", request.id_}, {"error", toString(error.code_)}});
                return answerWithStatus(platform::statusUnavailable);
            },
            [] { return answerWithStatus(platform::statusUnavailable); });
        if (answer.status_ != 0) {
            return answer;
        }
        if (call.forwarded_) {
            break;
        }
        if (auto elsewhere = askOtherEntries(request, call, round)) {
            return *elsewhere;
        }
        std::this_thread::sleep_for(retryDelay);
    }
    return answerWithStatus(platform::statusUnavailable);
}

Answer JobService::readWaitingCount(const Request &request, const platform::Call &call)
{
    const std::string queue = request.queue_->key();
    if (const auto waiting = countWaiting_(queue)) {
        return {platform::statusOk, platform::encodeWaitingCount(*waiting)};
    }
    {
        const std::lock_guard lock(countsMutex_);
        const auto known = counts_.find(queue);
        if (known != counts_.end() && bootNow() - known->second.requestedAt_ < maxCountAge) {
            return known->second.answer_;
        }
    }
    const Instant requestedAt = bootNow();
    const auto answer = forwarder_.forwardToLeader(call).answer_;
    if (!answer || answer->status_ != platform::statusOk) {
        return answerWithStatus(platform::statusUnavailable);
    }
    const std::lock_guard lock(countsMutex_);
    counts_[queue] = {*answer, requestedAt};
    return *answer;
}

}
