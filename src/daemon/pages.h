#pragma once

#include "core/entry/entry.h"
#include "metrics/burn.h"

#include <string>

namespace bergamotwick {

/// Returns the status document: data centres, workers, free blocks, queues and who owns what.
[[nodiscard]] std::string statusJson(const Entry &entry, const EntryIdentity &identity, Instant now);

/// Returns the burn report of one entry.
[[nodiscard]] std::string burnJson(const std::vector<ObjectiveBurn> &lines);

/// Returns the operators' document with its revision.
[[nodiscard]] std::string controlJson(const ControlDocument &control);

/// Returns the jobs that this entry has read, newest first.
[[nodiscard]] std::string jobsJson(const SubmissionRegistry &submissions);

}
