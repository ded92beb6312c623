#include "config/schema.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace bergamotwick {

namespace {

constexpr std::int32_t maxWorkers = 10'000;
constexpr std::int32_t maxTasks = 1'024;
constexpr std::int32_t maxAmount = 1'000'000;

DataCentreConfig &dataCentre(Config &config, const WildcardKeys &wildcardKeys)
{
    return config.regions_[RegionId(wildcardKeys[0])].dataCentres_[DataCentreId(wildcardKeys[1])];
}

GuaranteeConfig &guarantee(Config &config, const WildcardKeys &wildcardKeys)
{
    return config.workspaces_[WorkspaceId(wildcardKeys[0])].guarantees_[GuaranteeId(wildcardKeys[1])];
}

ClassConfig &serviceClass(Config &config, const WildcardKeys &wildcardKeys)
{
    return config.services_[ServiceId(wildcardKeys[0])].classes_[ClassId(wildcardKeys[1])];
}

ObjectiveConfig &objective(Config &config, const WildcardKeys &wildcardKeys)
{
    return config.services_[ServiceId(wildcardKeys[0])].objectives_[WorkspaceId(wildcardKeys[1])];
}

/// Reads a scalar into a member. The first setting of an object also sets the object's source.
template<auto Read, auto Get, auto Member>
Result<void> readInto(const ScalarRef &scalar, const WildcardKeys &wildcardKeys, Config &config)
{
    BOOST_LEAF_AUTO(value, Read(scalar));
    auto &object = Get(config, wildcardKeys);
    object.*Member = value;
    if constexpr (requires { object.source_; }) {
        if (object.source_.file_.empty()) {
            object.source_ = scalar.setting_.source_;
        }
    }
    return {};
}

template<std::int32_t Min, std::int32_t Max>
Result<std::int32_t> readBounded(const ScalarRef &scalar)
{
    return readCount(scalar, Min, Max);
}

Resources &workerCapacityOf(Config &config, const WildcardKeys &wildcardKeys)
{
    return dataCentre(config, wildcardKeys).worker_;
}

Resources &perTaskDemandOf(Config &config, const WildcardKeys &wildcardKeys)
{
    return guarantee(config, wildcardKeys).each_;
}

WorkspaceConfig &workspace(Config &config, const WildcardKeys &wildcardKeys)
{
    return config.workspaces_[WorkspaceId(wildcardKeys[0])];
}

Resources &quotaOf(Config &config, const WildcardKeys &wildcardKeys)
{
    return workspace(config, wildcardKeys).quota_;
}

ServiceConfig &service(Config &config, const WildcardKeys &wildcardKeys)
{
    return config.services_[ServiceId(wildcardKeys[0])];
}

constexpr auto readAmount = readBounded<0, maxAmount>;
constexpr auto readPercent = readBounded<1, 100>;

constexpr std::array<SchemaRule, 20> rules{{
    {"regions.*.datacentres.*.workers", readInto<readBounded<0, maxWorkers>, dataCentre, &DataCentreConfig::workers_>},
    {"regions.*.datacentres.*.racks", readInto<readBounded<1, maxWorkers>, dataCentre, &DataCentreConfig::racks_>},
    {"regions.*.datacentres.*.worker.cores", readInto<readAmount, workerCapacityOf, &Resources::cores_>},
    {"regions.*.datacentres.*.worker.memory", readInto<readMemoryMb, workerCapacityOf, &Resources::memoryMb_>},
    {"regions.*.datacentres.*.worker.accelerators", readInto<readBounded<0, 64>, workerCapacityOf, &Resources::accelerators_>},
    {"workspaces.*.quota.cores", readInto<readAmount, quotaOf, &Resources::cores_>},
    {"workspaces.*.quota.memory", readInto<readMemoryMb, quotaOf, &Resources::memoryMb_>},
    {"workspaces.*.quota.accelerators", readInto<readAmount, quotaOf, &Resources::accelerators_>},
    {"workspaces.*.guarantees.*.tasks", readInto<readBounded<1, maxTasks>, guarantee, &GuaranteeConfig::tasks_>},
    {"workspaces.*.guarantees.*.within", readInto<readAdjacency, guarantee, &GuaranteeConfig::within_>},
    {"workspaces.*.guarantees.*.each.cores", readInto<readAmount, perTaskDemandOf, &Resources::cores_>},
    {"workspaces.*.guarantees.*.each.memory", readInto<readMemoryMb, perTaskDemandOf, &Resources::memoryMb_>},
    {"workspaces.*.guarantees.*.each.accelerators", readInto<readBounded<0, 64>, perTaskDemandOf, &Resources::accelerators_>},
    {"services.*.max-queued", readInto<readBounded<1, maxAmount>, service, &ServiceConfig::maxQueued_>},
    {"services.*.retry-budget-percent", readInto<readBounded<0, 100>, service, &ServiceConfig::retryBudgetPercent_>},
    {"services.*.classes.*.weight", readInto<readBounded<1, 1'000>, serviceClass, &ClassConfig::weight_>},
    {"services.*.classes.*.max-slots-percent", readInto<readPercent, serviceClass, &ClassConfig::maxSlotsPercent_>},
    {"services.*.classes.*.deadline", readInto<readDuration, serviceClass, &ClassConfig::deadline_>},
    {"services.*.objectives.*.within", readInto<readDuration, objective, &ObjectiveConfig::within_>},
    {"services.*.objectives.*.ratio", readInto<readRatio, objective, &ObjectiveConfig::ratio_>},
}};

std::vector<std::string_view> split(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t dot = path.find('.');
        parts.push_back(path.substr(0, dot));
        if (dot == std::string_view::npos) {
            return parts;
        }
        path.remove_prefix(dot + 1);
    }
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({substituted, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

std::size_t commonDepth(const std::vector<std::string_view> &pattern, const std::vector<std::string_view> &path)
{
    std::size_t depth = 0;
    while (depth < pattern.size() && depth < path.size() && (pattern[depth] == "*" || pattern[depth] == path[depth])) {
        ++depth;
    }
    return depth;
}

}

std::span<const SchemaRule> schemaRules() noexcept
{
    return rules;
}

bool matchPattern(std::string_view pattern, std::string_view path, WildcardKeys &wildcardKeys)
{
    const auto patternParts = split(pattern);
    const auto pathParts = split(path);
    if (patternParts.size() != pathParts.size() || commonDepth(patternParts, pathParts) != pathParts.size()) {
        return false;
    }
    wildcardKeys.clear();
    for (std::size_t i = 0; i < pathParts.size(); ++i) {
        if (patternParts[i] == "*") {
            wildcardKeys.emplace_back(pathParts[i]);
        }
    }
    return true;
}

std::string nearestKnownKey(std::string_view path)
{
    const auto pathParts = split(path);
    std::size_t depth = 0;
    for (const SchemaRule &rule : schemaRules()) {
        depth = std::max(depth, commonDepth(split(rule.pattern_), pathParts));
    }
    const std::string_view unknown = depth < pathParts.size() ? pathParts[depth] : pathParts.back();
    std::string_view nearest;
    for (const SchemaRule &rule : schemaRules()) {
        const auto pattern = split(rule.pattern_);
        if (commonDepth(pattern, pathParts) < depth || depth >= pattern.size()) {
            continue;
        }
        if (nearest.empty() || editDistance(pattern[depth], unknown) < editDistance(nearest, unknown)) {
            nearest = pattern[depth];
        }
    }
    return std::string(nearest);
}

}
