#include "bergamotwick/config.h"

#include "config/guarantee_check.h"
#include "config/schema.h"

namespace bergamotwick {

namespace {

Result<void> readSetting(const std::string &path, const Setting &setting, Config &config)
{
    WildcardKeys wildcardKeys;
    for (const SchemaRule &rule : schemaRules()) {
        if (matchPattern(rule.pattern_, path, wildcardKeys)) {
            return rule.read_({path, setting}, wildcardKeys, config);
        }
    }
    return leaf::new_error(ConfigError{ConfigErrc::UnknownKey, setting.source_, path, nearestKnownKey(path)});
}

Result<void> checkNames(const Config &config)
{
    std::map<DataCentreId, RegionId> seen;
    for (const auto &[region, regionConfig] : config.regions_) {
        for (const auto &[name, dataCentre] : regionConfig.dataCentres_) {
            if (const auto [it, fresh] = seen.emplace(name, region); !fresh) {
                return leaf::new_error(
                    ConfigError{ConfigErrc::DuplicateName, dataCentre.source_, name.str(), "already declared in region " + it->second.str()});
            }
        }
    }
    for (const auto &[name, service] : config.services_) {
        for (const auto &[workspace, objective] : service.objectives_) {
            if (!config.workspaces_.contains(workspace)) {
                const std::string path = "services." + name.str() + ".objectives." + workspace.str();
                return leaf::new_error(ConfigError{ConfigErrc::UnknownReference, objective.source_, path, "no such workspace"});
            }
        }
    }
    return {};
}

}

Result<Config> Config::fromTree(const SettingsTree &tree)
{
    Config config;
    for (const auto &[path, setting] : tree.all()) {
        BOOST_LEAF_CHECK(readSetting(path, setting, config));
    }
    BOOST_LEAF_CHECK(checkNames(config));
    BOOST_LEAF_CHECK(checkGuaranteesFit(config));
    return config;
}

RegionId Config::regionOf(const DataCentreId &dataCentre) const
{
    for (const auto &[region, regionConfig] : regions_) {
        if (regionConfig.dataCentres_.contains(dataCentre)) {
            return region;
        }
    }
    return {};
}

}
