#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// The lines of record.txt: what was sent, answered and run, with milliseconds since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , startedAt_(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        file_ << nowMs() << " ms  " << text << std::endl;
    }

    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt_).count();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point startedAt_;
};

}
