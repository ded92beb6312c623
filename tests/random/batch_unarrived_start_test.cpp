#include "batch/cluster.h"
#include "support/expect.h"

#include <random>

namespace bergamotwick::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t seedCount = 120;
constexpr std::size_t hostCount = 11;
constexpr int labelledHosts = 3; ///< hosts 0 to 2 have the label that the job needs

/// A task may be given up once this many executors have crashed under it.
constexpr std::size_t crashesThatJustifyGivingUp = 2;

/// A task that crashes its executors is started three times more after three crashes at most, the third of which breaks the limit.
constexpr std::size_t maxCrashesOfOneTask = 5;

const JobId jobId("job");

enum class JobKind : std::uint8_t {
    Single,
    Gang,
    Lasting,
};

/// A random job on a cluster with few executors for it.
struct Case
{
    explicit Case(std::uint64_t seed)
        : random_(seed)
        , cluster_(hostCount, seed)
        , kind_(static_cast<JobKind>(draw(0, 2)))
        , sameName_(draw(0, 1) == 1)
        , silent_(draw(0, 2) > 0)
        , name_("seed " + std::to_string(seed))
    {
    }

    int draw(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    void submit(milliseconds taskLength)
    {
        const bool isGang = kind_ == JobKind::Gang;
        const bool isLasting = kind_ == JobKind::Lasting;
        const milliseconds length = isLasting ? std::chrono::hours(1) : taskLength;
        batch::Submission job = isGang ? makeGang(jobId.str(), 2, {4'000, 9'000, 1}, length) : makeJob(jobId.str(), 1, {4'000, 9'000, 1}, length);
        job.steps_[0].constraint_ = "rack-0";
        job.steps_[0].antiAffinity_ = 1;
        job.steps_[0].longRunning_ = isLasting;
        tasks_ = isGang ? 2 : 1;
        cluster_.submit(job);
    }

    [[nodiscard]] bool isGivenUp() const
    {
        return cluster_.state(jobId) == batch::JobState::Failed;
    }

    std::mt19937_64 random_;
    Cluster cluster_;
    JobKind kind_;
    bool sameName_;
    bool silent_;
    std::string name_;
    std::size_t tasks_ = 1;
};

void expectNoViolations(const Case &any)
{
    for (const std::string &violation : any.cluster_.violations()) {
        CPPUNIT_FAIL(any.name_ + ": " + violation);
    }
}

}

/// Starts that may not have reached an executor before it crashed.
class BatchUnarrivedStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchUnarrivedStartTest);
    CPPUNIT_TEST(tasksThatHaveNotBegunAreNeverGivenUp);
    CPPUNIT_TEST(tasksThatCrashExecutorsOnArrivalAreStopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void tasksThatHaveNotBegunAreNeverGivenUp()
    {
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            Case any(seed);
            any.cluster_.run(12s);
            const int crashes = any.draw(2, 8);
            const milliseconds period(any.draw(500, 2'500));
            const auto crashing = static_cast<std::size_t>(any.draw(1, labelledHosts)); // of the labelled hosts, in turn
            const int leaderChange = any.draw(0, 15);
            for (int crash = 0; crash < crashes; ++crash) {
                any.cluster_.crashExecutor(static_cast<std::size_t>(crash) % crashing, milliseconds(any.draw(300, 2'400)), any.sameName_, any.silent_);
                any.cluster_.run(100ms);
                if (crash == 0) {
                    any.submit(3s);
                }
                if (crash == leaderChange) {
                    any.cluster_.replaceLeader(300ms, false);
                }
                any.cluster_.run(period - 100ms);
            }
            any.cluster_.run(45s);
            const std::string state
                = any.name_ + ": " + toString(any.cluster_.state(jobId)) + " after " + std::to_string(any.cluster_.starts(jobId)) + " starts";
            expectNoViolations(any);
            CPPUNIT_ASSERT_MESSAGE(state, any.cluster_.starts(jobId) > 0);
            CPPUNIT_ASSERT_MESSAGE(state, !any.isGivenUp() || any.cluster_.starts(jobId) >= crashesThatJustifyGivingUp * any.tasks_);
        }
    }

    void tasksThatCrashExecutorsOnArrivalAreStopped()
    {
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            Case any(seed);
            CrashingTask task;
            task.index_ = 0;
            task.after_ = milliseconds(any.draw(1, 50));
            task.downtime_ = milliseconds(any.draw(600, 4'000));
            task.sameName_ = any.sameName_;
            task.silent_ = any.silent_;
            task.answersStart_ = any.draw(0, 2) == 0;
            task.restartsAgent_ = any.draw(0, 3) == 0;
            if (any.draw(0, 3) == 0) {
                task.leaderGap_ = milliseconds(any.draw(200, 1'500));
            }
            any.cluster_.run(2s);
            any.cluster_.setCrashing(jobId, task);
            any.submit(10min);
            any.cluster_.run(120s);
            const std::string crashes = any.name_ + ": " + std::to_string(any.cluster_.crashes()) + " crashes";
            expectNoViolations(any);
            CPPUNIT_ASSERT_MESSAGE(crashes, any.cluster_.crashes() <= maxCrashesOfOneTask);
            CPPUNIT_ASSERT_MESSAGE(crashes, any.isGivenUp());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchUnarrivedStartTest);

}
