#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

struct Options
{
    std::string program_;
    std::string folder_;
    bool trouble_ = true;
};

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

std::string jobOf(const std::string &spec, int count, int gpu, bool lasting, int mayMiss)
{
    Json step = {{"count", count}, {"cpu", 4'000}, {"mem_mb", 1'000}};
    if (gpu > 0) {
        step["gpu"] = gpu;
    }
    if (lasting) {
        step["long_running"] = true;
    } else {
        step["estimate_ms"] = std::stoi(spec);
    }
    if (mayMiss > 0) {
        step["may_miss"] = mayMiss;
    }
    return Json({{"spec", spec}, {"steps", Json::array({step})}}).dump();
}

std::vector<Work> workOf(Fleet &fleet, const std::string &id)
{
    std::vector<Work> found;
    for (Side &side : fleet.sides_) {
        for (const Work &work : side.executor_->work()) {
            if (work.task_.starts_with(id)) {
                found.push_back(work);
            }
        }
    }
    return found;
}

std::size_t runningOf(Fleet &fleet, const std::string &id)
{
    const auto work = workOf(fleet, id);
    return static_cast<std::size_t>(std::count_if(work.begin(), work.end(), [](const Work &each) { return each.endedMs_ < 0; }));
}

/// The store turns the leader's machine away while a new version adds a queue. A client hands a job in on that queue and then asks for the queue's count.
int runForeignConfig(const Options &options, Record &record)
{
    constexpr std::int64_t rollbackSlackMs = 250;
    Fleet fleet(record, options.program_, options.folder_, 3, 3, makeConfig(1));
    if (!fleet.warmUp(milliseconds(30'000))) {
        return couldNotRun;
    }
    const int leader = fleet.leader();
    const int asked = (leader + 1) % 3;
    if (options.trouble_) {
        record.line("the store turns front-" + std::to_string(leader) + ", which leads, away (429)");
        fleet.store().turnAway(fleet.entries_[static_cast<std::size_t>(leader)].storePort_, true);
    }
    sleepMs(100);
    fleet.store().put("op/config", makeConfig(2, {"/added/"}));
    record.line("operator: version 2 is acknowledged; it adds the queue /added/");
    const std::string id = jobId(1);
    Answer accepted;
    for (int attempt = 0; attempt < 10 && accepted.status_ != 200; ++attempt) {
        sleepMs(50);
        accepted = fleet.call(asked, "POST", "/added/" + id, jobOf("500", 1, 1, false, 0));
    }
    const std::int64_t seenMs = record.nowMs();
    if (accepted.status_ != 200) {
        return couldNotRun;
    }
    sleepMs(rollbackSlackMs + 50);
    bool regressed = false;
    while (record.nowMs() < seenMs + 3'000) {
        const Answer answer = fleet.call(asked, "GET", "/added/");
        if (answer.status_ == 404) {
            record.line("BROKEN: front-" + std::to_string(asked) + " answers 404 for a queue on which it accepted a job over " + std::to_string(rollbackSlackMs)
                        + " ms before");
            regressed = true;
        }
        sleepMs(100);
    }
    fleet.store().turnAway(fleet.entries_[static_cast<std::size_t>(leader)].storePort_, false);
    return regressed ? broken : held;
}

/// All connections to the store that are open go silent; new ones work at once.
int runSilentConnections(const Options &options, Record &record)
{
    constexpr std::int64_t contactMs = 3'000;
    constexpr std::int64_t goneWithinMs = 3'000 + 400; // cancel_ms + stop_ms
    Fleet fleet(record, options.program_, options.folder_, 3, 4, makeConfig(1));
    if (!fleet.warmUp(milliseconds(30'000))) {
        return couldNotRun;
    }
    const std::string lasting = jobId(1);
    const std::string others = jobId(2);
    if (fleet.call(1, "POST", "/usual/" + lasting, jobOf("last", 2, 1, true, 0)).status_ != 200
        || fleet.call(1, "POST", "/usual/" + others, jobOf("last", 4, 1, true, 1)).status_ != 200) {
        return couldNotRun;
    }
    // The requests of a burst (x 2.6 of 0.8 a second for 4 s: 8) ask one entry for a state at the same time.
    constexpr int burstRequests = 8;
    const int asked = fleet.leader();
    std::vector<std::thread> clients;
    for (int number = 0; number < burstRequests; ++number) {
        clients.emplace_back([&] { (void)fleet.call(asked, "GET", "/usual/" + lasting); });
    }
    std::for_each(clients.begin(), clients.end(), [](std::thread &client) { client.join(); });
    const std::int64_t startedMs = record.nowMs();
    while (runningOf(fleet, lasting) < 2 || runningOf(fleet, others) < 4) {
        if (record.nowMs() > startedMs + 10'000) {
            return couldNotRun;
        }
        sleepMs(50);
    }
    // The processes watch the keys of the members for 10 s at a time: the next watches have just begun.
    const int before = fleet.store().watches("b/m/");
    while (fleet.store().watches("b/m/") < before + 7 && record.nowMs() < startedMs + 25'000) {
        sleepMs(20);
    }
    sleepMs(500);
    const std::int64_t silentMs = record.nowMs();
    if (options.trouble_) {
        record.line("all open connections to the store go silent; new ones work");
        for (Entry &entry : fleet.entries_) {
            entry.storeLink_->silenceOpenConnections();
        }
        for (Side &side : fleet.sides_) {
            side.storeLink_->silenceOpenConnections();
        }
    }
    sleepMs(contactMs + 200);
    const Answer urgent = fleet.call(2, "POST", "/urgent/" + jobId(3), jobOf("1000", 1, 1, false, 0));
    const std::int64_t acceptedMs = record.nowMs();
    Answer cancelled;
    for (int attempt = 0; attempt < 5 && cancelled.status_ != 200; ++attempt) {
        cancelled = fleet.call(1, "DELETE", "/usual/" + lasting);
    }
    const std::int64_t cancelledMs = record.nowMs();
    bool ranOn = false;
    bool lapsed = false;
    bool begun = false;
    while (record.nowMs() < silentMs + 16'000) {
        sleepMs(50);
        const std::int64_t nowMs = record.nowMs();
        if (cancelled.status_ == 200 && !ranOn && nowMs > cancelledMs + goneWithinMs && runningOf(fleet, lasting) > 0) {
            record.line("UNASKED: the cancelled job still runs " + std::to_string(nowMs - cancelledMs) + " ms after its cancel was acknowledged");
            ranOn = true;
        }
        if (urgent.status_ == 200 && !begun && !workOf(fleet, jobId(3)).empty()) {
            record.line("the urgent job has begun " + std::to_string(nowMs - acceptedMs) + " ms after its acknowledgement");
            begun = true;
        }
        const auto work = workOf(fleet, others);
        const auto lapses = std::count_if(work.begin(), work.end(), [](const Work &each) { return each.how_ == "lapsed"; });
        if (!lapsed && lapses > 1) {
            record.line("AVAIL: more than may_miss tasks of a step have lapsed");
            lapsed = true;
        }
    }
    return lapsed ? broken : held;
}

/// A job of the lowest need fills the idle processors of each executor. Then a tenant hands in a job within its guarantee that serves its own users.
int runFilledExecutors(const Options &options, Record &record)
{
    constexpr std::int64_t reclaimMs = 2'900;
    Fleet fleet(record, options.program_, options.folder_, 3, 3, makeConfig(1));
    if (!fleet.warmUp(milliseconds(30'000))) {
        return couldNotRun;
    }
    if (options.trouble_) {
        const std::string filling = jobId(1);
        const Json step
            = {{"count", 3}, {"cpu", 16'000}, {"mem_mb", 4'000}, {"fills", true}, {"long_running", true}, {"anti_affinity", 1}, {"image", "filler"}};
        if (fleet.call(1, "POST", "/usual/" + filling, Json({{"spec", "last"}, {"steps", Json::array({step})}}).dump()).status_ != 200) {
            return couldNotRun;
        }
        const std::int64_t sinceMs = record.nowMs();
        while (runningOf(fleet, filling) < 3) {
            if (record.nowMs() > sinceMs + 10'000) {
                return couldNotRun;
            }
            sleepMs(50);
        }
        sleepMs(5'000);
    }
    const std::string serving = jobId(2);
    const Json step = {{"count", 1}, {"cpu", 4'000}, {"mem_mb", 4'000}, {"gpu", 1}, {"long_running", true}, {"image", "server"}, {"target_ms", 100}};
    if (fleet.call(2, "POST", "/urgent/" + serving, Json({{"spec", "last"}, {"steps", Json::array({step})}}).dump()).status_ != 200) {
        return couldNotRun;
    }
    const std::int64_t acceptedMs = record.nowMs();
    bool late = false;
    while (record.nowMs() < acceptedMs + 20'000) {
        sleepMs(20);
        const std::int64_t sinceMs = record.nowMs() - acceptedMs;
        if (!workOf(fleet, serving).empty()) {
            record.line("the serving job has begun " + std::to_string(sinceMs) + " ms after its acknowledgement");
            break;
        }
        if (!late && sinceMs > reclaimMs) {
            record.line("BROKEN: the serving job hasn't begun " + std::to_string(sinceMs) + " ms after its acknowledgement");
            late = true;
        }
    }
    (void)fleet.call(2, "GET", "/urgent/" + serving);
    return late ? broken : held;
}

/// Another tenant's job that lasts takes all GPUs while they are idle. Then a tenant hands in a job within its guarantee.
int runLastingWork(const Options &options, Record &record)
{
    constexpr std::int64_t reclaimMs = 2'900;
    Fleet fleet(record, options.program_, options.folder_, 3, 3, makeConfig(1));
    if (!fleet.warmUp(milliseconds(30'000))) {
        return couldNotRun;
    }
    if (options.trouble_) {
        const std::string lasting = jobId(1);
        const Json step = {{"count", 3}, {"cpu", 16'000}, {"mem_mb", 4'000}, {"gpu", 8}, {"long_running", true}, {"may_miss", 1}, {"image", "other"}};
        const std::string body = Json({{"spec", "last"}, {"steps", Json::array({step})}}).dump();
        if (fleet.call(1, "POST", "/usual/" + lasting, body, true, secondTenant).status_ != 200) {
            return couldNotRun;
        }
        const std::int64_t sinceMs = record.nowMs();
        while (runningOf(fleet, lasting) < 3) {
            if (record.nowMs() > sinceMs + 10'000) {
                return couldNotRun;
            }
            sleepMs(50);
        }
        sleepMs(5'000);
    }
    const std::string urgent = jobId(2);
    if (fleet.call(2, "POST", "/urgent/" + urgent, jobOf("2000", 1, 1, false, 0)).status_ != 200) {
        return couldNotRun;
    }
    const std::int64_t acceptedMs = record.nowMs();
    bool late = false;
    while (record.nowMs() < acceptedMs + 20'000) {
        sleepMs(20);
        const std::int64_t sinceMs = record.nowMs() - acceptedMs;
        if (!workOf(fleet, urgent).empty()) {
            record.line("the guaranteed job has begun " + std::to_string(sinceMs) + " ms after its acknowledgement");
            break;
        }
        if (!late && sinceMs > reclaimMs) {
            record.line("BROKEN: the guaranteed job hasn't begun " + std::to_string(sinceMs) + " ms after its acknowledgement");
            late = true;
        }
    }
    (void)fleet.call(2, "GET", "/urgent/" + urgent);
    return late ? broken : held;
}

/// One executor of eight is lost for good and silent, with the only task of the last job that was handed in.
int runLostExecutor(const Options &options, Record &record)
{
    constexpr std::int64_t finishMs = 14'000;
    constexpr std::int64_t idleMs = 3'000;
    constexpr std::int64_t longestMs = 70'000;
    Fleet fleet(record, options.program_, options.folder_, 3, 8, makeConfig(1));
    if (!fleet.warmUp(milliseconds(30'000))) {
        return couldNotRun;
    }
    const std::string id = jobId(1);
    if (fleet.call(1, "POST", "/usual/" + id, jobOf("4000", 1, 1, false, 0)).status_ != 200) {
        return couldNotRun;
    }
    const std::int64_t endMs = record.nowMs();
    record.line("the traffic has ended");
    while (runningOf(fleet, id) == 0) {
        if (record.nowMs() > endMs + 5'000) {
            return couldNotRun;
        }
        sleepMs(20);
    }
    sleepMs(2'000);
    for (Side &side : fleet.sides_) {
        const auto work = side.executor_->work();
        const bool isBusy = std::any_of(work.begin(), work.end(), [](const Work &each) { return each.endedMs_ < 0; });
        if (isBusy && options.trouble_) {
            side.executor_->loseForGood();
        }
    }
    bool late = false;
    Answer state;
    while (record.nowMs() < endMs + longestMs && state.body_.find("completed") == std::string::npos) {
        sleepMs(200);
        state = fleet.call(2, "GET", "/usual/" + id, "", false);
        if (!late && record.nowMs() > endMs + finishMs + idleMs && runningOf(fleet, id) == 0) {
            record.line("BROKEN: " + std::to_string(record.nowMs() - endMs)
                        + " ms after the end of the traffic the job has nothing running, and seven executors are idle; its state is " + state.body_);
            late = true;
        }
    }
    record.line(std::to_string(record.nowMs() - endMs) + " ms after the end of the traffic the state is " + state.body_ + ", "
                + std::to_string(workOf(fleet, id).size()) + " runs have begun");
    return late ? broken : held;
}

/// One executor at a time crashes, each time that which runs the only task of a sound job.
int runCrashingExecutors(const Options &options, Record &record)
{
    constexpr int crashes = 5;
    Fleet fleet(record, options.program_, options.folder_, 3, 8, makeConfig(1));
    if (!fleet.warmUp(milliseconds(30'000))) {
        return couldNotRun;
    }
    const std::string id = jobId(1);
    if (fleet.call(1, "POST", "/usual/" + id, jobOf("9000", 1, 1, false, 0)).status_ != 200) {
        return couldNotRun;
    }
    for (int number = 0; number < (options.trouble_ ? crashes : 0); ++number) {
        Executor *busy = nullptr;
        const std::int64_t sinceMs = record.nowMs();
        while (busy == nullptr && record.nowMs() < sinceMs + 15'000) {
            sleepMs(20);
            for (Side &side : fleet.sides_) {
                const auto work = side.executor_->work();
                if (std::any_of(work.begin(), work.end(), [&id](const Work &each) { return each.task_.starts_with(id) && each.endedMs_ < 0; })) {
                    busy = side.executor_.get();
                }
            }
        }
        if (busy == nullptr) {
            break;
        }
        sleepMs(1'500);
        busy->crash();
        sleepMs(2'000);
        busy->restart();
    }
    const std::int64_t sinceMs = record.nowMs();
    Answer state;
    while (record.nowMs() < sinceMs + 30'000) {
        sleepMs(500);
        state = fleet.call(1, "GET", "/usual/" + id, "", false);
        if (state.body_.find("failed") != std::string::npos || state.body_.find("completed") != std::string::npos) {
            break;
        }
    }
    record.line("client: the state is " + state.body_);
    const auto work = workOf(fleet, id);
    const auto failures = std::count_if(work.begin(), work.end(), [](const Work &each) { return each.how_ == "failed"; });
    if (state.body_.find("failed") != std::string::npos && failures == 0) {
        record.line("BROKEN: the job is shown as failed, and no run of it has ended failed");
        return broken;
    }
    return state.body_.find("completed") != std::string::npos ? held : couldNotRun;
}

}

}

int main(int argc, char **argv)
{
    using namespace review;
    if (argc != 5) {
        std::cerr << "usage: review-3 CASE PROGRAM FOLDER RECORD\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const Options options{argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
    Record record(argv[4]);
    const std::string name = argv[1];
    int code = couldNotRun;
    try {
        code = name == "foreign-config" ? runForeignConfig(options, record)
            : name == "silent"          ? runSilentConnections(options, record)
            : name == "filled"          ? runFilledExecutors(options, record)
            : name == "lasting"         ? runLastingWork(options, record)
            : name == "lost"            ? runLostExecutor(options, record)
            : name == "crashes"         ? runCrashingExecutors(options, record)
                                        : couldNotRun;
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
    }
    record.line(code == held ? "result: the rule held" : code == broken ? "result: the rule was broken" : "result: the case could not run");
    std::cout << (code == held ? "held" : code == broken ? "broken" : "could not run") << std::endl;
    std::_Exit(code);
}
