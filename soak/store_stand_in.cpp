#include "store_stand_in.h"

#include "base64.h"
#include "http_threads.h"

#include <algorithm>

namespace bergamotwick::soak {

namespace {

using Clock = std::chrono::steady_clock;

constexpr milliseconds writeDelay{1'000};
constexpr milliseconds expiryCheckPeriod{50};
constexpr std::chrono::seconds idleTimeout{5};

}

struct StoreStandIn::Server
{
    httplib::Server http_;
    int port_ = 0;
    std::thread serverThread_;
    std::thread expiryThread_;
};

StoreStandIn::StoreStandIn(std::uint64_t seed)
    : random_(seed)
    , server_(std::make_unique<Server>())
{
    httplib::Server &http = server_->http_;
    platform::configure(http, idleTimeout);
    const auto serve = [this](auto handle) {
        return [this, handle](const httplib::Request &request, httplib::Response &response) {
            ++requestCount_;
            StoreFaults faults;
            {
                const std::lock_guard lock(mutex_);
                faults = faults_;
            }
            std::this_thread::sleep_for(faults.delay_);
            Reply reply = faults.down_ ? Reply{503, Json::object(), false} : handle(request);
            response.status = reply.status_;
            if (reply.dropConnection_) {
                // Simulates a lost reply: the connection is closed before the announced body is sent.
                response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
                return;
            }
            response.set_content(reply.unreadable_ ? "{\"revision\":" : reply.body_.dump(), "application/json");
        };
    };
    http.Get("/bergamotwick/kv-key", serve([this](const httplib::Request &request) { return get(request.get_param_value("key")); }));
    http.Get("/bergamotwick/kv-range",
             serve([this](const httplib::Request &request) { return range(request.get_param_value("prefix"), request.get_param_value("after")); }));
    http.Get("/bergamotwick/kv-watch", serve([this](const httplib::Request &request) {
                 return watch(request.get_param_value("prefix"),
                              std::atoll(request.get_param_value("after").c_str()),
                              milliseconds(std::atoll(request.get_param_value("wait_ms").c_str())));
             }));
    http.Post("/bergamotwick/kv-txn", serve([this](const httplib::Request &request) { return transactWithFaults(Json::parse(request.body)); }));
    http.Post("/bergamotwick/kv-lease", serve([this](const httplib::Request &request) { return grantLease(Json::parse(request.body)); }));
    http.Post(R"(/bergamotwick/kv-keep/(\d+))", serve([this](const httplib::Request &request) { return renewLease(std::stoll(request.matches[1])); }));
    http.Delete(R"(/bergamotwick/kv-lease-end/(\d+))", serve([this](const httplib::Request &request) { return endLease(std::stoll(request.matches[1])); }));
    server_->port_ = http.bind_to_any_port("127.0.0.1");
    server_->serverThread_ = std::thread([this] { server_->http_.listen_after_bind(); });
    server_->expiryThread_ = std::thread([this] { expireLeases(); });
}

StoreStandIn::~StoreStandIn()
{
    stopping_ = true;
    changed_.notify_all();
    server_->http_.stop();
    server_->serverThread_.join();
    server_->expiryThread_.join();
}

std::string StoreStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port_);
}

void StoreStandIn::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    setLocked(key, platform::toBase64(value), 0);
    changed_.notify_all();
}

void StoreStandIn::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    removeLocked(key);
    changed_.notify_all();
}

std::vector<std::string> StoreStandIn::values(const std::string &prefix) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> values;
    for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.starts_with(prefix); ++item) {
        values.push_back(platform::fromBase64(item->second.value_).value_or(""));
    }
    return values;
}

void StoreStandIn::observeWrites(const std::string &prefix, std::function<void(const std::string &)> observer)
{
    const std::lock_guard lock(mutex_);
    observedPrefix_ = prefix;
    writeObserver_ = std::move(observer);
}

bool StoreStandIn::waitForChange(const std::string &prefix, milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    const std::int64_t before = revision_;
    return changed_.wait_for(lock, timeout, [&] {
        return std::any_of(history_.rbegin(), history_.rend(), [&](const Event &event) { return event.revision_ > before && event.key_.starts_with(prefix); });
    });
}

void StoreStandIn::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(mutex_);
    const auto leaseNow = leaseNowLocked();
    faults_ = faults;
    pausedAt_ = Clock::now();
    pausedTime_ = pausedAt_ - leaseNow;
}

std::chrono::steady_clock::time_point StoreStandIn::leaseNowLocked() const
{
    return (faults_.leaseExpiryPaused_ ? pausedAt_ : Clock::now()) - pausedTime_;
}

void StoreStandIn::compact()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    compactedRevision_ = revision_;
    changed_.notify_all();
}

StoreStandIn::Json StoreStandIn::toJson(const std::string &key, const Item &item) const
{
    return {{"key", key}, {"value", item.value_}, {"revision", item.revision_}, {"created_rev", item.createdRevision_}, {"lease", item.lease_}};
}

void StoreStandIn::setLocked(const std::string &key, const std::string &value, std::int64_t lease)
{
    Item &item = items_[key];
    item.value_ = value;
    item.revision_ = revision_;
    item.createdRevision_ = item.createdRevision_ == 0 ? revision_ : item.createdRevision_;
    item.lease_ = lease;
    history_.push_back({key, revision_, toJson(key, item)});
    if (writeObserver_ && key.starts_with(observedPrefix_)) {
        writeObserver_(platform::fromBase64(value).value_or(""));
    }
}

void StoreStandIn::removeLocked(const std::string &key)
{
    if (items_.erase(key) > 0) {
        history_.push_back({key, revision_, {{"key", key}, {"revision", revision_}, {"removed", true}}});
    }
}

StoreStandIn::Reply StoreStandIn::get(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return {404, {{"at_rev", revision_}}, false};
    }
    Json body = toJson(key, found->second);
    body["at_rev"] = revision_;
    return {200, std::move(body), false};
}

StoreStandIn::Reply StoreStandIn::range(const std::string &prefix, const std::string &after)
{
    constexpr std::size_t pageItems = 50; // small enough to exercise paging
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
    return {200, {{"items", std::move(items)}, {"has_more", more}, {"at_rev", revision_}}, false};
}

StoreStandIn::Reply StoreStandIn::watch(const std::string &prefix, std::int64_t after, milliseconds wait)
{
    const auto until = Clock::now() + wait;
    std::unique_lock lock(mutex_);
    for (bool timedOut = false;;) {
        if (after < compactedRevision_) {
            return {410, Json::object(), false};
        }
        Json events = Json::array();
        for (const Event &event : history_) {
            if (event.revision_ > after && event.key_.starts_with(prefix)) {
                events.push_back(event.json_);
            }
        }
        if (!events.empty() || stopping_ || timedOut) {
            return {200, {{"events", std::move(events)}, {"at_rev", revision_}}, false};
        }
        timedOut = changed_.wait_until(lock, until) == std::cv_status::timeout; // a write at that moment is still read
    }
}

StoreStandIn::Reply StoreStandIn::transactWithFaults(const Json &body)
{
    double draw = 0;
    StoreFaults faults;
    {
        const std::lock_guard lock(mutex_);
        draw = std::uniform_real_distribution<double>(0, 1)(random_);
        faults = faults_;
    }
    if (draw < faults.delayedWriteRate_) {
        std::thread([this, body] {
            std::this_thread::sleep_for(writeDelay);
            if (!stopping_) {
                (void)transact(body);
            }
        }).detach();
        return {200, Json::object(), true};
    }
    Reply reply = transact(body);
    const double lost = faults.delayedWriteRate_ + faults.lostReplyRate_;
    reply.dropConnection_ = draw < lost;
    reply.unreadable_ = !reply.dropConnection_ && draw < lost + faults.unreadableReplyRate_;
    return reply;
}

StoreStandIn::Reply StoreStandIn::transact(const Json &body)
{
    for (const Json &row : body.value("puts", Json::array())) {
        const auto bytes = platform::fromBase64(row.at("value").get_ref<const std::string &>());
        if (!bytes || bytes->size() > maxValueBytes) {
            return {400, Json::object(), false};
        }
    }
    const std::lock_guard lock(mutex_);
    Json current = Json::array();
    bool preconditionsMet = true;
    for (const Json &row : body.value("expect_rev", Json::array())) {
        const std::string key = row.at("key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision_;
        preconditionsMet = preconditionsMet && revision == row.at("revision").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json{{"key", key}, {"revision", 0}} : toJson(key, found->second));
    }
    if (!preconditionsMet) {
        return {412, {{"items", std::move(current)}}, false};
    }
    for (const Json &row : body.value("puts", Json::array())) {
        const std::int64_t lease = row.value("lease", std::int64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            return {404, Json::object(), false};
        }
    }
    ++revision_;
    for (const Json &row : body.value("puts", Json::array())) {
        setLocked(row.at("key"), row.at("value"), row.value("lease", std::int64_t{0}));
    }
    for (const Json &key : body.value("remove", Json::array())) {
        removeLocked(key);
    }
    changed_.notify_all();
    return {200, {{"revision", revision_}}, false};
}

StoreStandIn::Reply StoreStandIn::grantLease(const Json &body)
{
    const std::lock_guard lock(mutex_);
    const milliseconds ttl(body.at("ttl_ms").get<std::int64_t>());
    leases_[++lastLease_] = {ttl, leaseNowLocked() + ttl};
    return {200, {{"lease", lastLease_}, {"ttl_ms", ttl.count()}}, false};
}

StoreStandIn::Reply StoreStandIn::renewLease(std::int64_t lease)
{
    const std::lock_guard lock(mutex_);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return {404, Json::object(), false};
    }
    found->second.expiresAt_ = leaseNowLocked() + found->second.ttl_;
    return {200, {{"ttl_ms", found->second.ttl_.count()}}, false};
}

StoreStandIn::Reply StoreStandIn::endLease(std::int64_t lease)
{
    const std::lock_guard lock(mutex_);
    endLeaseLocked(lease);
    return {200, Json::object(), false};
}

void StoreStandIn::endLeases()
{
    const std::lock_guard lock(mutex_);
    while (!leases_.empty()) {
        endLeaseLocked(leases_.begin()->first);
    }
}

void StoreStandIn::endLeaseLocked(std::int64_t lease)
{
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : items_) {
        if (item.lease_ == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++revision_;
    }
    for (const std::string &key : keys) {
        removeLocked(key);
    }
    changed_.notify_all();
}

void StoreStandIn::expireLeases()
{
    while (!stopping_) {
        std::this_thread::sleep_for(expiryCheckPeriod);
        const std::lock_guard lock(mutex_);
        std::vector<std::int64_t> expired;
        for (const auto &[id, lease] : leases_) {
            if (lease.expiresAt_ <= leaseNowLocked()) {
                expired.push_back(id);
            }
        }
        for (const std::int64_t lease : expired) {
            endLeaseLocked(lease);
        }
    }
}

}
