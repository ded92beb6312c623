#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace bergamotwick {

/// An amount of cores, memory and accelerators.
///
/// Thread safety: a value type.
struct Resources
{
    std::int32_t cores_ = 0;
    std::int32_t memoryMb_ = 0;
    std::int32_t accelerators_ = 0;

    /// Returns whether \p demand fits into this amount.
    [[nodiscard]] constexpr bool covers(const Resources &demand) const noexcept
    {
        return demand.cores_ <= cores_ && demand.memoryMb_ <= memoryMb_ && demand.accelerators_ <= accelerators_;
    }

    constexpr Resources &operator+=(const Resources &other) noexcept
    {
        cores_ += other.cores_;
        memoryMb_ += other.memoryMb_;
        accelerators_ += other.accelerators_;
        return *this;
    }

    constexpr Resources &operator-=(const Resources &other) noexcept
    {
        return *this += other * -1;
    }

    friend constexpr Resources operator+(Resources left, const Resources &right) noexcept
    {
        return left += right;
    }

    friend constexpr Resources operator-(Resources left, const Resources &right) noexcept
    {
        return left -= right;
    }

    friend constexpr Resources operator*(const Resources &amount, std::int32_t count) noexcept
    {
        return {amount.cores_ * count, amount.memoryMb_ * count, amount.accelerators_ * count};
    }

    friend constexpr bool operator==(const Resources &, const Resources &) = default;

    /// Returns how many times \p demand fits into this amount, at most \p limit. An empty demand fits \p limit times.
    [[nodiscard]] constexpr std::int32_t timesFits(const Resources &demand, std::int32_t limit) const noexcept
    {
        const auto countOf = [limit](std::int32_t have, std::int32_t need) { return need > 0 ? std::max(have, 0) / need : limit; };
        return std::min({limit, countOf(cores_, demand.cores_), countOf(memoryMb_, demand.memoryMb_), countOf(accelerators_, demand.accelerators_)});
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(cores_, memoryMb_, accelerators_);
    }
};

}
