#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace bergamotwick {

/// Thrown by InputArchive if the input is truncated or holds an invalid value. The codecs catch it.
struct ArchiveError
{
};

/// Writes values in their memory representation. All hosts are little-endian.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit OutputArchive(std::string &out)
        : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this)
        , out_(out)
    {
    }

    void write(const void *data, std::size_t size)
    {
        out_.append(static_cast<const char *>(data), size);
    }

private:
    std::string &out_;
};

/// Reads the output of OutputArchive. Sizes larger than the remaining input are rejected.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit InputArchive(std::string_view bytes)
        : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this)
        , bytes_(bytes)
    {
    }

    void read(void *data, std::size_t size)
    {
        if (size > bytes_.size()) {
            throw ArchiveError();
        }
        std::copy_n(bytes_.data(), size, static_cast<char *>(data));
        bytes_.remove_prefix(size);
    }

    [[nodiscard]] std::size_t remaining() const noexcept
    {
        return bytes_.size();
    }

private:
    std::string_view bytes_;
};

// The save and load functions that cereal requires of every archive.

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const T &value)
{
    archive.write(&value, sizeof(value));
}

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, sizeof(byte));
        if (byte > 1) {
            throw ArchiveError();
        }
        value = byte == 1;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.write(&size, sizeof(size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t size = 0;
    archive.read(&size, sizeof(size));
    if (size > archive.remaining()) {
        throw ArchiveError();
    }
    tag.size = size;
}

/// Reads a list element by element, so that it takes memory in proportion to the input, whatever size the input claims.
template<class T>
std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, std::vector<T> &values)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    values.clear();
    for (; size > 0; --size) {
        archive(values.emplace_back());
    }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

}

CEREAL_REGISTER_ARCHIVE(bergamotwick::OutputArchive)
CEREAL_REGISTER_ARCHIVE(bergamotwick::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(bergamotwick::InputArchive, bergamotwick::OutputArchive)
