#pragma once

#include "core/batch/board.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotwick::test {

/// Holds what executors have seen against what was promised.
///
/// Thread safety: none.
class Judge
{
public:
    void submitted(const batch::Submission &job, std::int32_t maxAttempts);
    void cancelled(const JobId &job, Instant now);
    void executorUp(const batch::ExecutorInfo &facts);
    void executorDown(const batch::Incarnation &life);
    void began(const batch::Incarnation &life, const batch::RunId &run, const std::string &checkpoint, Instant now, bool lateOrder);
    void ended(const batch::Incarnation &life, const batch::RunId &run, batch::EndKind how);
    void acknowledged(const batch::EndedRun &end);
    void stored(const batch::Progress &progress);

    [[nodiscard]] const std::vector<std::string> &breaches() const noexcept
    {
        return breaches_;
    }

    [[nodiscard]] std::size_t starts(const JobId &job) const;
    [[nodiscard]] Instant firstStart(const JobId &job) const;

    std::size_t wasted_ = 0;

private:
    struct Known
    {
        batch::Submission submission_;
        std::int32_t maxAttempts_ = 1;
        Instant cancelledAt_ = Instant::max();
        std::size_t starts_ = 0;
        Instant firstStart_ = Instant::max();
    };

    void breach(const std::string &rule, const batch::RunId &run, const batch::Incarnation &life);
    [[nodiscard]] bool isDone(const Known &job, std::uint32_t occurrence, std::uint32_t step) const;

    std::map<JobId, Known> jobs_;
    std::map<batch::Incarnation, batch::ExecutorInfo> up_;
    std::map<batch::Incarnation, std::set<batch::RunId>> running_;
    std::set<batch::TaskId> done_;
    std::set<batch::TaskId> doneNoted_;
    std::map<batch::TaskId, std::int32_t> failuresNoted_;
    std::vector<std::string> breaches_;
};

}
