#pragma once

#include "bergamotwick/config.h"

namespace bergamotwick {

/// Checks that the declared workers can hold all guarantees at once.
///
/// Errors: ConfigError GuaranteesDoNotFit with the location of the first guarantee that does not fit.
[[nodiscard]] Result<void> checkGuaranteesFit(const Config &config);

}
