#pragma once

#include "bergamotwick/ids.h"

#include <string>

/// Names of the system's own keys in the store.
namespace bergamotwick::node::keys {

/// What the leader watches: jobs, cancellations and its own key. Its writes lie elsewhere, so that they don't come back to it.
inline const std::string inbox = "b/in/";
inline const std::string leader = "b/in/leader";
inline const std::string jobs = "b/in/job/";
inline const std::string cancels = "b/in/cancel/";
inline const std::string progress = "b/state/";

/// What operators write.
inline const std::string operators = "op/";
inline const std::string config = "op/config";
inline const std::string evacuations = "op/evacuate/";

}
