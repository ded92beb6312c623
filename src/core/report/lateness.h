#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick::report {

using std::chrono::milliseconds;

/// Where the time of a late job went.
enum class LossCause : std::uint8_t {
    WaitedForRoom, ///< for its first start, and nothing was stopped for it
    WaitedForStops, ///< for its first start, while other work was stopped for it
    LostWithHost, ///< a run was given up without an end of its own
    Stopped, ///< a run was stopped: preempted, stalled, draining, or with another member of its gang
    WaitedToRetry, ///< between the end of a run and the next start
    Slow, ///< none of these: its last run took what made it late
};

[[nodiscard]] const char *toString(LossCause cause) noexcept;

/// A job that ended after its objective.
struct LateJob
{
    std::string job_;
    std::string workspace_;
    std::int32_t priority_ = 0;
    milliseconds took_{0}; ///< from its acceptance to its end
    milliseconds objective_{0}; ///< for the work that its runs turned out to be
    std::map<LossCause, milliseconds> lost_; ///< by the task that ended last
    LossCause cause_ = LossCause::Slow; ///< the largest of these
};

/// Reads the logs of leaders and agents, and tells which jobs were late and why. Answers "where is time lost on this day?".
///
/// Lines may come from several processes but have to be in the order of their times. What isn't a line of the log is passed over.
/// Thread safety: none.
class LatenessReport
{
public:
    /// Takes in a line of the log, with or without something before its time.
    void take(std::string_view line);

    /// Returns the completed jobs that were late, in the order of their names. Jobs whose acceptance wasn't logged are left out.
    [[nodiscard]] std::vector<LateJob> lateJobs() const;

    /// Returns how many jobs have been completed.
    [[nodiscard]] std::size_t completed() const noexcept
    {
        return completed_;
    }

private:
    struct Run
    {
        milliseconds started_{0};
        milliseconds ended_{0};
        std::string how_; ///< empty while it runs
    };

    struct Story
    {
        std::string workspace_;
        std::int32_t priority_ = 0;
        double stretch_ = 0;
        milliseconds target_{0};
        milliseconds accepted_{0};
        milliseconds completed_{0};
        bool cleared_ = false;
        std::map<std::string, std::map<std::uint32_t, Run>> runs_; ///< by task, then number
    };

    using Fields = std::map<std::string, std::string, std::less<>>;

    void takeEvent(milliseconds time, const Fields &fields);
    void takeRunEvent(milliseconds time, const Fields &fields);
    [[nodiscard]] static milliseconds workOf(const std::map<std::uint32_t, Run> &runs);
    [[nodiscard]] static std::map<LossCause, milliseconds> lossesOf(const Story &story);

    std::map<std::string, Story, std::less<>> stories_;
    std::size_t completed_ = 0;
};

}
