#include "callers.h"

#include "job_codec.h"
#include "json_reader.h"

#include <array>
#include <random>

#include <httplib.h>

namespace bergamotwick::soak {

namespace {

using platform::Json;

constexpr int callerThreads = 3;
constexpr int maxAttempts = 5;
constexpr auto submissionInterval = 350ms;
constexpr auto retryDelay = 300ms;
constexpr auto requestTimeout = 2'500ms;
constexpr std::size_t idLength = 16;

std::string makeJobId(int caller, int number)
{
    std::string digits = std::to_string(caller * 100'000 + number + 1);
    return std::string(idLength - digits.size(), '0') + digits;
}

/// One job in this many has tasks that nearly fill an executor.
constexpr int wideJobsOneIn = 5;

/// One of the other jobs in this many has many tasks.
constexpr int largeJobsOneIn = 8;

/// Returns a random job; if \p crashes, its first task crashes each executor on which it starts.
Json randomJob(std::mt19937_64 &random, bool crashes)
{
    const auto pick = [&random](int least, int most) { return std::uniform_int_distribution<int>(least, most)(random); };
    Json step = {{"count", pick(1, 4)}, {"cpu", 4'000}, {"mem_mb", 9'000}, {"estimate_ms", 800}};
    const int accelerators = std::array<int, 4>{0, 1, 2, 4}[static_cast<std::size_t>(pick(0, 3))];
    if (accelerators > 0) {
        step["gpu"] = accelerators;
    }
    if (pick(1, wideJobsOneIn) == 1) {
        step["cpu"] = static_cast<int>(fullCapacity.cpuMilli_) * pick(30, 95) / 100;
        step["mem_mb"] = static_cast<int>(fullCapacity.memoryMb_) * pick(30, 95) / 100;
        step["count"] = pick(1, 2);
    } else if (pick(1, largeJobsOneIn) == 1) {
        step["count"] = pick(6, 14);
        step.erase("gpu"); // a gang of that many must fit the fleet
    }
    if (pick(0, 2) == 0) {
        step["gang"] = true;
    }
    if (pick(0, 1) == 0) {
        step["checkpoints"] = true;
    }
    Json steps = Json::array({step});
    if (pick(0, 3) == 0) {
        step["after"] = Json::array({0});
        step.erase("gang");
        steps.push_back(step);
    }
    return {{"spec", std::to_string(pick(200, 2'500)) + (crashes ? crashingSpec : "")}, {"steps", std::move(steps)}};
}

}

Callers::Callers(std::vector<std::string> addresses, SharedJudge &judge, std::uint64_t seed, CrashCounts *crashCounts, unsigned crashingJobsOneIn)
    : addresses_(std::move(addresses))
    , judge_(judge)
    , crashCounts_(crashCounts)
    , crashingJobsOneIn_(crashingJobsOneIn)
{
    for (int number = 0; number < callerThreads; ++number) {
        threads_.emplace_back([this, number, seed] { runCaller(number, seed * 31 + static_cast<std::uint64_t>(number)); });
    }
}

Callers::~Callers()
{
    stop();
}

void Callers::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

int Callers::send(const std::string &method, const std::string &path, const std::string &body, std::size_t entry, std::string *reply) const
{
    httplib::Client client("http://" + addresses_[entry % addresses_.size()]);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(requestTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.set_header("Host", "h");
    request.set_header("X-Deadline-Ms", std::to_string(std::chrono::milliseconds(requestTimeout).count()));
    request.body = body;
    const auto result = client.send(request);
    if (result && reply != nullptr) {
        *reply = result->body;
    }
    return result ? result->status : 0;
}

void Callers::runCaller(int number, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int job = 0; !stopping_; ++job) {
        const std::string id = makeJobId(number, job);
        const std::string path = (random() % 3 == 0 ? "/u/" : "/n/") + id;
        const bool crashes = crashCounts_ != nullptr && random() % crashingJobsOneIn_ == 0;
        const std::string body = randomJob(random, crashes).dump();
        batch::Submission submission = *platform::decodeJob(body);
        submission.id_ = JobId(id);
        {
            const std::lock_guard lock(judge_.mutex_);
            judge_.judge_.submitted(submission, 3);
            if (crashes) {
                judge_.judge_.setCrashing(submission.id_, 0);
                crashCounts_->addCrashingJob(submission);
            }
        }
        bool outcomeUnknown = false;
        bool accepted = false;
        for (int attempt = 0; attempt < maxAttempts && !accepted; ++attempt) {
            const int status = send("POST", path, body, random(), nullptr);
            accepted = status == 200;
            outcomeUnknown = outcomeUnknown || (status != 200 && status != 503 && status != 429);
            if (!accepted) {
                std::this_thread::sleep_for(retryDelay);
            }
        }
        SubmissionState submissionState = accepted ? SubmissionState::Accepted : outcomeUnknown ? SubmissionState::Unknown : SubmissionState::Refused;
        if (accepted && random() % 8 == 0) {
            const bool cancelConfirmed = send("DELETE", path, "", random(), nullptr) == 200;
            submissionState
                = cancelConfirmed ? SubmissionState::Cancelled : SubmissionState::Unknown; // a request without an answer may still have been processed
            if (cancelConfirmed) {
                const std::lock_guard lock(judge_.mutex_);
                judge_.judge_.cancelled(JobId(id), soakNow());
            }
        }
        {
            const std::lock_guard lock(mutex_);
            jobs_[path] = submissionState;
        }
        std::this_thread::sleep_for(submissionInterval);
    }
}

std::vector<std::string> Callers::unfinished()
{
    std::map<std::string, SubmissionState> jobs;
    {
        const std::lock_guard lock(mutex_);
        jobs = jobs_;
    }
    std::vector<std::string> pending;
    for (const auto &[path, submissionState] : jobs) {
        if (submissionState != SubmissionState::Accepted || finalStates_.contains(path)) {
            continue;
        }
        std::string body;
        const int status = send("GET", path, {}, nextEntry_++, &body);
        const Json json = Json::parse(body, nullptr, false);
        const std::string state = json.is_object() ? json.value("state", "") : "";
        if (status == 410) {
            violations_.push_back("LOST: " + path + " was accepted but is unknown to the entry");
            finalStates_[path] = "lost";
        } else if (state == "completed" || state == "failed") {
            finalStates_[path] = state;
        } else if (state == "cancelled") {
            violations_.push_back("LOST: " + path + " was cancelled without a request");
            finalStates_[path] = state;
        } else {
            pending.push_back(path);
            pending.back().append(" ").append(state);
        }
    }
    return pending;
}

std::vector<std::string> Callers::violations()
{
    const std::lock_guard lock(mutex_);
    const std::lock_guard judgeLock(judge_.mutex_);
    std::vector<std::string> found = violations_;
    for (const auto &[path, submissionState] : jobs_) {
        const JobId id(path.substr(path.size() - idLength));
        if (submissionState == SubmissionState::Refused && judge_.judge_.starts(id) > 0) {
            found.push_back("REFUSED: " + path + " was started although every submission attempt was refused");
        }
    }
    for (const auto &[path, state] : finalStates_) {
        if (state == "completed") {
            batch::Progress progress;
            progress.id_ = JobId(path.substr(path.size() - idLength));
            progress.state_ = batch::JobState::Completed;
            judge_.judge_.stored(progress);
        } else if (state == "failed") {
            judge_.judge_.shownAsFailed(JobId(path.substr(path.size() - idLength)));
        }
    }
    const auto &judgeViolations = judge_.judge_.violations();
    found.insert(found.end(), judgeViolations.begin(), judgeViolations.end());
    return found;
}

std::size_t Callers::accepted() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto &job) { return job.second == SubmissionState::Accepted; }));
}

}
