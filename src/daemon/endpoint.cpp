#include "daemon/endpoint.h"

#include "core/overloaded.h"
#include "daemon/clock.h"

#include <charconv>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

constexpr Duration callTimeout = 1s;
constexpr Duration connectTimeout = 500ms;
constexpr Duration endedTaskRetention = 60s;

std::int64_t toMilliseconds(Duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

httplib::Client clientFor(const HttpEndpoint &endpoint, Duration timeout)
{
    httplib::Client client(endpoint.url_);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

std::string taskPath(const JobId &job, std::uint32_t generation)
{
    return "/tasks/" + job.str() + "/" + std::to_string(generation);
}

/// Returns the calling thread's client for \p endpoint. Its connection stays open between attempts.
httplib::Client &threadLocalClient(const HttpEndpoint &endpoint)
{
    thread_local std::map<std::string, std::unique_ptr<httplib::Client>> clients;
    auto &client = clients[endpoint.url_];
    if (!client) {
        client = std::make_unique<httplib::Client>(endpoint.url_);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connectTimeout);
    }
    return *client;
}

AttemptCompleted postAttempt(const HttpEndpoint &endpoint, const AttemptRequest &attempt, Duration timeout)
{
    httplib::Client &client = threadLocalClient(endpoint);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    const std::string id
        = std::to_string(attempt.id_.requestIdHigh_) + "-" + std::to_string(attempt.id_.requestIdLow_) + "-" + std::to_string(attempt.id_.attempt_);
    const httplib::Result result = client.Post(attempt.path_, {{"Request-Id", id}}, attempt.body_, "application/octet-stream");
    if (result) {
        return {attempt.id_, EndpointResult::Answered, result->status, result->body};
    }
    const bool refused = result.error() == httplib::Error::Connection;
    return {attempt.id_, refused ? EndpointResult::ConnectionRefused : EndpointResult::Disconnected, 0, {}};
}

MemberPhase parsePhase(const std::string &state)
{
    if (state == "finished") {
        return MemberPhase::Finished;
    }
    if (state == "failed") {
        return MemberPhase::Failed;
    }
    return state == "running" ? MemberPhase::Running : MemberPhase::Absent;
}

std::optional<ListedTasks> parseListedTasks(const Json &task)
{
    const auto integerOrZero = [&task](const char *name) { return task.contains(name) && task[name].is_number_integer() ? task[name].get<std::int32_t>() : 0; };
    const auto isString = [&task](const char *name) { return task.contains(name) && task[name].is_string(); };
    if (!task.is_object() || !isString("job") || !isString("state")) {
        return std::nullopt;
    }
    ListedTasks listed;
    listed.member_ = {JobId(task["job"]), static_cast<std::uint32_t>(integerOrZero("generation")), integerOrZero("tasks"), parsePhase(task["state"])};
    listed.taskDemand_ = {integerOrZero("cores"), integerOrZero("memory_mb"), integerOrZero("accelerators")};
    return listed;
}

std::optional<WorkerTasksListed> fetchTasks(const HttpEndpoint &endpoint)
{
    const httplib::Result result = clientFor(endpoint, callTimeout).Get("/tasks");
    const Json tasks = result ? Json::parse(result->body, nullptr, false) : Json();
    if (!tasks.is_array()) {
        return std::nullopt;
    }
    WorkerTasksListed listing;
    for (const Json &task : tasks) {
        if (auto listed = parseListedTasks(task)) {
            listing.tasks_.push_back(std::move(*listed));
        }
    }
    return listing;
}

/// Parses a run time such as "250ms" or "3s". Returns one second for other text.
Duration parseRunTime(const std::string &payload)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(payload.data(), payload.data() + payload.size(), number);
    const std::string_view unit(end, static_cast<std::size_t>(payload.data() + payload.size() - end));
    if (error != std::errc() || number < 0 || number > 86'400'000 || (unit != "ms" && unit != "s")) {
        return 1s;
    }
    return unit == "ms" ? Duration(number * 1ms) : Duration(number * 1s);
}

}

void SimulatedEndpoint::start(const StartTasks &start, Instant now)
{
    const std::lock_guard lock(mutex_);
    tasks_[start.job_] = {start.generation_, now + parseRunTime(start.payload_), false, start.tasks_, start.taskDemand_};
}

void SimulatedEndpoint::stop(const StopTasks &stop)
{
    const std::lock_guard lock(mutex_);
    if (const auto task = tasks_.find(stop.job_); task != tasks_.end() && task->second.generation_ == stop.generation_) {
        task->second.stopped_ = true;
    }
}

WorkerTasksListed SimulatedEndpoint::list(Instant now)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(tasks_, [now](const auto &task) { return now - task.second.endTime_ > endedTaskRetention; });
    WorkerTasksListed listing;
    for (const auto &[job, task] : tasks_) {
        const MemberPhase phase = task.stopped_ ? MemberPhase::Absent : task.endTime_ <= now ? MemberPhase::Finished : MemberPhase::Running;
        listing.tasks_.push_back({{job, task.generation_, task.tasks_, phase}, task.each_});
    }
    return listing;
}

AttemptCompleted SimulatedEndpoint::echo(const AttemptRequest &attempt)
{
    return {attempt.id_, EndpointResult::Answered, 200, "echo " + attempt.path_ + " " + attempt.body_};
}

AttemptCompleted runAttempt(const Endpoint &endpoint, const AttemptRequest &attempt, Duration timeout)
{
    return std::visit(Overloaded{
                          [&](const HttpEndpoint &http) { return postAttempt(http, attempt, timeout); },
                          [&](const std::shared_ptr<SimulatedEndpoint> &) { return SimulatedEndpoint::echo(attempt); },
                      },
                      endpoint);
}

bool startTasks(const Endpoint &endpoint, const StartTasks &start)
{
    if (steadyNow() >= start.startDeadline_) {
        return false;
    }
    return std::visit(Overloaded{
                          [&](const HttpEndpoint &http) {
                              const Json body = {{"tasks", start.tasks_},
                                                 {"cores", start.taskDemand_.cores_},
                                                 {"memory_mb", start.taskDemand_.memoryMb_},
                                                 {"accelerators", start.taskDemand_.accelerators_},
                                                 {"payload", start.payload_},
                                                 {"lease_ms", toMilliseconds(start.lease_)}};
                              const auto result = clientFor(http, callTimeout).Put(taskPath(start.job_, start.generation_), body.dump(), "application/json");
                              return result && result->status < 300;
                          },
                          [&](const std::shared_ptr<SimulatedEndpoint> &simulated) {
                              simulated->start(start, steadyNow());
                              return true;
                          },
                      },
                      endpoint);
}

void renewTasks(const Endpoint &endpoint, const RenewTasks &renew)
{
    if (const auto *http = std::get_if<HttpEndpoint>(&endpoint)) {
        const Json body = {{"lease_ms", toMilliseconds(renew.lease_)}};
        clientFor(*http, callTimeout).Post(taskPath(renew.job_, renew.generation_) + "/renew", body.dump(), "application/json");
    }
}

void stopTasks(const Endpoint &endpoint, const StopTasks &stop)
{
    std::visit(Overloaded{
                   [&](const HttpEndpoint &http) { clientFor(http, callTimeout).Post(taskPath(stop.job_, stop.generation_) + "/checkpoint-and-stop"); },
                   [&](const std::shared_ptr<SimulatedEndpoint> &simulated) { simulated->stop(stop); },
               },
               endpoint);
}

std::optional<WorkerTasksListed> listTasks(const Endpoint &endpoint)
{
    return std::visit(Overloaded{
                          [](const HttpEndpoint &http) { return fetchTasks(http); },
                          [](const std::shared_ptr<SimulatedEndpoint> &simulated) { return std::optional(simulated->list(steadyNow())); },
                      },
                      endpoint);
}

}
