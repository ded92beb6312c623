#pragma once

#include "daemon/settings.h"

#include <string>

namespace bergamotwick {

/// Runs an entry, simulated endpoints and an in-memory store in this process until \p stopRequested returns true.
///
/// \p http is the address on which the entry serves HTTP. Returns the exit code.
int runDev(const Address &http, bool (*stopRequested)());

}
