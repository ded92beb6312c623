#include "config/values.h"

#include <array>
#include <charconv>
#include <string_view>

namespace bergamotwick {

namespace {

struct Unit
{
    std::string_view suffix_;
    std::int64_t factor_;
};

constexpr std::array<Unit, 5> durationUnits{{{"ms", 1'000}, {"us", 1}, {"s", 1'000'000}, {"m", 60'000'000}, {"h", 3'600'000'000}}};
constexpr std::array<Unit, 3> memoryUnits{{{"MB", 1}, {"GB", 1'000}, {"TB", 1'000'000}}};
constexpr std::int64_t maxDurationUs = 30LL * 24 * 3'600'000'000;
constexpr std::int64_t maxMemoryMb = 1'000'000'000;

template<std::size_t N>
Result<std::int64_t> readQuantity(const ScalarRef &scalar, const std::array<Unit, N> &units, std::int64_t max, const std::string &hint)
{
    const std::string &text = scalar.setting_.value_;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc()) {
        return scalar.error(error == std::errc::result_out_of_range ? ConfigErrc::OutOfRange : ConfigErrc::WrongType, hint);
    }
    const std::string_view suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const Unit &unit : units) {
        if (suffix == unit.suffix_) {
            if (number < 0 || number > max / unit.factor_) {
                return scalar.error(ConfigErrc::OutOfRange, hint);
            }
            return number * unit.factor_;
        }
    }
    return scalar.error(ConfigErrc::WrongUnit, hint);
}

}

leaf::error_id ScalarRef::error(ConfigErrc code, const std::string &hint) const
{
    return leaf::new_error(ConfigError{code, setting_.source_, path_, hint});
}

Result<std::int32_t> readCount(const ScalarRef &scalar, std::int32_t min, std::int32_t max)
{
    const std::string &text = scalar.setting_.value_;
    const std::string hint = "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    std::int32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc::invalid_argument || end != text.data() + text.size()) {
        return scalar.error(ConfigErrc::WrongType, hint);
    }
    if (error != std::errc() || number < min || number > max) {
        return scalar.error(ConfigErrc::OutOfRange, hint);
    }
    return number;
}

Result<double> readRatio(const ScalarRef &scalar)
{
    const std::string &text = scalar.setting_.value_;
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return scalar.error(ConfigErrc::WrongType, "expected a ratio such as 0.99");
    }
    if (!(number > 0 && number < 1)) {
        return scalar.error(ConfigErrc::OutOfRange, "expected a ratio between 0 and 1, both excluded");
    }
    return number;
}

Result<Duration> readDuration(const ScalarRef &scalar)
{
    BOOST_LEAF_AUTO(number, readQuantity(scalar, durationUnits, maxDurationUs, "expected a duration such as 250ms, 2s, 5m or 1h"));
    return Duration(number);
}

Result<std::int32_t> readMemoryMb(const ScalarRef &scalar)
{
    BOOST_LEAF_AUTO(number, readQuantity(scalar, memoryUnits, maxMemoryMb, "expected an amount such as 512MB or 64GB"));
    return static_cast<std::int32_t>(number);
}

Result<Adjacency> readAdjacency(const ScalarRef &scalar)
{
    for (const Adjacency adjacency : {Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre}) {
        if (scalar.setting_.value_ == toString(adjacency)) {
            return adjacency;
        }
    }
    return scalar.error(ConfigErrc::WrongType, "expected worker, rack or datacentre");
}

}
