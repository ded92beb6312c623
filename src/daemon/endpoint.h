#pragma once

#include "core/agent/board.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamotwick {

/// An executor or worker behind its HTTP interface.
struct HttpEndpoint
{
    std::string url_;
};

/// An endpoint inside this process, for a laptop: tasks last as long as their payload says, requests are echoed.
///
/// Thread safety: all methods may be called from several threads at once.
class SimulatedEndpoint
{
public:
    void start(const StartTasks &start, Instant now);
    void stop(const StopTasks &stop);

    /// Returns the tasks as of \p now; what has ended is listed for a while.
    [[nodiscard]] WorkerTasksListed list(Instant now);

    [[nodiscard]] static AttemptCompleted answer(const AttemptRequest &attempt);

private:
    struct Task
    {
        std::uint32_t generation_ = 0;
        Instant endsAt_{};
        bool stopped_ = false;
        std::int32_t tasks_ = 0;
        Resources each_;
    };

    std::mutex mutex_;
    std::map<JobId, Task> tasks_;
};

using Endpoint = std::variant<HttpEndpoint, std::shared_ptr<SimulatedEndpoint>>;

/// Runs \p attempt at the endpoint and waits for its answer for at most \p timeout. Thread-safe.
[[nodiscard]] AttemptCompleted runAttempt(const Endpoint &endpoint, const AttemptRequest &attempt, Duration timeout);

/// Starts tasks unless their right to start has ended meanwhile. Returns whether the worker took them.
[[nodiscard]] bool startTasks(const Endpoint &endpoint, const StartTasks &start);

void renewTasks(const Endpoint &endpoint, const RenewTasks &renew);

void stopTasks(const Endpoint &endpoint, const StopTasks &stop);

/// Returns what the worker holds, or nothing if it does not answer.
[[nodiscard]] std::optional<WorkerTasksListed> listTasks(const Endpoint &endpoint);

}
