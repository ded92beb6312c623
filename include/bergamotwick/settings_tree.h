#pragma once

#include "bergamotwick/error.h"
#include "bergamotwick/source.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotwick {

/// A scalar of the merged configuration and its source.
struct Setting
{
    std::string value_;
    Source source_;
    std::vector<Source> overridden_; ///< sources of overridden values, oldest first
};

/// A difference between two trees.
struct SettingChange
{
    std::string path_;
    std::string before_; ///< empty if added
    std::string after_; ///< empty if removed

    friend bool operator==(const SettingChange &, const SettingChange &) = default;
};

/// The files of a configuration folder, merged in the order of their names into a sorted map from dotted path to scalar.
///
/// Maps are merged key by key; scalars and lists replace earlier values.
///
/// Thread safety: const methods may be called from several threads at once.
class SettingsTree
{
public:
    using Map = std::map<std::string, Setting, std::less<>>;

    /// Reads every `*.yaml` file of \p folder.
    ///
    /// Errors: ConfigError (empty folder, unreadable file, not YAML, duplicate name, too large).
    [[nodiscard]] static Result<SettingsTree> readFolder(const std::string &folder);

    /// Merges one YAML document over the current settings. \p file is its name in sources and errors. Errors: ConfigError.
    [[nodiscard]] Result<void> merge(const std::string &file, const std::string &yaml);

    /// Adds or replaces one scalar.
    void set(const std::string &path, Setting setting);

    /// Returns the setting at \p path, or nullptr if there is none.
    [[nodiscard]] const Setting *find(std::string_view path) const;

    [[nodiscard]] const Map &all() const noexcept
    {
        return settings_;
    }

    /// Returns the changes from this tree to \p next, sorted by path.
    [[nodiscard]] std::vector<SettingChange> diff(const SettingsTree &next) const;

    /// Serializes the tree as the JSON document kept in the store. Overridden sources are left out.
    [[nodiscard]] std::string toJson() const;

    /// Parses the output of toJson(). Errors: DocumentError.
    [[nodiscard]] static Result<SettingsTree> fromJson(const std::string &json);

private:
    Map settings_;
};

}
