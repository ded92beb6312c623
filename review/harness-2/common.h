#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using std::chrono::milliseconds;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Appends one JSON line with the time to a file that several processes write.
class Events
{
public:
    explicit Events(std::string path)
        : path_(std::move(path))
    {
    }

    void add(const std::string &what, Json fields) const
    {
        fields["at"] = unixMs();
        fields["what"] = what;
        const std::string line = fields.dump() + "\n";
        std::ofstream file(path_, std::ios::app);
        file.write(line.data(), static_cast<std::streamsize>(line.size()));
    }

    [[nodiscard]] const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

/// Runs one life of an executor until its process is killed. Returns an exit code.
int runExecutor(int argc, char **argv);

}
