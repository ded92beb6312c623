#include "model/scenarios.h"

#include "batch/cluster.h"

#include <algorithm>
#include <cstdlib>

namespace bergamotwick::model {

using namespace std::chrono_literals;

namespace {

constexpr batch::ResourceVector smallTask{1'000, 1'000, 1};
constexpr batch::ResourceVector halfExecutor{4'000, 8'000, 4};
constexpr batch::ResourceVector wholeExecutor{8'000, 16'000, 8};

/// Moments after the first jobs' submission. A start reaches its executor 6 ms after it.
std::vector<batch::milliseconds> moments()
{
    if (std::getenv("MODEL_FINE") != nullptr) {
        return {5ms, 40ms, 290ms, 540ms, 790ms, 1'040ms, 1'540ms, 2'040ms, 2'540ms, 3'040ms, 4'040ms};
    }
    return {5ms, 290ms, 790ms, 2'040ms};
}

batch::Submission urgent(batch::Submission job)
{
    job.queue_ = "h/0/";
    return job;
}

}

const std::vector<Scenario> &scenarios()
{
    using test::makeJob;
    static const std::vector<Scenario> all{
        {"one-task", 2, {{makeJob("small", 1, smallTask, 300ms)}}, 2, moments()},
        {"one-executor", 1, {{makeJob("whole", 2, wholeExecutor, 300ms)}}, 2, moments()},
        {"two-executors", 2, {{makeJob("small", 1, smallTask, 300ms)}, {makeJob("whole", 1, wholeExecutor, 900ms)}}, 1, moments()},
        {"preemption", 1, {{makeJob("low", 1, wholeExecutor, 1'500ms)}, {urgent(makeJob("urgent", 1, wholeExecutor, 300ms)), 300ms}}, 2, moments()},
        {"cancellation", 1, {{makeJob("cancelled", 1, wholeExecutor, 9s), 0ms, 300ms}, {makeJob("next", 1, wholeExecutor, 300ms), 100ms}}, 2, moments()},
        {"lasting", 2, {{makeJob("lasting", 1, smallTask, 17s)}}, 2, {290ms}, false},
        {.name_ = "silent", .hosts_ = 2, .jobs_ = {{makeJob("lasting", 1, smallTask, 50s)}}, .moments_ = {12'000ms}, .callsVary_ = false, .timeLimit_ = 70s},
        {"rebirth",
         2,
         {{makeJob("long", 2, wholeExecutor, 10s)}},
         3,
         {2'040ms, 3'040ms},
         true,
         std::nullopt,
         {HostFault::CrashSameId, HostFault::CrashSameIdAgentRestarts, HostFault::AgentFreezesLong, HostFault::CutFromLeaders},
         300ms},
        {"late-acknowledgement",
         1,
         {{makeJob("whole", 3, wholeExecutor, 300ms)}},
         3,
         {790ms, 1'140ms},
         true,
         std::nullopt,
         {HostFault::CrashSameId, HostFault::AgentFreezes},
         700ms},
        {"power-loss",
         1,
         {{makeJob("first", 1, wholeExecutor, 200ms)}, {makeJob("second", 1, wholeExecutor, 200ms), 500ms}},
         3,
         {730ms, 1'140ms},
         true,
         std::nullopt,
         {HostFault::CrashSameIdAgentRestartsLater},
         700ms},
        {"halves", 1, {{makeJob("half", 3, halfExecutor, 400ms)}}, 2, moments()},
        {"gang", 2, {{test::makeGang("gang", 2, wholeExecutor, 600ms)}}, 1, moments()},
        {"crashing", 2, {{makeJob("deadly", 1, smallTask, 300ms)}, {makeJob("whole", 1, wholeExecutor, 600ms), 20ms}}, 1, moments(), true, JobId("deadly")},
    };
    return all;
}

const Scenario &scenario(const std::string &name)
{
    return *std::find_if(scenarios().begin(), scenarios().end(), [&name](const Scenario &scenario) { return scenario.name_ == name; });
}

}
