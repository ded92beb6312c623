#include "store.h"

#include <algorithm>

namespace review {

namespace {

constexpr milliseconds answerTime{4};
constexpr double writesPerSecond = 400;
constexpr double readsPerSecond = 2'000;
constexpr double renewalPrice = 0.1;

const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        unsigned value = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            value = (value << 8U) | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[(value >> (18U - 6U * static_cast<unsigned>(index))) & 0x3FU] : '=';
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char digit : text) {
        const auto at = digits.find(digit);
        if (at == std::string::npos) {
            break;
        }
        value = (value << 6U) | static_cast<unsigned>(at);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((value >> static_cast<unsigned>(bits)) & 0xFFU);
        }
    }
    return bytes;
}

}

Store::Store(Record &record)
    : record_(record)
    , expiry_([this] { expireLeases(); })
{
}

Store::~Store()
{
    stopping_ = true;
    changed_.notify_all();
    for (auto &port : ports_) {
        port->http_.stop();
    }
    for (auto &port : ports_) {
        port->thread_.detach(); // connections may stay idle for longer than the process lasts
        (void)port.release();
    }
    expiry_.join();
}

std::size_t Store::addPort(const std::string &ip)
{
    auto port = std::make_unique<Port>();
    serve(*port);
    const int number = port->http_.bind_to_any_port(ip);
    port->address_ = ip + ":" + std::to_string(number);
    port->thread_ = std::thread([&http = port->http_] { http.listen_after_bind(); });
    ports_.push_back(std::move(port));
    return ports_.size() - 1;
}

std::string Store::address(std::size_t number) const
{
    return ports_.at(number)->address_;
}

void Store::turnAway(std::size_t number, bool away)
{
    ports_.at(number)->away_ = away;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

bool Store::admit(bool isWrite, double price)
{
    const std::lock_guard lock(mutex_);
    auto &[since, spent] = spent_[isWrite];
    if (Clock::now() - since >= std::chrono::seconds(1)) {
        since = Clock::now();
        spent = 0;
    }
    spent += price;
    const bool isAdmitted = spent <= (isWrite ? writesPerSecond : readsPerSecond);
    if (!isAdmitted) {
        record_.line(std::string("store: a call above the rate of ") + (isWrite ? "writes" : "reads") + " is answered 429");
    }
    return isAdmitted;
}

void Store::serve(Port &port)
{
    httplib::Server &http = port.http_;
    http.new_task_queue = [] { return new httplib::ThreadPool(24); };
    http.set_tcp_nodelay(true);
    http.set_keep_alive_max_count(1'000'000);
    http.set_keep_alive_timeout(60);
    const auto answering = [this, &port](auto handle) {
        return [this, &port, handle](const httplib::Request &request, httplib::Response &response) {
            std::this_thread::sleep_for(answerTime);
            const bool isRenewal = request.path.find("kv-keep") != std::string::npos;
            const bool isWrite = request.method != "GET" && !isRenewal;
            Answer answer = port.away_ || !admit(isWrite, isRenewal ? renewalPrice : 1) ? Answer{429} : handle(request);
            if (port.away_) {
                answer = {429};
            }
            response.status = answer.status_;
            response.set_content(answer.body_.dump(), "application/json");
        };
    };
    http.Get("/bergamotwick/kv-key", answering([this](const httplib::Request &request) { return get(request.get_param_value("key")); }));
    http.Get("/bergamotwick/kv-range",
             answering([this](const httplib::Request &request) { return range(request.get_param_value("prefix"), request.get_param_value("after")); }));
    http.Get("/bergamotwick/kv-watch", answering([this, &port](const httplib::Request &request) {
                 return watch(port,
                              request.get_param_value("prefix"),
                              std::stoll(request.get_param_value("after")),
                              milliseconds(std::stoll(request.get_param_value("wait_ms"))));
             }));
    http.Post("/bergamotwick/kv-txn", answering([this](const httplib::Request &request) { return transact(Json::parse(request.body)); }));
    http.Post("/bergamotwick/kv-lease", answering([this](const httplib::Request &request) {
                  const std::lock_guard lock(mutex_);
                  const milliseconds ttl(Json::parse(request.body).at("ttl_ms").get<std::int64_t>());
                  leases_[++lastLease_] = {ttl, Clock::now() + ttl};
                  return Answer{200, {{"lease", lastLease_}, {"ttl_ms", ttl.count()}}};
              }));
    http.Post(R"(/bergamotwick/kv-keep/(\d+))", answering([this](const httplib::Request &request) {
                  const std::lock_guard lock(mutex_);
                  const auto lease = leases_.find(std::stoll(request.matches[1]));
                  if (lease == leases_.end()) {
                      return Answer{404};
                  }
                  lease->second.until_ = Clock::now() + lease->second.ttl_;
                  return Answer{200, {{"ttl_ms", lease->second.ttl_.count()}}};
              }));
    http.Delete(R"(/bergamotwick/kv-lease-end/(\d+))", answering([this](const httplib::Request &request) {
                    const std::lock_guard lock(mutex_);
                    endLease(std::stoll(request.matches[1]));
                    return Answer{200};
                }));
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    set(key, toBase64(value), 0);
    changed_.notify_all();
}

std::string Store::value(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : fromBase64(found->second.value_);
}

int Store::watches(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    return watches_[prefix];
}

Json Store::toJson(const std::string &key, const Item &item) const
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

void Store::remove(const std::string &key)
{
    if (items_.erase(key) > 0) {
        history_.emplace_back(revision_, Json{{"key", key}, {"revision", revision_}, {"removed", true}});
    }
}

Store::Answer Store::get(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return {404, {{"at_rev", revision_}}};
    }
    Json body = toJson(key, found->second);
    body["at_rev"] = revision_;
    return {200, std::move(body)};
}

Store::Answer Store::range(const std::string &prefix, const std::string &after)
{
    constexpr std::size_t pageItems = 500;
    const std::lock_guard lock(mutex_);
    Json items = Json::array();
    bool more = false;
    for (auto at = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after); at != items_.end() && at->first.starts_with(prefix); ++at) {
        if (items.size() == pageItems) {
            more = true;
            break;
        }
        items.push_back(toJson(at->first, at->second));
    }
    return {200, {{"items", std::move(items)}, {"has_more", more}, {"at_rev", revision_}}};
}

Store::Answer Store::watch(const Port &port, const std::string &prefix, std::int64_t after, milliseconds wait)
{
    const auto until = Clock::now() + wait;
    std::unique_lock lock(mutex_);
    ++watches_[prefix];
    for (;;) {
        Json events = Json::array();
        for (const auto &[revision, event] : history_) {
            if (revision > after && event.at("key").get_ref<const std::string &>().starts_with(prefix)) {
                events.push_back(event);
            }
        }
        if (!events.empty() || stopping_ || port.away_ || Clock::now() >= until) {
            return {200, {{"events", std::move(events)}, {"at_rev", revision_}}};
        }
        changed_.wait_until(lock, until);
    }
}

Store::Answer Store::transact(const Json &body)
{
    const std::lock_guard lock(mutex_);
    Json current = Json::array();
    bool holds = true;
    for (const Json &row : body.value("expect_rev", Json::array())) {
        const std::string key = row.at("key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision_;
        holds = holds && revision == row.at("revision").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json{{"key", key}, {"revision", 0}} : toJson(key, found->second));
    }
    if (!holds) {
        return {412, {{"items", std::move(current)}}};
    }
    for (const Json &row : body.value("puts", Json::array())) {
        const std::int64_t lease = row.value("lease", std::int64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            return {404};
        }
    }
    ++revision_;
    for (const Json &row : body.value("puts", Json::array())) {
        set(row.at("key"), row.at("value"), row.value("lease", std::int64_t{0}));
    }
    for (const Json &key : body.value("remove", Json::array())) {
        remove(key);
    }
    changed_.notify_all();
    return {200, {{"revision", revision_}}};
}

void Store::endLease(std::int64_t id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : items_) {
        if (item.lease_ == id) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++revision_;
    }
    for (const std::string &key : keys) {
        record_.line("store: the lease of " + key + " has ended");
        remove(key);
    }
    changed_.notify_all();
}

void Store::expireLeases()
{
    while (!stopping_) {
        std::this_thread::sleep_for(milliseconds(10));
        const std::lock_guard lock(mutex_);
        std::vector<std::int64_t> over;
        for (const auto &[id, lease] : leases_) {
            if (lease.until_ <= Clock::now()) {
                over.push_back(id);
            }
        }
        std::for_each(over.begin(), over.end(), [this](std::int64_t id) { endLease(id); });
    }
}

}
