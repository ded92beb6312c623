#include "advice.h"
#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

#include <httplib.h>

namespace review {

namespace {

enum Verdict : int {
    held = 0,
    broken = 1,
    couldNotRun = 2,
};

void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

Json step(int gpu, int estimateMs)
{
    return {{"count", 1}, {"cpu", 1000}, {"mem_mb", 256}, {"gpu", gpu}, {"estimate_ms", estimateMs}};
}

/// Writes the verdict into the record.
Verdict conclude(Fleet &fleet, bool isBroken, const std::string &why)
{
    fleet.record_.add("verdict", {{"broken", isBroken}, {"why", why}});
    std::cout << (isBroken ? "broken: " : "held: ") << why << std::endl;
    return isBroken ? broken : held;
}

/// One heartbeat of another writer, which names a service that no configuration has, arrives at the address of one executor's heartbeats.
Verdict strayHeartbeat(Fleet &fleet, bool trouble)
{
    fleet.executors_.at(0).labels_ = {"b", "r1-0"};
    if (!fleet.start()) {
        return couldNotRun;
    }
    const ExecutorHost &target = fleet.executors_.at(0);
    if (trouble) {
        const Json beat{{"service", "unnamed-svc"},
                        {"address", target.host_ + ":9999"},
                        {"zone", target.zone_},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"capacity", {{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", 8}}},
                        {"labels", {"a", "r1-0"}},
                        {"clock_ms", 100},
                        {"seq", 1},
                        {"born", unixMs() - 100}};
        httplib::Client client("http://" + target.host_ + ":" + std::to_string(controlPort));
        const auto reply = client.Post("/bergamotwick/instances/i-9f1c22d0/heartbeat", beat.dump(), "application/json");
        fleet.record_.add("stray-heartbeat", {{"to", target.id_}, {"sent", beat}, {"status", reply ? reply->status : 0}});
    }
    pause(5'000);
    const std::string job = "5c0e7a21d94b36f8";
    Json first = step(1, 1'000);
    first["constraints"] = "b";
    if (!fleet.submit(fleet.queue_ + job, {{"spec", "work 1000"}, {"steps", Json::array({first})}})) {
        return couldNotRun;
    }
    const bool done = Fleet::waitFor(milliseconds(30'000), [&] { return !fleet.starts(job).empty(); });
    const auto acked
        = fleet.events([&](const Json &event) { return event.at("what") == "heartbeat" && event.at("executor") == target.id_ && event.at("status") == 200; });
    const std::string state = fleet.state(fleet.queue_ + job);
    return conclude(fleet,
                    !done,
                    (done ? "the job's task began; state " : "the job's task didn't begin for 30 s on the idle executor that has its label; state ") + state
                        + ", " + std::to_string(acked.size()) + " of its heartbeats were acknowledged");
}

/// The executor of a task that lasts crashes, up to seven times, after different times; each time all others work, and it comes back after 4.5 s.
Verdict crashedExecutors(Fleet &fleet, bool trouble)
{
    if (!fleet.start()) {
        return couldNotRun;
    }
    const std::string job = "71aa90c3e5d20b46";
    Json lasting = step(1, 1'000);
    lasting["long_running"] = true;
    if (!fleet.submit(fleet.queue_ + job, {{"spec", "lasts"}, {"steps", Json::array({lasting})}})) {
        return couldNotRun;
    }
    const std::vector<int> lives{3'000, 9'000, 5'000, 8'000, 4'000, 6'000, 5'000}; // ms
    constexpr milliseconds mayTake{16'000}; // 6 s from its last run, 3 s, the 4 s before them, and 3 s more
    std::size_t crashes = 0;
    std::string state;
    bool runs = true;
    for (const int life : lives) {
        runs = Fleet::waitFor(mayTake, [&] { return fleet.starts(job).size() > crashes; });
        state = fleet.state(fleet.queue_ + job);
        if (!runs || state == "failed") {
            break;
        }
        pause(life);
        const auto at = fleet.executorOf(fleet.starts(job).back().at("executor"));
        if (!trouble || !at) {
            continue;
        }
        fleet.killExecutor(*at);
        ++crashes;
        pause(4'500);
        fleet.startExecutor(*at);
    }
    const auto failures = fleet.events([](const Json &event) { return event.at("what") == "end" && event.at("how") == "failed"; });
    return conclude(fleet,
                    !runs || state == "failed",
                    "after " + std::to_string(crashes) + " crashes and " + std::to_string(failures.size()) + " ends failed the job is shown as " + state
                        + "; its task that lasts " + (runs ? "runs" : "hasn't run for 16 s since the last executor came back"));
}

/// A queue's route is removed while its job runs, the entries are stopped and started in turn, and the job's first run fails once.
Verdict removedQueue(Fleet &fleet, bool trouble)
{
    if (!fleet.start()) {
        return couldNotRun;
    }
    const std::string job = "90b2c6e1f7a3d458";
    if (!fleet.submit(fleet.queue_ + job, {{"spec", "fails-first 16000"}, {"steps", Json::array({step(1, 16'000)})}})) {
        return couldNotRun;
    }
    if (!Fleet::waitFor(milliseconds(3'000), [&] { return !fleet.starts(job).empty(); })) {
        return couldNotRun;
    }
    if (trouble) {
        fleet.configure(4, false);
        pause(2'500);
        for (std::size_t entry = 0; entry < fleet.entries_.size(); ++entry) {
            fleet.restartEntry(entry);
            pause(300);
        }
    }
    const auto failed = [&] { return fleet.events([&](const Json &event) { return event.at("what") == "end" && event.at("how") == "failed"; }); };
    if (!Fleet::waitFor(milliseconds(25'000), [&] { return !failed().empty(); })) {
        return couldNotRun;
    }
    pause(4'000);
    if (trouble) {
        fleet.configure(9, true);
    }
    pause(3'500);
    const bool again = Fleet::waitFor(milliseconds(6'000), [&] { return fleet.starts(job).size() > 1; });
    const std::string state = fleet.state(fleet.queue_ + job);
    return conclude(fleet,
                    state == "failed" || !again,
                    "state " + state + " after " + std::to_string(failed().size()) + " end failed of 3 attempts; the task was started "
                        + std::to_string(fleet.starts(job).size()) + " times");
}

/// Eight jobs of one step come at once on a queue with advice; without trouble one after the other.
Verdict adviceBurst(Fleet &fleet, bool trouble)
{
    constexpr std::size_t jobs = 8;
    constexpr milliseconds decide{500};
    constexpr milliseconds period{20};
    constexpr milliseconds valid{3'000};
    fleet.advice_ = {{"decide_ms", decide.count()}, {"period_ms", period.count()}, {"valid_ms", valid.count()}};
    const AdviceService service(fleet.adviceHost(), advicePort, decide, period, valid, fleet.record_);
    if (!fleet.start()) {
        return couldNotRun;
    }
    std::vector<std::string> ids;
    for (std::size_t number = 0; number < jobs; ++number) {
        ids.push_back("3e5f0a7c11d2b84" + std::to_string(number));
        if (!fleet.submit(fleet.queue_ + ids.back(), {{"spec", "advised 1000"}, {"steps", Json::array({step(1, 1'000)})}})) {
            return couldNotRun;
        }
        pause(trouble ? 0 : 2'000);
    }
    const auto waiting = [&] { return std::count_if(ids.begin(), ids.end(), [&](const std::string &id) { return fleet.starts(id).empty(); }); };
    Fleet::waitFor(milliseconds(60'000), [&] { return waiting() == 0; });
    const auto left = waiting();
    const auto calls = fleet.events([](const Json &event) { return event.at("what") == "advice"; });
    return conclude(fleet,
                    left > 0,
                    std::to_string(left) + " of " + std::to_string(jobs) + " accepted jobs haven't begun 60 s after the last was accepted; state of the last: "
                        + fleet.state(fleet.queue_ + ids.back()) + "; " + std::to_string(calls.size()) + " calls for advice");
}

/// The executor of a serving task of priority 0 is lost for good while tasks that fill run on the others.
Verdict lostExecutorOfService(Fleet &fleet, bool trouble)
{
    fleet.otherPriority_ = 0;
    if (!fleet.start()) {
        return couldNotRun;
    }
    const std::string serving = "c4d81f02ab6e9375";
    Json serve = step(0, 1'000);
    serve["long_running"] = true;
    serve["target_ms"] = 200;
    serve["image"] = "front-page";
    if (!fleet.submit(fleet.otherQueue_ + serving, {{"spec", "lasts"}, {"steps", Json::array({serve})}})
        || !Fleet::waitFor(milliseconds(5'000), [&] { return !fleet.starts(serving).empty(); })) {
        return couldNotRun;
    }
    const std::string filling = "e17b5c90d2468fa3";
    Json fill = step(0, 100'000);
    fill["count"] = fleet.executors_.size() - 1;
    fill["anti_affinity"] = 1;
    fill["fills"] = true;
    fill["long_running"] = true;
    fill["image"] = "archive";
    if (!fleet.submit(fleet.queue_ + filling, {{"spec", "lasts"}, {"steps", Json::array({fill})}})
        || !Fleet::waitFor(milliseconds(5'000), [&] { return fleet.starts(filling).size() == fleet.executors_.size() - 1; })) {
        return couldNotRun;
    }
    pause(2'000);
    const std::size_t runsBefore = fleet.starts(serving).size();
    if (trouble) {
        const auto at = fleet.executorOf(fleet.starts(serving).back().at("executor"));
        if (!at) {
            return couldNotRun;
        }
        fleet.killExecutor(*at);
    }
    const bool runs = Fleet::waitFor(milliseconds(30'000), [&] { return fleet.starts(serving).size() > runsBefore; }) || !trouble;
    return conclude(fleet,
                    !runs,
                    (runs ? "the serving task runs" : "the serving task hasn't run for 30 s, on none of the 7 other executors") + std::string("; state ")
                        + fleet.state(fleet.otherQueue_ + serving));
}

/// A large job of priority 0 comes that fits nowhere beside tasks that last; most accelerators are free.
Verdict largeJob(Fleet &fleet, bool trouble)
{
    if (!fleet.start()) {
        return couldNotRun;
    }
    fleet.otherPriority_ = 0;
    fleet.configure(2, true);
    const std::string lasting = "5b20c9e4d7f1a386";
    Json lasts = step(1, 1'000);
    lasts["count"] = fleet.executors_.size();
    lasts["anti_affinity"] = 1;
    lasts["long_running"] = true;
    if (!fleet.submit(fleet.queue_ + lasting, {{"spec", "lasts"}, {"steps", Json::array({lasts})}})
        || !Fleet::waitFor(milliseconds(5'000), [&] { return fleet.starts(lasting).size() == fleet.executors_.size(); })) {
        return couldNotRun;
    }
    pause(2'000);
    if (trouble) {
        Json large = step(8, 3'600'000);
        large["count"] = fleet.executors_.size();
        if (!fleet.submit(fleet.otherQueue_ + "d90e61b3f2a7c485", {{"spec", "work 3600000"}, {"steps", Json::array({large})}})) {
            return couldNotRun;
        }
        pause(1'000);
    }
    const std::string small = "0f6d3ab8c5e92714";
    if (!fleet.submit(fleet.queue_ + small, {{"spec", "work 1000"}, {"steps", Json::array({step(1, 1'000)})}})) {
        return couldNotRun;
    }
    const bool begun = Fleet::waitFor(milliseconds(60'000), [&] { return !fleet.starts(small).empty(); });
    return conclude(fleet,
                    !begun,
                    (begun ? "the small job began" : "the small job hasn't begun for 60 s with 56 of 64 accelerators free") + std::string("; state ")
                        + fleet.state(fleet.queue_ + small));
}

/// A client hands a job in, gives up while the platform's store holds up the write, and cancels the job.
Verdict cancelledSubmission(Fleet &fleet, bool trouble)
{
    if (!fleet.start()) {
        return couldNotRun;
    }
    const std::string job = "a93f5d07c8e1b624";
    const std::string path = fleet.queue_ + job;
    if (trouble) {
        fleet.firstEntryLink_->holdNext(
            [&job](const std::string &request) { return request.find("kv-txn") != std::string::npos && request.find(job) != std::string::npos; },
            milliseconds(4'000));
    }
    const Json body{{"spec", "work 30000"}, {"steps", Json::array({step(1, 30'000)})}};
    const int accepted = fleet.call(0, "POST", path, body.dump(), milliseconds(3'000), milliseconds(500)).status_;
    if (trouble != (fleet.firstEntryLink_->held() == 1) || (accepted == 200) == trouble) {
        return couldNotRun;
    }
    int cancelled = 0;
    for (std::size_t entry = 2; entry < 6 && cancelled != 200 && cancelled != 410; ++entry) {
        cancelled = fleet.call(entry, "DELETE", path).status_;
    }
    if (cancelled != 200 && cancelled != 410) {
        return couldNotRun;
    }
    pause(12'000); // cancel_ms, stop_ms and contact_ms are over after 6.4 s
    const auto ends = fleet.events([&](const Json &event) { return event.at("what") == "end" && event.at("task").get<std::string>().starts_with(job); });
    const bool runs = fleet.starts(job).size() > ends.size();
    return conclude(fleet,
                    runs,
                    "the cancel was answered " + std::to_string(cancelled) + "; 12 s later the job's task " + (runs ? "runs" : "doesn't run") + "; state "
                        + fleet.state(path));
}

/// Asks for the state twice a second at most.
bool isCompleted(Fleet &fleet, const std::string &path)
{
    pause(450);
    return fleet.state(path) == "completed";
}

/// A machine loses power with its executor, which comes back under its id. Two calls to its former life are carried out late: a look that takes note
/// of an end, and a start that was called after it.
Verdict lateAcknowledgement(Fleet &fleet, bool trouble)
{
    fleet.executors_.at(0).labels_ = {"b", "r1-0"};
    if (!fleet.start()) {
        return couldNotRun;
    }
    pause(3'000);
    const auto jobFor = [](int ms) {
        Json first = step(1, ms);
        first["constraints"] = "b";
        return Json{{"spec", "work " + std::to_string(ms)}, {"steps", Json::array({first})}};
    };
    // Other work, so that the two late calls are a small share of the calls to executors.
    Json others = step(0, 3'000);
    others["count"] = 40;
    others["constraints"] = "a";
    const std::string beside = "6f01d9c37a4be852";
    if (!fleet.submit(fleet.queue_ + beside, {{"spec", "work 3000"}, {"steps", Json::array({others})}})) {
        return couldNotRun;
    }
    const std::string before = "b7c2e94a10d6f385";
    const std::string job = "29d84f7be03c16a5";
    HeldLink &link = *fleet.firstExecutorLink_;
    ExecutorHost &host = fleet.executors_.at(0);
    if (trouble) {
        link.holdNext(
            [](const std::string &request) {
                return request.find("/bergamotwick/hold") != std::string::npos && request.find("\"ack_cursor\":0,") == std::string::npos;
            },
            milliseconds(3'300));
    }
    if (!fleet.submit(fleet.queue_ + before, jobFor(300)) || (trouble && !Fleet::waitFor(milliseconds(5'000), [&] { return link.held() == 1; }))) {
        return couldNotRun;
    }
    if (trouble) {
        fleet.record_.add("hold-call-held", {{"for_ms", 3'300}});
        link.holdNext(
            [&job](const std::string &request) {
                return request.find("/bergamotwick/run-start") != std::string::npos && request.find(job) != std::string::npos;
            },
            milliseconds(2'400));
    }
    if (!fleet.submit(fleet.queue_ + job, jobFor(300)) || (trouble && !Fleet::waitFor(milliseconds(1'000), [&] { return link.held() == 2; }))) {
        return couldNotRun;
    }
    if (trouble) {
        fleet.record_.add("start-call-held", {{"for_ms", 2'400}});
        host.agent_->signal(SIGKILL);
        fleet.killExecutor(0);
        fleet.record_.add("agent-killed", {{"machine", host.host_}});
        host.agent_->waitForEnd(milliseconds(2'000));
        pause(2'100);
        fleet.startExecutor(0, true);
        pause(1'400);
        host.agent_->start();
        fleet.record_.add("agent-started", {{"machine", host.host_}});
    }
    const auto happened = [&](const std::string &what) {
        return fleet.events([&](const Json &event) {
            return event.at("what") == what && event.at("task").get<std::string>().starts_with(job + ".") && (what == "start" || event.at("how") == "done");
        });
    };
    Fleet::waitFor(milliseconds(60'000), [&] { return happened("start").size() > 1 || isCompleted(fleet, fleet.queue_ + job); });
    pause(1'000);
    const auto noted = happened("end-taken-note-of");
    const auto starts = happened("start");
    const bool again = !noted.empty() && !starts.empty() && starts.back().at("at") > noted.front().at("at");
    return conclude(fleet,
                    again,
                    "the task was started " + std::to_string(starts.size()) + " times and ended done " + std::to_string(happened("end").size()) + " times; "
                        + (again ? "the last start came after an end done had been taken note of" : "no start came after an end done that was taken note of"));
}

Verdict run(const std::string &name, Fleet &fleet, bool trouble)
{
    if (name == "stray-heartbeat") {
        return strayHeartbeat(fleet, trouble);
    }
    if (name == "crashed-executors") {
        return crashedExecutors(fleet, trouble);
    }
    if (name == "removed-queue") {
        return removedQueue(fleet, trouble);
    }
    if (name == "cancelled-submission") {
        return cancelledSubmission(fleet, trouble);
    }
    if (name == "late-acknowledgement") {
        return lateAcknowledgement(fleet, trouble);
    }
    if (name == "large-job") {
        return largeJob(fleet, trouble);
    }
    if (name == "advice-burst") {
        return adviceBurst(fleet, trouble);
    }
    if (name == "lost-executor-of-service") {
        return lostExecutorOfService(fleet, trouble);
    }
    return couldNotRun;
}

}

}

int main(int argc, char **argv)
{
    if (argc > 1 && std::string(argv[1]) == "executor") {
        return review::runExecutor(argc, argv);
    }
    if (argc != 3) {
        std::cerr << "usage: cases NAME RECORD-FILE, in the repository's root\n";
        return review::couldNotRun;
    }
    std::string folder = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        return review::couldNotRun;
    }
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    int code = review::couldNotRun;
    {
        review::Fleet fleet(std::filesystem::canonical("/proc/self/exe"), folder, 4, 8);
        code = review::run(argv[1], fleet, trouble);
        std::filesystem::copy_file(fleet.record_.path(), argv[2], std::filesystem::copy_options::overwrite_existing);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << folder << std::endl;
    }
    return code;
}
