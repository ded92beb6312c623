#include "node.h"

#include "daemon/log.h"

#include <csignal>
#include <pthread.h>

namespace bergamotwick::node {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

}

void blockSignals()
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int signal = 0;
    while (::sigwait(&signals, &signal) != 0) { }
    logEvent(LogLevel::Info, "stopping", {{"signal", signal}});
}

}
