#pragma once

#include "daemon/log.h"
#include "store_client.h"

#include <utility>

namespace bergamotwick::node {

/// Returns what \p call, a function of calls to the store, returns; false, with the error in the log as \p failure, if one of them fails.
/// Thread-safe.
template<class Call>
[[nodiscard]] bool succeeds(const char *failure, Call &&call)
{
    return leaf::try_handle_all(
        std::forward<Call>(call),
        [failure](const StoreError &error) {
            logEvent(LogLevel::Warning, failure, {{"error", toString(error.code_)}});
            return false;
        },
        [] { return false; });
}

}
