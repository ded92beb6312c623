#pragma once

#include <cstddef>
#include <string>

#include <sys/types.h>

namespace bergamotwick::test {

/// A process of bergamotwick-node on loopback. The destructor kills it.
///
/// Thread safety: none; one thread uses it.
class NodeProcess
{
public:
    /// Starts the process in \p role. \p settings holds the lines of its settings file.
    NodeProcess(const std::string &role, const std::string &settings);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    [[nodiscard]] bool alive() const;

    /// Returns the peak of its resident memory in kibibytes. Precondition: alive().
    [[nodiscard]] std::size_t peakMemoryKib() const;

    /// Returns the number of its open descriptors. Precondition: alive().
    [[nodiscard]] std::size_t openDescriptors() const;

    /// Returns the loopback address of host \p number in this run of the tests; each host has the same ports.
    [[nodiscard]] static std::string hostAddress(int number);

private:
    std::string settingsFile_;
    pid_t pid_ = -1;
};

}
