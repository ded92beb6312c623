#include "core/report/host_fit.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bergamotwick::report {

namespace {

/// Shorter times consist of the delays of messages rather than of work.
constexpr std::chrono::milliseconds minDuration{50};

constexpr int maxRounds = 30;

/// One host in so many is at least as fast as the sound one.
constexpr std::size_t soundHostShare = 3;

/// Sum and number of values, for their mean.
struct Mean
{
    double sum_ = 0;
    std::size_t count_ = 0;

    void add(double value)
    {
        sum_ += value;
        ++count_;
    }

    [[nodiscard]] double value() const
    {
        return count_ == 0 ? 0 : sum_ / static_cast<double>(count_);
    }
};

/// Returns the value that one in soundHostShare is not above.
double soundValue(const std::map<std::size_t, double> &values)
{
    std::vector<double> sorted;
    std::transform(values.begin(), values.end(), std::back_inserter(sorted), [](const auto &entry) { return entry.second; });
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0 : sorted[(sorted.size() - 1) / soundHostShare];
}

}

void HostFit::addRun(const std::string &step, const std::string &host, std::chrono::milliseconds duration)
{
    const std::size_t stepIndex = steps_.try_emplace(step, steps_.size()).first->second;
    const std::size_t hostIndex = hosts_.try_emplace(host, hosts_.size()).first->second;
    observations_.push_back({stepIndex, hostIndex, std::log(static_cast<double>(std::max(duration, minDuration).count()))});
}

std::vector<HostFit::Observation> HostFit::comparable() const
{
    std::vector<std::size_t> runs(steps_.size());
    for (const Observation &observation : observations_) {
        ++runs[observation.step_];
    }
    std::vector<Observation> result;
    std::copy_if(observations_.begin(), observations_.end(), std::back_inserter(result), [&runs](const Observation &observation) {
        return runs[observation.step_] > 1;
    });
    return result;
}

void HostFit::solve()
{
    const std::vector<Observation> observations = comparable();
    logSlowness_.clear();
    for (int round = 0; round < maxRounds; ++round) {
        std::vector<Mean> steps(steps_.size());
        for (const Observation &observation : observations) {
            steps[observation.step_].add(observation.logTime_ - logSlowness_[observation.host_]);
        }
        std::map<std::size_t, Mean> hosts;
        for (const Observation &observation : observations) {
            hosts[observation.host_].add(observation.logTime_ - steps[observation.step_].value());
        }
        for (const auto &[host, mean] : hosts) {
            logSlowness_[host] = mean.value();
        }
        const double sound = soundValue(logSlowness_);
        for (auto &[host, value] : logSlowness_) {
            value -= sound;
        }
    }
}

double HostFit::slowness(std::string_view host) const
{
    const auto index = hosts_.find(host);
    const auto found = index == hosts_.end() ? logSlowness_.end() : logSlowness_.find(index->second);
    return found == logSlowness_.end() ? 1 : std::exp(found->second);
}

}
