#pragma once

#include <string>

namespace bergamotwick {

/// Formats the burn report as a plain-text table. \p json is the merged `/v1/burn` response of the entries.
[[nodiscard]] std::string burnTable(const std::string &json);

/// Formats the burn report as an HTML page with a bar for each objective's remaining error budget.
[[nodiscard]] std::string burnPage(const std::string &json);

}
