// Prints the measures of every contender over twenty seeds; with --check, holds them against the targets.

#include "request_run.h"
#include "workloads.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <semaphore>
#include <set>

namespace {

using namespace bergamotwick;
using namespace bergamotwick::bench;

const int seeds = std::getenv("SEEDS") ? std::atoi(std::getenv("SEEDS")) : 20;
constexpr int threads = 6;
constexpr Duration quietPeriod = 5s; ///< changes are reported at once; only heartbeats are fewer

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double spread(const std::vector<double> &values)
{
    const double middle = mean(values);
    double squares = 0;
    for (const double value : values) {
        squares += (value - middle) * (value - middle);
    }
    return values.size() < 2 ? 0 : std::sqrt(squares / static_cast<double>(values.size() - 1));
}

double largest(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

Contender baseline(const std::string &name, PlacementPolicy policy)
{
    SchedulerLimits limits;
    limits.shortestFirst_ = false;
    limits.learnRunTimes_ = false;
    limits.defragment_ = false;
    limits.minReportPeriod_ = quietPeriod;
    return {name, limits, policy};
}

std::vector<Contender> contenders()
{
    SchedulerLimits ours;
    ours.minReportPeriod_ = quietPeriod;
    return {baseline("FIFO first fit", FirstFit{}), baseline("FIFO best fit", BestFit{}), {"bergamotwick", ours, TopologyAwareFit{}}};
}

/// The measures of one contender over all seeds.
struct Row
{
    std::vector<double> mean_, p95_, p99_, late_, scattered_, done_, urgent_, reclaim_, writesPerJob_;
    std::size_t unfinished_ = 0;
    std::size_t broken_ = 0;
};

void add(Row &row, const JobResult &result)
{
    row.mean_.push_back(mean(result.completionS_));
    row.p95_.push_back(quantile(result.completionS_, 0.95));
    row.p99_.push_back(quantile(result.completionS_, 0.99));
    row.late_.push_back(result.due_ > 0 ? static_cast<double>(result.late_) / static_cast<double>(result.due_) : 0);
    row.scattered_.push_back(result.scatteredShare_);
    row.done_.push_back(result.acceleratorSecondsOffered_ > 0 ? result.acceleratorSecondsDone_ / result.acceleratorSecondsOffered_ : 1);
    row.urgent_.push_back(largest(result.urgentStartS_));
    row.reclaim_.push_back(largest(result.reclaimS_));
    row.writesPerJob_.push_back(static_cast<double>(result.storeWrites_) / static_cast<double>(std::max<std::size_t>(result.completionS_.size(), 1)));
    row.unfinished_ += result.unfinished_;
    row.broken_ += result.invariantsBroken_;
}

void print(const std::string &name, const Row &row, double toFirst, double toBound)
{
    std::cout << "  " << std::left << std::setw(16) << name << std::right << std::fixed << std::setprecision(0) << std::setw(8) << mean(row.mean_)
              << std::setw(8) << mean(row.p95_) << " ±" << std::setw(5) << spread(row.p95_) << std::setw(8) << mean(row.p99_) << std::setprecision(1)
              << std::setw(8) << mean(row.late_) * 100 << '%' << std::setw(8) << mean(row.scattered_) * 100 << '%' << std::setw(8) << mean(row.done_) * 100
              << '%' << std::setprecision(2) << std::setw(9) << largest(row.urgent_) << std::setw(9) << largest(row.reclaim_) << std::setw(8) << toFirst
              << std::setw(8) << toBound << std::setw(8) << mean(row.writesPerJob_) << std::setw(6) << row.unfinished_ << std::endl;
}

/// Holds measures against targets; a target that is known red is printed and passed over.
class Checks
{
public:
    Checks()
    {
        const char *path = std::getenv("BERGAMOTWICK_KNOWN_RED");
        std::ifstream file(path ? path : "");
        for (std::string line; std::getline(file, line);) {
            if (!line.empty() && line.front() != '#' && line.front() != ' ') {
                red_.insert(line.substr(0, line.find(' ')));
            }
        }
    }

    void atMost(const std::string &name, double value, double bound)
    {
        verdict(name, value <= bound, value, "at most", bound);
    }

    void atLeast(const std::string &name, double value, double bound)
    {
        verdict(name, value >= bound, value, "at least", bound);
    }

    int finish() const
    {
        std::cout << passed_ << " passed, " << failed_ << " failed\n";
        return failed_ == 0 ? 0 : 1;
    }

private:
    void verdict(const std::string &name, bool holds, double value, const char *relation, double bound)
    {
        const bool known = !holds && red_.contains(name);
        passed_ += holds ? 1 : 0;
        failed_ += !holds && !known ? 1 : 0;
        std::cout << (holds       ? "[ pass ] "
                          : known ? "[ KNOWN RED ] "
                                  : "[ FAIL ] ")
                  << name << ": " << std::setprecision(3) << value << ", " << relation << ' ' << bound << '\n';
    }

    std::set<std::string> red_;
    int passed_ = 0;
    int failed_ = 0;
};

/// A place among the runs that go on at once.
class Turn
{
public:
    explicit Turn(std::counting_semaphore<> &cores)
        : cores_(cores)
    {
        cores_.acquire();
    }

    ~Turn()
    {
        cores_.release();
    }

    Turn(const Turn &) = delete;
    Turn &operator=(const Turn &) = delete;

private:
    std::counting_semaphore<> &cores_;
};

std::pair<double, std::vector<JobResult>> runSeed(Workload (*make)(std::uint64_t), bool outage, int seed)
{
    Workload workload = make(static_cast<std::uint64_t>(seed));
    workload = outage ? withOutage(std::move(workload)) : std::move(workload);
    std::vector<JobResult> results;
    for (const Contender &contender : contenders()) {
        results.push_back(runJobs(workload, contender));
    }
    return {boundP95(workload), std::move(results)};
}

void compareJobs(const char *name, Workload (*make)(std::uint64_t), bool outage, Checks &checks)
{
    std::map<std::string, Row> rows;
    std::vector<double> bounds;
    std::vector<std::future<std::pair<double, std::vector<JobResult>>>> runs;
    for (int seed = 1; seed <= seeds; ++seed) {
        runs.push_back(std::async(std::launch::async, [make, outage, seed] {
            static std::counting_semaphore<> cores(threads);
            const Turn turn(cores);
            return runSeed(make, outage, seed);
        }));
    }
    for (auto &run : runs) {
        const auto [bound, results] = run.get();
        bounds.push_back(bound);
        for (std::size_t i = 0; i < results.size(); ++i) {
            add(rows[contenders()[i].name_], results[i]);
        }
    }
    std::cout << name << ", " << seeds << " seeds; completion in seconds, bound for p95 " << std::fixed << std::setprecision(0) << mean(bounds) << "\n"
              << "  policy              mean     p95           p99    late  scattered    done   urgent  reclaim  /first  /bound  writes  lost\n";
    const Row &first = rows.at("FIFO first fit");
    const Row &ours = rows.at("bergamotwick");
    const auto ratio = [](const std::vector<double> &left, const std::vector<double> &right) {
        std::vector<double> all;
        for (std::size_t i = 0; i < left.size(); ++i) {
            all.push_back(left[i] / right[i]);
        }
        return mean(all);
    };
    for (const auto &[contender, row] : rows) {
        print(contender, row, ratio(row.p95_, first.p95_), ratio(row.p95_, bounds));
    }
    std::cout << "  bound to FIFO first fit: " << std::setprecision(2) << ratio(bounds, first.p95_) << '\n';
    const std::string prefix = std::string(name) + ".";
    checks.atMost(prefix + "p95-to-fifo", ratio(ours.p95_, first.p95_), 0.5);
    if (outage) {
        checks.atLeast(prefix + "done-while-out", mean(ours.done_), 0.95);
    } else {
        checks.atMost(prefix + "p95-to-bound", ratio(ours.p95_, bounds), 1.25);
        checks.atMost(prefix + "scattered", mean(ours.scattered_), 0.01);
    }
    checks.atMost(prefix + "urgent-start-s", largest(ours.urgent_), 2.7);
    checks.atMost(prefix + "lost", static_cast<double>(ours.unfinished_), 0);
    checks.atMost(prefix + "invariants-broken", static_cast<double>(ours.broken_), 0);
}

void compareRequests(Checks &checks)
{
    std::cout << "requests, " << seeds << " seeds; quick charts beside slow stitching, six towns of which one sends ten times as much\n"
              << "  policy            p99 alone  p99 beside   ratio    jain  worst/mean  attempts/request\n";
    for (const bool fair : {false, true}) {
        std::vector<double> alone, beside, ratios, jain, worst, attempts;
        for (int seed = 1; seed <= seeds; ++seed) {
            const RequestResult quiet = runRequests({static_cast<std::uint64_t>(seed), false, fair});
            const RequestResult loaded = runRequests({static_cast<std::uint64_t>(seed), true, fair});
            alone.push_back(quantile(quiet.quickS_, 0.99));
            beside.push_back(quantile(loaded.quickS_, 0.99));
            ratios.push_back(beside.back() / alone.back());
            jain.push_back(loaded.jain_);
            worst.push_back(loaded.worstToMean_);
            attempts.push_back(loaded.attemptsPerRequest_);
        }
        std::cout << "  " << std::left << std::setw(16) << (fair ? "bergamotwick" : "one queue") << std::right << std::fixed << std::setprecision(3)
                  << std::setw(11) << mean(alone) << std::setw(12) << mean(beside) << std::setw(8) << mean(ratios) << std::setw(8) << mean(jain)
                  << std::setw(12) << mean(worst) << std::setw(12) << mean(attempts) << '\n';
        if (fair) {
            checks.atMost("requests.quick-p99-ratio", mean(ratios), 1.5);
            checks.atMost("requests.worst-town", mean(worst), 1.1);
        }
    }
}

}

int main(int argc, char **argv)
{
    Checks checks;
    compareJobs("contest", contestWorkload, false, checks);
    compareJobs("school", schoolWorkload, false, checks);
    compareJobs("contest-out", contestWorkload, true, checks);
    compareJobs("school-out", schoolWorkload, true, checks);
    compareRequests(checks);
    const int code = checks.finish();
    return argc > 1 ? code : 0;
}
