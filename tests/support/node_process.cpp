#include "support/node_process.h"

#include "support/expect.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bergamotwick::test {

namespace {

std::string programPath()
{
    const char *folder = std::getenv("BERGAMOTWICK_BIN");
    return std::string(folder != nullptr ? folder : "build") + "/bergamotwick-node";
}

}

NodeProcess::NodeProcess(const std::string &role, const std::string &settings)
    : settingsFile_((std::filesystem::temp_directory_path() / ("bergamotwick-" + std::to_string(::getpid()) + "-" + role + ".conf")).string())
{
    std::ofstream(settingsFile_) << settings;
    std::string program = programPath();
    std::string argument = role;
    std::string variable = "BERGAMOTWICK_SETTINGS=" + settingsFile_;
    std::array<char *, 3> arguments{program.data(), argument.data(), nullptr};
    std::array<char *, 2> environment{variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    const int spawnError = posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    CPPUNIT_ASSERT_EQUAL(0, spawnError);
}

NodeProcess::~NodeProcess()
{
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    std::filesystem::remove(settingsFile_);
}

bool NodeProcess::alive() const
{
    siginfo_t ended{};
    return ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 && ended.si_pid == 0;
}

std::size_t NodeProcess::peakMemoryKib() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t kibibytes = 0;
            status >> kibibytes;
            return kibibytes;
        }
    }
    CPPUNIT_FAIL("the process has no peak of memory");
    return 0;
}

std::size_t NodeProcess::openDescriptors() const
{
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::string NodeProcess::hostAddress(int number)
{
    constexpr int values = 200;
    const int process = ::getpid();
    return "127." + std::to_string(16 + process % values) + "." + std::to_string(16 + process / values % values) + "." + std::to_string(number + 1);
}

}
