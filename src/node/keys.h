#pragma once

#include "bergamotwick/ids.h"

#include <string>

/// Names of the system's own keys in the store.
namespace bergamotwick::node::keys {

/// What every process watches: who leads, and which entries there are.
inline const std::string members = "b/m/";
inline const std::string leader = "b/m/leader";
inline const std::string entries = "b/m/entry/";

/// What the leader watches: jobs and cancellations. Its own writes lie elsewhere, so that they don't come back to it.
inline const std::string inbox = "b/in/";
inline const std::string jobs = "b/in/job/";
inline const std::string cancels = "b/in/cancel/";
inline const std::string progress = "b/state/";

}
