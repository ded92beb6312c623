#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace bergamotwick {

/// A strongly typed name: ids of different kinds do not convert to each other.
///
/// \code
/// const WorkspaceId workspace{"jury"};
/// \endcode
///
/// Thread safety: a value type; distinct objects are independent.
template<class Tag>
class Id
{
public:
    Id() = default;

    /// Wraps \p text. An empty text stands for no name.
    explicit Id(std::string text) noexcept
        : text_(std::move(text))
    {
    }

    /// Returns the wrapped name. Thread-safe on a const object.
    [[nodiscard]] const std::string &str() const noexcept
    {
        return text_;
    }

    /// Returns whether the name is empty. Thread-safe on a const object.
    [[nodiscard]] bool empty() const noexcept
    {
        return text_.empty();
    }

    friend auto operator<=>(const Id &, const Id &) = default;

    /// Reads or writes the name with a cereal archive.
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(text_);
    }

private:
    std::string text_;
};

using RegionId = Id<struct RegionTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RackId = Id<struct RackTag>;
using WorkerId = Id<struct WorkerTag>;
using ExecutorId = Id<struct ExecutorTag>;
using EntryId = Id<struct EntryTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ServiceId = Id<struct ServiceTag>;
using ClassId = Id<struct ClassTag>;
using GroupId = Id<struct GroupTag>;
using JobId = Id<struct JobTag>;
using GuaranteeId = Id<struct GuaranteeTag>;
using OperationId = Id<struct OperationTag>;

}

template<class Tag>
struct std::hash<bergamotwick::Id<Tag>>
{
    std::size_t operator()(const bergamotwick::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};
