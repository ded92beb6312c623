#include "platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

const std::string host = "nony24.example";

/// A case's verdict, with what was seen.
struct Verdict
{
    int code_ = held;
    std::string text_;
};

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void wait(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool waitUntil(double seconds, const std::function<bool()> &condition)
{
    const auto until = Clock::now() + std::chrono::duration<double>(seconds);
    while (Clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return condition();
}

Json step(int count, int cpu, int memory, int gpu, int estimate)
{
    Json row = {{"count", count}, {"cpu", cpu}, {"mem_mb", memory}, {"estimate_ms", estimate}};
    if (gpu > 0) {
        row["gpu"] = gpu;
    }
    return row;
}

Json job(const std::string &spec, Json steps)
{
    return {{"spec", spec}, {"steps", std::move(steps)}};
}

bool isRunning(Fleet &fleet, const std::string &id)
{
    const auto runs = fleet.runs_.of(id);
    return std::any_of(runs.begin(), runs.end(), [](const RunSeen &run) { return run.ended_ < 0; });
}

/// A heartbeat of another writer arrives at the agent of an executor.
Verdict strayHeartbeat(Fleet &fleet, bool trouble)
{
    Client client(fleet, host, "key-north");
    Json lasting = step(1, 4'000, 1'024, 1, 0);
    lasting["long_running"] = true;
    lasting["constraints"] = "b";
    const std::string id = jobId(0x51a7);
    if (client.submit("/usual/" + id, job("lasting", {lasting})) != 200 || !waitUntil(8, [&] { return isRunning(fleet, id); })) {
        return {notRun, "the lasting job didn't begin"};
    }
    wait(4);
    const Executor &real = *fleet.executors_.back();
    if (trouble) {
        const Json body = {{"service", "vaku77b"},
                           {"address", "127.0.0.1:9"},
                           {"zone", "pannonia-a"},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", "ready"},
                           {"cold_left_ms", 0},
                           {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
                           {"labels", {"a", "r9"}},
                           {"clock_ms", 482'113},
                           {"born", unixMs()},
                           {"seq", 4}};
        httplib::Client other("http://" + real.control());
        const auto answer = other.Post("/bergamotwick/instances/i-7f3a91c2/heartbeat", body.dump(), "application/json");
        fleet.record_.line("other writer: one heartbeat of i-7f3a91c2, service vaku77b, to " + real.control() + " -> "
                           + (answer ? std::to_string(answer->status) : "no answer"));
    }
    constexpr double watched = 40;
    const double from = fleet.record_.seconds();
    wait(watched);
    const double now = fleet.record_.seconds();
    (void)client.state("/usual/" + id);
    const auto runs = fleet.runs_.of(id);
    std::size_t lapsed = 0;
    double lastEnd = -1;
    bool running = false;
    for (const RunSeen &run : runs) {
        lapsed += run.how_ == "lapsed" ? 1 : 0;
        lastEnd = std::max(lastEnd, run.ended_);
        running = running || run.ended_ < 0;
    }
    // LOST: from 6 s after a lasting task's last run, for 3 s nothing of it runs although there is capacity.
    const bool lost = !running && lastEnd > from && now - lastEnd > 6 + 3;
    std::string text = std::to_string(runs.size()) + " runs of the lasting task, " + std::to_string(lapsed) + " lapsed; ";
    text += running ? "it is at work" : "nothing has run for the last " + std::to_string(now - lastEnd) + " s, and its executor is empty";
    return {lost ? broken : held, text};
}

/// A queue is removed from the configuration and comes back; meanwhile the leader is killed.
Verdict removedQueue(Fleet &fleet, bool trouble)
{
    Client client(fleet, host, "key-north");
    const std::string id = jobId(0x7ab1e);
    // Its task works for 14 s; its first run then fails by its own fault. max_attempts is 3.
    if (client.submit("/usual/" + id, job("14000 fail:1", {step(1, 8'000, 4'096, 1, 14'000)})) != 200 || !waitUntil(8, [&] { return isRunning(fleet, id); })) {
        return {notRun, "the job didn't begin"};
    }
    wait(1);
    if (trouble) {
        Json config = usualConfig(4);
        config["routes"].erase(1);
        fleet.configure(config);
        wait(4);
        Process *leader = fleet.leader();
        if (leader == nullptr) {
            return {notRun, "nobody leads"};
        }
        fleet.record_.line("kill of the leader " + leader->name());
        leader->kill();
        wait(1);
        leader->start();
    }
    const auto hasEnded = [&] {
        const auto runs = fleet.runs_.of(id);
        return std::any_of(runs.begin(), runs.end(), [](const RunSeen &run) { return run.how_ == "failed"; });
    };
    if (!waitUntil(20, hasEnded)) {
        return {notRun, "the first run didn't end as failed"};
    }
    wait(4);
    if (trouble) {
        fleet.configure(usualConfig(9));
    }
    std::string state;
    (void)waitUntil(40, [&] {
        wait(1);
        state = client.state("/usual/" + id);
        return state == "completed" || state == "failed" || state == "cancelled";
    });
    const auto runs = fleet.runs_.of(id);
    std::size_t failed = 0;
    std::size_t done = 0;
    for (const RunSeen &run : runs) {
        failed += run.how_ == "failed" ? 1 : 0;
        done += run.how_ == "done" ? 1 : 0;
    }
    const std::string text
        = "the job is shown as " + state + " after " + std::to_string(failed) + " ends failed (max_attempts is 3) and " + std::to_string(done) + " done";
    if (state == "completed") {
        return {held, text};
    }
    return {broken, text}; // failed without cause, or never finished
}

/// A job of many occurrences is accepted beside others' usual jobs.
Verdict manyOccurrences(Fleet &fleet, bool trouble)
{
    Client north(fleet, host, "key-north");
    Client south(fleet, host, "key-south");
    // Once a minute: for a month where there is trouble, else for a day. The first run is due in 2 s.
    Json periodic = job("500", {step(1, 1'000, 512, 0, 500)});
    periodic["repeats"] = trouble ? 43'200 : 1'440;
    periodic["first_run_ms"] = unixMs() + 2'000;
    periodic["interval_ms"] = 60'000;
    const std::string periodicId = jobId(0x5000'0000'0000'0000);
    const int accepted = south.submit("/usual/" + periodicId, periodic);
    fleet.record_.line("the periodic job of tenant south: " + std::to_string(accepted));
    if (accepted != 200) {
        return {trouble && accepted != 0 ? held : notRun, "the periodic job was answered with " + std::to_string(accepted)};
    }
    wait(3);
    std::vector<std::string> ids;
    for (std::uint64_t number = 0; number < 20; ++number) {
        const std::string id = jobId((number * 0x0c00'0000'0000'0000) + 0x1000 + number);
        if (north.submit("/usual/" + id, job("1000", {step(2, 2'000, 1'024, 1, 1'000)})) == 200) {
            ids.push_back(id);
        }
        wait(0.7);
    }
    if (ids.size() < 15) {
        return {notRun, "too few jobs were accepted"};
    }
    constexpr double finish = 14 + 3; // finish_s and the 3 s of LOST
    wait(finish);
    std::size_t finished = 0;
    std::size_t neverBegan = 0;
    for (const std::string &id : ids) {
        finished += north.state("/usual/" + id) == "completed" ? 1 : 0;
        neverBegan += fleet.runs_.of(id).empty() ? 1 : 0;
    }
    const std::size_t occurrences = fleet.runs_.of(periodicId).size();
    const std::string text = std::to_string(ids.size()) + " usual jobs accepted, " + std::to_string(finished) + " completed, " + std::to_string(neverBegan)
        + " never began although all executors are empty; " + std::to_string(occurrences)
        + " runs of the periodic job, whose first occurrence was due 30 s ago";
    return {neverBegan > 0 || occurrences == 0 ? broken : held, text};
}

/// A step of many small tasks with a long spec.
Verdict longSpec(Fleet &fleet, bool trouble)
{
    Client client(fleet, host, "key-north");
    Client other(fleet, host, "key-south");
    Json lasting = step(3, 4'000, 1'024, 1, 0);
    lasting["long_running"] = true;
    lasting["anti_affinity"] = 1;
    const std::string lastingId = jobId(0x1a57);
    if (other.submit("/usual/" + lastingId, job("lasting", {lasting})) != 200 || !waitUntil(8, [&] { return isRunning(fleet, lastingId); })) {
        return {notRun, "the lasting job didn't begin"};
    }
    wait(3);
    std::string spec = "2000 ";
    spec.resize(trouble ? 4'000 : 200, 'x');
    const std::string id = jobId(0xf4a3e);
    constexpr int count = 1'150;
    if (client.submit("/usual/" + id, job(spec, {step(count, 50, 50, 0, 2'000)})) != 200) {
        return {notRun, "the job wasn't accepted"};
    }
    wait(50);
    const std::string state = client.state("/usual/" + id);
    std::set<std::string> done;
    for (const RunSeen &run : fleet.runs_.of(id)) {
        if (run.how_ == "done") {
            done.insert(run.task_);
        }
    }
    std::size_t lapsed = 0;
    for (const RunSeen &run : fleet.runs_.of(lastingId)) {
        lapsed += run.how_ == "lapsed" ? 1 : 0;
    }
    const bool isIdle = !isRunning(fleet, id);
    const std::string text = "the job of " + std::to_string(count) + " tasks is " + state + " after 50 s, " + std::to_string(done.size()) + " tasks are done; "
        + std::to_string(lapsed) + " runs of the lasting job lapsed";
    return {state != "completed" && (isIdle || lapsed > 0) ? broken : held, text};
}

/// Returns the longest time after \p from in which no run of \p job was at work, until now.
double longestIdle(Fleet &fleet, const std::string &job, double from)
{
    auto runs = fleet.runs_.of(job);
    std::sort(runs.begin(), runs.end(), [](const RunSeen &left, const RunSeen &right) { return left.began_ < right.began_; });
    double idleSince = from;
    double longest = 0;
    for (const RunSeen &run : runs) {
        longest = std::max(longest, run.began_ - idleSince);
        idleSince = std::max(idleSince, run.ended_ < 0 ? fleet.record_.seconds() : run.ended_);
    }
    return std::max(longest, fleet.record_.seconds() - idleSince);
}

/// A task that works for ten minutes.
Verdict longTask(Fleet &fleet, bool trouble)
{
    Client client(fleet, host, "key-north");
    const int work = trouble ? 600'000 : 60'000;
    Json task = step(1, 8'000, 4'096, 1, work);
    task["constraints"] = "b";
    const std::string id = jobId(0x10a6);
    if (client.submit("/usual/" + id, job(std::to_string(work), {task})) != 200 || !waitUntil(8, [&] { return isRunning(fleet, id); })) {
        return {notRun, "the job didn't begin"};
    }
    const double from = fleet.record_.seconds();
    wait(75);
    const std::string state = client.state("/usual/" + id);
    const auto runs = fleet.runs_.of(id);
    std::size_t stopped = 0;
    for (const RunSeen &run : runs) {
        stopped += run.how_ == "stopped" ? 1 : 0;
    }
    constexpr double finish = 14;
    const double idle = state == "completed" ? 0 : longestIdle(fleet, id, from + finish);
    const std::string text = "the job is " + state + "; " + std::to_string(runs.size()) + " runs of its task, " + std::to_string(stopped)
        + " stopped though the executor was sound; nothing of it ran for up to " + std::to_string(idle) + " s on end, beside an empty executor with its label";
    return {idle > 3 ? broken : held, text};
}

/// A service that lasts is handed in while work that fills runs on every executor.
Verdict servingBesideFill(Fleet &fleet, bool trouble)
{
    Client north(fleet, host, "key-north");
    Client south(fleet, host, "key-south");
    Json fill = step(static_cast<int>(fleet.executors_.size()), 4'000, 1'024, 0, 0);
    fill["long_running"] = true;
    fill["anti_affinity"] = 1;
    fill["image"] = "batch";
    if (trouble) {
        fill["fills"] = true;
    }
    const std::string fillId = jobId(0xf111);
    if (south.submit("/usual/" + fillId, job("lasting", {fill})) != 200 || !waitUntil(8, [&] { return isRunning(fleet, fillId); })) {
        return {notRun, "the work that fills didn't begin"};
    }
    wait(4);
    Json serving = step(2, 4'000, 1'024, 1, 0);
    serving["long_running"] = true;
    serving["image"] = "web";
    serving["target_ms"] = 200;
    const std::string id = jobId(0x5e1e);
    if (north.submit("/urgent/" + id, job("lasting", {serving})) != 200) {
        return {notRun, "the service wasn't accepted"};
    }
    const double from = fleet.record_.seconds();
    wait(30);
    const std::string state = north.state("/urgent/" + id);
    const double idle = longestIdle(fleet, id, from);
    return {idle > 9 ? broken : held, "the service is " + state + "; nothing of it ran for " + std::to_string(idle) + " s on end"};
}

/// Executors with a service that lasts crash, one after the other, two times each. Then usual jobs of another tenant are handed in.
Verdict crashedServices(Fleet &fleet, bool trouble)
{
    Client north(fleet, host, "key-north");
    Client south(fleet, host, "key-south");
    std::vector<std::string> services;
    for (std::size_t number = 0; number < fleet.executors_.size(); ++number) {
        Json service = step(1, 8'000, 4'096, 1, 0);
        service["long_running"] = true;
        service["constraints"] = "k" + std::to_string(number + 1);
        services.push_back(jobId(0x5e41ce00 + number));
        if (north.submit("/usual/" + services.back(), job("lasting", {service})) != 200) {
            return {notRun, "a service wasn't accepted"};
        }
    }
    const auto allAtWork = [&] { return std::all_of(services.begin(), services.end(), [&](const std::string &id) { return isRunning(fleet, id); }); };
    if (!waitUntil(8, allAtWork)) {
        return {notRun, "the services didn't begin"};
    }
    for (int round = 0; round < 2; ++round) {
        wait(14);
        for (auto &executor : fleet.executors_) {
            if (trouble) {
                executor->crash(false, 300ms);
            }
            wait(3); // its service is at work again
        }
    }
    fleet.record_.line("no disruption from here on");
    wait(4);
    std::vector<std::string> ids;
    for (std::uint64_t number = 0; number < 8; ++number) {
        const std::string id = jobId(0x3000 + number);
        if (south.submit("/usual/" + id, job("1000", {step(1, 4'000, 2'048, 1, 1'000)})) == 200) {
            ids.push_back(id);
        }
        wait(0.3);
    }
    constexpr double finish = 14 + 4; // finish_s, and the 3 s of LOST with a margin
    wait(finish);
    std::size_t neverBegan = 0;
    for (const std::string &id : ids) {
        (void)south.state("/usual/" + id);
        neverBegan += fleet.runs_.of(id).empty() ? 1 : 0;
    }
    const std::string text = std::to_string(ids.size()) + " usual jobs accepted, " + std::to_string(neverBegan) + " haven't begun 18 s after the last; "
        + std::to_string(std::count_if(services.begin(), services.end(), [&](const std::string &id) { return isRunning(fleet, id); }))
        + " tasks run on 3 sound executors, which use an eighth of them";
    return {neverBegan > 0 ? broken : held, text};
}

/// Jobs whose submission is in doubt are cancelled.
Verdict cancelInDoubt(Fleet &fleet, bool trouble)
{
    if (trouble) {
        fleet.record_.line("store: from now on 30 of 100 writes are done 1 to 6 s later and not answered");
        fleet.store_.setLateShare(0.3);
    }
    struct Cancelled
    {
        std::string id_;
        int submitted_ = 0;
        int cancelled_ = 0;
        double at_ = 0;
    };
    std::mutex mutex;
    std::vector<Cancelled> cancelled;
    std::vector<std::thread> threads;
    constexpr int clients = 500;
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] {
            Client client(fleet, host, "key-north");
            Cancelled entry;
            entry.id_ = jobId(static_cast<std::uint64_t>(0xc0000 + number));
            const std::string path = "/usual/" + entry.id_;
            entry.submitted_ = client.call("POST", path, job("500", {step(1, 500, 256, 0, 500)}), 1'000ms, number).status_;
            entry.cancelled_ = client.call("DELETE", path, {}, 3'000ms, number + 1).status_;
            entry.at_ = fleet.record_.seconds();
            const std::lock_guard lock(mutex);
            cancelled.push_back(entry);
        });
        std::this_thread::sleep_for(5ms);
    }
    fleet.store_.setLateShare(0);
    const double soundAt = fleet.record_.seconds();
    fleet.record_.line("store: sound again");
    for (std::thread &thread : threads) {
        thread.join();
    }
    wait(12);
    std::size_t gone = 0;
    std::size_t late = 0;
    std::size_t lateInTouch = 0;
    for (const Cancelled &entry : cancelled) {
        if (entry.cancelled_ != 200 && entry.cancelled_ != 410) {
            continue;
        }
        gone += entry.cancelled_ == 410 ? 1 : 0;
        for (const RunSeen &run : fleet.runs_.of(entry.id_)) {
            if (run.began_ > entry.at_ + 3.0) {
                ++late;
                lateInTouch += run.began_ > soundAt + 3.0 ? 1 : 0;
                fleet.record_.line("started " + std::to_string(run.began_ - entry.at_) + " s after its cancelling was answered with "
                                   + std::to_string(entry.cancelled_) + ": " + run.task_ + ", submission answered with " + std::to_string(entry.submitted_));
            }
        }
    }
    const std::string text = std::to_string(cancelled.size()) + " jobs cancelled, " + std::to_string(gone) + " answered 410; " + std::to_string(late)
        + " tasks started more than cancel_ms after that, " + std::to_string(lateInTouch) + " of them with the core stable for contact_ms";
    return {lateInTouch > 0 ? broken : held, text};
}

/// A share of the starts is left unanswered and carried out late, while executors and their agents are killed and start again, the executors under their ids.
Verdict lateStarts(Fleet &fleet, bool trouble)
{
    constexpr double length = 70;
    constexpr double lateFor = 5;
    constexpr double pause = 3;
    const double until = fleet.record_.seconds() + length;
    std::thread load([&] {
        Client client(fleet, host, "key-north");
        std::uint64_t number = 0;
        while (fleet.record_.seconds() < until) {
            (void)client.call("POST", "/usual/" + jobId(0x1a7e0000 + number++), job("500", {step(6, 1'000, 512, 1, 500)}));
            wait(0.4);
        }
    });
    std::thread late([&] {
        while (trouble && fleet.record_.seconds() + lateFor < until) {
            fleet.record_.line("for 5 s, 30 of 100 starts get no answer and are carried out 2 to 12 s later");
            for (const double share : {0.3, 0.0}) {
                for (auto &executor : fleet.executors_) {
                    executor->setLateShare(share);
                }
                wait(share > 0 ? lateFor : pause);
            }
        }
    });
    std::mt19937 random(std::random_device{}());
    wait(6);
    while (trouble && fleet.record_.seconds() < until) {
        const std::size_t number = random() % fleet.executors_.size();
        fleet.sides_[number]->signal(SIGKILL);
        fleet.sides_[number]->kill();
        fleet.executors_[number]->crash(true, 300ms);
        wait(0.7);
        fleet.sides_[number]->start();
        wait(3);
    }
    load.join();
    late.join();
    for (auto &executor : fleet.executors_) {
        executor->setLateShare(0);
    }
    wait(14);
    const auto runs = fleet.runs_.all();
    std::size_t twice = 0;
    std::size_t afterDone = 0;
    for (const RunSeen &run : runs) {
        for (const RunSeen &other : runs) {
            if (run.task_ != other.task_ || other.began_ <= run.began_) {
                continue;
            }
            if (run.ended_ < 0 || other.began_ < run.ended_) {
                ++twice;
                fleet.record_.line("at the same time: " + run.task_ + " run " + std::to_string(run.run_) + " on " + run.executor_ + " and run "
                                   + std::to_string(other.run_) + " on " + other.executor_);
            } else if (run.how_ == "done" && run.noted_) {
                ++afterDone;
                fleet.record_.line("after its end was taken note of: " + run.task_ + " run " + std::to_string(run.run_) + " done, then run "
                                   + std::to_string(other.run_) + " on " + other.executor_ + " at " + std::to_string(other.began_));
            }
        }
    }
    return {twice + afterDone > 0 ? broken : held,
            std::to_string(runs.size()) + " runs; " + std::to_string(twice) + " tasks ran two times at once, " + std::to_string(afterDone)
                + " started again after an end done that was taken note of"};
}

/// Two executors crash, silently and a second apart, before the start of a task has reached them.
Verdict neverReached(Fleet &fleet, bool trouble)
{
    Client client(fleet, host, "key-north");
    const std::string id = jobId(0x4eac4);
    Json task = step(1, 8'000, 4'096, 1, 3'000);
    task["constraints"] = "b";
    wait(12); // the leader has led for some time
    std::vector<std::thread> crashes;
    if (trouble) {
        for (const std::size_t number : {0, 1}) {
            crashes.emplace_back([&fleet, number] {
                wait(number == 0 ? 0 : 1.0);
                fleet.executors_[number]->crashSilently(1'200ms);
            });
        }
        wait(0.1);
    }
    const int accepted = client.submit("/usual/" + id, job("3000", {task}));
    for (std::thread &crash : crashes) {
        crash.join();
    }
    if (accepted != 200) {
        return {notRun, "the job wasn't accepted"};
    }
    std::string state;
    (void)waitUntil(30, [&] {
        wait(1);
        state = client.state("/usual/" + id);
        return state == "completed" || state == "failed";
    });
    const auto runs = fleet.runs_.of(id);
    return {state == "failed"          ? broken
                : state == "completed" ? held
                                       : notRun,
            "the job is shown as " + state + "; its task has begun " + std::to_string(runs.size()) + " times on any executor"};
}

/// Clients of two tenants choose the same ID for jobs in two queues.
Verdict sameId(Fleet &fleet, bool trouble)
{
    Client north(fleet, host, "key-north");
    Client south(fleet, host, "key-south");
    const std::string first = jobId(1);
    const std::string second = jobId(trouble ? 1 : 2);
    if (north.submit("/urgent/" + first, job("2000 north", {step(1, 1'000, 512, 1, 2'000)})) != 200) {
        return {notRun, "the first job wasn't accepted"};
    }
    const int accepted = south.submit("/usual/" + second, job("2000 south", {step(2, 1'000, 512, 1, 2'000)}));
    if (accepted != 200) {
        return {held, "the second job was answered with " + std::to_string(accepted)};
    }
    wait(14);
    const std::string state = south.state("/usual/" + second);
    std::size_t done = 0;
    for (const RunSeen &run : fleet.runs_.all()) {
        done += run.how_ == "done" && run.spec_.find("south") != std::string::npos ? 1 : 0;
    }
    return {state == "completed" && done < 2 ? broken : held,
            "the second job was accepted and is shown as " + state + "; " + std::to_string(done) + " of its 2 tasks are done"};
}

}

int run(const std::string &name, const std::string &program, const std::string &folder, bool trouble)
{
    const std::map<std::string, Verdict (*)(Fleet &, bool)> cases{{"stray-heartbeat", strayHeartbeat},
                                                                  {"removed-queue", removedQueue},
                                                                  {"many-occurrences", manyOccurrences},
                                                                  {"long-spec", longSpec},
                                                                  {"cancel-in-doubt", cancelInDoubt},
                                                                  {"same-id", sameId},
                                                                  {"late-starts", lateStarts},
                                                                  {"never-reached", neverReached},

                                                                  {"long-task", longTask},
                                                                  {"crashed-services", crashedServices},
                                                                  {"serving-beside-fill", servingBesideFill}};
    const auto found = cases.find(name);
    if (found == cases.end()) {
        return notRun;
    }
    FleetOptions options;
    if (name == "never-reached") {
        options.sides_ = 11;
        options.labels_ = {{0, {"b", "r1"}}, {1, {"b", "r1"}}};
    }
    if (name == "late-starts") {
        options.sides_ = 6;
    }
    if (name == "crashed-services") {
        options.labels_ = {{0, {"k1", "r1"}}, {1, {"k2", "r1"}}, {2, {"k3", "r1"}}};
    }
    if (name == "long-task") {
        options.sides_ = 5;
    }
    if (name == "stray-heartbeat" || name == "long-task") {
        options.labels_[options.sides_ - 1] = {"b", "r1"};
    }
    Fleet fleet(program, folder, options);
    fleet.record_.line("case " + name + (trouble ? "" : " without its trouble"));
    Verdict verdict{notRun, "the system didn't start"};
    if (fleet.start()) {
        verdict = found->second(fleet, trouble);
    }
    if (fleet.anyProcessEndedByItself()) {
        verdict.text_ += "; a process ended by itself";
        verdict.code_ = verdict.code_ == held ? broken : verdict.code_;
    }
    const char *result = verdict.code_ == held ? "HELD" : verdict.code_ == broken ? "BROKEN" : "NOT RUN";
    fleet.record_.line(std::string(result) + ": " + verdict.text_);
    std::cout << name << (trouble ? "" : " (TROUBLE=0)") << ": " << result << ": " << verdict.text_ << std::endl;
    return verdict.code_;
}

}

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: review-cases CASE PROGRAM FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const int code = review::run(argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0");
    std::cout.flush();
    std::_Exit(code);
}
