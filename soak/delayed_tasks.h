#pragma once

#include "bergamotwick/time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace bergamotwick::soak {

/// Runs tasks after a delay, one at a time, on a thread of its own. The destructor drops the tasks that are still waiting.
///
/// Thread safety: after() may be called from several threads at once, also from a task.
class DelayedTasks
{
public:
    DelayedTasks();
    ~DelayedTasks();
    DelayedTasks(const DelayedTasks &) = delete;
    DelayedTasks &operator=(const DelayedTasks &) = delete;

    void after(Duration delay, std::function<void()> task);

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> tasks_; ///< by the time at which they are due
    bool stopping_ = false;
    std::thread thread_;
};

}
