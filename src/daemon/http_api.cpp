#include "daemon/http_api.h"

#include "daemon/clock.h"
#include "daemon/pages.h"

#include "config/utf8.h"
#include "core/overloaded.h"
#include "net/bounded_body.h"

#include <cerrno>
#include <charconv>
#include <cmath>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using HttpRequest = httplib::Request;
using HttpResponse = httplib::Response;
using Json = nlohmann::json;

constexpr std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maxNameBytes = 128;
constexpr std::int64_t maxTimeoutMs = 86'400'000;
constexpr std::size_t maxQueuedConnections = 4'096;

namespace status {
constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;
constexpr int unknownOutcome = 504;
}

void sendJson(HttpResponse &response, int code, const Json &body)
{
    response.status = code;
    response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n", "application/json");
}

void setRetryAfter(HttpResponse &response, Duration length)
{
    response.set_header("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(length).count()));
}

void rejectRequest(HttpResponse &response, const char *reason, const std::string &field = {})
{
    response.set_header("Outcome", "invalid");
    Json body = {{"outcome", "invalid"}, {"reason", reason}};
    if (!field.empty()) {
        body["field"] = field;
    }
    sendJson(response, status::badRequest, body);
}

/// Reads the query parameters of a request and keeps the name of the first invalid one.
class Parameters
{
public:
    explicit Parameters(const HttpRequest &request)
        : request_(request)
    {
    }

    std::string name(const char *key, bool required)
    {
        std::string value = request_.get_param_value(key);
        if (value.size() > maxNameBytes || !isUtf8(value) || (required && value.empty())) {
            markInvalid(key);
        }
        return value;
    }

    bool yesOrNo(const char *key, bool defaultValue)
    {
        const std::string value = request_.get_param_value(key);
        if (value != "yes" && value != "no" && !value.empty()) {
            markInvalid(key);
        }
        return value.empty() ? defaultValue : value == "yes";
    }

    std::int64_t number(const char *key, std::int64_t max)
    {
        const std::string value = request_.get_param_value(key);
        std::int64_t parsed = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (!value.empty() && (error != std::errc() || end != value.data() + value.size() || parsed < 0 || parsed > max)) {
            markInvalid(key);
        }
        return parsed;
    }

    [[nodiscard]] const std::string &firstInvalid() const noexcept
    {
        return firstInvalid_;
    }

private:
    void markInvalid(const char *key)
    {
        if (firstInvalid_.empty()) {
            firstInvalid_ = key;
        }
    }

    const HttpRequest &request_;
    std::string firstInvalid_;
};

void writeAnswer(HttpResponse &response, const Answer &answer)
{
    response.set_header("Outcome", toString(answer.outcome_));
    const Json body = {{"outcome", toString(answer.outcome_)}, {"reason", toString(answer.refusal_)}};
    switch (answer.outcome_) {
    case Outcome::Answered:
        response.status = answer.status_;
        response.set_content(answer.body_, "application/octet-stream");
        return;
    case Outcome::NotRun:
        setRetryAfter(response, answer.retryAfter_);
        sendJson(response, status::unavailable, body);
        return;
    case Outcome::Unknown:
        sendJson(response, status::unknownOutcome, body);
        return;
    case Outcome::Duplicate:
        sendJson(response, status::conflict, body);
        return;
    case Outcome::Invalid:
        sendJson(response, answer.refusal_ == Refusal::KeyReused ? status::unprocessable : status::badRequest, body);
        return;
    }
}

int httpStatus(const JobAnswered &answered, bool cancel)
{
    switch (answered.refusal_) {
    case JobRefusal::None:
        return status::accepted;
    case JobRefusal::IdInUse:
        return status::conflict;
    case JobRefusal::NotFound:
        return status::notFound;
    case JobRefusal::StoreUnavailable:
        return answered.result_ == CommitResult::Unknown && !cancel ? status::unknownOutcome : status::unavailable;
    case JobRefusal::Stopping:
        return status::unavailable;
    default:
        return status::unprocessable;
    }
}

void writeJobAnswer(HttpResponse &response, const JobAnswered &answered, bool cancel)
{
    const int code = httpStatus(answered, cancel);
    if (code == status::unavailable) {
        setRetryAfter(response, 1s);
    }
    const char *outcome = code == status::accepted ? "accepted" : code == status::unknownOutcome ? "unknown" : "not_run";
    response.set_header("Outcome", outcome);
    sendJson(response, code, {{"outcome", outcome}, {"reason", toString(answered.refusal_)}, {"id", answered.job_.str()}});
}

void writeControlAnswer(HttpResponse &response, const ControlAnswered &answered)
{
    const Json body = {{"result", toString(answered.refusal_)}, {"revision", answered.revision_}};
    switch (answered.refusal_) {
    case ControlRefusal::None:
        sendJson(response, status::ok, body);
        return;
    case ControlRefusal::Conflict:
        sendJson(response, status::conflict, body);
        return;
    case ControlRefusal::UnknownDataCentre:
        sendJson(response, status::notFound, body);
        return;
    case ControlRefusal::BadSettings:
        sendJson(response, status::unprocessable, body);
        return;
    case ControlRefusal::StoreUnavailable:
        setRetryAfter(response, 1s);
        sendJson(response, answered.result_ == CommitResult::Unknown ? status::unknownOutcome : status::unavailable, body);
        return;
    }
}

}

HttpApi::HttpApi(EntryServer &entry, const Settings &settings)
    : entry_(entry)
    , settings_(settings)
    , server_(std::make_unique<httplib::Server>())
{
    const auto threads = static_cast<std::size_t>(settings.httpThreads_);
    server_->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_->set_payload_max_length(maxBodyBytes);
    server_->set_tcp_nodelay(true);
    server_->set_keep_alive_max_count(maxQueuedConnections);
    routeRequests();
    routeJobs();
    routeOperators();
    routeMonitoring();
    limitUnroutedBodies(*server_, maxBodyBytes);
}

HttpApi::~HttpApi()
{
    stop();
}

Result<void> HttpApi::start()
{
    if (!server_->bind_to_port(settings_.http_.host(), settings_.http_.port())) {
        return leaf::new_error(SocketError{errno});
    }
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    return {};
}

void HttpApi::stop()
{
    if (thread_.joinable()) {
        server_->stop();
        thread_.join();
    }
}

void HttpApi::routeRequests()
{
    const auto serve = [this](const HttpRequest &http, const std::string &body, HttpResponse &response) {
        Parameters parameters(http);
        Request request;
        request.token_ = entry_.nextToken();
        request.service_ = ServiceId(http.matches[1]);
        request.class_ = ClassId(http.matches[2]);
        request.path_ = http.matches[3].matched ? std::string(http.matches[3]) : "/" + request.class_.str();
        request.workspace_ = WorkspaceId(parameters.name("workspace", true));
        request.group_ = GroupId(parameters.name("group", false));
        request.repeatable_ = parameters.yesOrNo("repeatable", true);
        request.key_ = parameters.name("key", !request.repeatable_);
        request.timeout_ = std::chrono::milliseconds(parameters.number("timeout_ms", maxTimeoutMs));
        request.body_ = body;
        if (!parameters.firstInvalid().empty()) {
            rejectRequest(response, "wrong_parameter", parameters.firstInvalid());
            return;
        }
        writeAnswer(response, std::get<Answer>(entry_.call(request.token_, RouterInput(RequestArrived{request}))));
    };
    server_->Post(R"(/v1/services/([^/]+)/([^/]+)(/.*)?)", withBody(maxBodyBytes, serve));
}

void HttpApi::routeJobs()
{
    const auto submit = [this](const HttpRequest &, const std::string &body, HttpResponse &response) {
        const std::uint64_t token = entry_.nextToken();
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(spec, decodeJobSpec(body));
                if (spec.id_.empty()) {
                    spec.id_ = JobId("job-" + std::to_string(randomIncarnation()));
                }
                writeJobAnswer(response, std::get<JobAnswered>(entry_.call(token, SubmitJob{token, spec})), false);
                return {};
            },
            [&](const DocumentError &error) { rejectRequest(response, toString(error.code_), error.field_); },
            [&] { rejectRequest(response, "not_json"); });
    };
    server_->Post("/v1/jobs", withBody(maxBodyBytes, submit));
    const auto cancel = [this](const HttpRequest &http, const std::string &, HttpResponse &response) {
        const std::uint64_t token = entry_.nextToken();
        writeJobAnswer(response, std::get<JobAnswered>(entry_.call(token, CancelJob{token, JobId(http.matches[1])})), true);
    };
    server_->Delete(R"(/v1/jobs/([^/]+))", withoutBody(cancel));
    server_->Delete(R"(/v1/jobs/([^/]+))", withBody(maxBodyBytes, cancel));
    server_->Get("/v1/jobs", [this](const HttpRequest &, HttpResponse &response) {
        response.set_content(entry_.readState([](const Entry &entry, const BurnRateTracker &) { return jobsJson(entry.submissions()); }), "application/json");
    });
    server_->Get(R"(/v1/jobs/([^/]+))", [this](const HttpRequest &http, HttpResponse &response) {
        const JobId id(http.matches[1]);
        const std::string record = entry_.readState([&id](const Entry &entry, const BurnRateTracker &) {
            const JobRecord *found = entry.submissions().find(id);
            return found ? encodeRecord(*found) : std::string();
        });
        if (record.empty()) {
            sendJson(response, status::notFound, {{"outcome", "invalid"}, {"reason", "not_found"}});
        } else {
            response.set_content(record, "application/json");
        }
    });
}

void HttpApi::routeOperators()
{
    server_->Get("/v1/config", [this](const HttpRequest &, HttpResponse &response) {
        response.set_content(entry_.readState([](const Entry &entry, const BurnRateTracker &) { return controlJson(entry.control()); }), "application/json");
    });
    const auto applySettings = [this](const HttpRequest &http, const std::string &body, HttpResponse &response) {
        Parameters parameters(http);
        const std::uint64_t token = entry_.nextToken();
        const auto base = static_cast<std::uint64_t>(parameters.number("base", std::numeric_limits<std::int64_t>::max()));
        const OperationId operation(parameters.name("operation", true));
        if (!parameters.firstInvalid().empty()) {
            rejectRequest(response, "wrong_parameter", parameters.firstInvalid());
            return;
        }
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(tree, SettingsTree::fromJson(body));
                const ChangeControl change{token, operation, ApplySettings{base, std::move(tree)}};
                writeControlAnswer(response, std::get<ControlAnswered>(entry_.call(token, change)));
                return {};
            },
            [&](const DocumentError &error) { rejectRequest(response, toString(error.code_), error.field_); },
            [&] { rejectRequest(response, "not_json"); });
    };
    const auto setInService = [this](const HttpRequest &http, const std::string &, HttpResponse &response) {
        Parameters parameters(http);
        const std::uint64_t token = entry_.nextToken();
        const std::string state = parameters.name("state", true);
        const OperationId operation(parameters.name("operation", true));
        if (!parameters.firstInvalid().empty() || (state != "in" && state != "out")) {
            rejectRequest(response, "wrong_parameter", parameters.firstInvalid().empty() ? "state" : parameters.firstInvalid());
            return;
        }
        const ChangeControl change{token, operation, SetInService{DataCentreId(http.matches[1]), state == "in"}};
        writeControlAnswer(response, std::get<ControlAnswered>(entry_.call(token, change)));
    };
    server_->Put("/v1/config", withBody(maxBodyBytes, applySettings));
    server_->Put(R"(/v1/datacentres/([^/]+))", withBody(maxBodyBytes, setInService));
}

void HttpApi::routeMonitoring()
{
    server_->Get("/v1/status", [this](const HttpRequest &, HttpResponse &response) {
        const EntryIdentity identity{EntryId(settings_.name_), settings_.region_, settings_.http_.str()};
        response.set_content(entry_.readState([&](const Entry &entry, const BurnRateTracker &) { return statusJson(entry, identity, steadyNow()); }),
                             "application/json");
    });
    server_->Get("/v1/burn", [this](const HttpRequest &, HttpResponse &response) {
        const auto objectives = entry_.readState([](const Entry &entry, const BurnRateTracker &burn) { return burn.report(wallNow(), entry.config()); });
        response.set_content(burnJson(objectives), "application/json");
    });
    server_->Get("/metrics",
                 [this](const HttpRequest &, HttpResponse &response) { response.set_content(entry_.metrics().text(), "text/plain; version=0.0.4"); });
    server_->Get("/healthz", [](const HttpRequest &, HttpResponse &response) { response.set_content("ok\n", "text/plain"); });
    server_->Get("/readyz", [this](const HttpRequest &, HttpResponse &response) {
        const bool ready = entry_.readState([](const Entry &entry, const BurnRateTracker &) { return entry.ready(); });
        response.status = ready ? status::ok : status::unavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
}

}
