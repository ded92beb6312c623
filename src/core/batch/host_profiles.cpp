#include "core/batch/host_profiles.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace bergamotwick::batch {

namespace {

/// Precision of the assumption that an unknown host is like the median one.
constexpr double unknownPrecision = 4;

/// Hosts of which less is known count as unmeasured.
constexpr double minKnownPrecision = 14;

/// Most that knowledge from before counts for.
constexpr double maxPriorPrecision = 40;

/// Samples are kept for this long, and lose half of their weight in each half-life.
constexpr std::chrono::seconds sampleAge{60};
constexpr std::chrono::seconds sampleHalfLife{30};

/// While there are more samples than this, no samples of further runs are taken.
constexpr std::size_t maxSamples = 16'384;

/// Shortest time between two fits, and the number of passes over all samples in each.
constexpr milliseconds fitInterval{250};
constexpr int passes = 4;

/// A sample that deviates by more standard deviations than this is an outlier, such as a task that takes many times as long as its peers. It counts as if it
/// deviated by that much.
constexpr double outlierDeviations = 2;

/// If this many consecutive samples of a host deviate in one direction by more than changeDeviations, the host has changed.
constexpr std::ptrdiff_t samplesOfChange = 3;
constexpr double changeDeviations = 1.5;

/// Weight of samples from before a change.
constexpr double weightBeforeChange = 0.05;

/// Standard errors by which an estimate has to exceed a limit.
constexpr double certainErrors = 0.5;

/// Profiles of hosts that weren't observed for this long are dropped, and the oldest ones above this number.
constexpr std::chrono::hours maxProfileAge{24};
constexpr std::size_t maxProfiles = 4'096;

/// How many profiles more are kept until the oldest ones are dropped.
constexpr std::size_t excessProfiles = 512;

constexpr double centi = 100;

/// Limit for what is read from the store: a host that takes a hundred times as long.
constexpr double maxLogSlowness = 4.6;

bool isSameStep(const TaskId &left, const TaskId &right)
{
    return std::tie(left.job_, left.occurrence_, left.step_) == std::tie(right.job_, right.occurrence_, right.step_);
}

}

std::size_t HostProfiles::indexOf(const std::string &name)
{
    if (indexes_.size() >= maxProfiles + excessProfiles && !indexes_.contains(name)) {
        dropOldProfiles();
    }
    const auto [entry, isNew] = indexes_.try_emplace(name, hosts_.size());
    if (isNew) {
        Host host;
        host.priorPrecision_ = unknownPrecision;
        host.precision_ = unknownPrecision;
        hosts_.push_back(host);
    }
    return entry->second;
}

const HostProfiles::Host *HostProfiles::find(const std::string &name) const
{
    const auto found = indexes_.find(name);
    return found == indexes_.end() ? nullptr : &hosts_[found->second];
}

void HostProfiles::record(const RunId &run, const std::string &host, const PaceSample &sample, Instant now, CalendarTime calendar)
{
    if (samples_.size() >= maxSamples && !samples_.contains(run)) {
        return;
    }
    const std::size_t index = indexOf(host);
    hosts_[index].observedAt_ = calendar;
    samples_[run] = {index, sample, now, 0, 0, 0};
    isOutdated_ = true;
    ++recorded_;
}

bool HostProfiles::refresh(Instant now)
{
    if (!isOutdated_ || now - fittedAt_ < fitInterval) {
        return false;
    }
    isOutdated_ = false;
    fittedAt_ = now;
    absorbOldSamples(now);
    weighSamples(now);
    for (int pass = 0; pass < passes; ++pass) {
        fitOnce();
    }
    findChanges();
    centre();
    return true;
}

void HostProfiles::absorbOldSamples(Instant now)
{
    std::erase_if(samples_, [this, now](const auto &entry) {
        const Sample &sample = entry.second;
        if (now - sample.at_ <= sampleAge) {
            return false;
        }
        Host &host = hosts_[sample.host_];
        const double precision = host.priorPrecision_ + sample.independent_;
        host.priorMean_ = (host.priorPrecision_ * host.priorMean_ + sample.independent_ * sample.logSlowness_) / precision;
        host.priorPrecision_ = std::min(precision, maxPriorPrecision);
        return true;
    });
}

void HostProfiles::dropOldProfiles()
{
    std::vector<std::pair<CalendarTime, std::string>> newestFirst;
    newestFirst.reserve(indexes_.size());
    for (const auto &[name, index] : indexes_) {
        newestFirst.emplace_back(hosts_[index].observedAt_, name);
    }
    std::sort(newestFirst.begin(), newestFirst.end(), std::greater<>());
    newestFirst.resize(std::min(newestFirst.size(), maxProfiles));
    std::map<std::string, std::size_t> indexes;
    std::vector<Host> hosts;
    std::map<std::size_t, std::size_t> moved; // new index by former one
    for (const auto &[observedAt, name] : newestFirst) {
        moved[indexes_.at(name)] = hosts.size();
        indexes[name] = hosts.size();
        hosts.push_back(hosts_[indexes_.at(name)]);
    }
    std::erase_if(samples_, [&moved](const auto &entry) { return !moved.contains(entry.second.host_); });
    for (auto &[run, sample] : samples_) {
        sample.host_ = moved.at(sample.host_);
    }
    indexes_ = std::move(indexes);
    hosts_ = std::move(hosts);
}

void HostProfiles::weighSamples(Instant now)
{
    for (auto &[run, sample] : samples_) {
        const double age = std::chrono::duration<double>(now - sample.at_) / sampleHalfLife;
        sample.weight_ = std::exp2(-age) * (sample.at_ < hosts_[sample.host_].changedAt_ ? weightBeforeChange : 1) / sample.pace_.variance_;
    }
}

HostProfiles::StepFit HostProfiles::fitStep(Samples::iterator first)
{
    StepFit step{first, 0, 0};
    double sum = 0;
    for (; step.end_ != samples_.end() && isSameStep(step.end_->first.task_, first->first.task_); ++step.end_) {
        const Sample &sample = step.end_->second;
        sum += sample.weight_ * (sample.pace_.logPace_ - hosts_[sample.host_].logSlowness_);
        step.weight_ += sample.weight_;
    }
    step.effect_ = sum / step.weight_;
    return step;
}

void HostProfiles::fitOnce()
{
    for (Host &host : hosts_) {
        host.weight_ = host.priorPrecision_;
        host.residuals_ = host.priorPrecision_ * host.priorMean_;
    }
    for (auto first = samples_.begin(); first != samples_.end();) {
        const StepFit step = fitStep(first);
        std::for_each(first, step.end_, [this](const auto &entry) { hosts_[entry.second.host_].stepWeight_ = 0; });
        std::for_each(first, step.end_, [this](const auto &entry) { hosts_[entry.second.host_].stepWeight_ += entry.second.weight_; });
        for (; first != step.end_; ++first) {
            Sample &sample = first->second;
            Host &host = hosts_[sample.host_];
            const double limit = outlierDeviations * std::sqrt(sample.pace_.variance_);
            const double deviation = std::clamp(sample.pace_.logPace_ - step.effect_ - host.logSlowness_, -limit, limit);
            sample.independent_ = sample.weight_ * (1 - host.stepWeight_ / step.weight_); // the host's own samples have contributed to the step's effect
            sample.logSlowness_ = host.logSlowness_ + deviation;
            host.weight_ += sample.independent_;
            host.residuals_ += sample.independent_ * sample.logSlowness_;
        }
    }
    for (Host &host : hosts_) {
        host.logSlowness_ = host.residuals_ / host.weight_;
        host.precision_ = host.weight_;
    }
}

void HostProfiles::findChanges()
{
    std::map<std::size_t, std::map<Instant, double>> deviations; // by host: of its samples, in standard deviations
    for (auto first = samples_.begin(); first != samples_.end();) {
        const StepFit step = fitStep(first);
        for (; first != step.end_; ++first) {
            const Sample &sample = first->second;
            if (sample.independent_ > 0) {
                const double deviation = sample.pace_.logPace_ - step.effect_ - hosts_[sample.host_].logSlowness_;
                deviations[sample.host_][sample.at_] = deviation / std::sqrt(sample.pace_.variance_);
            }
        }
    }
    for (const auto &[index, samples] : deviations) {
        Host &host = hosts_[index];
        if (std::ssize(samples) < samplesOfChange) {
            continue;
        }
        const auto last = std::prev(samples.end(), samplesOfChange);
        const bool isSlower = std::all_of(last, samples.end(), [](const auto &sample) { return sample.second > changeDeviations; });
        const bool isFaster = std::all_of(last, samples.end(), [](const auto &sample) { return sample.second < -changeDeviations; });
        if ((isSlower || isFaster) && last->first > host.changedAt_) {
            host.changedAt_ = last->first;
            host.priorPrecision_ = unknownPrecision;
            isOutdated_ = true;
        }
    }
}

void HostProfiles::centre()
{
    std::vector<double> values;
    values.reserve(hosts_.size());
    for (const Host &host : hosts_) {
        values.push_back(host.logSlowness_);
    }
    if (values.empty()) {
        return;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    const double median = *middle;
    for (Host &host : hosts_) {
        host.logSlowness_ -= median;
    }
    for (auto &[run, sample] : samples_) {
        sample.logSlowness_ -= median;
    }
}

std::optional<double> HostProfiles::slowness(const std::string &host) const
{
    const Host *known = find(host);
    return known != nullptr && known->precision_ >= minKnownPrecision ? std::optional(std::exp(known->logSlowness_)) : std::nullopt;
}

bool HostProfiles::isSlowerThan(const std::string &host, double ratio) const
{
    const Host *known = find(host);
    return known != nullptr && known->logSlowness_ - certainErrors * errorOf(host) > std::log(ratio);
}

double HostProfiles::errorOf(const std::string &host) const
{
    const Host *known = find(host);
    return std::sqrt(1 / (known == nullptr ? unknownPrecision : known->precision_));
}

std::vector<StoredHostSpeed> HostProfiles::toStore() const
{
    std::vector<StoredHostSpeed> stored;
    stored.reserve(indexes_.size());
    for (const auto &[name, index] : indexes_) {
        const Host &host = hosts_[index];
        stored.push_back(
            {name, static_cast<std::int32_t>(std::lround(host.logSlowness_ * centi)), static_cast<std::uint32_t>(host.precision_), host.observedAt_});
    }
    return stored;
}

void HostProfiles::load(const std::vector<StoredHostSpeed> &stored, CalendarTime calendar)
{
    std::multimap<CalendarTime, const StoredHostSpeed *, std::greater<>> newestFirst;
    for (const StoredHostSpeed &speed : stored) {
        if (speed.observedAt_ > calendar - maxProfileAge) {
            newestFirst.emplace(speed.observedAt_, &speed);
        }
    }
    for (const auto &[observedAt, speed] : newestFirst) {
        if (hosts_.size() >= maxProfiles && !indexes_.contains(speed->host_)) {
            break;
        }
        Host &host = hosts_[indexOf(speed->host_)];
        host.priorMean_ = std::clamp(speed->centiLogSlowness_ / centi, -maxLogSlowness, maxLogSlowness);
        host.priorPrecision_ = std::clamp<double>(speed->precision_, unknownPrecision, maxPriorPrecision);
        host.observedAt_ = std::max(host.observedAt_, observedAt);
        if (host.precision_ <= host.priorPrecision_) {
            host.logSlowness_ = host.priorMean_;
            host.precision_ = host.priorPrecision_;
        }
    }
    isOutdated_ = true;
}

}
