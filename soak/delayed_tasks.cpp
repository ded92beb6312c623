#include "delayed_tasks.h"

namespace bergamotwick::soak {

using Clock = std::chrono::steady_clock;

DelayedTasks::DelayedTasks()
    : thread_([this] { run(); })
{
}

DelayedTasks::~DelayedTasks()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void DelayedTasks::after(Duration delay, std::function<void()> task)
{
    {
        const std::lock_guard lock(mutex_);
        tasks_.emplace(Clock::now() + delay, std::move(task));
    }
    changed_.notify_all();
}

void DelayedTasks::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (tasks_.empty()) {
            changed_.wait(lock);
        } else if (tasks_.begin()->first > Clock::now()) {
            const auto due = tasks_.begin()->first;
            changed_.wait_until(lock, due);
        } else {
            auto task = tasks_.extract(tasks_.begin());
            lock.unlock();
            task.mapped()();
            lock.lock();
        }
    }
}

}
