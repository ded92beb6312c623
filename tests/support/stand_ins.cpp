#include "support/stand_ins.h"

#include "store/gateway_json.h"

#include <cstdlib>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace bergamotwick::test {

namespace {

using Json = nlohmann::json;
using HttpRequest = httplib::Request;
using HttpResponse = httplib::Response;

constexpr std::size_t serverThreads = 64;

std::int64_t numberField(const Json &object, const char *name)
{
    return object.contains(name) ? std::strtoll(object[name].get<std::string>().c_str(), nullptr, 10) : 0;
}

Json responseHeader(const MemoryStore &store)
{
    return {{"revision", std::to_string(store.revision())}};
}

Json rangeReply(MemoryStore &store, const Json &range)
{
    const PollItem item{fromBase64(range["key"]), range.contains("range_end"), numberField(range, "min_mod_revision")};
    const StoreReply reply = store.call(PollKeys{1, {item}}, std::chrono::steady_clock::now());
    Json kvs = Json::array();
    for (const KeyValue &found : std::get<KeysPolled>(reply).found_.front()) {
        kvs.push_back({{"key", toBase64(found.key_)}, {"value", toBase64(found.value_)}, {"mod_revision", std::to_string(found.modRevision_)}});
    }
    return {{"kvs", std::move(kvs)}};
}

Json txnReply(MemoryStore &store, const Json &txn)
{
    if (!txn.contains("compare")) {
        Json responses = Json::array();
        for (const Json &operation : txn["success"]) {
            responses.push_back({{"response_range", rangeReply(store, operation["request_range"])}});
        }
        return {{"header", responseHeader(store)}, {"succeeded", true}, {"responses", std::move(responses)}};
    }
    const Json &put = txn["success"][0]["request_put"];
    const CompareAndSwap swap{1, fromBase64(put["key"]), numberField(txn["compare"][0], "mod_revision"), fromBase64(put["value"]), numberField(put, "lease")};
    const auto swapped = std::get<SwapCompleted>(store.call(swap, std::chrono::steady_clock::now()));
    Json reply = {{"header", {{"revision", std::to_string(swapped.modRevision_)}}}};
    if (swapped.succeeded_) {
        reply["succeeded"] = true;
    }
    return reply;
}

Json leaseReply(MemoryStore &store, const std::string &path, const Json &body)
{
    const auto now = std::chrono::steady_clock::now();
    if (path == "/v3/lease/grant") {
        const auto granted = std::get<LeaseGranted>(store.call(GrantLease{1, std::chrono::seconds(numberField(body, "TTL"))}, now));
        return {{"ID", std::to_string(granted.lease_)}, {"TTL", body["TTL"]}};
    }
    if (path == "/v3/lease/keepalive") {
        const auto renewed = std::get<LeaseRenewed>(store.call(RenewLease{1, numberField(body, "ID")}, now));
        return {{"result", {{"ID", body["ID"]}, {"TTL", renewed.alive_ ? "6" : "0"}}}};
    }
    (void)store.call(RevokeLease{1, numberField(body, "ID")}, now);
    return Json::object();
}

}

LoopbackServer::LoopbackServer()
    : server_(std::make_unique<httplib::Server>())
{
    server_->new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    server_->set_tcp_nodelay(true);
    server_->set_keep_alive_max_count(1'000'000);
    port_ = server_->bind_to_any_port("127.0.0.1");
}

LoopbackServer::~LoopbackServer()
{
    stop();
}

void LoopbackServer::serve()
{
    thread_ = std::thread([this] { server_->listen_after_bind(); });
}

void LoopbackServer::stop()
{
    if (thread_.joinable()) {
        server_->stop();
        thread_.join();
    }
}

std::string LoopbackServer::url() const
{
    return "http://127.0.0.1:" + std::to_string(port_);
}

// Store

StandInStore::StandInStore()
{
    server_->Post(R"(/v3/.*)", [this](const HttpRequest &request, HttpResponse &response) {
        ++calls_;
        const Mode mode = mode_;
        if (mode == Mode::Down || mode == Mode::RateLimited) {
            response.status = mode == Mode::Down ? 503 : 429;
            return;
        }
        if (mode == Mode::MalformedReplies) {
            response.set_content("{\"header\": [", "application/json");
            return;
        }
        if (mode == Mode::Slow) {
            std::this_thread::sleep_for(1500ms);
        }
        const Json body = Json::parse(request.body);
        const Json reply = request.path == "/v3/kv/range" ? rangeReply(memory_, body)
            : request.path == "/v3/kv/txn"                ? txnReply(memory_, body)
                                                          : leaseReply(memory_, request.path, body);
        if (mode == Mode::LosesReplies) {
            response.status = 500;
            return;
        }
        response.set_content(reply.dump(), "application/json");
    });
    serve();
}

StandInStore::~StandInStore()
{
    stop();
}

// Executor

StandInExecutor::StandInExecutor()
{
    server_->Post(R"(/.*)", [this](const HttpRequest &request, HttpResponse &response) {
        const int active = ++activeRuns_;
        int maximum = maxConcurrentRuns_;
        while (maximum < active && !maxConcurrentRuns_.compare_exchange_weak(maximum, active)) { }
        {
            const std::lock_guard lock(mutex_);
            ++runs_[request.body];
        }
        std::this_thread::sleep_for(Duration(serviceTime_));
        --activeRuns_;
        if (dropsReplies_) {
            response.set_content_provider(100, "text/plain", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
            return;
        }
        response.set_content("answer to " + request.body, "text/plain");
    });
    serve();
}

StandInExecutor::~StandInExecutor()
{
    stop();
}

int StandInExecutor::runsOf(const std::string &body) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(body);
    return found == runs_.end() ? 0 : found->second;
}

int StandInExecutor::totalRuns() const
{
    const std::lock_guard lock(mutex_);
    int total = 0;
    for (const auto &[body, count] : runs_) {
        total += count;
    }
    return total;
}

// Worker

StandInWorker::StandInWorker()
{
    server_->Put(R"(/tasks/([^/]+)/(\d+))", [this](const HttpRequest &request, HttpResponse &) {
        const Json body = Json::parse(request.body);
        const std::string payload = body["payload"];
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(mutex_);
        Task &task = tasks_[request.matches[1]];
        task.generation_ = static_cast<std::uint32_t>(std::atoi(std::string(request.matches[2]).c_str()));
        task.tasks_ = body["tasks"];
        task.cores_ = body["cores"];
        task.memoryMb_ = body["memory_mb"];
        task.accelerators_ = body["accelerators"];
        task.state_ = "running";
        task.fails_ = payload == "fail";
        task.endsAt_ = now + std::chrono::seconds(std::atoi(payload.c_str()));
        task.leaseExpiresAt_ = now + std::chrono::milliseconds(body["lease_ms"].get<int>());
        ++starts_[request.matches[1]];
    });
    server_->Post(R"(/tasks/([^/]+)/(\d+)/renew)", [this](const HttpRequest &request, HttpResponse &) {
        const std::lock_guard lock(mutex_);
        tasks_[request.matches[1]].leaseExpiresAt_
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(Json::parse(request.body)["lease_ms"].get<int>());
    });
    server_->Post(R"(/tasks/([^/]+)/(\d+)/checkpoint-and-stop)", [this](const HttpRequest &request, HttpResponse &) {
        const std::lock_guard lock(mutex_);
        Task &task = tasks_[request.matches[1]];
        task.state_ = task.state_ == "running" ? "stopped" : task.state_;
    });
    server_->Get("/tasks", [this](const HttpRequest &, HttpResponse &response) {
        const std::lock_guard lock(mutex_);
        updateStates();
        Json tasks = Json::array();
        for (const auto &[job, task] : tasks_) {
            tasks.push_back({{"job", job},
                             {"generation", task.generation_},
                             {"tasks", task.tasks_},
                             {"cores", task.cores_},
                             {"memory_mb", task.memoryMb_},
                             {"accelerators", task.accelerators_},
                             {"state", task.state_}});
        }
        response.set_content(tasks.dump(), "application/json");
    });
    serve();
}

StandInWorker::~StandInWorker()
{
    stop();
}

void StandInWorker::updateStates()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto &[job, task] : tasks_) {
        if (task.state_ != "running") {
            continue;
        }
        if (now >= task.leaseExpiresAt_) {
            task.state_ = "stopped";
        } else if (now >= task.endsAt_) {
            task.state_ = task.fails_ ? "failed" : "finished";
        }
    }
}

int StandInWorker::startsOf(const std::string &job) const
{
    const std::lock_guard lock(mutex_);
    const auto found = starts_.find(job);
    return found == starts_.end() ? 0 : found->second;
}

bool StandInWorker::isRunning(const std::string &job) const
{
    const std::lock_guard lock(mutex_);
    const auto found = tasks_.find(job);
    return found != tasks_.end() && found->second.state_ == "running" && std::chrono::steady_clock::now() < found->second.leaseExpiresAt_;
}

}
