#pragma once

#include "core/batch/time.h"

#include <cstdint>
#include <map>

namespace bergamotwick::batch {

/// Number of a call that may extend an executor's leases; None for one that doesn't.
enum class ExtensionId : std::uint64_t { None = 0 };

/// Tells until when an executor's leases may last, by the calls that extend them.
///
/// A call may be carried out seconds after it was given up, so it counts from when it is made. It is withdrawn once it is certain that it wasn't carried out
/// and won't be.
///
/// Thread safety: none; the caller serialises calls.
class LeaseExtensions
{
public:
    /// Records a call that is made now and extends the leases to \p end at most. Returns its number.
    [[nodiscard]] ExtensionId add(Instant end);

    /// Records that the call with number \p id extends nothing. Does nothing for ExtensionId::None and for calls made before reset().
    void withdraw(ExtensionId id) noexcept;

    /// Forgets all calls: the leases last until \p end if no other call is made.
    void reset(Instant end) noexcept;

    /// Returns when all leases are over.
    [[nodiscard]] Instant end() const noexcept;

private:
    std::uint64_t lastId_ = 0;
    Instant settledEnd_{}; ///< by all calls that can't be withdrawn any more
    std::map<std::uint64_t, Instant> calls_; ///< the latest calls, with the end to which each extends the leases
};

}
