// Compares the path from caller through entry and agent to executor with a plain one-hop proxy, over loopback in the same run.

#include "core/commit/control.h"
#include "daemon/agent_server.h"
#include "daemon/entry_server.h"
#include "daemon/http_api.h"
#include "support/stand_ins.h"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>

#include <httplib.h>

namespace {

using namespace bergamotwick;

constexpr int callers = 8;
constexpr int requestsEach = 1'500;
constexpr const char *servicePath = "/v1/services/svc/quick?workspace=w";

/// A one-hop proxy built on the same HTTP library.
class BareProxy : public test::LoopbackServer
{
public:
    explicit BareProxy(std::string target)
        : target_(std::move(target))
    {
        server_->Post(R"(/.*)", [this](const httplib::Request &request, httplib::Response &response) {
            thread_local std::unique_ptr<httplib::Client> client;
            if (!client) {
                client = std::make_unique<httplib::Client>(target_);
                client->set_keep_alive(true);
                client->set_tcp_nodelay(true);
            }
            const auto result = client->Post("/quick", request.body, "application/octet-stream");
            response.set_content(result ? result->body : std::string(), "text/plain");
        });
        serve();
    }

    ~BareProxy() override
    {
        stop();
    }

private:
    std::string target_;
};

struct Measurement
{
    double perSecond_ = 0;
    double medianUs_ = 0;
    double p99Us_ = 0;
    int wrongAnswers_ = 0;
};

Measurement measure(const std::string &url, const std::string &path)
{
    std::vector<std::thread> threads;
    threads.reserve(callers);
    std::vector<std::vector<double>> latenciesUs(callers);
    std::atomic<int> wrongAnswers{0};
    const auto begin = std::chrono::steady_clock::now();
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            httplib::Client client(url);
            client.set_keep_alive(true);
            client.set_tcp_nodelay(true);
            for (int i = 0; i < requestsEach; ++i) {
                const std::string body = std::to_string(caller) + "/" + std::to_string(i);
                const auto sentAt = std::chrono::steady_clock::now();
                const auto result = client.Post(path, body, "application/octet-stream");
                latenciesUs[static_cast<std::size_t>(caller)].push_back(
                    std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - sentAt).count());
                wrongAnswers += result && result->body == "answer to " + body ? 0 : 1;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::vector<double> allLatencies;
    for (const auto &callerLatencies : latenciesUs) {
        allLatencies.insert(allLatencies.end(), callerLatencies.begin(), callerLatencies.end());
    }
    std::sort(allLatencies.begin(), allLatencies.end());
    return {callers * requestsEach / seconds, allLatencies[allLatencies.size() / 2], allLatencies[allLatencies.size() * 99 / 100], wrongAnswers};
}

int freePort()
{
    const auto socket = listenTcp(*Address::parse("127.0.0.1:0"));
    return socket ? socket->local().port() : 0;
}

Address loopback(int port)
{
    return *Address::parse("127.0.0.1:" + std::to_string(port));
}

void print(const char *name, const Measurement &measurement)
{
    std::cout << std::left << std::setw(14) << name << std::right << std::fixed << std::setprecision(0) << std::setw(10) << measurement.perSecond_
              << std::setw(12) << measurement.medianUs_ << std::setw(10) << measurement.p99Us_ << std::setw(8) << measurement.wrongAnswers_ << '\n';
}

Result<void> configure(MemoryStore &store)
{
    ControlDocument control;
    BOOST_LEAF_CHECK(
        control.settings_.merge("bench.yaml", "workspaces:\n  w: {quota: {cores: 1}}\nservices:\n  svc:\n    classes:\n      quick: {deadline: 10s}\n"));
    control.revision_ = 1;
    (void)store.call(CompareAndSwap{1, controlKey(), 0, ControlTraits::encode(control), 0}, std::chrono::steady_clock::now());
    return {};
}

Settings entrySettings()
{
    Settings settings;
    settings.name_ = "entry";
    settings.region_ = RegionId("region");
    settings.http_ = loopback(freePort());
    settings.udp_ = loopback(freePort());
    return settings;
}

Settings agentSettings(const Address &entry, const std::string &executor)
{
    Settings settings;
    settings.role_ = Role::Agent;
    settings.name_ = "executor";
    settings.udp_ = loopback(freePort());
    settings.tcp_ = loopback(freePort());
    settings.entries_ = {entry};
    settings.endpointUrl_ = executor;
    AgentIdentity &agent = settings.agent_;
    agent.kind_ = AgentKind::Executor;
    agent.name_ = settings.name_;
    agent.service_ = ServiceId("svc");
    agent.slots_ = 32;
    agent.connections_ = 60;
    agent.port_ = settings.tcp_.port();
    return settings;
}

void waitForPath(const std::string &url)
{
    httplib::Client probe(url);
    while (true) {
        const auto result = probe.Post(servicePath, "probe", "text/plain");
        if (result && result->body == "answer to probe") {
            return;
        }
        std::this_thread::sleep_for(100ms);
    }
}

int compare(const std::string &proxy, const std::string &entry)
{
    std::cout << callers << " callers, " << callers * requestsEach << " requests\n              requests/s   median us    p99 us   wrong\n";
    const Measurement proxyResult = measure(proxy, "/quick");
    const Measurement bergamotwickResult = measure(entry, servicePath);
    print("bare proxy", proxyResult);
    print("bergamotwick", bergamotwickResult);
    std::cout << std::setprecision(2) << "ratio of requests/s " << bergamotwickResult.perSecond_ / proxyResult.perSecond_ << ", of medians "
              << bergamotwickResult.medianUs_ / proxyResult.medianUs_ << '\n';
    return proxyResult.wrongAnswers_ + bergamotwickResult.wrongAnswers_ == 0 ? 0 : 1;
}

Result<int> run()
{
    test::StandInExecutor executor;
    const BareProxy proxy(executor.url());
    const auto store = std::make_shared<MemoryStore>();
    BOOST_LEAF_CHECK(configure(*store));
    const Settings settings = entrySettings();
    BOOST_LEAF_AUTO(entry, EntryServer::create(settings, EmbeddedStore{store}, EntryLimits()));
    HttpApi api(*entry, settings);
    BOOST_LEAF_CHECK(api.start());
    BOOST_LEAF_AUTO(agent, AgentServer::create(agentSettings(settings.udp_, executor.url()), AgentLimits()));
    const std::string url = "http://" + settings.http_.str();
    waitForPath(url);
    const int code = compare(proxy.url(), url);
    api.stop();
    return code;
}

}

int main()
{
    return bergamotwick::leaf::try_handle_all([] { return run(); }, [] { return 1; });
}
