#pragma once

#include "bergamotwick/error.h"
#include "core/agent/board.h"
#include "net/socket.h"

#include <string>
#include <vector>

namespace bergamotwick {

enum class Role : std::uint8_t {
    Entry,
    Agent,
};

/// The settings of one process, read from its settings file.
///
/// Thread safety: a value type.
struct Settings
{
    Role role_ = Role::Entry;
    std::string name_;
    RegionId region_;
    Address udp_; ///< address that receives directives or reports
    std::string storeUrl_; ///< used by entries only
    Address http_; ///< address of an entry's HTTP interface
    std::int32_t httpThreads_ = 128;
    AgentIdentity agent_; ///< used by agents only
    Address tcp_; ///< address on which an executor's agent accepts requests
    std::vector<Address> entries_; ///< entries to which an agent reports
    std::string endpointUrl_; ///< URL of the executor or worker; empty for a simulated endpoint
    Duration drainTimeout_ = 60s;

    /// Reads and validates the file at \p path. Errors: ConfigError with the source location.
    [[nodiscard]] static Result<Settings> readFile(const std::string &path);

    /// Parses and validates \p yaml; errors name it \p file. Errors: ConfigError with the source location.
    [[nodiscard]] static Result<Settings> parse(const std::string &file, const std::string &yaml);
};

}
