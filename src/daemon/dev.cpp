#include "daemon/dev.h"

#include "core/commit/control.h"
#include "daemon/agent_server.h"
#include "daemon/clock.h"
#include "daemon/entry_server.h"
#include "daemon/http_api.h"
#include "daemon/log.h"

#include <iostream>
#include <thread>

namespace bergamotwick {

namespace {

constexpr int workerCount = 4;
constexpr int executorCount = 2;
constexpr Duration stopPollInterval = 100ms;

constexpr const char *devConfiguration = R"(
regions:
  local:
    datacentres:
      here:
        workers: 4
        racks: 2
        worker: {cores: 16, memory: 32GB, accelerators: 8}
workspaces:
  demo:
    guarantees:
      block:
        tasks: 1
        within: worker
        each: {cores: 8, memory: 8GB, accelerators: 8}
services:
  echo:
    classes:
      quick: {weight: 4, deadline: 5s}
      slow: {weight: 1, deadline: 60s, max-slots-percent: 50}
    objectives:
      demo: {within: 500ms, ratio: 0.99}
)";

/// Stores the built-in configuration as revision 1.
Result<void> storeDevConfiguration(MemoryStore &store)
{
    ControlDocument control;
    BOOST_LEAF_CHECK(control.settings_.merge("dev.yaml", devConfiguration));
    BOOST_LEAF_CHECK(Config::fromTree(control.settings_));
    control.revision_ = 1;
    control.settingsRevision_ = 1;
    (void)store.call(CompareAndSwap{1, controlKey(), 0, ControlTraits::encode(control)}, std::chrono::steady_clock::now());
    return {};
}

Settings agentSettings(const Address &entryUdp, int number, bool worker)
{
    Settings settings;
    settings.role_ = Role::Agent;
    settings.region_ = RegionId("local");
    settings.name_ = (worker ? "worker-" : "executor-") + std::to_string(number);
    settings.udp_ = entryUdp.withPort(0);
    settings.entries_ = {entryUdp};
    AgentIdentity &agent = settings.agent_;
    agent.kind_ = worker ? AgentKind::Worker : AgentKind::Executor;
    agent.name_ = settings.name_;
    agent.region_ = settings.region_;
    agent.dataCentre_ = DataCentreId("here");
    agent.rack_ = RackId("rack-" + std::to_string(number % 2));
    if (worker) {
        agent.capacity_ = {16, 32'000, 8};
    } else {
        agent.service_ = ServiceId("echo");
        agent.slots_ = 8;
        agent.connections_ = 60;
        const auto port = static_cast<std::uint16_t>(entryUdp.port() + number + 1);
        settings.tcp_ = entryUdp.withPort(port);
        agent.port_ = port;
    }
    return settings;
}

Result<void> runAll(const Address &http, bool (*stopRequested)())
{
    const auto store = std::make_shared<MemoryStore>();
    BOOST_LEAF_CHECK(storeDevConfiguration(*store));
    Settings settings;
    settings.name_ = "entry-1";
    settings.region_ = RegionId("local");
    settings.http_ = http;
    settings.udp_ = http;
    BOOST_LEAF_AUTO(entry, EntryServer::create(settings, EmbeddedStore{store}, EntryLimits()));
    HttpApi api(*entry, settings);
    BOOST_LEAF_CHECK(api.start());
    std::vector<std::unique_ptr<AgentServer>> agents;
    for (int i = 0; i < workerCount + executorCount; ++i) {
        BOOST_LEAF_AUTO(agent, AgentServer::create(agentSettings(settings.udp_, i, i < workerCount), AgentLimits()));
        agents.push_back(std::move(agent));
    }
    while (!stopRequested()) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    entry->stopGracefully();
    api.stop();
    return {};
}

}

int runDev(const Address &http, bool (*stopRequested)())
{
    return leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(runAll(http, stopRequested));
            return 0;
        },
        [](const ConfigError &error) {
            std::cerr << error.str() << '\n';
            return 2;
        },
        [](const SocketError &error) {
            logEvent(LogLevel::Error, "socket_failed", {{"errno", error.errno_}});
            return 1;
        },
        [] { return 1; });
}

}
