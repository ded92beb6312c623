#include "callers.h"
#include "fleet.h"

#include <csignal>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <random>

#include <getopt.h>

namespace bergamotwick::soak {

namespace {

using std::chrono::milliseconds;

/// What a run of the soak is asked for.
struct Options
{
    std::string program_;
    std::string folder_ = "soak-logs";
    std::uint64_t firstSeed_ = 1;
    int seeds_ = 1;
    std::chrono::seconds length_{20}; ///< of the faults
    int entries_ = 3;
    int executors_ = 6;
};

/// Everything is calm for at most this long after the faults; a job that hasn't ended by then never will.
constexpr std::chrono::seconds calm{90};

constexpr milliseconds longestLinkFault{7'000};

/// What a link held up arrives within this after it is mended.
constexpr milliseconds heldUpSlack{1'000};

/// Draws faults from a seed and plays them; several overlap.
class Faults
{
public:
    Faults(Fleet &fleet, std::uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
    {
    }

    /// Plays faults for \p length, then mends all.
    void play(milliseconds length)
    {
        const Instant end = soakNow() + length;
        while (soakNow() < end) {
            next();
            const Instant until = soakNow() + between(150, 900);
            while (soakNow() < until) {
                mend(soakNow());
                std::this_thread::sleep_for(20ms);
            }
        }
        mend(Instant::max());
    }

private:
    [[nodiscard]] milliseconds between(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
    }

    template<class Many>
    [[nodiscard]] auto &any(Many &many)
    {
        return many[random_() % many.size()];
    }

    [[nodiscard]] Node &anyNode()
    {
        return random_() % 2 == 0 ? any(fleet_.entries_) : any(fleet_.agents_);
    }

    void later(milliseconds after, std::function<void()> mending)
    {
        mendings_.emplace(soakNow() + after, std::move(mending));
    }

    void mend(Instant now)
    {
        while (!mendings_.empty() && mendings_.begin()->first <= now) {
            auto node = mendings_.extract(mendings_.begin());
            node.mapped()();
        }
    }

    void say(const std::string &what, const std::string &whom)
    {
        std::cout << "  " << what << " " << whom << "\n";
    }

    void next()
    {
        switch (random_() % 9) {
        case 0:
            return restart(anyNode(), SIGKILL);
        case 1:
            return restart(anyNode(), SIGTERM);
        case 2:
            return freeze(anyNode());
        case 3:
            say("hup", "all");
            for (Node &entry : fleet_.entries_) {
                entry.signal(SIGHUP);
            }
            return;
        case 4:
            return breakStore();
        case 5:
            return breakLink(anyNode().storeLink(), "store link");
        case 6:
            return breakExecutorLink(random_() % fleet_.agents_.size());
        case 7:
            return breakExecutor();
        default:
            return restart(any(fleet_.entries_), SIGKILL);
        }
    }

    void restart(Node &node, int number)
    {
        say(number == SIGKILL ? "kill" : "stop", node.name());
        node.signal(number);
        node.signal(SIGCONT);
        later(between(100, 4'000), [&node, number] {
            node.end(number == SIGKILL);
            node.start();
        });
    }

    void freeze(Node &node)
    {
        say("freeze", node.name());
        node.signal(SIGSTOP);
        later(between(300, 7'000), [&node] { node.signal(SIGCONT); });
    }

    void breakStore()
    {
        StoreFaults faults;
        const auto kind = random_() % 5;
        faults.down_ = kind == 0;
        faults.delay_ = milliseconds(kind == 1 ? 250 : 0);
        faults.lost_ = kind == 2 ? 0.3 : 0;
        faults.late_ = kind == 3 ? 0.3 : 0;
        say("store fault", std::to_string(kind));
        if (kind == 4) {
            return fleet_.store_.compact();
        }
        fleet_.store_.setFaults(faults);
        later(between(500, 6'000), [this] { fleet_.store_.setFaults({}); });
    }

    void breakLink(Proxy &link, const char *which)
    {
        const auto mode = static_cast<LinkMode>(1 + random_() % 4);
        say(which, std::to_string(static_cast<int>(mode)));
        link.setMode(mode);
        later(between(300, static_cast<int>(longestLinkFault.count())), [&link] { link.setMode(LinkMode::Pass); });
    }

    void breakExecutorLink(std::size_t number)
    {
        ExecutorServer &executor = fleet_.executors_[number];
        executor.setLinkDisturbed(true);
        breakLink(fleet_.agents_[number].executorLink(), "executor link");
        later(longestLinkFault + heldUpSlack, [&executor] { executor.setLinkDisturbed(false); });
    }

    void breakExecutor()
    {
        ExecutorServer &executor = any(fleet_.executors_);
        const auto kind = random_() % 4;
        say("executor fault", std::to_string(kind) + " " + executor.address());
        if (kind < 2) {
            return executor.restart(kind == 0);
        }
        if (kind == 2) {
            executor.setFailing(true);
            return later(between(500, 4'000), [&executor] { executor.setFailing(false); });
        }
        executor.setLateShare(0.3);
        later(between(500, 4'000), [&executor] { executor.setLateShare(0); });
    }

    Fleet &fleet_;
    std::mt19937_64 random_;
    std::multimap<Instant, std::function<void()>> mendings_;
};

/// Plays one seed. Returns whether every promise was kept.
bool playSeed(const Options &options, std::uint64_t seed)
{
    const std::string folder = options.folder_ + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::cout << "seed " << seed << "\n";
    std::vector<std::string> open;
    std::vector<std::string> breaches;
    std::size_t accepted = 0;
    {
        Fleet fleet(options.program_, folder, seed, options.entries_, options.executors_);
        Callers callers(fleet.callersPorts_, fleet.judge_, seed);
        std::this_thread::sleep_for(2s);
        Faults(fleet, seed).play(options.length_);
        callers.stop();
        const Instant end = soakNow() + calm;
        for (open = callers.unfinished(); !open.empty() && soakNow() < end; open = callers.unfinished()) {
            std::this_thread::sleep_for(500ms);
        }
        accepted = callers.accepted();
        breaches = callers.breaches();
    }
    for (const std::string &job : open) {
        breaches.push_back("LOST: never ended: " + job);
    }
    for (const std::string &breach : breaches) {
        std::cout << "  BROKEN " << breach << "\n";
    }
    std::cout << "seed " << seed << (breaches.empty() ? " held" : " BROKEN, logs in " + folder) << ", " << accepted << " jobs accepted" << std::endl;
    if (breaches.empty()) {
        std::filesystem::remove_all(folder);
    }
    return breaches.empty() && accepted > 0;
}

int usage()
{
    std::cerr << "usage: bergamotwick-soak --program FILE [--seed N] [--seeds N] [--seconds N] [--entries N] [--executors N] [--logs FOLDER]\n";
    return 2;
}

bool parse(int argc, char **argv, Options &options)
{
    const std::array<option, 8> known{{{"program", required_argument, nullptr, 'p'},
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
        case 's':
            options.firstSeed_ = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            options.seeds_ = std::atoi(optarg);
            break;
        case 't':
            options.length_ = std::chrono::seconds(std::atoi(optarg));
            break;
        case 'e':
            options.entries_ = std::atoi(optarg);
            break;
        case 'x':
            options.executors_ = std::atoi(optarg);
            break;
        case 'l':
            options.folder_ = optarg;
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
    if (!parse(argc, argv, options)) {
        return usage();
    }
    std::signal(SIGPIPE, SIG_IGN);
    int held = 0;
    for (int number = 0; number < options.seeds_; ++number) {
        held += playSeed(options, options.firstSeed_ + static_cast<std::uint64_t>(number)) ? 1 : 0;
    }
    std::cout << held << " passed, " << options.seeds_ - held << " failed" << std::endl;
    return held == options.seeds_ ? 0 : 1;
}
