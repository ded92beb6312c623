#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick::report {

/// Estimates from the run times of tasks how much longer tasks take on each host than on a sound one.
///
/// The tasks of a step do nearly the same work, so that the logarithm of a run time is taken as the effect of the step plus that of the host, and both
/// are found by means in turn. The sound host is the one that a third of the hosts is at least as fast as: a fleet of which up to two thirds are slow is
/// measured against its usual hosts.
///
/// Thread safety: none.
class HostFit
{
public:
    /// Adds a run of a task of \p step that took \p duration on \p host. Members of a gang end together and tell nothing of their hosts: don't add them.
    void addRun(const std::string &step, const std::string &host, std::chrono::milliseconds duration);

    /// Computes the hosts' slowness from all runs added so far.
    void solve();

    /// Returns how many times as long as on a sound host a task takes on \p host, by the last solve(); 1 if no run there could be compared.
    [[nodiscard]] double slowness(std::string_view host) const;

private:
    struct Observation
    {
        std::size_t step_;
        std::size_t host_;
        double logTime_; ///< natural logarithm of the milliseconds
    };

    using Indices = std::map<std::string, std::size_t, std::less<>>;

    /// Returns the observations of steps of which several runs are known.
    [[nodiscard]] std::vector<Observation> comparable() const;

    Indices steps_;
    Indices hosts_;
    std::vector<Observation> observations_;
    std::map<std::size_t, double> logSlowness_; ///< by host
};

}
