#pragma once

#include "bergamotwick/error.h"
#include "core/batch/crash_history.h"
#include "core/batch/fleet_profile.h"
#include "core/batch/folded_record.h"
#include "core/batch/job.h"
#include "core/batch/messages.h"
#include "core/batch/queue_settings.h"
#include "core/batch/start_record.h"

#include <string>
#include <string_view>

namespace bergamotwick::batch {

/// Encode a value for the store or another process, with a format version and a checksum. Thread-safe.
[[nodiscard]] std::string encode(const Submission &value);
[[nodiscard]] std::string encode(const Progress &value);
[[nodiscard]] std::string encode(const FoldedProgress &value);
[[nodiscard]] std::string encode(const CrashHistory &value);
[[nodiscard]] std::string encode(const StartRecord &value);
[[nodiscard]] std::string encode(const AcceptedSettings &value);
[[nodiscard]] std::string encode(const FleetProfile &value);
[[nodiscard]] std::string encode(const Report &value);
[[nodiscard]] std::string encode(const Directive &value);

/// Encodes the submission of a job whose progress is folded. Releases that don't know of that can't read it. Thread-safe.
[[nodiscard]] std::string encodeLong(const Submission &value);

/// Decode the output of encode(); that of encodeLong() is read as well, and folded progress is unfolded. Errors: WireError (truncated, wrong version, corrupt).
/// Thread-safe.
[[nodiscard]] Result<Submission> decodeSubmission(std::string_view bytes);
[[nodiscard]] Result<Progress> decodeProgress(std::string_view bytes);
[[nodiscard]] Result<CrashHistory> decodeCrashHistory(std::string_view bytes);
[[nodiscard]] Result<StartRecord> decodeStartRecord(std::string_view bytes);
[[nodiscard]] Result<AcceptedSettings> decodeAcceptedSettings(std::string_view bytes);
[[nodiscard]] Result<FleetProfile> decodeFleetProfile(std::string_view bytes);
[[nodiscard]] Result<Report> decodeReport(std::string_view bytes);
[[nodiscard]] Result<Directive> decodeDirective(std::string_view bytes);

}
