#include "job_service.h"

#include "clock.h"
#include "core/batch/codec.h"
#include "daemon/log.h"
#include "http_status.h"
#include "job_codec.h"
#include "keys.h"

#include <thread>

namespace bergamotwick::node {

namespace {

using batch::milliseconds;
using platform::Answer;

/// How long a caller waits if it doesn't say.
constexpr milliseconds usualPatience{3'000};

/// The answer leaves this long before the caller's deadline, to arrive in time.
constexpr milliseconds answerMargin{150};
constexpr milliseconds callTimeout{800};
constexpr milliseconds retryPause{80};

/// Comes back after most outages of the store within a caller's usual number of tries.
constexpr std::chrono::seconds retryLater{2};

/// A store that has served nothing for this long is asked a harmless question before anything is written: a write without an answer can
/// only be answered with a timeout, for it may still be done.
constexpr milliseconds servedLately{100};
constexpr milliseconds probeTimeout{450};

/// The leader's count of a queue's waiting jobs, itself up to a second old, is told on for this long: callers take what is two seconds old.
constexpr milliseconds countKept{800};

const char *wordOf(platform::CallMethod method)
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

Answer refusal(int status)
{
    return {status, "{}", status == platform::statusUnavailable ? retryLater : std::chrono::seconds(0)};
}

}

/// A call whose queue and caller are known.
struct JobService::Request
{
    const batch::Queue *queue_ = nullptr;
    WorkspaceId workspace_;
    std::string id_; ///< empty for a call about the queue
    Instant deadline_{};

    [[nodiscard]] milliseconds left() const
    {
        return std::chrono::duration_cast<milliseconds>(deadline_ - bootNow());
    }

    [[nodiscard]] milliseconds timeout() const
    {
        return std::clamp(left(), milliseconds(1), callTimeout);
    }
};

JobService::JobService(platform::StoreClient &store, const ConfigReplica &config, Forwarder &forwarder, CountWaiting count, Metrics &metrics, Duration keyLimit)
    : store_(store)
    , config_(config)
    , forwarder_(forwarder)
    , countWaiting_(std::move(count))
    , metrics_(metrics)
    , keyLimit_(keyLimit)
{
}

bool JobService::ready() const
{
    return config_.age() < keyLimit_;
}

Answer JobService::answer(const platform::Call &call)
{
    const Instant began = bootNow();
    Answer answer = serveOrForward(call);
    const std::string method = std::string("method=\"") + wordOf(call.method_) + "\"";
    metrics_.count("calls_total", method + ",status=\"" + std::to_string(answer.status_) + "\"");
    metrics_.observe("call_seconds", bootNow() - began, method);
    return answer;
}

Answer JobService::serveOrForward(const platform::Call &call)
{
    Answer answer = serve(call);
    if (answer.status_ != platform::statusUnavailable) {
        return answer;
    }
    const auto elsewhere = forwarder_.forward(call);
    return elsewhere && elsewhere->status_ != platform::statusUnavailable ? *elsewhere : answer;
}

Answer JobService::serve(const platform::Call &call)
{
    const auto view = config_.view();
    if (!view || config_.age() >= keyLimit_) {
        return refusal(platform::statusUnavailable);
    }
    const batch::ClusterConfig &config = view->config_;
    Request request;
    request.queue_ = config.route(call.host_, call.path_);
    if (request.queue_ == nullptr) {
        return refusal(platform::statusNotFound);
    }
    const batch::Workspace *workspace = config.workspaceOfKey(call.key_);
    if (workspace == nullptr && !request.queue_->open_) {
        return refusal(platform::statusUnauthorized);
    }
    if (workspace != nullptr) {
        request.workspace_ = workspace->name_;
    }
    request.id_ = call.path_.substr(request.queue_->prefix_.size());
    const milliseconds patience = call.timeout_.count() > 0 ? call.timeout_ : usualPatience;
    request.deadline_ = bootNow() + patience - answerMargin;
    if (request.id_.empty() && call.method_ == platform::CallMethod::Read) {
        return pending(request, call);
    }
    if (!platform::isJobId(request.id_)) {
        return refusal(call.method_ == platform::CallMethod::Submit ? platform::statusBadRequest : platform::statusGone);
    }
    switch (call.method_) {
    case platform::CallMethod::Submit:
        return config.maxBodyBytes_ > 0 && call.body_.size() > config.maxBodyBytes_ ? refusal(platform::statusTooLarge) : submit(request, call);
    case platform::CallMethod::Cancel:
        return cancel(request);
    case platform::CallMethod::Read:
        break;
    }
    return state(request);
}

std::optional<Answer> JobService::checkStore(const Request &request)
{
    if (bootNow() - store_.lastServed() < servedLately) {
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Answer>> {
            BOOST_LEAF_AUTO(job, store_.get(keys::jobs + request.id_, std::min(request.timeout(), probeTimeout)));
            return job ? std::optional<Answer>(refusal(platform::statusOk)) : std::nullopt;
        },
        [&](const StoreError &error) -> std::optional<Answer> {
            logEvent(LogLevel::Warning, "job-refused", {{"job", request.id_}, {"reason", "store-away"}, {"error", toString(error.code_)}});
            return refusal(platform::statusUnavailable);
        },
        []() -> std::optional<Answer> { return refusal(platform::statusUnavailable); });
}

Answer JobService::submit(const Request &request, const platform::Call &call)
{
    batch::Submission submission;
    const bool readable = leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(submission, platform::decodeJob(call.body_));
            return true;
        },
        [&](const DocumentError &error) {
            logEvent(LogLevel::Info, "job-malformed", {{"job", request.id_}, {"field", error.field_}});
            return false;
        },
        [] { return false; });
    if (!readable) {
        return refusal(platform::statusBadRequest);
    }
    if (const auto known = checkStore(request)) {
        return *known;
    }
    submission.id_ = JobId(request.id_);
    submission.queue_ = request.queue_->key();
    submission.workspace_ = request.workspace_;
    submission.service_ = request.queue_->service_;
    submission.acceptedAt_ = calendarNow();
    platform::Transaction transaction;
    const std::string key = keys::jobs + request.id_;
    transaction.expected_ = {{key, 0}};
    transaction.puts_ = {{key, batch::encode(submission), 0}};
    bool mayBeStored = false;
    do {
        const int status = leaf::try_handle_all(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(result, store_.apply(transaction, request.timeout()));
                logEvent(LogLevel::Info,
                         "job-stored",
                         {{"job", request.id_}, {"queue", request.queue_->name_}, {"new", result.applied_}, {"revision", result.revision_}});
                return platform::statusOk;
            },
            [&](const StoreError &error) {
                mayBeStored = mayBeStored || error.code_ == StoreErrc::Ambiguous || error.code_ == StoreErrc::BadReply;
                logEvent(LogLevel::Warning, "job-not-stored", {{"job", request.id_}, {"error", toString(error.code_)}, {"may_be_stored", mayBeStored}});
                return mayBeStored ? 0 : platform::statusUnavailable;
            },
            [] { return 0; });
        if (status != 0) {
            return refusal(status);
        }
        const auto elsewhere = forwarder_.forward(call);
        if (elsewhere && elsewhere->status_ == platform::statusOk) {
            return *elsewhere;
        }
        std::this_thread::sleep_for(retryPause);
    } while (request.left().count() > 0);
    return refusal(platform::statusTimeout);
}

Answer JobService::cancel(const Request &request)
{
    const std::string job = keys::jobs + request.id_;
    do {
        const int status = leaf::try_handle_all(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(found, store_.get(job, request.timeout()));
                if (!found) {
                    return platform::statusGone;
                }
                platform::Transaction transaction;
                transaction.expected_ = {{job, found->revision_}};
                transaction.puts_ = {{keys::cancels + request.id_, "", 0}};
                BOOST_LEAF_AUTO(result, store_.apply(transaction, request.timeout()));
                logEvent(LogLevel::Info, "cancel-stored", {{"job", request.id_}, {"applied", result.applied_}});
                return result.applied_ ? platform::statusOk : 0;
            },
            [&](const StoreError &error) {
                logEvent(LogLevel::Warning, "cancel-not-stored", {{"job", request.id_}, {"error", toString(error.code_)}});
                return 0;
            },
            [] { return 0; });
        if (status != 0) {
            return refusal(status);
        }
        std::this_thread::sleep_for(retryPause);
    } while (request.left().count() > 0);
    return refusal(platform::statusTimeout);
}

Answer JobService::state(const Request &request)
{
    do {
        Answer answer = leaf::try_handle_all(
            [&]() -> Result<Answer> {
                BOOST_LEAF_AUTO(record, store_.get(keys::progress + request.id_, request.timeout()));
                if (record) {
                    BOOST_LEAF_AUTO(progress, batch::decodeProgress(record->value_));
                    return Answer{platform::statusOk, platform::encodeState(progress.state_)};
                }
                BOOST_LEAF_AUTO(job, store_.get(keys::jobs + request.id_, request.timeout()));
                return job ? Answer{platform::statusOk, platform::encodeState(batch::JobState::Queued)} : refusal(platform::statusGone);
            },
            [&](const StoreError &error) {
                logEvent(LogLevel::Warning, "state-unread", {{"job", request.id_}, {"error", toString(error.code_)}});
                return Answer();
            },
            [&](const WireError &error) {
                logEvent(LogLevel::Error, "progress-unreadable", {{"job", request.id_}, {"error", toString(error.code_)}});
                return refusal(platform::statusUnavailable);
            },
            [] { return refusal(platform::statusUnavailable); });
        if (answer.status_ != 0) {
            return answer;
        }
        std::this_thread::sleep_for(retryPause);
    } while (request.left().count() > 0);
    return refusal(platform::statusUnavailable);
}

Answer JobService::pending(const Request &request, const platform::Call &call)
{
    const std::string queue = request.queue_->key();
    if (const auto waiting = countWaiting_(queue)) {
        return {platform::statusOk, platform::encodePending(*waiting)};
    }
    {
        const std::lock_guard lock(countsMutex_);
        const auto known = counts_.find(queue);
        if (known != counts_.end() && bootNow() - known->second.at_ < countKept) {
            return known->second.answer_;
        }
    }
    const Instant asked = bootNow();
    const auto answer = forwarder_.askLeader(call);
    if (!answer || answer->status_ != platform::statusOk) {
        return refusal(platform::statusUnavailable);
    }
    const std::lock_guard lock(countsMutex_);
    counts_[queue] = {*answer, asked};
    return *answer;
}

}
