#include "core/batch/leader.h"

#include "batch/cluster.h"
#include "support/expect.h"

#include <algorithm>

namespace bergamotwick::test {

namespace {

using batch::milliseconds;
using batch::RunId;

/// A leader whose executors say what the test wants.
class Bench
{
public:
    explicit Bench(std::size_t executors)
        : leader_(batch::LeaderLimits{}, 7, now_)
    {
        batch::ClusterConfig config;
        for (std::int32_t priority = 0; priority < 3; ++priority) {
            batch::Queue queue;
            queue.host_ = "h";
            queue.prefix_ = "/" + std::to_string(priority) + "/";
            queue.priority_ = priority;
            queue.service_ = ServiceId("service");
            queue.maxAttempts_ = 3;
            queue.stretch_ = 3;
            config.queues_.push_back(queue);
        }
        batch::Queue advised = config.queues_.back();
        advised.prefix_ = "/advised/";
        advised.advice_ = batch::AdvicePolicy{10ms, 1ms, 3'000ms};
        config.queues_.push_back(advised);
        config.version_ = 1;
        config.workspaces_ = {{WorkspaceId("w"), {}, 16}};
        step({batch::ConfigChanged{config}});
        for (std::size_t index = 0; index < executors; ++index) {
            batch::Report report;
            report.agent_ = "host-" + std::to_string(index);
            report.epoch_ = 7;
            report.listsValid_ = true;
            report.answers_ = true;
            report.executor_.life_ = {ExecutorId("x" + std::to_string(index)), 1, report.agent_};
            report.executor_.service_ = ServiceId("service");
            report.executor_.dataCentre_ = DataCentreId("dc");
            report.executor_.capacity_ = {64'000, 131'072, 8};
            report.executor_.labels_ = {"kind", "rack"};
            reports_.push_back(report);
        }
        pass(100ms);
    }

    /// Lets time pass in reports of half a second at most; what was started is listed with \p percentOf each run.
    void pass(Duration length)
    {
        const Instant until = now_ + length;
        while (now_ < until) {
            now_ = std::min(until, now_ + Duration(100ms));
            std::vector<batch::LeaderInput> inputs{batch::StoreSeen{now_}};
            for (batch::Report &report : reports_) {
                report.sentAt_ = now_.time_since_epoch();
                ++report.sequence_;
                inputs.emplace_back(report);
            }
            step(std::move(inputs));
        }
    }

    void step(std::vector<batch::LeaderInput> inputs)
    {
        for (batch::LeaderOutput &output : leader_.step(now_, calendar(), std::move(inputs))) {
            if (const auto *commit = std::get_if<batch::Commit>(&output)) {
                step({batch::CommitDone{commit->commit_, ++revision_}});
            } else if (const auto *question = std::get_if<batch::Question>(&output)) {
                questions_.push_back(*question);
            } else if (const auto *directive = std::get_if<batch::SendDirective>(&output)) {
                take(*directive);
            }
        }
    }

    void submit(batch::Submission job)
    {
        job.acceptedAt_ = calendar();
        step({batch::JobStored{job}});
    }

    void setPercent(const RunId &run, std::int32_t percent)
    {
        for (batch::Report &report : reports_) {
            for (batch::RunningTask &task : report.running_) {
                task.percent_ = task.run_ == run ? percent : task.percent_;
            }
        }
    }

    [[nodiscard]] std::vector<RunId> running(const std::string &job) const
    {
        std::vector<RunId> runs;
        for (const batch::Report &report : reports_) {
            for (const batch::RunningTask &task : report.running_) {
                if (task.run_.task_.job_ == JobId(job)) {
                    runs.push_back(task.run_);
                }
            }
        }
        return runs;
    }

    /// Gives the policy's answer to the last question.
    void advise(const std::map<ExecutorId, std::string> &tickets, milliseconds valid)
    {
        const batch::Question question = questions_.back();
        step({batch::AdviceGiven{question.step_, question.executors_, tickets, valid}});
    }

    [[nodiscard]] const std::vector<batch::Question> &questions() const noexcept
    {
        return questions_;
    }

    [[nodiscard]] const std::vector<std::string> &ticketsUsed() const noexcept
    {
        return tickets_;
    }

    [[nodiscard]] bool wasStopped(const std::string &job) const
    {
        return std::any_of(stopped_.begin(), stopped_.end(), [&job](const RunId &run) { return run.task_.job_ == JobId(job); });
    }

private:
    [[nodiscard]] batch::CalendarTime calendar() const
    {
        return batch::CalendarTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
    }

    void take(const batch::SendDirective &sent)
    {
        const auto report = std::find_if(reports_.begin(), reports_.end(), [&sent](const auto &any) { return any.agent_ == sent.agent_; });
        for (const batch::StartOrder &start : sent.directive_.starts_) {
            const auto known
                = std::any_of(report->running_.begin(), report->running_.end(), [&start](const batch::RunningTask &task) { return task.run_ == start.run_; });
            if (!known) {
                report->running_.push_back({start.run_, "", 0, 0});
                tickets_.push_back(start.ticket_);
            }
        }
        for (const RunId &run : sent.directive_.stops_) {
            stopped_.push_back(run);
            if (run.task_.index_ == slowToStop_) {
                continue;
            }
            const auto ended = std::erase_if(report->running_, [&run](const batch::RunningTask &task) { return task.run_ == run; });
            if (ended > 0) {
                report->ended_.push_back({static_cast<std::int64_t>(report->ended_.size()) + 1, run, batch::EndKind::Stopped, ""});
            }
        }
    }

public:
    std::optional<std::uint32_t> slowToStop_; ///< index of the task whose stop takes until this is cleared

private:
    Instant now_{std::chrono::hours(1)};
    batch::Leader leader_;
    std::vector<batch::Report> reports_;
    std::vector<RunId> stopped_;
    std::vector<batch::Question> questions_;
    std::vector<std::string> tickets_;
    std::int64_t revision_ = 10;
};

batch::Submission urgentJob(const std::string &id, std::uint32_t count, batch::Room each, milliseconds length)
{
    batch::Submission job = jobOf(id, count, each, length);
    job.queue_ = "h/0/";
    return job;
}

}

/// Decisions of the leader that need executors which say something particular.
class BatchLeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchLeaderTest);
    CPPUNIT_TEST(gangMemberThatWaitsForOthersGoesOn);
    CPPUNIT_TEST(gangThatStandsStillIsStopped);
    CPPUNIT_TEST(memberThatStandsStillIsFoundWhileOthersWork);
    CPPUNIT_TEST(urgentWorkTakesCheapVictims);
    CPPUNIT_TEST(unguaranteedWorkThrowsNothingLargeAway);
    CPPUNIT_TEST(guaranteedWorkWaitsForAnEndThatIsNear);
    CPPUNIT_TEST(clearedRoomIsKeptUntilAllOfItIsUsed);
    CPPUNIT_TEST(advisedWorkRunsOnlyWhereItMay);
    CPPUNIT_TEST(ticketsThatRunOutAreAskedForAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void gangMemberThatWaitsForOthersGoesOn()
    {
        Bench bench(2);
        batch::Submission gang = jobOf("gang", 2, {1'000, 1'000, 8}, 10s);
        gang.steps_[0].gang_ = true;
        bench.submit(gang);
        bench.pass(500ms);
        const auto runs = bench.running("gang");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
        bench.setPercent(runs[0], 100);
        for (std::int32_t percent = 10; percent < 60; percent += 5) {
            bench.setPercent(runs[1], percent);
            bench.pass(500ms);
        }
        CPPUNIT_ASSERT(!bench.wasStopped("gang"));
    }

    void gangThatStandsStillIsStopped()
    {
        Bench bench(2);
        batch::Submission gang = jobOf("gang", 2, {1'000, 1'000, 8}, 10s);
        gang.steps_[0].gang_ = true;
        bench.submit(gang);
        bench.pass(500ms);
        bench.setPercent(bench.running("gang")[0], 100);
        bench.pass(4s);
        CPPUNIT_ASSERT(bench.wasStopped("gang"));
    }

    void memberThatStandsStillIsFoundWhileOthersWork()
    {
        Bench bench(2);
        batch::Submission gang = jobOf("gang", 2, {1'000, 1'000, 8}, 10s);
        gang.steps_[0].gang_ = true;
        bench.submit(gang);
        bench.pass(500ms);
        const auto runs = bench.running("gang");
        for (std::int32_t percent = 5; percent < 35; percent += 5) {
            bench.setPercent(runs[1], percent);
            bench.pass(500ms);
        }
        CPPUNIT_ASSERT(bench.wasStopped("gang"));
    }

    void urgentWorkTakesCheapVictims()
    {
        Bench bench(2);
        batch::Submission saving = jobOf("saving", 1, {1'000, 1'000, 8}, 60s);
        saving.steps_[0].checkpoints_ = true;
        bench.submit(jobOf("plain", 1, {1'000, 1'000, 8}, 60s));
        bench.submit(saving);
        bench.pass(1s);
        bench.setPercent(bench.running("plain")[0], 1);
        bench.setPercent(bench.running("saving")[0], 1);
        bench.submit(urgentJob("urgent", 1, {1'000, 1'000, 8}, 2s));
        bench.pass(1500ms);
        CPPUNIT_ASSERT(bench.wasStopped("saving"));
        CPPUNIT_ASSERT(!bench.wasStopped("plain"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("urgent").size());
    }

    void unguaranteedWorkThrowsNothingLargeAway()
    {
        Bench bench(3);
        batch::Submission gang = jobOf("gang", 3, {1'000, 1'000, 8}, 20s);
        gang.steps_[0].gang_ = true;
        bench.submit(gang);
        bench.pass(2s);
        batch::Submission beyond = urgentJob("beyond", 1, {1'000, 1'000, 8}, 2s);
        beyond.workspace_ = WorkspaceId("without-guarantee");
        for (std::int32_t percent = 10; percent < 30; percent += 2) {
            for (const RunId &run : bench.running("gang")) {
                bench.setPercent(run, percent);
            }
            bench.pass(500ms);
        }
        bench.submit(beyond);
        bench.pass(1s);
        CPPUNIT_ASSERT(!bench.wasStopped("gang"));
    }

    void clearedRoomIsKeptUntilAllOfItIsUsed()
    {
        Bench bench(2);
        batch::Submission saving = jobOf("saving", 4, {1'000, 1'000, 4}, 60s);
        saving.steps_[0].checkpoints_ = true;
        bench.submit(saving);
        bench.pass(1s);
        bench.slowToStop_ = 1;
        bench.submit(urgentJob("urgent", 2, {1'000, 1'000, 8}, 2s));
        bench.pass(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("urgent").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("saving").size());
        bench.slowToStop_.reset();
        bench.pass(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("urgent").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.running("saving").size());
    }

    void advisedWorkRunsOnlyWhereItMay()
    {
        Bench bench(3);
        batch::Submission job = jobOf("advised", 2, {1'000, 1'000, 2}, 1s);
        job.queue_ = "h/advised/";
        bench.submit(job);
        bench.pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.questions().size());
        CPPUNIT_ASSERT(bench.running("advised").empty());
        bench.advise({{ExecutorId("x1"), "ticket-1"}}, 3s);
        bench.pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.running("advised").size());
        CPPUNIT_ASSERT(bench.ticketsUsed() == std::vector<std::string>({"ticket-1", "ticket-1"}));
    }

    void ticketsThatRunOutAreAskedForAgain()
    {
        Bench bench(1);
        batch::Submission job = jobOf("advised", 2, {1'000, 1'000, 8}, 1s);
        job.queue_ = "h/advised/";
        bench.submit(job);
        bench.pass(200ms);
        bench.advise({{ExecutorId("x0"), "first"}}, 2s);
        bench.pass(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.questions().size());
    }

    void guaranteedWorkWaitsForAnEndThatIsNear()
    {
        Bench bench(1);
        bench.submit(jobOf("ending", 1, {1'000, 1'000, 8}, 2s));
        bench.pass(2s);
        bench.setPercent(bench.running("ending")[0], 90);
        bench.pass(100ms);
        bench.submit(urgentJob("urgent", 1, {1'000, 1'000, 8}, 2s));
        bench.pass(300ms);
        CPPUNIT_ASSERT(!bench.wasStopped("ending"));
        bench.pass(2300ms);
        CPPUNIT_ASSERT(bench.wasStopped("ending"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.running("urgent").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLeaderTest);

}
