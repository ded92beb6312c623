#include "node.h"

#include "bergamotwick/macros.h"
#include "daemon/log.h"

#include <cstring>
#include <iostream>

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
    const auto settings = platform::loadSettings();
    if (!settings) {
        logEvent(LogLevel::Error, "settings-unreadable", {});
        return 1;
    }
    logEvent(LogLevel::Info, "started", {{"role", std::string(argv[1])}, {"node", settings->nodeName_}, {"version", BERGAMOTWICK_VERSION}});
    return entry ? node::runEntry(*settings) : node::runAgent(*settings);
}
