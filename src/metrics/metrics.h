#pragma once

#include "bergamotwick/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bergamotwick {

/// Counters, gauges and latency summaries in the Prometheus text format.
///
/// Thread safety: all methods may be called from several threads at once.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Increments the counter \p name. \p labels is empty or a list such as `outcome="answered"`.
    void count(const std::string &name, const std::string &labels = {});

    /// Sets the gauge \p name.
    void set(const std::string &name, double value, const std::string &labels = {});

    /// Adds \p value to the summary \p name, which is reported in seconds.
    void observe(const std::string &name, Duration value, const std::string &labels = {});

    /// Returns all metrics in the text format that a scraper reads.
    [[nodiscard]] std::string text() const;

private:
    struct Summary;

    using Series = std::pair<std::string, std::string>; ///< name and labels

    mutable std::mutex mutex_;
    std::map<Series, std::uint64_t> counters_;
    std::map<Series, double> gauges_;
    std::map<Series, std::unique_ptr<Summary>> summaries_;
};

}
