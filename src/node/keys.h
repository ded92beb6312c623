#pragma once

#include "bergamotwick/ids.h"

#include <string>

/// Keys in the store that belong to the system itself.
namespace bergamotwick::node::keys {

/// Watched by every process: the leader and the list of entries.
inline const std::string members = "b/m/";
inline const std::string leader = "b/m/leader";
inline const std::string entries = "b/m/entry/";

/// Watched by the leader: jobs and cancellations. The leader's own writes go to other keys, so that they don't trigger its watch.
inline const std::string requests = "b/in/";
inline const std::string jobs = "b/in/job/";
inline const std::string cancels = "b/in/cancel/";
inline const std::string progress = "b/state/";

/// Crash histories of jobs, apart from their progress: releases before 0.2 rewrite the progress without them.
inline const std::string crashes = "b/crash/";

}
