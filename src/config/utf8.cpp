#include "config/utf8.h"

#include <cstddef>
#include <cstdint>

namespace bergamotwick {

namespace {

struct LeadByte
{
    std::size_t length_;
    std::uint32_t payloadBits_;
    std::uint32_t minCodePoint_; // smaller code points would be overlong encodings
};

/// Decodes the first byte of a sequence. The length is 0 if no sequence starts with \p first.
LeadByte decodeLeadByte(unsigned char first) noexcept
{
    if (first < 0x80) {
        return {1, first, 0};
    }
    if (first >= 0xC2 && first < 0xE0) {
        return {2, first & 0x1FU, 0x80};
    }
    if (first >= 0xE0 && first < 0xF0) {
        return {3, first & 0x0FU, 0x800};
    }
    if (first >= 0xF0 && first < 0xF5) {
        return {4, first & 0x07U, 0x10000};
    }
    return {0, 0, 0};
}

}

bool isUtf8(std::string_view text) noexcept
{
    for (std::size_t offset = 0; offset < text.size();) {
        const LeadByte lead = decodeLeadByte(static_cast<unsigned char>(text[offset]));
        if (lead.length_ == 0 || offset + lead.length_ > text.size()) {
            return false;
        }
        std::uint32_t codePoint = lead.payloadBits_;
        for (std::size_t i = 1; i < lead.length_; ++i) {
            const auto next = static_cast<unsigned char>(text[offset + i]);
            if ((next & 0xC0U) != 0x80) {
                return false;
            }
            codePoint = (codePoint << 6U) | (next & 0x3FU);
        }
        if (codePoint < lead.minCodePoint_ || codePoint > 0x10FFFF || (codePoint >= 0xD800 && codePoint < 0xE000)) {
            return false;
        }
        offset += lead.length_;
    }
    return true;
}

}
