#pragma once

#include "core/entry/entry.h"
#include "metrics/burn.h"

#include <string>

namespace bergamotwick {

/// Returns the status document: data centres, workers, free accelerators, queues, executors and the owner of the region.
[[nodiscard]] std::string statusJson(const Entry &entry, const EntryIdentity &identity, Instant now);

/// Returns the burn rate report of one entry.
[[nodiscard]] std::string burnJson(const std::vector<ObjectiveBurn> &objectives);

/// Returns the control document and its revision.
[[nodiscard]] std::string controlJson(const ControlDocument &control);

/// Returns the jobs that this entry has read from the store, shard by shard.
[[nodiscard]] std::string jobsJson(const SubmissionRegistry &submissions);

}
