#include "daemon/settings.h"

#include "config/values.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bergamotwick {

namespace {

constexpr std::int32_t maxSlots = 10'000;
constexpr std::int32_t maxAmount = 1'000'000;

/// A settings key and the function that reads its value.
struct SettingRule
{
    std::string_view key_;
    Result<void> (*read_)(const ScalarRef &scalar, Settings &settings);
};

Result<void> readRole(const ScalarRef &scalar, Settings &settings)
{
    const std::string &text = scalar.setting_.value_;
    if (text == "entry") {
        settings.role_ = Role::Entry;
        return {};
    }
    if (text == "worker" || text == "executor") {
        settings.role_ = Role::Agent;
        settings.agent_.kind_ = text == "worker" ? AgentKind::Worker : AgentKind::Executor;
        return {};
    }
    return scalar.error(ConfigErrc::WrongType, "expected entry, worker or executor");
}

Result<Address> readAddress(const ScalarRef &scalar)
{
    if (const auto address = Address::parse(scalar.setting_.value_)) {
        return *address;
    }
    return scalar.error(ConfigErrc::WrongType, "expected an address such as 127.0.0.1:7000");
}

Result<std::string> readName(const ScalarRef &scalar)
{
    if (scalar.setting_.value_.empty() || scalar.setting_.value_.size() > 128) {
        return scalar.error(ConfigErrc::OutOfRange, "expected a name of 1 to 128 bytes");
    }
    return scalar.setting_.value_;
}

template<class Value, class Target>
Result<void> assign(Result<Value> value, Target &target)
{
    if (!value) {
        return value.error();
    }
    target = Target(std::move(*value));
    return {};
}

constexpr std::array<SettingRule, 18> settingRules{{
    {"role", readRole},
    {"name", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.name_); }},
    {"region", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.region_); }},
    {"udp", [](const ScalarRef &scalar, Settings &settings) { return assign(readAddress(scalar), settings.udp_); }},
    {"store", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.storeUrl_); }},
    {"http", [](const ScalarRef &scalar, Settings &settings) { return assign(readAddress(scalar), settings.http_); }},
    {"http-threads", [](const ScalarRef &scalar, Settings &settings) { return assign(readCount(scalar, 8, 4'096), settings.httpThreads_); }},
    {"datacentre", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.agent_.dataCentre_); }},
    {"rack", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.agent_.rack_); }},
    {"cores", [](const ScalarRef &scalar, Settings &settings) { return assign(readCount(scalar, 0, maxAmount), settings.agent_.capacity_.cores_); }},
    {"memory", [](const ScalarRef &scalar, Settings &settings) { return assign(readMemoryMb(scalar), settings.agent_.capacity_.memoryMb_); }},
    {"accelerators", [](const ScalarRef &scalar, Settings &settings) { return assign(readCount(scalar, 0, 64), settings.agent_.capacity_.accelerators_); }},
    {"service", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.agent_.service_); }},
    {"slots", [](const ScalarRef &scalar, Settings &settings) { return assign(readCount(scalar, 1, maxSlots), settings.agent_.slots_); }},
    {"connections", [](const ScalarRef &scalar, Settings &settings) { return assign(readCount(scalar, 1, maxSlots), settings.agent_.connections_); }},
    {"tcp", [](const ScalarRef &scalar, Settings &settings) { return assign(readAddress(scalar), settings.tcp_); }},
    {"endpoint", [](const ScalarRef &scalar, Settings &settings) { return assign(readName(scalar), settings.endpointUrl_); }},
    {"drain-timeout", [](const ScalarRef &scalar, Settings &settings) { return assign(readDuration(scalar), settings.drainTimeout_); }},
}};

Result<void> readSetting(const ScalarRef &scalar, Settings &settings)
{
    if (scalar.path_.starts_with("entries.")) {
        BOOST_LEAF_AUTO(address, readAddress(scalar));
        settings.entries_.push_back(address);
        return {};
    }
    for (const SettingRule &rule : settingRules) {
        if (rule.key_ == scalar.path_) {
            return rule.read_(scalar, settings);
        }
    }
    return scalar.error(ConfigErrc::UnknownKey, "");
}

Result<void> requireKeys(const SettingsTree &tree, const std::string &file, std::initializer_list<const char *> keys)
{
    for (const char *key : keys) {
        if (!tree.find(key)) {
            return leaf::new_error(ConfigError{ConfigErrc::MissingKey, {file, 1, 1}, key, {}});
        }
    }
    return {};
}

Result<void> requireRoleKeys(const SettingsTree &tree, const std::string &file, const Settings &settings)
{
    BOOST_LEAF_CHECK(requireKeys(tree, file, {"role", "name", "region", "udp"}));
    if (settings.role_ == Role::Entry) {
        return requireKeys(tree, file, {"store", "http"});
    }
    BOOST_LEAF_CHECK(requireKeys(tree, file, {"datacentre", "rack", "entries.0"}));
    if (settings.agent_.kind_ == AgentKind::Executor) {
        return requireKeys(tree, file, {"service", "slots", "connections", "tcp"});
    }
    return requireKeys(tree, file, {"cores", "memory"});
}

}

Result<Settings> Settings::parse(const std::string &file, const std::string &yaml)
{
    SettingsTree tree;
    BOOST_LEAF_CHECK(tree.merge(file, yaml));
    Settings settings;
    for (const auto &[path, setting] : tree.all()) {
        BOOST_LEAF_CHECK(readSetting({path, setting}, settings));
    }
    BOOST_LEAF_CHECK(requireRoleKeys(tree, file, settings));
    settings.agent_.name_ = settings.name_;
    settings.agent_.region_ = settings.region_;
    settings.agent_.port_ = settings.tcp_.port();
    return settings;
}

Result<Settings> Settings::readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file.is_open() || !(text << file.rdbuf())) {
        return leaf::new_error(ConfigError{ConfigErrc::UnreadableFile, {path, 1, 1}, path, {}});
    }
    return parse(std::filesystem::path(path).filename().string(), text.str());
}

}
