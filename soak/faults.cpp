#include "faults.h"

#include "keys.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <thread>

namespace bergamotwick::soak {

namespace {

constexpr milliseconds longestLinkFault{7'000};

/// How long both releases run side by side, as a share of the time in which faults are injected.
constexpr int mixedPercent = 60;

constexpr milliseconds recoveryCheckInterval{20};
constexpr milliseconds commitWait{1'000};

}

FaultInjector::FaultInjector(Fleet &fleet, std::uint64_t seed, FaultPlan plan)
    : fleet_(fleet)
    , plan_(std::move(plan))
    , random_(seed)
{
}

void FaultInjector::run()
{
    startedAt_ = soakNow();
    mixed_ = !plan_.formerProgram_.empty();
    shrinkCapacities(); // these two are part of each run, however short it is
    crashWithLateOrders();
    while (soakNow() < startedAt_ + plan_.duration_) {
        if (mixed_ && soakNow() > startedAt_ + plan_.duration_ * mixedPercent / 100) {
            replaceFormerRelease();
        }
        injectNext();
        const Instant until = soakNow() + randomDuration(150, 900);
        while (soakNow() < until) {
            runDueRecoveries(soakNow());
            std::this_thread::sleep_for(recoveryCheckInterval);
        }
    }
    runDueRecoveries(Instant::max());
}

milliseconds FaultInjector::randomDuration(int leastMs, int mostMs)
{
    return milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(random_));
}

bool FaultInjector::oneIn(unsigned number)
{
    return random_() % number == 0;
}

Node &FaultInjector::pickNode()
{
    return oneIn(2) ? pick(fleet_.entries_) : pick(fleet_.agents_);
}

void FaultInjector::scheduleRecovery(milliseconds after, std::function<void()> recovery)
{
    recoveries_.emplace(soakNow() + after, std::move(recovery));
}

void FaultInjector::runDueRecoveries(Instant now)
{
    while (!recoveries_.empty() && recoveries_.begin()->first <= now) {
        auto due = recoveries_.extract(recoveries_.begin());
        due.mapped()();
    }
}

void FaultInjector::logFault(const std::string &fault, const std::string &target) const
{
    const auto sinceStart = std::chrono::duration_cast<milliseconds>(soakNow() - startedAt_);
    const auto wallTime = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    std::cout << "  " << sinceStart.count() << " ms (" << wallTime.count() << ") " << fault << " " << target << "\n";
}

void FaultInjector::injectNext()
{
    using Fault = void (FaultInjector::*)();
    constexpr std::array faults{&FaultInjector::reloadEntries,
                                &FaultInjector::injectStoreFault,
                                &FaultInjector::injectExecutorLinkFault,
                                &FaultInjector::refuseConnections,
                                &FaultInjector::shrinkCapacities,
                                &FaultInjector::shrinkCapacities,
                                &FaultInjector::injectOrderFaults,
                                &FaultInjector::injectOrderFaults,
                                &FaultInjector::failRuns,
                                &FaultInjector::crashExecutor,
                                &FaultInjector::crashWithLateOrders,
                                &FaultInjector::freezeExecutor,
                                &FaultInjector::hangExecutor,
                                &FaultInjector::loseExecutor,
                                &FaultInjector::silenceConnections,
                                &FaultInjector::silenceConnections,
                                &FaultInjector::removeExecutor,
                                &FaultInjector::killLeaderAfterCommit,
                                &FaultInjector::restartAllEntries};
    constexpr std::size_t nodeFaults = 6;
    switch (const std::size_t drawn = random_() % (faults.size() + nodeFaults)) {
    case 0:
        return restartNode(pickNode(), SIGKILL, randomDuration(100, 4'000));
    case 1:
        return restartNode(pickNode(), SIGTERM, randomDuration(100, 4'000));
    case 2:
    case 3:
        return freezeNode(pickNode());
    case 4:
        return injectLinkFault(pickNode().storeLink(), "store link");
    case 5:
        return restartNode(pick(fleet_.entries_), SIGKILL, randomDuration(100, 4'000));
    default: {
        const Fault fault = faults[drawn - nodeFaults];
        return (this->*fault)();
    }
    }
}

/// Restarts all processes as the present release, one after the other.
void FaultInjector::replaceFormerRelease()
{
    runDueRecoveries(Instant::max());
    logFault("replace", "all hosts by the present release");
    mixed_ = false;
    for (std::deque<Node> *nodes : {&fleet_.agents_, &fleet_.entries_}) {
        for (Node &node : *nodes) {
            node.signal(SIGTERM);
            node.terminate(false);
            node.setProgram(plan_.program_);
            node.start();
        }
    }
    const std::lock_guard lock(fleet_.judge_.mutex_);
    fleet_.judge_.judge_.judgeCrashingTasks(true);
}

void FaultInjector::restartNode(Node &node, int signalNumber, milliseconds after)
{
    logFault(signalNumber == SIGKILL ? "kill" : "stop", node.name() + " for " + std::to_string(after.count()) + " ms");
    node.signal(signalNumber);
    node.signal(SIGCONT);
    const bool formerRelease = oneIn(2);
    scheduleRecovery(after, [this, &node, signalNumber, formerRelease] {
        if (!node.isEnding()) {
            return; // an earlier recovery has restarted it
        }
        node.terminate(signalNumber == SIGKILL);
        if (mixed_) {
            node.setProgram(formerRelease ? plan_.formerProgram_ : plan_.program_);
        }
        node.start();
    });
}

void FaultInjector::restartAllEntries()
{
    for (Node &entry : fleet_.entries_) {
        restartNode(entry, SIGKILL, randomDuration(50, 2'500));
    }
}

void FaultInjector::killLeaderAfterCommit()
{
    const bool committed = fleet_.store_.waitForChange(node::keys::progress, commitWait);
    if (Node *leader = fleet_.leader()) {
        logFault(committed ? "commit seen," : "no commit seen,", "leader follows");
        restartNode(*leader, SIGKILL, randomDuration(100, 4'000));
    }
}

void FaultInjector::freezeNode(Node &node)
{
    const milliseconds duration = randomDuration(300, 7'000);
    logFault("freeze", node.name() + " for " + std::to_string(duration.count()) + " ms");
    node.signal(SIGSTOP);
    scheduleRecovery(duration, [&node] { node.signal(SIGCONT); });
}

void FaultInjector::reloadEntries()
{
    logFault("send SIGHUP to", "all entries");
    for (Node &entry : fleet_.entries_) {
        if (entry.isUp()) {
            entry.signal(SIGHUP);
        }
    }
}

void FaultInjector::injectStoreFault()
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

void FaultInjector::injectLinkFault(Proxy &link, const std::string &linkName)
{
    const auto mode = static_cast<LinkMode>(1 + random_() % 4);
    logFault(linkName, std::to_string(static_cast<int>(mode)));
    link.setMode(mode);
    scheduleRecovery(randomDuration(300, static_cast<int>(longestLinkFault.count())), [&link] { link.setMode(LinkMode::Pass); });
}

void FaultInjector::injectExecutorLinkFault()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    injectLinkFault(fleet_.executors_[number].link(), "link of executor " + std::to_string(number));
    if (oneIn(2) && shrunkUntil_[number] <= soakNow()) {
        const milliseconds begin = randomDuration(0, 1'500);
        const milliseconds duration = randomDuration(1'000, 10'000);
        shrinkCapacity(number, begin, duration);
        shrunkUntil_[number] = soakNow() + begin + duration;
    }
}

void FaultInjector::refuseConnections()
{
    if (mixed_) {
        return;
    }
    const std::size_t number = random_() % fleet_.executors_.size();
    const milliseconds duration = randomDuration(200, 3'000);
    const bool keepsOpen = oneIn(2);
    logFault(keepsOpen ? "refuse new connections to" : "reset and refuse connections to",
             "executor " + std::to_string(number) + " for " + std::to_string(duration.count()) + " ms");
    Proxy &link = fleet_.executors_[number].link();
    link.setAddress(keepsOpen ? LinkAddress::Refusing : LinkAddress::Gone);
    scheduleRecovery(duration, [&link] { link.setAddress(LinkAddress::Open); });
}

void FaultInjector::shrinkCapacities()
{
    const bool atOnce = oneIn(2);
    const auto times = oneIn(3) ? 3 : 1;
    for (std::size_t executor = 0; executor < fleet_.executors_.size(); ++executor) {
        if (oneIn(2) || shrunkUntil_[executor] > soakNow()) {
            continue;
        }
        milliseconds begin = atOnce ? milliseconds(0) : randomDuration(0, 2'000);
        for (int time = 0; time < times; ++time) {
            const milliseconds duration = randomDuration(1'000, 15'000 / times);
            shrinkCapacity(executor, begin, duration);
            begin += duration + randomDuration(100, 1'500);
        }
        shrunkUntil_[executor] = soakNow() + begin;
    }
}

void FaultInjector::shrinkCapacity(std::size_t executor, milliseconds after, milliseconds duration)
{
    const double factor = std::uniform_real_distribution<double>(0.1, 0.9)(random_);
    const auto setFactor = [this, executor](double value) {
        logFault("capacity of executor " + std::to_string(executor), "to " + std::to_string(value));
        fleet_.executors_[executor].setCapacityFactor(value);
    };
    scheduleRecovery(after, [setFactor, factor] { setFactor(factor); });
    scheduleRecovery(after + duration, [setFactor] { setFactor(1); });
}

void FaultInjector::injectOrderFaults()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    OrderFaults faults;
    const auto kind = random_() % 4;
    faults.delayedRate_ = kind == 0 || kind == 3 ? 0.4 : 0;
    faults.lostAnswerRate_ = kind == 1 || kind == 3 ? 0.4 : 0;
    faults.rejectedRate_ = kind == 2 ? 1 : 0;
    constexpr std::array names{"delay orders of", "lose answers of", "reject orders of", "delay orders and lose answers of"};
    logFault(names[kind], "executor " + std::to_string(number));
    ExecutorServer &executor = fleet_.executors_[number];
    executor.setOrderFaults(faults);
    scheduleRecovery(randomDuration(500, 5'000), [&executor] { executor.setOrderFaults({}); });
}

void FaultInjector::failRuns()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    logFault("fail runs on", "executor " + std::to_string(number));
    ExecutorServer &executor = fleet_.executors_[number];
    executor.setFailing(true);
    scheduleRecovery(randomDuration(500, 4'000), [&executor] { executor.setFailing(false); });
}

void FaultInjector::crashExecutor()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    const bool sameName = oneIn(2);
    const bool atOnce = oneIn(3);
    const milliseconds absence = randomDuration(1'000, 4'000);
    logFault(sameName ? "crash, same name," : "crash", "executor " + std::to_string(number) + " for " + std::to_string(atOnce ? 0 : absence.count()) + " ms");
    if (atOnce) {
        fleet_.executors_[number].restart(sameName);
    } else {
        fleet_.executors_[number].crash(sameName, absence);
        startSmaller(number, absence);
    }
}

/// Lets the next incarnation of an absent executor start with another capacity, half of the time.
void FaultInjector::startSmaller(std::size_t executor, milliseconds absence)
{
    if (oneIn(2) || mixed_ || shrunkUntil_[executor] > soakNow()) {
        return;
    }
    const milliseconds duration = absence + randomDuration(1'000, 8'000);
    shrinkCapacity(executor, milliseconds(0), duration);
    shrunkUntil_[executor] = soakNow() + duration;
}

/// Lets orders to one incarnation reach the next one of the same name.
void FaultInjector::crashWithLateOrders()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    const milliseconds crashAfter = randomDuration(300, 2'500);
    const milliseconds absence = randomDuration(0, 3'000);
    logFault(mixed_ ? "delay orders, then crash" : "delay orders, then crash, same name,",
             "executor " + std::to_string(number) + " in " + std::to_string(crashAfter.count()) + " ms");
    ExecutorServer &executor = fleet_.executors_[number];
    OrderFaults faults;
    faults.delayedRate_ = 0.6;
    executor.setOrderFaults(faults);
    scheduleRecovery(crashAfter, [this, &executor, absence] {
        executor.setOrderFaults({});
        executor.crash(!mixed_, absence);
    });
}

/// Freezes the executor with \p number, which is logged as \p kind.
void FaultInjector::freezeFor(const std::string &kind, std::size_t number, milliseconds duration)
{
    logFault(kind, "executor " + std::to_string(number) + " for " + std::to_string(duration.count()) + " ms");
    fleet_.executors_[number].freeze(duration);
}

void FaultInjector::freezeExecutor()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    freezeFor("freeze", number, randomDuration(300, 7'000));
}

/// Lets an executor go on after its runs may have been started elsewhere.
void FaultInjector::hangExecutor()
{
    if (mixed_) {
        return;
    }
    const std::size_t number = random_() % fleet_.executors_.size();
    freezeFor("hang", number, randomDuration(7'000, 25'000));
}

/// Lets one executor at most fall silent for good: the others have to finish its work.
void FaultInjector::loseExecutor()
{
    if (mixed_ || isExecutorLost_) {
        return;
    }
    isExecutorLost_ = true;
    const std::size_t number = random_() % fleet_.executors_.size();
    logFault("lose for good", "executor " + std::to_string(number));
    fleet_.executors_[number].freeze(std::chrono::hours(1));
}

/// Lets the open connections of all processes or of one go silent for good, to the store or to executors, once or twice.
void FaultInjector::silenceConnections()
{
    if (mixed_) {
        return;
    }
    const auto kind = random_() % 4;
    Node &one = pickNode();
    const auto silence = [this, kind, &one] {
        constexpr std::array targets{"of all processes to the store", "of all processes", "of all agents to executors", "to the store of "};
        logFault("silence open connections", targets[kind] + (kind == 3 ? one.name() : std::string()));
        for (std::deque<Node> *nodes : {&fleet_.agents_, &fleet_.entries_}) {
            for (Node &node : *nodes) {
                if (kind < 2 || (kind == 3 && &node == &one)) {
                    node.storeLink().silenceOpenConnections();
                }
            }
        }
        for (ExecutorServer &executor : fleet_.executors_) {
            if (kind == 1 || kind == 2) {
                executor.link().silenceOpenConnections();
            }
        }
    };
    silence();
    if (oneIn(2)) {
        scheduleRecovery(randomDuration(300, 4'000), silence);
    }
}

void FaultInjector::removeExecutor()
{
    const std::size_t number = random_() % fleet_.executors_.size();
    Departure departure;
    departure.draining_ = randomDuration(200, 4'000);
    departure.acknowledgementLost_ = oneIn(2) && !mixed_;
    departure.remaining_ = randomDuration(1'000, 5'000);
    departure.sameName_ = oneIn(2);
    departure.absence_ = randomDuration(100, 4'000);
    departure.duplicateAfter_ = oneIn(2) && !mixed_ ? randomDuration(100, 3'000) : milliseconds(0);
    logFault(departure.acknowledgementLost_ ? "drain, lost acknowledgement," : "drain",
             "executor " + std::to_string(number) + " in " + std::to_string(departure.draining_.count()) + " ms" + (departure.sameName_ ? ", same name" : "")
                 + (departure.duplicateAfter_.count() > 0 ? ", call twice" : ""));
    fleet_.executors_[number].leave(departure);
}

}
