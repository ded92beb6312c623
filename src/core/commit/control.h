#pragma once

#include "bergamotwick/config.h"
#include "bergamotwick/ids.h"
#include "core/commit/group_commit.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace bergamotwick {

/// Control document that operators change: merged settings and the data centres that are out of service.
struct ControlDocument
{
    std::uint64_t revision_ = 0;
    SettingsTree settings_;
    std::uint64_t settingsRevision_ = 0; ///< revision that last changed the settings
    std::set<DataCentreId> outOfService_;
    std::deque<OperationId> recentOperations_; ///< the latest, to recognise a repeated operation
};

/// Replaces the settings unless they have changed after revision \p baseRevision_.
struct ApplySettings
{
    std::uint64_t baseRevision_ = 0;
    SettingsTree settings_;
};

/// Puts a data centre into or out of service.
struct SetInService
{
    DataCentreId dataCentre_;
    bool inService_ = true;
};

struct ControlEdit
{
    OperationId operation_;
    std::variant<ApplySettings, SetInService> change_;
    std::uint64_t token_ = 0; ///< caller's token
    Instant deadline_{};
};

struct ControlTraits
{
    using Document = ControlDocument;
    using Edit = ControlEdit;

    [[nodiscard]] static Result<Document> decode(const std::string &text);
    [[nodiscard]] static std::string encode(const Document &document);
    [[nodiscard]] static EditEffect apply(Document &document, const Edit &edit);
};

using ControlCommit = GroupCommit<ControlTraits>;

/// Returns the store key of the control document.
[[nodiscard]] inline const char *controlKey() noexcept
{
    return "control";
}

}
