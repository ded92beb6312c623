#include "bergamotwick/macros.h"
#include "cli/commands.h"

#include <iostream>

#include <getopt.h>

namespace {

using namespace bergamotwick;

void usage(std::ostream &out)
{
    out << "usage: bergamotwick [--server ADDRESS] [--json] COMMAND\n"
           "\n"
           "  check DIR                  check a configuration folder\n"
           "  diff DIR                   compare a folder with the active configuration; exit 5 if they differ\n"
           "  apply DIR                  apply a configuration folder\n"
           "  explain KEY [DIR]          show which file sets KEY, and what it overrides\n"
           "  datacentre out|in NAME     take a data centre out of service, or back in\n"
           "  status                     data centres, workers, executors, queues and owner\n"
           "  job submit FILE|JSON       submit a job\n"
           "  job show|cancel ID\n"
           "  job list\n"
           "  report burn [--html FILE]  error budgets and burn rates\n"
           "  report late FILE...        late jobs and the causes of their delays, from the logs of entries and agents\n"
           "\n"
           "  --operation NAME           idempotency key of a change, for safe retries\n"
           "exit: 0 ok, 1 refused or not found, 2 usage or configuration error, 3 conflict, 4 no response from an entry, 5 differs\n";
}

int code(ExitCode exit)
{
    return static_cast<int>(exit);
}

}

int main(int argc, char **argv)
{
    enum Flag { Server = 1, AsJson, Html, Operation, Help, Version };
    const option known[] = {{"server", required_argument, nullptr, Server},
                            {"json", no_argument, nullptr, AsJson},
                            {"html", required_argument, nullptr, Html},
                            {"operation", required_argument, nullptr, Operation},
                            {"help", no_argument, nullptr, Help},
                            {"version", no_argument, nullptr, Version},
                            {nullptr, 0, nullptr, 0}};
    CliOptions options;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
        switch (flag) {
        case Server:
            options.server_ = optarg;
            break;
        case AsJson:
            options.json_ = true;
            break;
        case Html:
            options.html_ = optarg;
            break;
        case Operation:
            options.operation_ = optarg;
            break;
        case Help:
            usage(std::cout);
            return code(ExitCode::Ok);
        case Version:
            std::cout << "bergamotwick " BERGAMOTWICK_VERSION "\n";
            return code(ExitCode::Ok);
        default:
            usage(std::cerr);
            return code(ExitCode::Usage);
        }
    }
    options.arguments_.assign(argv + optind, argv + argc);
    const ExitCode exit = runCommand(options);
    if (exit == ExitCode::Usage && (options.arguments_.empty() || options.arguments_[0] != "check")) {
        usage(std::cerr);
    }
    return code(exit);
}
