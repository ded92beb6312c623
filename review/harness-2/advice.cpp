#include "advice.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace review {

namespace {

constexpr int mostWaiting = 32;

/// Calls of one machine, answered in turn.
struct Turns
{
    std::uint64_t next_ = 0;
    std::uint64_t served_ = 0;
};

class Threads : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        std::thread(std::move(task)).detach();
    }

    void shutdown() override
    {
    }
};

}

struct AdviceService::Server
{
    httplib::Server http_;
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Turns> machines_;
};

AdviceService::AdviceService(const std::string &host, int port, milliseconds decide, milliseconds period, milliseconds valid, const Events &record)
    : server_(std::make_shared<Server>())
{
    server_->http_.new_task_queue = [] { return new Threads; };
    server_->http_.Post("/bergamotwick/advise",
                        [decide, period, valid, record, server = server_.get()](const httplib::Request &request, httplib::Response &response) {
                            const std::int64_t askedAt = unixMs();
                            const Json body = Json::parse(request.body);
                            {
                                std::unique_lock lock(server->mutex_);
                                Turns &turns = server->machines_[request.remote_addr];
                                if (turns.next_ - turns.served_ > mostWaiting) {
                                    response.status = 429;
                                    return;
                                }
                                const std::uint64_t turn = turns.next_++;
                                server->changed_.wait(lock, [&] { return turns.served_ == turn; });
                            }
                            std::this_thread::sleep_for(decide + period * static_cast<int>(body.at("workers").size()));
                            Json allowed = Json::array();
                            for (const Json &worker : body.at("workers")) {
                                allowed.push_back({worker, worker.get<std::string>() + "/" + std::to_string(unixMs() + valid.count())});
                            }
                            record.add("advice", {{"step", body.at("step")}, {"workers", body.at("workers").size()}, {"took_ms", unixMs() - askedAt}});
                            response.set_content(Json{{"allowed", allowed}, {"valid_ms", valid.count()}}.dump(), "application/json");
                            const std::lock_guard lock(server->mutex_);
                            ++server->machines_[request.remote_addr].served_;
                            server->changed_.notify_all();
                        });
    server_->http_.bind_to_port(host, port);
    server_->thread_ = std::thread([this] { server_->http_.listen_after_bind(); });
}

AdviceService::~AdviceService()
{
    server_->http_.stop();
    server_->thread_.join();
    std::unique_lock lock(server_->mutex_); // the calls that it has begun to answer
    server_->changed_.wait_for(lock, std::chrono::seconds(20), [this] {
        return std::all_of(server_->machines_.begin(), server_->machines_.end(), [](const auto &each) { return each.second.served_ == each.second.next_; });
    });
}

}
