#pragma once

#include "executor_server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bergamotwick::soak {

/// What a caller knows of a job that it has handed in.
enum class Handed : std::uint8_t {
    Accepted,
    Refused, ///< every try was answered with "not accepted"
    InDoubt, ///< some try had no answer
    Cancelled,
};

/// Callers that hand jobs in, cancel some, and ask for their states.
///
/// Thread safety: all methods may be called from several threads at once.
class Callers
{
public:
    Callers(std::vector<int> ports, SharedJudge &judge, std::uint64_t seed);
    ~Callers();

    /// Hands no more jobs in.
    void stop();

    /// Returns accepted jobs that no entry says have ended; asks for their states once.
    [[nodiscard]] std::vector<std::string> unfinished();

    /// Returns what was promised to callers and not kept.
    [[nodiscard]] std::vector<std::string> breaches();

    [[nodiscard]] std::size_t accepted() const;

private:
    void call(int number, std::uint64_t seed);
    [[nodiscard]] int send(const std::string &method, const std::string &path, const std::string &body, std::size_t entry, std::string *answer) const;

    std::vector<int> ports_;
    SharedJudge &judge_;
    mutable std::mutex mutex_;
    std::map<std::string, Handed> jobs_; ///< by path
    std::map<std::string, std::string> finals_; ///< states that were told as final
    std::vector<std::string> breaches_;
    std::size_t nextEntry_ = 0; ///< of unfinished(); callers' next try reaches another entry
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

}
