#pragma once

#include "common.h"

#include <memory>
#include <string>

namespace review {

/// The service at `advice`, as PROTOCOL.md tells it: allows all workers, and handles one call at a time for each calling machine, in turn.
class AdviceService
{
public:
    AdviceService(const std::string &host, int port, milliseconds decide, milliseconds period, milliseconds valid, const Events &record);
    ~AdviceService();

private:
    struct Server;
    std::shared_ptr<Server> server_; ///< shared with the threads of its connections
};

}
