#include "bergamotwick/macros.h"
#include "daemon/agent_server.h"
#include "daemon/clock.h"
#include "daemon/dev.h"
#include "daemon/entry_server.h"
#include "daemon/http_api.h"
#include "daemon/log.h"
#include "daemon/settings.h"

#include <csignal>
#include <iostream>
#include <string>
#include <thread>

#include <getopt.h>

namespace {

using namespace bergamotwick;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitDrainTimeout = 3;
constexpr Duration stopPollInterval = 20ms;

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int)
{
    stopRequested = 1;
}

bool isStopRequested()
{
    return stopRequested != 0;
}

struct Options
{
    std::string settings_;
    std::string http_ = "127.0.0.1:7400";
    bool dev_ = false;
    bool check_ = false;
    bool verbose_ = false;
};

void printUsage(std::ostream &out)
{
    out << "usage: bergamotwickd --settings FILE [--check] [--verbose]\n"
           "       bergamotwickd --dev [--http ADDRESS] [--verbose]\n"
           "\n"
           "  --settings FILE   run the role that FILE describes\n"
           "  --check           check FILE and exit\n"
           "  --dev             run an entry, simulated endpoints and a store in this process, for local development\n"
           "  --http ADDRESS    address on which --dev serves HTTP; default 127.0.0.1:7400\n"
           "  --verbose         log debug messages too\n"
           "  --version         print the version\n"
           "exit: 0 stopped on request, 1 failed, 2 invalid usage or settings, 3 drain timeout passed before all work had finished\n";
}

/// Waits for a stop signal, then shuts \p server down gracefully within \p timeout. Returns the exit code.
template<class Server>
int waitForStop(Server &server, Duration timeout)
{
    while (!isStopRequested()) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    server.stopGracefully();
    const Instant deadline = steadyNow() + timeout;
    while (!server.drained() && steadyNow() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    const bool drained = server.drained();
    logEvent(LogLevel::Info, "stopped", {{"drained", drained}});
    return drained ? exitOk : exitDrainTimeout;
}

Result<int> runEntry(const Settings &settings)
{
    BOOST_LEAF_AUTO(entry, EntryServer::create(settings, GatewayStore{settings.storeUrl_}, EntryLimits()));
    HttpApi api(*entry, settings);
    BOOST_LEAF_CHECK(api.start());
    const int exitCode = waitForStop(*entry, settings.drainTimeout_);
    api.stop();
    return exitCode;
}

Result<int> runAgent(const Settings &settings)
{
    BOOST_LEAF_AUTO(agent, AgentServer::create(settings, AgentLimits()));
    return waitForStop(*agent, settings.drainTimeout_);
}

int runRole(const Options &options)
{
    return leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, Settings::readFile(options.settings_));
            if (options.check_) {
                return exitOk;
            }
            return settings.role_ == Role::Entry ? runEntry(settings) : runAgent(settings);
        },
        [](const ConfigError &error) {
            std::cerr << error.str() << '\n';
            return exitUsage;
        },
        [](const SocketError &error) {
            logEvent(LogLevel::Error, "socket_failed", {{"errno", error.errno_}});
            return exitFailure;
        },
        [] { return exitFailure; });
}

int parseOptions(int argc, char **argv, Options &options)
{
    enum Flag { Settings = 1, Dev, Http, Check, Verbose, Help, Version };
    const option longOptions[] = {{"settings", required_argument, nullptr, Settings},
                                  {"dev", no_argument, nullptr, Dev},
                                  {"http", required_argument, nullptr, Http},
                                  {"check", no_argument, nullptr, Check},
                                  {"verbose", no_argument, nullptr, Verbose},
                                  {"help", no_argument, nullptr, Help},
                                  {"version", no_argument, nullptr, Version},
                                  {nullptr, 0, nullptr, 0}};
    for (int flag = 0; (flag = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (flag) {
        case Settings:
            options.settings_ = optarg;
            break;
        case Dev:
            options.dev_ = true;
            break;
        case Http:
            options.http_ = optarg;
            break;
        case Check:
            options.check_ = true;
            break;
        case Verbose:
            options.verbose_ = true;
            break;
        case Help:
            printUsage(std::cout);
            return exitOk;
        case Version:
            std::cout << "bergamotwickd " BERGAMOTWICK_VERSION "\n";
            return exitOk;
        default:
            printUsage(std::cerr);
            return exitUsage;
        }
    }
    if (optind != argc || options.dev_ == !options.settings_.empty()) {
        printUsage(std::cerr);
        return exitUsage;
    }
    return -1;
}

}

int main(int argc, char **argv)
{
    Options options;
    if (const int exitCode = parseOptions(argc, argv, options); exitCode >= 0) {
        return exitCode;
    }
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    openLog(options.verbose_ ? LogLevel::Debug : LogLevel::Info);
    if (!options.dev_) {
        return runRole(options);
    }
    const auto http = Address::parse(options.http_);
    if (!http) {
        printUsage(std::cerr);
        return exitUsage;
    }
    return runDev(*http, isStopRequested);
}
