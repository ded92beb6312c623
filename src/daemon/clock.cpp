#include "daemon/clock.h"

#include <random>

namespace bergamotwick {

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

}
