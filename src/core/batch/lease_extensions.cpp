#include "core/batch/lease_extensions.h"

#include <algorithm>
#include <cstddef>

namespace bergamotwick::batch {

namespace {

/// More than the calls whose outcome an agent can be waiting for.
constexpr std::size_t maxCalls = 64;

}

ExtensionId LeaseExtensions::add(Instant end)
{
    calls_.emplace(++lastId_, end);
    if (calls_.size() > maxCalls) {
        const auto oldest = calls_.begin();
        settledEnd_ = std::max(settledEnd_, oldest->second);
        calls_.erase(oldest);
    }
    return ExtensionId{lastId_};
}

void LeaseExtensions::withdraw(ExtensionId id) noexcept
{
    calls_.erase(static_cast<std::uint64_t>(id));
}

void LeaseExtensions::reset(Instant end) noexcept
{
    calls_.clear();
    settledEnd_ = end;
}

Instant LeaseExtensions::end() const noexcept
{
    Instant latest = settledEnd_;
    for (const auto &[id, end] : calls_) {
        latest = std::max(latest, end);
    }
    return latest;
}

}
