#pragma once

#include "daemon/log.h"
#include "store_client.h"

#include <utility>

namespace bergamotwick::node {

/// Runs \p calls, a function that calls the store, and returns its result. If a call fails, logs the error as \p failureEvent and returns
/// false. Thread-safe.
template<class Call>
[[nodiscard]] bool tryStoreCalls(const char *failureEvent, Call &&calls)
{
    return leaf::try_handle_all(
        std::forward<Call>(calls),
        [failureEvent](const StoreError &error) {
            logEvent(LogLevel::Warning, failureEvent, {{"error", toString(error.code_)}});
            return false;
        },
        [] { return false; });
}

}
