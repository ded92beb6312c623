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

/// An executor or worker that is reached over HTTP.
struct HttpEndpoint
{
    std::string url_;
};

/// A simulated endpoint in this process, for local development. The payload of a task sets its run time; requests are echoed.
///
/// Thread safety: all methods may be called from several threads at once.
class SimulatedEndpoint
{
public:
    void start(const StartTasks &start, Instant now);
    void stop(const StopTasks &stop);

    /// Returns the tasks as of \p now. Ended tasks stay listed for 60 s.
    [[nodiscard]] WorkerTasksListed list(Instant now);

    [[nodiscard]] static AttemptCompleted echo(const AttemptRequest &attempt);

private:
    struct Task
    {
        std::uint32_t generation_ = 0;
        Instant endTime_{};
        bool stopped_ = false;
        std::int32_t tasks_ = 0;
        Resources each_;
    };

    std::mutex mutex_;
    std::map<JobId, Task> tasks_;
};

using Endpoint = std::variant<HttpEndpoint, std::shared_ptr<SimulatedEndpoint>>;

/// Runs \p attempt at the endpoint and waits up to \p timeout for the answer. Thread-safe.
[[nodiscard]] AttemptCompleted runAttempt(const Endpoint &endpoint, const AttemptRequest &attempt, Duration timeout);

/// Starts tasks unless their start deadline has passed. Returns whether the worker accepted them.
[[nodiscard]] bool startTasks(const Endpoint &endpoint, const StartTasks &start);

void renewTasks(const Endpoint &endpoint, const RenewTasks &renew);

void stopTasks(const Endpoint &endpoint, const StopTasks &stop);

/// Returns the tasks on the worker, or std::nullopt if it does not answer.
[[nodiscard]] std::optional<WorkerTasksListed> listTasks(const Endpoint &endpoint);

}
