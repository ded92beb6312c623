#pragma once

#include "core/batch/job.h"
#include "core/batch/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotwick::batch {

/// What is stored of a host's speed.
struct StoredHostSpeed
{
    std::string host_;
    std::int32_t centiLogSlowness_ = 0; ///< hundredths of the natural logarithm of its slowness
    std::uint32_t precision_ = 0; ///< inverse of the variance of that logarithm
    CalendarTime observedAt_{}; ///< when a run there was last observed

    friend bool operator==(const StoredHostSpeed &, const StoredHostSpeed &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host_, centiLogSlowness_, precision_, observedAt_);
    }
};

/// The pace that a run has shown.
struct PaceSample
{
    double logPace_ = 0; ///< natural logarithm of the time for one percent
    double variance_ = 0; ///< of logPace_ between tasks of the step on equal hosts
};

/// Learns how much longer tasks take on each host than on others. The slowness of a host is the ratio of a task's run time there to that on the fleet's median
/// host.
///
/// Models the logarithm of a run's pace as the sum of an effect of its step and one of its host, and fits both to the samples of the last minute. A host's
/// effect is drawn to what is known of it from before. Recent samples weigh more; once a host's last ones contradict the older ones, these hardly count any
/// more.
///
/// Thread safety: a value type.
class HostProfiles
{
public:
    /// Records what \p run on \p host has shown at \p now, in place of what it had shown before. \p calendar is the calendar time of \p now.
    void record(const RunId &run, const std::string &host, const PaceSample &sample, Instant now, CalendarTime calendar);

    /// Fits the model to the samples if there are new ones and it wasn't fitted just before \p now. Returns whether it did.
    bool refresh(Instant now);

    /// Returns the slowness of \p host as of the last refresh(), or std::nullopt if too little is known of it.
    [[nodiscard]] std::optional<double> slowness(const std::string &host) const;

    /// Returns whether \p host takes longer than the median host by more than the factor \p ratio, beyond the error of its estimate.
    [[nodiscard]] bool isSlowerThan(const std::string &host, double ratio) const;

    /// Returns the standard error of the logarithm of the slowness of \p host.
    [[nodiscard]] double errorOf(const std::string &host) const;

    /// Returns what is known of all hosts that were observed, for the store.
    [[nodiscard]] std::vector<StoredHostSpeed> toStore() const;

    /// Takes over what former leaders have \p stored. Hosts that weren't observed within a day before \p calendar are left out.
    void load(const std::vector<StoredHostSpeed> &stored, CalendarTime calendar);

    /// Returns the number of samples recorded so far, which tells whether there is something new to store.
    [[nodiscard]] std::uint64_t recorded() const noexcept
    {
        return recorded_;
    }

private:
    struct Host
    {
        double priorMean_ = 0;
        double priorPrecision_ = 0;
        double logSlowness_ = 0; ///< relative to the median host
        double precision_ = 0; ///< of logSlowness_; inverse of its variance
        CalendarTime observedAt_{};
        double residuals_ = 0; ///< weighted sum; used while fitting
        double weight_ = 0; ///< likewise
        double stepWeight_ = 0; ///< likewise: of its samples of the step that is being fitted
        Instant changedAt_{}; ///< samples from before hardly count
    };

    struct Sample
    {
        std::size_t host_ = 0; ///< index into hosts_
        PaceSample pace_;
        Instant at_{};
        double weight_ = 0; ///< used while fitting
        double independent_ = 0; ///< the part of weight_ that tells of the host
        double logSlowness_ = 0; ///< of the host, as far as the sample tells
    };

    using Samples = std::map<RunId, Sample>; ///< ordered by step

    /// Returns the index of the host, which is added if it is new.
    [[nodiscard]] std::size_t indexOf(const std::string &name);

    /// Returns what is known of the host, or a null pointer.
    [[nodiscard]] const Host *find(const std::string &name) const;
    /// The samples of a step, up to end_, and the effect of the step that fits them.
    struct StepFit
    {
        Samples::iterator end_;
        double effect_ = 0;
        double weight_ = 0; ///< of all its samples
    };

    /// Fits the step whose samples begin at \p first.
    [[nodiscard]] StepFit fitStep(Samples::iterator first);
    void absorbOldSamples(Instant now); ///< what they have told of their hosts is kept
    void dropOldProfiles();
    void weighSamples(Instant now);
    void fitOnce();
    void findChanges();
    void centre();

    std::map<std::string, std::size_t> indexes_; ///< by name of the host
    std::vector<Host> hosts_;
    Samples samples_;
    Instant fittedAt_{};
    bool isOutdated_ = false;
    std::uint64_t recorded_ = 0;
};

}
