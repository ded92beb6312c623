#include "cli/late.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

/// The `time=` field of a log line, and the line.
using TimedLine = std::pair<std::string, std::string>;

double secondsOf(std::chrono::milliseconds elapsed)
{
    return std::chrono::duration<double>(elapsed).count();
}

Json toJson(const report::LateJob &job)
{
    Json lost = Json::object();
    for (const auto &[cause, elapsed] : job.lostTime_) {
        lost[report::toString(cause)] = elapsed.count();
    }
    return {{"job", job.job_},
            {"workspace", job.workspace_},
            {"priority", job.priority_},
            {"took_ms", job.turnaround_.count()},
            {"objective_ms", job.objective_.count()},
            {"shown", job.shown_},
            {"cause", report::toString(job.cause_)},
            {"lost_ms", lost},
            {"slowest_host", job.slowestHost_.empty() ? Json() : Json(job.slowestHost_)},
            {"slowness", job.slowness_}};
}

/// Returns the cause of the delay of \p job, with what is to be known besides.
std::string causeText(const report::LateJob &job)
{
    std::string text = report::toString(job.cause_);
    if (!job.slowestHost_.empty()) {
        char host[128]; // a longer name is cut off
        std::snprintf(host, sizeof host, " (%s, %.1f times as slow)", job.slowestHost_.c_str(), job.slowness_);
        text += host;
    }
    return job.shown_ ? text : text + ", not shown";
}

/// Prints how many jobs each host has delayed by its slowness.
void printSlowHosts(const std::vector<report::LateJob> &jobs)
{
    std::map<std::string, std::pair<std::size_t, double>> hosts;
    for (const report::LateJob &job : jobs) {
        if (!job.slowestHost_.empty()) {
            ++hosts[job.slowestHost_].first;
            hosts[job.slowestHost_].second = job.slowness_;
        }
    }
    for (const auto &[host, delayed] : hosts) {
        std::printf("  host %s, %.1f times as slow: %zu\n", host.c_str(), delayed.second, delayed.first);
    }
}

}

Result<report::LatenessReport> readLateness(const std::vector<std::string> &files)
{
    std::vector<TimedLine> lines;
    for (const std::string &file : files) {
        std::ifstream in(file);
        if (!in) {
            return leaf::new_error(ConfigError{ConfigErrc::UnreadableFile, Source{file, 0, 0}, file, "cannot open log file"});
        }
        for (std::string line; std::getline(in, line);) {
            const std::size_t time = line.find("time=");
            if (time != std::string::npos) {
                std::string key = line.substr(time, line.find(' ', time) - time);
                lines.emplace_back(std::move(key), std::move(line));
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const TimedLine &left, const TimedLine &right) { return left.first < right.first; });
    report::LatenessReport lateness;
    for (const auto &[time, line] : lines) {
        lateness.addLine(line);
    }
    return lateness;
}

void printLateness(const report::LatenessReport &report, bool asJson)
{
    const std::vector<report::LateJob> jobs = report.lateJobs();
    if (asJson) {
        Json rows = Json::array();
        std::transform(jobs.begin(), jobs.end(), std::back_inserter(rows), toJson);
        std::cout << Json{{"completed", report.completed()}, {"late", rows}}.dump() << '\n';
        return;
    }
    std::map<std::pair<std::int32_t, report::LossCause>, std::size_t> causes;
    std::printf("%-18s %-12s %8s %8s %11s  %s\n", "JOB", "WORKSPACE", "PRIORITY", "TOOK s", "OBJECTIVE s", "CAUSE");
    for (const report::LateJob &job : jobs) {
        ++causes[{job.priority_, job.cause_}];
        std::printf("%-18s %-12s %8d %8.2f %11.2f  %s\n",
                    job.job_.c_str(),
                    job.workspace_.c_str(),
                    job.priority_,
                    secondsOf(job.turnaround_),
                    secondsOf(job.objective_),
                    causeText(job).c_str());
    }
    std::printf("%zu completed, %zu late\n", report.completed(), jobs.size());
    for (const auto &[key, count] : causes) {
        std::printf("  priority %d, %s: %zu\n", key.first, report::toString(key.second), count);
    }
    printSlowHosts(jobs);
}

}
