#pragma once

#include <string>

namespace bergamotwick {

/// Source location of a value. Line and column are counted from one.
///
/// Thread safety: a value type.
struct Source
{
    std::string file_;
    int line_ = 0;
    int column_ = 0;

    friend bool operator==(const Source &, const Source &) = default;

    /// Returns "file:line:column". Thread-safe on a const object.
    [[nodiscard]] std::string str() const
    {
        return file_ + ":" + std::to_string(line_) + ":" + std::to_string(column_);
    }
};

}
