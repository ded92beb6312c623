#include "wire/codec.h"

#include "wire/archive.h"
#include "wire/validate.h"

#include <array>
#include <cstring>

#include <xxhash.h>

namespace bergamotwick {

namespace {

constexpr std::array<char, 4> magic{'b', 'g', 'm', 'w'};
constexpr std::uint8_t wireVersion = 1;
constexpr std::size_t headerBytes = magic.size() + sizeof(wireVersion) + sizeof(std::uint8_t) + sizeof(std::uint64_t);

template<std::size_t Index = 0>
Message makeMessage(std::size_t kind)
{
    if constexpr (Index + 1 < std::variant_size_v<Message>) {
        return kind == Index ? Message(std::in_place_index<Index>) : makeMessage<Index + 1>(kind);
    } else {
        return Message(std::in_place_index<Index>);
    }
}

Result<Message> decodeBody(std::size_t kind, std::string_view body)
{
    Message message = makeMessage(kind);
    try {
        InputArchive archive(body);
        std::visit([&archive](auto &alternative) { archive(alternative); }, message);
        if (archive.remaining() != 0) {
            return leaf::new_error(WireError{WireErrc::Corrupt});
        }
    } catch (const ArchiveError &) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    if (!hasValidValues(message)) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return message;
}

}

std::string encodeMessage(const Message &message)
{
    std::string body;
    OutputArchive archive(body);
    std::visit([&archive](const auto &alternative) { archive(alternative); }, message);
    const auto kind = static_cast<std::uint8_t>(message.index());
    const std::uint64_t checksum = XXH64(body.data(), body.size(), kind);
    std::string bytes(magic.begin(), magic.end());
    bytes.push_back(static_cast<char>(wireVersion));
    bytes.push_back(static_cast<char>(kind));
    bytes.append(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
    return bytes + body;
}

Result<Message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() < headerBytes) {
        return leaf::new_error(WireError{WireErrc::Truncated});
    }
    if (bytes.size() > maxFrameBytes) {
        return leaf::new_error(WireError{WireErrc::Oversized});
    }
    if (bytes.substr(0, magic.size()) != std::string_view(magic.data(), magic.size())) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    if (static_cast<std::uint8_t>(bytes[magic.size()]) != wireVersion) {
        return leaf::new_error(WireError{WireErrc::WrongVersion});
    }
    const auto kind = static_cast<std::uint8_t>(bytes[magic.size() + 1]);
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, bytes.data() + headerBytes - sizeof(checksum), sizeof(checksum));
    const std::string_view body = bytes.substr(headerBytes);
    if (kind >= std::variant_size_v<Message> || XXH64(body.data(), body.size(), kind) != checksum) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return decodeBody(kind, body);
}

}
