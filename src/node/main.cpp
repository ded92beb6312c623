#include "node.h"

#include "bergamotwick/macros.h"
#include "daemon/log.h"

#include <cstring>
#include <iostream>
#include <thread>

#include <malloc.h>

int main(int argc, char **argv)
{
    using namespace bergamotwick;
    ::mallopt(M_ARENA_MAX, 1); // hosts have little memory, and few threads allocate concurrently
    const bool entry = argc == 2 && std::strcmp(argv[1], "entry") == 0;
    const bool agent = argc == 2 && std::strcmp(argv[1], "agent") == 0;
    if (!entry && !agent) {
        std::cerr << "usage: bergamotwick-node entry|agent\n";
        return 2;
    }
    node::blockSignals();
    openBoundedLog(LogLevel::Info);
    const platform::ParsedSettings file = platform::loadSettings();
    if (!file.missingFields_.empty()) {
        logEvent(LogLevel::Error, "settings-unreadable", {{"missing", file.missingFields_.front()}});
        return 1;
    }
    for (const std::string &field : file.invalidFields_) {
        logEvent(LogLevel::Warning, "setting-invalid", {{"field", field}, {"in_force", "default"}});
    }
    const platform::NodeSettings &settings = file.settings_;
    logEvent(LogLevel::Info, "started", {{"role", std::string(argv[1])}, {"node", settings.nodeName_}, {"version", BERGAMOTWICK_VERSION}});
    static node::SettingsReloader reloader(settings); // its thread runs until the process ends
    std::thread([] { reloader.run(); }).detach();
    return entry ? node::runEntry(settings, reloader) : node::runAgent(settings);
}
