#include "callers.h"
#include "crash_counts.h"
#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <random>

#include <getopt.h>

namespace bergamotwick::soak {

namespace {

using std::chrono::milliseconds;

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
};

/// Time for jobs to end after the last fault; a job that is still unfinished then counts as lost.
constexpr std::chrono::seconds drainTimeout{90};

constexpr milliseconds longestLinkFault{7'000};

/// Delayed data arrives within this time after a link fault ends.
constexpr milliseconds linkRecoveryTime{1'000};

/// How long both releases run side by side, as a share of the time in which faults are injected.
constexpr int mixedPercent = 60;

/// Injects random faults drawn from a seed; several may be active at once.
class FaultInjector
{
public:
    FaultInjector(Fleet &fleet, std::uint64_t seed, const Options &options)
        : fleet_(fleet)
        , options_(options)
        , random_(seed)
    {
    }

    /// Injects faults for the time in the options, then recovers from all of them. With a former release, each process that is restarted runs
    /// either release at first, then all are replaced by the present one.
    void run()
    {
        const milliseconds duration = options_.faultDuration_;
        const Instant start = soakNow();
        const Instant end = start + duration;
        mixed_ = !options_.formerProgram_.empty();
        while (soakNow() < end) {
            if (mixed_ && soakNow() > start + duration * mixedPercent / 100) {
                replaceFormerRelease();
            }
            injectNext();
            const Instant until = soakNow() + randomDuration(150, 900);
            while (soakNow() < until) {
                runDueRecoveries(soakNow());
                std::this_thread::sleep_for(20ms);
            }
        }
        runDueRecoveries(Instant::max());
    }

private:
    [[nodiscard]] milliseconds randomDuration(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
    }

    template<class Container>
    [[nodiscard]] auto &pick(Container &container)
    {
        return container[random_() % container.size()];
    }

    [[nodiscard]] Node &pickNode()
    {
        return random_() % 2 == 0 ? pick(fleet_.entries_) : pick(fleet_.agents_);
    }

    void scheduleRecovery(milliseconds after, std::function<void()> recovery)
    {
        recoveries_.emplace(soakNow() + after, std::move(recovery));
    }

    void runDueRecoveries(Instant now)
    {
        while (!recoveries_.empty() && recoveries_.begin()->first <= now) {
            auto due = recoveries_.extract(recoveries_.begin());
            due.mapped()();
        }
    }

    /// Restarts all processes as the present release, one after the other.
    void replaceFormerRelease()
    {
        runDueRecoveries(Instant::max());
        logFault("replace", "all hosts by the present release");
        mixed_ = false;
        for (std::deque<Node> *nodes : {&fleet_.agents_, &fleet_.entries_}) {
            for (Node &node : *nodes) {
                node.signal(SIGTERM);
                node.terminate(false);
                node.setProgram(options_.program_);
                node.start();
            }
        }
        const std::lock_guard lock(fleet_.judge_.mutex_);
        fleet_.judge_.judge_.judgeCrashingTasks(true);
    }

    void logFault(const std::string &fault, const std::string &target)
    {
        std::cout << "  " << fault << " " << target << "\n";
    }

    void injectNext()
    {
        switch (random_() % 9) {
        case 0:
            return restartNode(pickNode(), SIGKILL);
        case 1:
            return restartNode(pickNode(), SIGTERM);
        case 2:
            return freezeNode(pickNode());
        case 3:
            logFault("send SIGHUP to", "all entries");
            for (Node &entry : fleet_.entries_) {
                entry.signal(SIGHUP);
            }
            return;
        case 4:
            return injectStoreFault();
        case 5:
            return injectLinkFault(pickNode().storeLink(), "store link");
        case 6:
            return injectExecutorLinkFault(random_() % fleet_.agents_.size());
        case 7:
            return injectExecutorFault();
        default:
            return restartNode(pick(fleet_.entries_), SIGKILL);
        }
    }

    void restartNode(Node &node, int number)
    {
        logFault(number == SIGKILL ? "kill" : "stop", node.name());
        node.signal(number);
        node.signal(SIGCONT);
        scheduleRecovery(randomDuration(100, 4'000), [this, &node, number] {
            node.terminate(number == SIGKILL);
            if (mixed_) {
                node.setProgram(random_() % 2 == 0 ? options_.program_ : options_.formerProgram_);
            }
            node.start();
        });
    }

    void freezeNode(Node &node)
    {
        logFault("freeze", node.name());
        node.signal(SIGSTOP);
        scheduleRecovery(randomDuration(300, 7'000), [&node] { node.signal(SIGCONT); });
    }

    void injectStoreFault()
    {
        StoreFaults faults;
        const auto kind = random_() % 5;
        faults.down_ = kind == 0;
        faults.delay_ = milliseconds(kind == 1 ? 250 : 0);
        faults.lostReplyRate_ = kind == 2 ? 0.3 : 0;
        faults.delayedWriteRate_ = kind == 3 ? 0.3 : 0;
        logFault("store fault", std::to_string(kind));
        if (kind == 4) {
            return fleet_.store_.compact();
        }
        fleet_.store_.setFaults(faults);
        scheduleRecovery(randomDuration(500, 6'000), [this] { fleet_.store_.setFaults({}); });
    }

    void injectLinkFault(Proxy &link, const char *linkName)
    {
        const auto mode = static_cast<LinkMode>(1 + random_() % 4);
        logFault(linkName, std::to_string(static_cast<int>(mode)));
        link.setMode(mode);
        scheduleRecovery(randomDuration(300, static_cast<int>(longestLinkFault.count())), [&link] { link.setMode(LinkMode::Pass); });
    }

    void injectExecutorLinkFault(std::size_t number)
    {
        ExecutorServer &executor = fleet_.executors_[number];
        executor.setLinkFaulty(true);
        injectLinkFault(fleet_.agents_[number].executorLink(), "executor link");
        scheduleRecovery(longestLinkFault + linkRecoveryTime, [&executor] { executor.setLinkFaulty(false); });
    }

    void injectExecutorFault()
    {
        ExecutorServer &executor = pick(fleet_.executors_);
        const auto kind = random_() % 4;
        logFault("executor fault", std::to_string(kind) + " " + executor.address());
        if (kind < 2) {
            return executor.restart(kind == 0);
        }
        if (kind == 2) {
            executor.setFailing(true);
            return scheduleRecovery(randomDuration(500, 4'000), [&executor] { executor.setFailing(false); });
        }
        executor.setDelayedOrderRate(0.3);
        scheduleRecovery(randomDuration(500, 4'000), [&executor] { executor.setDelayedOrderRate(0); });
    }

    Fleet &fleet_;
    const Options &options_;
    std::mt19937_64 random_;
    bool mixed_ = false; ///< both releases run side by side
    std::multimap<Instant, std::function<void()>> recoveries_;
};

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
        CrashCounts crashCounts(fleet.store_);
        {
            const std::lock_guard lock(fleet.judge_.mutex_);
            fleet.judge_.judge_.judgeCrashingTasks(!mixed);
        }
        Callers callers(fleet.entryPorts_, fleet.judge_, seed, mixed ? &crashCounts : nullptr);
        std::this_thread::sleep_for(2s);
        FaultInjector(fleet, seed, options).run();
        callers.stop();
        const Instant end = soakNow() + drainTimeout;
        for (unfinishedJobs = callers.unfinished(); !unfinishedJobs.empty() && soakNow() < end; unfinishedJobs = callers.unfinished()) {
            std::this_thread::sleep_for(500ms);
        }
        accepted = callers.accepted();
        violations = callers.violations();
        std::ranges::copy(crashCounts.violations(), std::back_inserter(violations));
        for (const std::deque<Node> *nodes : {&fleet.agents_, &fleet.entries_}) {
            for (const Node &node : *nodes) {
                if (node.hasUnreadableInput()) {
                    violations.push_back("UNREADABLE: see the log of " + node.name());
                }
            }
        }
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
    std::cerr << "usage: bergamotwick-soak --program FILE [--former FILE] [--seed N] [--seeds N] [--seconds N] [--entries N] [--executors N] [--logs FOLDER]\n";
    return 2;
}

bool parseOptions(int argc, char **argv, Options &options)
{
    const std::array<option, 9> known{{{"program", required_argument, nullptr, 'p'},
                                       {"former", required_argument, nullptr, 'f'},
                                       {"seed", required_argument, nullptr, 's'},
                                       {"seeds", required_argument, nullptr, 'n'},
                                       {"seconds", required_argument, nullptr, 't'},
                                       {"entries", required_argument, nullptr, 'e'},
                                       {"executors", required_argument, nullptr, 'x'},
                                       {"logs", required_argument, nullptr, 'l'},
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
