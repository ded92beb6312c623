#include "callers.h"
#include "crash_counts.h"
#include "faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <iterator>

#include <getopt.h>

namespace bergamotwick::soak {

namespace {

/// The command line options.
struct Options
{
    std::string program_;
    std::string formerProgram_; ///< an earlier release that runs first; its hosts are replaced one after the other
    std::string logFolder_ = "soak-logs";
    std::uint64_t firstSeed_ = 1;
    int seeds_ = 1;
    std::chrono::seconds faultDuration_{20}; ///< how long faults are injected
    int entries_ = 3;
    int executors_ = 6;
    bool soundTasks_ = false; ///< no task crashes its executor
};

/// Time for jobs to end after the last fault; a job that is still unfinished then counts as lost.
constexpr std::chrono::seconds drainTimeout{90};

/// Time for the processes to start before the first fault.
constexpr std::chrono::seconds startTime{2};

/// One job in this many has a task that crashes executors; more where both releases run, which is to show that neither drops its counts.
constexpr unsigned crashingJobsOneIn = 30;
constexpr unsigned crashingJobsOneInMixed = 12;

/// Adds what the logs and ends of the processes show.
void addProcessViolations(Fleet &fleet, std::vector<std::string> &violations)
{
    for (std::deque<Node> *nodes : {&fleet.agents_, &fleet.entries_}) {
        for (Node &node : *nodes) {
            if (node.hasUnreadableInput()) {
                violations.push_back("UNREADABLE: see the log of " + node.name());
            }
            if (node.hasEndedByItself()) {
                violations.push_back("ENDED: " + node.name() + " ended by itself");
            }
        }
    }
}

/// Runs one seed. Returns whether jobs were accepted and no guarantee was violated.
bool runSeed(const Options &options, std::uint64_t seed)
{
    const std::string folder = options.logFolder_ + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::cout << "seed " << seed << "\n";
    std::vector<std::string> unfinishedJobs;
    std::vector<std::string> violations;
    std::size_t accepted = 0;
    {
        const bool mixed = !options.formerProgram_.empty();
        Fleet fleet(mixed ? options.formerProgram_ : options.program_, folder, seed, options.entries_, options.executors_);
        CrashCounts crashCounts(fleet.store_, fleet.judge_.lives_);
        {
            const std::lock_guard lock(fleet.judge_.mutex_);
            fleet.judge_.judge_.judgeCrashingTasks(!mixed);
        }
        Callers callers(
            fleet.entryAddresses_, fleet.judge_, seed, options.soundTasks_ ? nullptr : &crashCounts, mixed ? crashingJobsOneInMixed : crashingJobsOneIn);
        std::this_thread::sleep_for(startTime);
        FaultInjector(fleet, seed, {options.program_, options.formerProgram_, options.faultDuration_}).run();
        callers.stop();
        const Instant end = soakNow() + drainTimeout;
        for (unfinishedJobs = callers.unfinished(); !unfinishedJobs.empty() && soakNow() < end; unfinishedJobs = callers.unfinished()) {
            std::this_thread::sleep_for(500ms);
        }
        accepted = callers.accepted();
        violations = callers.violations();
        std::ranges::copy(crashCounts.violations(), std::back_inserter(violations));
        addProcessViolations(fleet, violations);
        std::cout << "  " << crashCounts.counted() << " crashing jobs counted in the store\n";
    }
    for (const std::string &job : unfinishedJobs) {
        violations.push_back("LOST: not finished in time: " + job);
    }
    for (const std::string &violation : violations) {
        std::cout << "  BROKEN " << violation << "\n";
    }
    std::cout << "seed " << seed << (violations.empty() ? " held" : " BROKEN, logs in " + folder) << ", " << accepted << " jobs accepted" << std::endl;
    if (violations.empty()) {
        std::filesystem::remove_all(folder);
    }
    return violations.empty() && accepted > 0;
}

int usage()
{
    std::cerr << "usage: bergamotwick-soak --program FILE [--former FILE] [--seed N] [--seeds N] [--seconds N] [--entries N] [--executors N] [--logs FOLDER] "
                 "[--sound-tasks]\n";
    return 2;
}

bool parseOptions(int argc, char **argv, Options &options)
{
    const std::array<option, 10> known{{{"program", required_argument, nullptr, 'p'},
                                        {"former", required_argument, nullptr, 'f'},
                                        {"seed", required_argument, nullptr, 's'},
                                        {"seeds", required_argument, nullptr, 'n'},
                                        {"seconds", required_argument, nullptr, 't'},
                                        {"entries", required_argument, nullptr, 'e'},
                                        {"executors", required_argument, nullptr, 'x'},
                                        {"logs", required_argument, nullptr, 'l'},
                                        {"sound-tasks", no_argument, nullptr, 'o'},
                                        {nullptr, 0, nullptr, 0}}};
    for (int found = ::getopt_long(argc, argv, "", known.data(), nullptr); found != -1; found = ::getopt_long(argc, argv, "", known.data(), nullptr)) {
        switch (found) {
        case 'p':
            options.program_ = optarg;
            break;
        case 'f':
            options.formerProgram_ = optarg;
            break;
        case 's':
            options.firstSeed_ = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            options.seeds_ = std::atoi(optarg);
            break;
        case 't':
            options.faultDuration_ = std::chrono::seconds(std::atoi(optarg));
            break;
        case 'e':
            options.entries_ = std::atoi(optarg);
            break;
        case 'x':
            options.executors_ = std::atoi(optarg);
            break;
        case 'l':
            options.logFolder_ = optarg;
            break;
        case 'o':
            options.soundTasks_ = true;
            break;
        default:
            return false;
        }
    }
    return !options.program_.empty() && options.entries_ > 0 && options.executors_ > 0;
}

}

}

int main(int argc, char **argv)
{
    using namespace bergamotwick::soak;
    Options options;
    if (!parseOptions(argc, argv, options)) {
        return usage();
    }
    std::signal(SIGPIPE, SIG_IGN);
    int passed = 0;
    for (int number = 0; number < options.seeds_; ++number) {
        passed += runSeed(options, options.firstSeed_ + static_cast<std::uint64_t>(number)) ? 1 : 0;
    }
    std::cout << passed << " passed, " << options.seeds_ - passed << " failed" << std::endl;
    return passed == options.seeds_ ? 0 : 1;
}
