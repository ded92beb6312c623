#pragma once

#include "wire/codec.h"

namespace bergamotwick {

/// Returns whether all values of \p message are in the ranges that the processes of this system send. Thread-safe.
[[nodiscard]] bool hasValidValues(const Message &message);

}
