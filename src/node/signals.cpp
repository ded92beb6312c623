#include "node.h"

#include "daemon/log.h"

#include <csignal>
#include <pthread.h>

namespace bergamotwick::node {

namespace {

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

}

void blockSignals()
{
    const sigset_t signals = handledSignals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = handledSignals();
    for (;;) {
        int signal = 0;
        if (::sigwait(&signals, &signal) != 0) {
            continue;
        }
        if (signal != SIGHUP) {
            logEvent(LogLevel::Info, "stopping", {{"signal", signal}});
            return;
        }
        const auto settings = platform::loadSettings();
        logEvent(LogLevel::Info, "settings-checked", {{"readable", settings.has_value()}});
    }
}

}
