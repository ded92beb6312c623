#pragma once

#include "bergamotwick/ids.h"

#include <array>
#include <string>

/// Keys in the store that belong to the system itself.
namespace bergamotwick::node::keys {

/// Keys of all kinds of records, or how they start. Releases that run side by side read each other's records, so each kind has a sample in
/// tests/support/formats.cpp.
inline const std::array<std::string, 9> records{
    "b/m/leader", "b/m/entry/", "b/in/job/", "b/in/cancel/", "b/state/", "b/crash/", "b/start/", "b/in/settings/", "b/profile"};

/// Watched by every process: the leader and the list of entries.
inline const std::string members = "b/m/";
inline const std::string &leader = records[0];
inline const std::string &entries = records[1];

/// Watched by the leader: jobs, the settings with which they were accepted, and cancellations. The leader's own writes go to other keys, so that they don't
/// trigger its watch.
inline const std::string requests = "b/in/";
inline const std::string &jobs = records[2];
inline const std::string &cancels = records[3];
inline const std::string &progress = records[4];

/// Crash histories of jobs, apart from their progress: releases before 0.2 rewrite the progress without them.
inline const std::string &crashes = records[5];

/// Start records of jobs, likewise apart from their progress.
inline const std::string &starts = records[6];

/// The settings with which jobs were accepted, apart from the jobs: releases before 0.2 take them from the configuration alone.
inline const std::string &settings = records[7];

/// What leaders have learned of the fleet. One record.
inline const std::string &profile = records[8];

}
