#include "bergamotwick/settings_tree.h"

#include "config/utf8.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace bergamotwick {

namespace {

constexpr std::size_t maxDocumentBytes = 786'432; // the key-value store accepts values of up to 1 MB
constexpr std::size_t maxSettings = 50'000;
constexpr std::size_t maxNodes = 100'000; ///< visited in one file; nested aliases can expand exponentially without creating settings
constexpr int maxDepth = 16;

Source sourceOf(const std::string &file, const YAML::Mark &mark)
{
    return {file, mark.line + 1, mark.column + 1};
}

std::string join(const std::string &prefix, const std::string &key)
{
    return prefix.empty() ? key : prefix + "." + key;
}

/// Traverses a YAML document and merges its scalars into a settings map.
class Merger
{
public:
    Merger(SettingsTree::Map &settings, const std::string &file)
        : settings_(settings)
        , file_(file)
    {
    }

    Result<void> mergeNode(const std::string &path, const YAML::Node &node, int depth)
    {
        if (++visitedNodes_ > maxNodes) {
            return leaf::new_error(ConfigError{ConfigErrc::TooLarge, sourceOf(file_, node.Mark()), path, "at most 100000 nodes after alias expansion"});
        }
        if (depth > maxDepth) {
            return leaf::new_error(ConfigError{ConfigErrc::TooLarge, sourceOf(file_, node.Mark()), path, "at most 16 levels of nesting"});
        }
        if (node.IsMap()) {
            return mergeMap(path, node, depth);
        }
        if (node.IsSequence()) {
            return mergeList(path, node, depth);
        }
        return mergeScalar(path, node);
    }

private:
    /// Removes everything below \p path, but not the scalar at \p path itself.
    void eraseBelow(const std::string &path)
    {
        constexpr char successorOfDot = '.' + 1;
        settings_.erase(settings_.lower_bound(path + '.'), settings_.lower_bound(path + successorOfDot));
    }

    Result<void> mergeMap(const std::string &path, const YAML::Node &node, int depth)
    {
        settings_.erase(path);
        std::set<std::string> seen;
        for (const auto &item : node) {
            const Source location = sourceOf(file_, item.first.Mark());
            if (!item.first.IsScalar() || item.first.Scalar().empty() || item.first.Scalar().find('.') != std::string::npos) {
                return leaf::new_error(ConfigError{ConfigErrc::WrongType, location, path, "keys must be non-empty scalars without dots"});
            }
            const std::string &key = item.first.Scalar();
            if (!seen.insert(key).second) {
                return leaf::new_error(ConfigError{ConfigErrc::DuplicateName, location, join(path, key), "duplicate key in this file"});
            }
            if (auto result = this->mergeNode(join(path, key), item.second, depth + 1); !result) {
                return result.error();
            }
        }
        return {};
    }

    Result<void> mergeList(const std::string &path, const YAML::Node &node, int depth)
    {
        settings_.erase(path);
        eraseBelow(path);
        std::size_t index = 0;
        for (const auto &item : node) {
            if (auto result = this->mergeNode(join(path, std::to_string(index++)), item, depth + 1); !result) {
                return result.error();
            }
        }
        return {};
    }

    Result<void> mergeScalar(const std::string &path, const YAML::Node &node)
    {
        const Source location = sourceOf(file_, node.Mark());
        if (!node.IsScalar() || path.empty()) {
            return leaf::new_error(ConfigError{ConfigErrc::WrongType, location, path, "missing value"});
        }
        eraseBelow(path);
        Setting setting{node.Scalar(), location, {}};
        if (const auto previous = settings_.find(path); previous != settings_.end()) {
            setting.overridden_ = previous->second.overridden_;
            setting.overridden_.push_back(previous->second.source_);
        }
        settings_[path] = std::move(setting);
        if (settings_.size() > maxSettings) {
            return leaf::new_error(ConfigError{ConfigErrc::TooLarge, location, path, "at most 50000 settings"});
        }
        return {};
    }

    SettingsTree::Map &settings_;
    const std::string &file_;
    std::size_t visitedNodes_ = 0;
};

/// Reads a regular file. Pipes and devices are rejected, since they may never reach the end of file.
Result<std::string> readFile(const std::filesystem::path &path)
{
    const std::string name = path.filename().string();
    std::error_code error;
    if (!std::filesystem::is_regular_file(path, error)) {
        return leaf::new_error(ConfigError{ConfigErrc::UnreadableFile, {name, 1, 1}, name, "not a regular file"});
    }
    if (std::filesystem::file_size(path, error) == 0) {
        return std::string();
    }
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file.is_open() || !(text << file.rdbuf())) {
        return leaf::new_error(ConfigError{ConfigErrc::UnreadableFile, {name, 1, 1}, name, {}});
    }
    return text.str();
}

Result<std::vector<std::filesystem::path>> yamlFilesOf(const std::string &folder)
{
    std::vector<std::filesystem::path> files;
    std::error_code error;
    for (const auto &item : std::filesystem::directory_iterator(folder, error)) {
        if (item.path().extension() == ".yaml") {
            files.push_back(item.path());
        }
    }
    if (error) {
        return leaf::new_error(ConfigError{ConfigErrc::UnreadableFile, {folder, 1, 1}, folder, error.message()});
    }
    if (files.empty()) {
        return leaf::new_error(ConfigError{ConfigErrc::EmptyFolder, {folder, 1, 1}, folder, "expected at least one *.yaml file"});
    }
    std::sort(files.begin(), files.end());
    return files;
}

}

Result<SettingsTree> SettingsTree::readFolder(const std::string &folder)
{
    SettingsTree tree;
    BOOST_LEAF_AUTO(files, yamlFilesOf(folder));
    for (const auto &path : files) {
        BOOST_LEAF_AUTO(text, readFile(path));
        BOOST_LEAF_CHECK(tree.merge(path.filename().string(), text));
    }
    if (tree.toJson().size() > maxDocumentBytes) {
        return leaf::new_error(ConfigError{ConfigErrc::TooLarge, {folder, 1, 1}, folder, "at most 768 KiB after merging"});
    }
    return tree;
}

Result<void> SettingsTree::merge(const std::string &file, const std::string &yaml)
{
    if (!isUtf8(yaml)) {
        return leaf::new_error(ConfigError{ConfigErrc::NotUtf8, {file, 1, 1}, file, {}});
    }
    if (yaml.size() > maxDocumentBytes) {
        return leaf::new_error(ConfigError{ConfigErrc::TooLarge, {file, 1, 1}, file, "at most 768 KiB"});
    }
    try {
        const YAML::Node root = YAML::Load(yaml);
        if (root.IsNull()) {
            return {};
        }
        if (!root.IsMap()) {
            return leaf::new_error(ConfigError{ConfigErrc::WrongType, {file, 1, 1}, file, "the document must be a map"});
        }
        return Merger(settings_, file).mergeNode({}, root, 0);
    } catch (const YAML::Exception &error) {
        return leaf::new_error(ConfigError{ConfigErrc::NotYaml, sourceOf(file, error.mark), file, error.msg});
    }
}

void SettingsTree::set(const std::string &path, Setting setting)
{
    settings_[path] = std::move(setting);
}

const Setting *SettingsTree::find(std::string_view path) const
{
    const auto found = settings_.find(path);
    return found == settings_.end() ? nullptr : &found->second;
}

std::vector<SettingChange> SettingsTree::diff(const SettingsTree &next) const
{
    std::vector<SettingChange> changes;
    for (const auto &[path, setting] : settings_) {
        const Setting *after = next.find(path);
        if (!after || after->value_ != setting.value_) {
            changes.push_back({path, setting.value_, after ? after->value_ : std::string()});
        }
    }
    for (const auto &[path, setting] : next.settings_) {
        if (!find(path)) {
            changes.push_back({path, {}, setting.value_});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) { return left.path_ < right.path_; });
    return changes;
}

std::string SettingsTree::toJson() const
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto &[path, setting] : settings_) {
        document[path] = {setting.value_, setting.source_.file_, setting.source_.line_, setting.source_.column_};
    }
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<SettingsTree> SettingsTree::fromJson(const std::string &json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object()) {
        return leaf::new_error(DocumentError{DocumentErrc::NotJson, "settings"});
    }
    SettingsTree tree;
    for (const auto &[path, item] : document.items()) {
        if (!item.is_array() || item.size() != 4 || !item[0].is_string() || !item[1].is_string() || !item[2].is_number_integer()
            || !item[3].is_number_integer()) {
            return leaf::new_error(DocumentError{DocumentErrc::WrongField, path});
        }
        tree.settings_[path] = Setting{item[0], {item[1], item[2], item[3]}, {}};
    }
    return tree;
}

}
