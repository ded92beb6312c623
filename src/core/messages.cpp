#include "core/messages.h"

#include <xxhash.h>

namespace bergamotwick {

std::uint64_t membersDigest(const std::vector<MemberReport> &members)
{
    std::uint64_t digest = members.size();
    for (const MemberReport &member : members) {
        const std::uint64_t seed
            = (std::uint64_t{member.generation_} << 32U) | (static_cast<std::uint64_t>(member.tasks_) << 8U) | static_cast<std::uint64_t>(member.phase_);
        digest += XXH64(member.job_.str().data(), member.job_.str().size(), seed);
    }
    return digest;
}

}
