#include "platform.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iomanip>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8 | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[group >> (18 - 6 * index) & 63] : '=';
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        const char *found = std::strchr(digits, digit);
        if (digit == '=' || found == nullptr) {
            break;
        }
        group = group << 6 | static_cast<std::uint32_t>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

std::size_t decodedSize(const std::string &text)
{
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    return text.size() / 4 * 3 - padding;
}

class ThreadForEach : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> work) override
    {
        {
            const std::lock_guard lock(mutex_);
            ++running_;
        }
        std::thread([this, work = std::move(work)] {
            work();
            const std::lock_guard lock(mutex_);
            --running_;
            idle_.notify_all();
        }).detach();
    }

    void shutdown() override
    {
        std::unique_lock lock(mutex_);
        idle_.wait(lock, [this] { return running_ == 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable idle_;
    int running_ = 0;
};

/// Ends the connection before the announced body is sent, so that the call gets no answer.
void dropAnswer(httplib::Response &response)
{
    response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

Record::Record(const std::string &path)
    : file_(path, std::ios::trunc)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - begin_).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << " " << text << std::endl;
}

HttpServer::HttpServer()
{
    http_.set_tcp_nodelay(true);
    http_.set_keep_alive_timeout(5);
    http_.set_keep_alive_max_count(1'000'000);
    http_.set_payload_max_length(std::size_t{64} * 1024 * 1024);
    http_.new_task_queue = [] { return new ThreadForEach; };
}

HttpServer::~HttpServer()
{
    stop();
}

int HttpServer::listen(const std::string &host, int port)
{
    int bound = port;
    if (port == 0) {
        bound = http_.bind_to_any_port(host);
    } else if (!http_.bind_to_port(host, port)) {
        bound = -1;
    }
    if (bound > 0) {
        thread_ = std::thread([this] { http_.listen_after_bind(); });
        while (!http_.is_running()) {
            std::this_thread::sleep_for(1ms);
        }
    }
    return bound;
}

void HttpServer::stop()
{
    if (thread_.joinable()) {
        http_.stop();
        thread_.join();
    }
}

Gate::Gate(std::string host, int port)
    : host_(std::move(host))
    , port_(port)
{
    accepter_ = std::thread([this] { accept(); });
}

Gate::~Gate()
{
    close();
    target_ = -1;
    accepter_.join();
    while (running_ > 0) {
        std::this_thread::sleep_for(5ms);
    }
}

bool Gate::open(int target)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port_));
    ::inet_pton(AF_INET, host_.c_str(), &address.sin_addr);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(listener, 64) != 0) {
        ::close(listener);
        return false;
    }
    target_ = target;
    listener_ = listener;
    return true;
}

void Gate::close()
{
    ++epoch_;
    const int listener = listener_.exchange(-1);
    if (listener >= 0) {
        ::shutdown(listener, SHUT_RDWR);
        ::close(listener);
    }
}

void Gate::accept()
{
    while (target_ >= 0) {
        const int listener = listener_;
        pollfd waiting{listener, POLLIN, 0};
        if (listener < 0 || ::poll(&waiting, 1, 20) <= 0 || (waiting.revents & POLLIN) == 0) {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0) {
            ++running_;
            std::thread([this, client] {
                forward(client);
                --running_;
            }).detach();
        }
    }
}

void Gate::forward(int client)
{
    const int epoch = epoch_;
    const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(target_.load()));
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const int yes = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    bool alive = ::connect(server, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    std::vector<char> buffer(65'536);
    while (alive && epoch == epoch_) {
        pollfd both[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        if (silent_) {
            std::this_thread::sleep_for(5ms);
            continue;
        }
        if (::poll(both, 2, 10) <= 0 || silent_) {
            continue;
        }
        for (int side = 0; side < 2 && alive && epoch == epoch_; ++side) {
            if (both[side].revents == 0) {
                continue;
            }
            const ssize_t size = ::recv(both[side].fd, buffer.data(), buffer.size(), 0);
            alive = size > 0 && ::send(both[1 - side].fd, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
        }
    }
    const linger reset{1, 0};
    ::setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::close(client);
    ::close(server);
}

Store::Store(Record &record, std::size_t valueBytes)
    : record_(record)
    , valueBytes_(valueBytes)
{
    serve();
    port_ = server_.listen("127.0.0.1", 0);
    expiry_ = std::thread([this] { expire(); });
}

Store::~Store()
{
    stopping_ = true;
    changed_.notify_all();
    server_.stop();
    expiry_.join();
    for (std::thread &thread : late_) {
        thread.join();
    }
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    set(key, toBase64(value), 0);
    changed_.notify_all();
}

std::string Store::text(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? "" : fromBase64(found->second.value_);
}

void Store::setLateShare(double share)
{
    const std::lock_guard lock(mutex_);
    lateShare_ = share;
}

Json Store::toJson(const std::string &key, const Item &item)
{
    return {{"key", key}, {"value", item.value_}, {"revision", item.revision_}, {"created_rev", item.created_}, {"lease", item.lease_}};
}

void Store::set(const std::string &key, const std::string &value, std::int64_t lease)
{
    Item &item = items_[key];
    item.value_ = value;
    item.revision_ = revision_;
    item.created_ = item.created_ == 0 ? revision_ : item.created_;
    item.lease_ = lease;
    history_.emplace_back(revision_, toJson(key, item));
}

void Store::erase(const std::string &key)
{
    if (items_.erase(key) > 0) {
        history_.emplace_back(revision_, Json{{"key", key}, {"revision", revision_}, {"removed", true}});
    }
}

std::pair<int, Json> Store::transact(const Json &body)
{
    const std::lock_guard lock(mutex_);
    const Json expected = body.value("expect_rev", Json::array());
    const Json puts = body.value("puts", Json::array());
    const Json removed = body.value("remove", Json::array());
    if (expected.size() + puts.size() + removed.size() > 32) {
        record_.line("store: refused a transaction of more than 32 entries");
        return {400, Json::object()};
    }
    for (const Json &row : puts) {
        const std::string key = row.at("key");
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {403, Json::object()};
        }
        const std::size_t size = decodedSize(row.at("value").get_ref<const std::string &>());
        if (size > valueBytes_) {
            record_.line("store: refused a value of " + std::to_string(size) + " bytes for " + key + ", of a transaction with " + std::to_string(puts.size())
                         + " puts (value_bytes is " + std::to_string(valueBytes_) + ")");
            return {400, Json::object()};
        }
    }
    Json current = Json::array();
    bool holds = true;
    for (const Json &row : expected) {
        const std::string key = row.at("key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision_;
        holds = holds && revision == row.at("revision").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json{{"key", key}, {"revision", 0}} : toJson(key, found->second));
    }
    if (!holds) {
        return {412, {{"items", std::move(current)}}};
    }
    for (const Json &row : puts) {
        const auto lease = row.value("lease", std::int64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            return {404, Json::object()};
        }
    }
    ++revision_;
    for (const Json &row : puts) {
        set(row.at("key"), row.at("value"), row.value("lease", std::int64_t{0}));
    }
    for (const Json &key : removed) {
        erase(key);
    }
    changed_.notify_all();
    return {200, {{"revision", revision_}}};
}

void Store::serve()
{
    const auto answer = [](httplib::Response &response, int status, const Json &body) {
        response.status = status;
        response.set_content(body.dump(), "application/json");
    };
    server_.http_.Get("/bergamotwick/kv-key", [this, answer](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(4ms);
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(request.get_param_value("key"));
        if (found == items_.end()) {
            return answer(response, 404, {{"at_rev", revision_}});
        }
        Json body = toJson(found->first, found->second);
        body["at_rev"] = revision_;
        answer(response, 200, body);
    });
    server_.http_.Get("/bergamotwick/kv-range", [this, answer](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(4ms);
        const std::lock_guard lock(mutex_);
        const std::string prefix = request.get_param_value("prefix");
        const std::string after = request.get_param_value("after");
        Json items = Json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto at = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after); at != items_.end() && at->first.starts_with(prefix); ++at) {
            if (!items.empty() && (items.size() == 500 || bytes + at->second.value_.size() > 1'000'000)) {
                more = true;
                break;
            }
            bytes += at->second.value_.size();
            items.push_back(toJson(at->first, at->second));
        }
        answer(response, 200, {{"items", std::move(items)}, {"has_more", more}, {"at_rev", revision_}});
    });
    server_.http_.Get("/bergamotwick/kv-watch", [this, answer](const httplib::Request &request, httplib::Response &response) {
        const std::string prefix = request.get_param_value("prefix");
        const std::int64_t after = std::stoll(request.get_param_value("after"));
        const auto until = Clock::now() + milliseconds(std::stoll(request.get_param_value("wait_ms")));
        std::unique_lock lock(mutex_);
        for (bool timedOut = false;;) {
            Json events = Json::array();
            for (const auto &[revision, event] : history_) {
                if (revision > after && event.at("key").get_ref<const std::string &>().starts_with(prefix)) {
                    events.push_back(event);
                }
            }
            if (!events.empty() || timedOut || stopping_) {
                return answer(response, 200, {{"events", std::move(events)}, {"at_rev", revision_}});
            }
            timedOut = changed_.wait_until(lock, until) == std::cv_status::timeout;
        }
    });
    server_.http_.Post("/bergamotwick/kv-txn", [this, answer](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(4ms);
        const Json body = Json::parse(request.body);
        {
            std::unique_lock lock(mutex_);
            if (std::uniform_real_distribution<double>(0, 1)(random_) < lateShare_) {
                const milliseconds delay(std::uniform_int_distribution<int>(1'000, 6'000)(random_));
                late_.emplace_back([this, body, delay] {
                    const auto until = Clock::now() + delay;
                    while (!stopping_ && Clock::now() < until) {
                        std::this_thread::sleep_for(10ms);
                    }
                    const int status = transact(body).first;
                    for (const Json &row : body.value("puts", Json::array())) {
                        record_.line("store: late write of " + row.at("key").get<std::string>() + ", " + std::to_string(status) + ", after "
                                     + std::to_string(delay.count()) + " ms");
                    }
                });
                lock.unlock();
                std::this_thread::sleep_for(3s); // the connection returns nothing further
                return dropAnswer(response);
            }
        }
        const auto [status, reply] = transact(body);
        answer(response, status, reply);
    });
    server_.http_.Post("/bergamotwick/kv-lease", [this, answer](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(4ms);
        const milliseconds ttl(std::max<std::int64_t>(1'000, Json::parse(request.body).at("ttl_ms")));
        const std::lock_guard lock(mutex_);
        leases_[++lastLease_] = {ttl, Clock::now() + ttl};
        answer(response, 200, {{"lease", lastLease_}, {"ttl_ms", ttl.count()}});
    });
    server_.http_.Post(R"(/bergamotwick/kv-keep/(\d+))", [this, answer](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(4ms);
        const std::lock_guard lock(mutex_);
        const auto found = leases_.find(std::stoll(request.matches[1]));
        if (found == leases_.end()) {
            return answer(response, 404, Json::object());
        }
        found->second.until_ = Clock::now() + found->second.ttl_;
        answer(response, 200, {{"ttl_ms", found->second.ttl_.count()}});
    });
    server_.http_.Delete(R"(/bergamotwick/kv-lease-end/(\d+))", [this, answer](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(4ms);
        const std::lock_guard lock(mutex_);
        const auto found = leases_.find(std::stoll(request.matches[1]));
        if (found != leases_.end()) {
            found->second.until_ = Clock::now();
        }
        answer(response, 200, Json::object());
    });
}

void Store::expire()
{
    while (!stopping_) {
        std::this_thread::sleep_for(10ms);
        const std::lock_guard lock(mutex_);
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (lease->second.until_ > Clock::now()) {
                ++lease;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &[key, item] : items_) {
                if (item.lease_ == lease->first) {
                    keys.push_back(key);
                }
            }
            revision_ += keys.empty() ? 0 : 1;
            for (const std::string &key : keys) {
                erase(key);
            }
            lease = leases_.erase(lease);
            changed_.notify_all();
        }
    }
}

std::size_t Runs::began(RunSeen run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void Runs::ended(std::size_t index, double at, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    runs_[index].ended_ = at;
    runs_[index].how_ = how;
}

void Runs::noted(std::size_t index)
{
    const std::lock_guard lock(mutex_);
    runs_[index].noted_ = true;
}

std::vector<RunSeen> Runs::all()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<RunSeen> Runs::of(const std::string &job)
{
    std::vector<RunSeen> found = all();
    std::erase_if(found, [&job](const RunSeen &run) { return !run.task_.starts_with(job + "."); });
    return found;
}

Executor::Executor(Record &record, Runs &runs, std::string host, std::string control, std::string id, std::string zone, std::vector<std::string> labels)
    : record_(record)
    , runs_(runs)
    , host_(std::move(host))
    , control_(std::move(control))
    , id_(std::move(id))
    , zone_(std::move(zone))
    , labels_(std::move(labels))
    , born_(unixMs())
{
    serve();
    const int inner = server_.listen("127.0.0.1", 0);
    gate_ = std::make_unique<Gate>(host_, 8'080);
    port_ = inner > 0 && gate_->open(inner) ? 8'080 : -1;
    inner_ = inner;
    advance_ = std::thread([this] { advance(); });
    beat_ = std::thread([this] { beat(); });
}

Executor::~Executor()
{
    stop();
}

void Executor::stop()
{
    if (stopping_.exchange(true)) {
        return;
    }
    changed_.notify_all();
    gate_.reset();
    server_.stop();
    advance_.join();
    beat_.join();
    for (std::thread &thread : late_) {
        thread.join();
    }
}

/// Ends this life. Precondition: mutex_ is locked.
void Executor::fall()
{
    absent_ = true;
    for (const auto &[task, run] : running_) {
        runs_.ended(run.seen_, record_.seconds(), "crashed");
    }
    running_.clear();
    over_.clear();
    ended_.clear();
    changed_.notify_all();
}

/// Begins the next life. Precondition: mutex_ is locked, and the gate is closed.
void Executor::rise(bool sameId)
{
    lastEnd_ = 0;
    fence_ = 0;
    deadline_ = 0;
    sequence_ = 0;
    born_ = std::max(born_ + 1, unixMs());
    birth_ = Clock::now();
    id_ = sameId ? id_ : id_ + "x";
    absent_ = false;
    record_.line(id_ + ": next incarnation, born " + std::to_string(born_));
    if (!gate_->open(inner_)) {
        record_.line(id_ + ": can't listen");
    }
}

void Executor::crash(bool sameId, milliseconds absence)
{
    {
        const std::lock_guard lock(mutex_);
        gate_->close();
        record_.line(id_ + ": crash");
        fall();
    }
    std::this_thread::sleep_for(absence);
    const std::lock_guard lock(mutex_);
    rise(sameId);
}

void Executor::crashSilently(milliseconds absence)
{
    {
        const std::lock_guard lock(mutex_);
        gate_->setSilent(true);
        record_.line(id_ + ": crash, silent");
        fall();
    }
    std::this_thread::sleep_for(absence);
    const std::lock_guard lock(mutex_);
    gate_->close();
    std::this_thread::sleep_for(30ms); // what was passed to the gate meanwhile is gone with its connections
    gate_->setSilent(false);
    rise(false);
}

void Executor::setLateShare(double share)
{
    const std::lock_guard lock(mutex_);
    lateShare_ = share;
}

/// Leaves a share of the calls without an answer. Such a call is carried out later, by the incarnation that is there then.
bool Executor::leaveUnanswered(const httplib::Request &request, std::unique_lock<std::mutex> &lock)
{
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= lateShare_) {
        return false;
    }
    const milliseconds delay(std::uniform_int_distribution<int>(2'000, 12'000)(random_));
    late_.emplace_back([this, delay, expected = request.get_header_value("X-Expect-Instance"), body = Json::parse(request.body)] {
        const auto until = Clock::now() + delay;
        while (!stopping_ && Clock::now() < until) {
            std::this_thread::sleep_for(2ms);
        }
        const std::lock_guard late(mutex_);
        if (stopping_ || absent_ || expected != id_) {
            return;
        }
        const std::string run = body.at("task").get<std::string>() + " run " + std::to_string(body.at("run").get<int>());
        const int status = start(body).first;
        if (status == 200) {
            record_.line(id_ + ": carried out " + std::to_string(delay.count()) + " ms late: start of " + run);
        }
    });
    lock.unlock();
    std::this_thread::sleep_for(1s);
    return true;
}

std::int64_t Executor::clock() const
{
    return 400'000 + std::chrono::duration_cast<milliseconds>(Clock::now() - birth_).count();
}

void Executor::answer(httplib::Response &response, int status, Json body) const
{
    body["clock_ms"] = clock();
    body["born"] = born_;
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

/// Checks what all calls have in common. Returns whether the call is to be carried out. Precondition: mutex_ is locked.
bool Executor::prepare(const httplib::Request &request, httplib::Response &response, Json &body)
{
    body = Json::parse(request.body);
    if (absent_) {
        dropAnswer(response);
        return false;
    }
    const std::string expected = request.get_header_value("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        answer(response, 421, Json::object());
        return false;
    }
    if (!admit(body)) {
        answer(response, 409, {{"reason", "fence"}});
        return false;
    }
    return true;
}

/// Takes the fencing token and the lease of a call. Returns whether the token is high enough.
bool Executor::admit(const Json &body)
{
    const auto token = body.value("fence_token", std::int64_t{0});
    if (token < fence_) {
        return false;
    }
    fence_ = token;
    const auto deadline = body.value("deadline_ms", std::int64_t{0});
    deadline_ = std::max(deadline_, std::min(deadline, clock() + 10'000));
    return true;
}

/// Carries out a start; returns status and body of its answer. Precondition: mutex_ is locked.
std::pair<int, Json> Executor::start(const Json &body)
{
    if (!admit(body)) {
        return {409, {{"reason", "fence"}}};
    }
    const std::string task = body.at("task");
    const int run = body.at("run");
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run_ == run) {
        return {200, Json::object()};
    }
    if (over_.contains(task) && run <= over_.at(task)) {
        return {409, {{"reason", "old"}}};
    }
    if (deadline_ <= clock()) {
        return {409, {{"reason", "late"}}};
    }
    const std::string spec = body.at("spec");
    const std::size_t seen = runs_.began({task, run, id_, record_.seconds(), -1, "", spec.substr(0, 40)});
    record_.line(id_ + ": start of " + task + " run " + std::to_string(run));
    running_[task] = {run, spec, Clock::now(), std::nullopt, seen};
    return {200, Json::object()};
}

void Executor::end(const std::string &task, const std::string &how)
{
    const auto found = running_.find(task);
    const Running run = found->second;
    running_.erase(found);
    over_[task] = std::max(over_[task], run.run_);
    ended_.push_back({++lastEnd_, task, run.run_, how, run.seen_});
    runs_.ended(run.seen_, record_.seconds(), how);
    record_.line(id_ + ": end of " + task + " run " + std::to_string(run.run_) + " " + how);
    changed_.notify_all();
}

void Executor::serve()
{
    server_.http_.Post("/bergamotwick/run-start", [this](const httplib::Request &request, httplib::Response &response) {
        std::unique_lock lock(mutex_);
        if (!absent_ && leaveUnanswered(request, lock)) {
            return dropAnswer(response);
        }
        Json body;
        if (prepare(request, response, body)) {
            auto [status, reply] = start(body);
            answer(response, status, std::move(reply));
        }
    });
    server_.http_.Post("/bergamotwick/run-stop", [this](const httplib::Request &request, httplib::Response &response) {
        const std::lock_guard lock(mutex_);
        Json body;
        if (!prepare(request, response, body)) {
            return;
        }
        const std::string task = body.at("task");
        const int run = body.at("run");
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.run_ <= run && !found->second.stopsAt_) {
            found->second.stopsAt_ = Clock::now() + 200ms;
        }
        over_[task] = std::max(over_[task], run);
        answer(response, 200, Json::object());
    });
    server_.http_.Post("/bergamotwick/hold", [this](const httplib::Request &request, httplib::Response &response) {
        std::unique_lock lock(mutex_);
        Json body;
        if (!prepare(request, response, body)) {
            return;
        }
        const auto cursor = body.value("ack_cursor", std::int64_t{0});
        while (!ended_.empty() && ended_.front().number_ <= cursor) {
            runs_.noted(ended_.front().seen_);
            ended_.pop_front();
        }
        const auto wait = milliseconds(std::min<std::int64_t>(2'000, body.value("wait_ms", std::int64_t{0})));
        changed_.wait_for(lock, wait, [this] { return !ended_.empty() || stopping_ || absent_; });
        if (absent_) {
            return dropAnswer(response);
        }
        Json running = Json::array();
        for (const auto &[task, run] : running_) {
            const bool lasts = run.spec_.starts_with("lasting");
            const double work = lasts ? 1 : std::max(1.0, std::stod(run.spec_));
            const auto elapsed = std::chrono::duration<double, std::milli>(Clock::now() - run.began_).count();
            running.push_back({task, run.run_, "", lasts ? 100 : std::min(99, static_cast<int>(elapsed / work * 100)), 0});
        }
        Json ended = Json::array();
        for (const Ended &run : ended_) {
            if (ended.size() < 500) {
                ended.push_back({run.number_, run.task_, run.run_, run.how_, ""});
            }
        }
        answer(response, 200, {{"running", std::move(running)}, {"ended_runs", std::move(ended)}});
    });
}

void Executor::advance()
{
    while (!stopping_) {
        std::this_thread::sleep_for(5ms);
        const std::lock_guard lock(mutex_);
        const auto now = Clock::now();
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto &[task, run] : running_) {
            const bool lasts = run.spec_.starts_with("lasting");
            const auto work = milliseconds(lasts ? 0 : std::stoll(run.spec_));
            const auto fails = run.spec_.find("fail:");
            if (deadline_ <= clock()) {
                over.emplace_back(task, "lapsed");
            } else if (run.stopsAt_ && now >= *run.stopsAt_) {
                over.emplace_back(task, "stopped");
            } else if (!lasts && now >= run.began_ + work) {
                over.emplace_back(task, fails != std::string::npos && run.run_ <= std::stoi(run.spec_.substr(fails + 5)) ? "failed" : "done");
            }
        }
        for (const auto &[task, how] : over) {
            end(task, how);
        }
    }
}

bool Executor::isAbsent()
{
    const std::lock_guard lock(mutex_);
    return absent_;
}

bool Executor::isReborn(std::int64_t born)
{
    const std::lock_guard lock(mutex_);
    return !absent_ && born_ != born;
}

void Executor::beat()
{
    httplib::Client client("http://" + control_);
    client.set_connection_timeout(300ms);
    client.set_read_timeout(1'000ms);
    while (!stopping_) {
        Json body;
        std::string id;
        {
            const std::lock_guard lock(mutex_);
            id = id_;
            body = {{"service", "huvo11a"},
                    {"address", address()},
                    {"zone", zone_},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_left_ms", 0},
                    {"capacity", {{"cpu", cpu}, {"mem_mb", memory}, {"gpu", gpu}}},
                    {"labels", labels_},
                    {"clock_ms", clock()},
                    {"born", born_},
                    {"seq", ++sequence_}};
        }
        if (!isAbsent()) {
            (void)client.Post("/bergamotwick/instances/" + id + "/heartbeat", body.dump(), "application/json");
        }
        const std::int64_t born = body.at("born");
        for (int part = 0; part < 150 && !stopping_ && !isReborn(born); ++part) {
            std::this_thread::sleep_for(10ms);
        }
    }
}

Process::Process(Record &record, std::string program, std::string role, std::string name, std::string folder, const std::string &settings)
    : record_(record)
    , program_(std::move(program))
    , role_(std::move(role))
    , name_(std::move(name))
    , settings_(folder + "/" + name_ + ".conf")
    , log_(folder + "/" + name_ + ".log")
{
    std::ofstream(settings_) << "node_name=" << name_ << "\n" << settings;
}

Process::~Process()
{
    kill();
}

void Process::start()
{
    std::string variable = "BERGAMOTWICK_SETTINGS=" + settings_;
    char *arguments[] = {program_.data(), role_.data(), nullptr};
    char *environment[] = {variable.data(), nullptr};
    const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(127);
        }
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program_.c_str(), arguments, environment);
        ::_exit(127);
    }
    ::close(log);
    record_.line("start of process " + name_);
}

void Process::signal(int number)
{
    if (pid_ > 0) {
        record_.line("signal " + std::to_string(number) + " to " + name_);
        ::kill(pid_, number);
    }
}

void Process::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

bool Process::endedByItself()
{
    siginfo_t ended{};
    return pid_ > 0 && ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 && ended.si_pid == pid_;
}

Fleet::Fleet(const std::string &program, const std::string &folder, const FleetOptions &options)
    : record_(folder + "/record.txt")
    , store_(record_)
{
    std::filesystem::create_directories(folder + "/logs");
    const int process = ::getpid();
    const std::string network = "127." + std::to_string(20 + process % 200) + "." + std::to_string(20 + process / 200 % 200) + ".";
    const std::vector<std::string> zones{"pannonia-a", "pannonia-b"};
    for (int number = 0; number < options.fronts_ + options.sides_; ++number) {
        hosts_.push_back(network + std::to_string(10 + number));
    }
    const auto settings = [&](const std::string &host, const std::string &role, const std::string &zone) {
        std::ostringstream text;
        text << "role=" << role << "\nmachine_class=" << (role == "entry" ? "front" : "side") << "\nserves=" << (role == "entry" ? "front" : "side")
             << "\nip=" << host << "\nzone=" << zone << "\nregion=pannonia\nzones.pannonia-a=pannonia\nzones.pannonia-b=pannonia\n"
             << "internal_ports=7000,7015\nbootstrap=true\ncounts_toward_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
             << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=local\nentry=vip\nheartbeat_ms=1500\n"
             << "contracts=base,drain,config,cost,recover,sched,tenants,places,platform\ntolerate.machines=1\ntolerate.zones=1\n"
             << "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
             << "bounds.config_apply_ms=2000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\n"
             << "bounds.hold_max_ms=10000\nbounds.stop_ms=400\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
             << "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.spread_factor=3\nbounds.checkpoint_s=1\nbounds.restore_ms=600\n"
             << "bounds.notice_ms=4500\nbounds.require_fence=true\nbounds.lease_ms=3000\nbounds.reclaim_ms=2900\norders=call\nadvice=\n"
             << "platform.address=" << store_.address() << "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
             << "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
        return text.str();
    };
    for (int number = 0; number < options.fronts_; ++number) {
        const std::string &host = hosts_[static_cast<std::size_t>(number)];
        const std::string &zone = zones[static_cast<std::size_t>(number) % zones.size()];
        frontAddresses_.push_back(host + ":8521");
        fronts_.push_back(std::make_unique<Process>(record_,
                                                    program,
                                                    "entry",
                                                    "front-" + std::to_string(number + 1),
                                                    folder + "/logs",
                                                    settings(host, "entry", zone) + "listen.front=" + host + ":8521\nlisten.readiness=" + host + ":8523\n"));
    }
    for (int number = 0; number < options.sides_; ++number) {
        const std::string &host = hosts_[static_cast<std::size_t>(options.fronts_ + number)];
        const std::string &zone = zones[static_cast<std::size_t>(number) % zones.size()];
        const std::string control = host + ":8526";
        const auto labels = options.labels_.find(number);
        executors_.push_back(std::make_unique<Executor>(record_,
                                                        runs_,
                                                        host,
                                                        control,
                                                        "i-" + std::to_string(number + 1),
                                                        zone,
                                                        labels == options.labels_.end() ? std::vector<std::string>{"a", "r1"} : labels->second));
        sides_.push_back(
            std::make_unique<Process>(record_,
                                      program,
                                      "agent",
                                      "side-" + std::to_string(number + 1),
                                      folder + "/logs",
                                      settings(host, "agent", zone) + "listen.control=" + control + "\napp=" + executors_.back()->address() + "\n"));
    }
}

Fleet::~Fleet()
{
    for (auto *processes : {&fronts_, &sides_}) {
        for (const auto &process : *processes) {
            process->kill();
        }
    }
    for (const auto &executor : executors_) {
        executor->stop();
    }
}

bool Fleet::start()
{
    if (std::any_of(executors_.begin(), executors_.end(), [](const auto &executor) { return !executor->listening(); })) {
        record_.line("an executor can't listen");
        return false;
    }
    configure(usualConfig(1));
    for (auto *processes : {&fronts_, &sides_}) {
        for (const auto &process : *processes) {
            process->start();
        }
    }
    const auto until = Clock::now() + 15s;
    while (Clock::now() < until) {
        std::size_t ready = 0;
        for (std::size_t number = 0; number < fronts_.size(); ++number) {
            httplib::Client client("http://" + hosts_[number] + ":8523");
            const auto answer = client.Get("/bergamotwick/ready");
            ready += answer && answer->status == 200 ? 1 : 0;
        }
        if (ready == fronts_.size() && leader() != nullptr) {
            std::this_thread::sleep_for(5s); // traffic starts seconds after the machines do; each executor has sent heartbeats by then
            record_.line("ready");
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    record_.line("the system isn't ready");
    return false;
}

void Fleet::configure(const Json &config)
{
    store_.put("op/config", config.dump());
    record_.line("operator: configuration " + std::to_string(config.at("version").get<int>()) + " acknowledged");
}

/// The processes' own key names who leads. Only used to choose whom a fault hits, as the bench does.
Process *Fleet::leader()
{
    const std::string address = store_.text("b/m/leader");
    for (std::size_t number = 0; number < fronts_.size(); ++number) {
        if (address == hosts_[number] + ":7000") {
            return fronts_[number].get();
        }
    }
    return nullptr;
}

bool Fleet::anyProcessEndedByItself()
{
    bool any = false;
    for (auto *processes : {&fronts_, &sides_}) {
        for (const auto &process : *processes) {
            if (process->endedByItself()) {
                record_.line("process " + process->name() + " ended by itself");
                any = true;
            }
        }
    }
    return any;
}

Client::Client(Fleet &fleet, std::string host, std::string key)
    : fleet_(fleet)
    , host_(std::move(host))
    , key_(std::move(key))
{
}

Reply Client::call(const std::string &method, const std::string &path, const Json &body, milliseconds deadline, int entry)
{
    const auto &addresses = fleet_.frontAddresses_;
    const std::size_t chosen = static_cast<std::size_t>(entry >= 0 ? entry : next_++) % addresses.size();
    httplib::Client client("http://" + addresses[chosen]);
    client.set_connection_timeout(500ms);
    client.set_read_timeout(deadline);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", host_}, {"Authorization", "Token " + key_}, {"X-Deadline-Ms", std::to_string(deadline.count())}};
    if (!body.is_null()) {
        request.body = body.dump();
        request.headers.emplace("Content-Type", "application/json");
    }
    const auto answer = client.send(request);
    Reply reply;
    if (answer) {
        reply.status_ = answer->status;
        reply.body_ = Json::parse(answer->body, nullptr, false);
    }
    fleet_.record_.line("client: " + method + " " + path + " at front-" + std::to_string(chosen + 1) + " -> "
                        + (reply.status_ == 0 ? "no answer" : std::to_string(reply.status_))
                        + (reply.body_.is_object() && !reply.body_.empty() ? " " + reply.body_.dump() : ""));
    return reply;
}

int Client::submit(const std::string &path, const Json &body)
{
    int status = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
        status = call("POST", path, body).status_;
        if (status != 0 && status != 429 && status != 502 && status != 503 && status != 504) {
            break;
        }
        std::this_thread::sleep_for(status == 503 ? 2'000ms : 300ms);
    }
    return status;
}

std::string Client::state(const std::string &path)
{
    const Reply reply = call("GET", path);
    if (reply.status_ == 200 && reply.body_.is_object()) {
        return reply.body_.value("state", "none");
    }
    return reply.status_ == 410 || reply.status_ == 404 ? std::to_string(reply.status_) : "none";
}

Json usualConfig(int version)
{
    const auto route = [](const char *name, const char *prefix, int priority) {
        return Json{{"name", name},
                    {"host", "nony24.example"},
                    {"prefix", prefix},
                    {"service", "huvo11a"},
                    {"priority", priority},
                    {"max_attempts", 3},
                    {"stretch", 3.0},
                    {"target_latency_ms", 1000}};
    };
    return {{"version", version},
            {"routes", {route("urgent", "/urgent/", 0), route("usual", "/usual/", 1)}},
            {"services", {{{"name", "huvo11a"}, {"admission_check", false}}}},
            {"tenants",
             {{{"name", "north"}, {"api_keys", {"key-north"}}, {"guaranteed", {{"gpu", 4}}}},
              {{"name", "south"}, {"api_keys", {"key-south"}}, {"guaranteed", {{"gpu", 4}}}}}},
            {"limits", {{"max_body_bytes", 262144}}}};
}

std::string jobId(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(16) << number;
    return text.str();
}

}
