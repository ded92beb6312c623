#pragma once

#include "core/batch/agent.h"
#include "core/batch/board.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// How a call to the stand-in was taken.
enum class Taken : std::uint8_t {
    Yes,
    Fenced,
    Old,
    Late,
    OtherLife,
};

/// What the stand-in tells of each task that it begins or ends.
struct ExecutorWatch
{
    std::function<void(const batch::Incarnation &, const batch::RunId &, const std::string &checkpoint)> began_;
    std::function<void(const batch::Incarnation &, const batch::RunId &, batch::EndKind)> ended_;
};

/// An executor as the platform's protocol describes it: fencing tokens, leases, numbered ends, runs that rise.
///
/// Thread safety: none.
class ExecutorStandIn
{
public:
    ExecutorStandIn(batch::ExecutorInfo facts, Instant born, batch::milliseconds stopTakes, ExecutorWatch watch);

    /// \p length is how long the task takes from nothing; \p fails ends it as failed instead of done.
    [[nodiscard]] Taken start(const batch::CallStart &call, Instant now, batch::milliseconds length, bool fails);
    [[nodiscard]] Taken stop(const batch::CallStop &call, Instant now);
    [[nodiscard]] std::optional<batch::PollAnswered> hold(const batch::PollCall &call, Instant now);

    /// Lets time pass: tasks end, leases run out.
    void advance(Instant now);

    [[nodiscard]] const batch::ExecutorInfo &facts() const noexcept
    {
        return info_;
    }

    [[nodiscard]] batch::ExecutorTime clock(Instant now) const;

    /// Takes the fence off, for the twin of a test that must turn red then.
    void ignoreFences() noexcept
    {
        fenced_ = false;
    }

private:
    struct Running
    {
        Instant began_{};
        Instant endsAt_{};
        batch::EndKind kind_ = batch::EndKind::Done;
        bool stopping_ = false;
        batch::milliseconds done_{0}; ///< work that the checkpoint brought along
        batch::milliseconds length_{0};
    };

    [[nodiscard]] bool passesFence(std::int64_t epoch);
    [[nodiscard]] std::string checkpointOf(const batch::RunId &run, const Running &running, Instant now) const;
    void end(const batch::RunId &run, batch::EndKind how, Instant now);

    batch::ExecutorInfo info_;
    Instant startTimeMs_;
    batch::milliseconds stopTakes_;
    ExecutorWatch watch_;
    bool fenced_ = true;
    std::int64_t epoch_ = 0;
    batch::ExecutorTime leaseEnd_{0};
    std::map<batch::RunId, Running> running_;
    std::map<batch::TaskId, std::uint32_t> highest_; ///< runs that were stopped or have ended
    std::vector<batch::EndedRun> ended_;
    std::int64_t lastEnd_ = 0;
};

}
