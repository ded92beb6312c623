#include "metrics/metrics.h"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace bergamotwick {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string seriesName(const std::string &name, const std::string &labels, const std::string &extraLabel = {})
{
    std::string allLabels = labels;
    if (!extraLabel.empty()) {
        allLabels += allLabels.empty() ? extraLabel : "," + extraLabel;
    }
    return "bergamotwick_" + name + (allLabels.empty() ? std::string() : "{" + allLabels + "}");
}

template<class Map, class Write>
void writeFamilies(std::ostringstream &out, const Map &families, const char *type, Write write)
{
    std::string family;
    for (const auto &[key, value] : families) {
        if (key.first != family) {
            family = key.first;
            out << "# TYPE bergamotwick_" << family << ' ' << type << '\n';
        }
        write(key.first, key.second, value);
    }
}

}

struct Metrics::Summary
{
    using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

    Accumulator accumulator_{acc::extended_p_square_probabilities = quantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(mutex_);
    ++counters_[{name, labels}];
}

void Metrics::set(const std::string &name, double value, const std::string &labels)
{
    const std::lock_guard lock(mutex_);
    gauges_[{name, labels}] = value;
}

void Metrics::observe(const std::string &name, Duration value, const std::string &labels)
{
    const std::lock_guard lock(mutex_);
    auto &summary = summaries_[{name, labels}];
    if (!summary) {
        summary = std::make_unique<Summary>();
    }
    summary->accumulator_(std::chrono::duration<double>(value).count());
}

std::string Metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    writeFamilies(
        out, counters_, "counter", [&](const auto &name, const auto &labels, std::uint64_t value) { out << seriesName(name, labels) << ' ' << value << '\n'; });
    writeFamilies(out, gauges_, "gauge", [&](const auto &name, const auto &labels, double value) { out << seriesName(name, labels) << ' ' << value << '\n'; });
    writeFamilies(out, summaries_, "summary", [&](const auto &name, const auto &labels, const auto &summary) {
        const auto &accumulator = summary->accumulator_;
        for (const double quantile : quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << quantile << '"';
            out << seriesName(name, labels, label.str()) << ' ' << acc::quantile(accumulator, acc::quantile_probability = quantile) << '\n';
        }
        out << seriesName(name + "_sum", labels) << ' ' << acc::sum(accumulator) << '\n';
        out << seriesName(name + "_count", labels) << ' ' << acc::count(accumulator) << '\n';
    });
    return out.str();
}

}
