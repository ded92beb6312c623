#include "core/commit/control.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxRecordedOperations = 64;
constexpr int controlVersion = 1;

EditEffect applySettings(ControlDocument &document, const ApplySettings &change)
{
    if (document.settings_.diff(change.settings_).empty() && document.revision_ > 0) {
        return EditEffect::AlreadyApplied;
    }
    if (change.baseRevision_ < document.settingsRevision_) {
        return EditEffect::Forbidden;
    }
    document.settings_ = change.settings_;
    document.settingsRevision_ = document.revision_ + 1;
    return EditEffect::Changed;
}

EditEffect setInService(ControlDocument &document, const SetInService &change)
{
    const bool changed = change.inService_ ? document.outOfService_.erase(change.dataCentre_) > 0 : document.outOfService_.insert(change.dataCentre_).second;
    return changed ? EditEffect::Changed : EditEffect::AlreadyApplied;
}

}

Result<ControlDocument> ControlTraits::decode(const std::string &text)
{
    ControlDocument document;
    if (text.empty()) {
        return document;
    }
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return leaf::new_error(DocumentError{DocumentErrc::NotJson, "control"});
    }
    if (json.value("version", Json()) != controlVersion) {
        return leaf::new_error(DocumentError{DocumentErrc::WrongVersion, "version"});
    }
    const auto hasUnsigned = [&json](const char *name) { return json.contains(name) && json[name].is_number_unsigned(); };
    const auto hasStringArray = [&json](const char *name) {
        const auto isString = [](const Json &item) { return item.is_string(); };
        return json.contains(name) && json[name].is_array() && std::all_of(json[name].begin(), json[name].end(), isString);
    };
    if (!hasUnsigned("revision") || !hasUnsigned("settings_revision") || !hasStringArray("out") || !hasStringArray("operations")
        || !json.contains("settings")) {
        return leaf::new_error(DocumentError{DocumentErrc::WrongField, "control"});
    }
    document.revision_ = json["revision"];
    document.settingsRevision_ = json["settings_revision"];
    for (const Json &name : json["out"]) {
        document.outOfService_.insert(DataCentreId(name));
    }
    for (const Json &name : json["operations"]) {
        document.recentOperations_.emplace_back(name.get<std::string>());
    }
    BOOST_LEAF_ASSIGN(document.settings_, SettingsTree::fromJson(json["settings"].dump()));
    return document;
}

std::string ControlTraits::encode(const ControlDocument &document)
{
    Json out = Json::array();
    for (const DataCentreId &dataCentre : document.outOfService_) {
        out.push_back(dataCentre.str());
    }
    Json operations = Json::array();
    for (const OperationId &operation : document.recentOperations_) {
        operations.push_back(operation.str());
    }
    return Json{{"version", controlVersion},
                {"revision", document.revision_},
                {"settings_revision", document.settingsRevision_},
                {"out", std::move(out)},
                {"operations", std::move(operations)},
                {"settings", Json::parse(document.settings_.toJson())}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

EditEffect ControlTraits::apply(ControlDocument &document, const ControlEdit &edit)
{
    const auto &recent = document.recentOperations_;
    if (std::find(recent.begin(), recent.end(), edit.operation_) != recent.end()) {
        return EditEffect::AlreadyApplied;
    }
    const EditEffect effect = std::visit(Overloaded{
                                             [&](const ApplySettings &change) { return applySettings(document, change); },
                                             [&](const SetInService &change) { return setInService(document, change); },
                                         },
                                         edit.change_);
    if (effect == EditEffect::Changed) {
        ++document.revision_;
        document.recentOperations_.push_back(edit.operation_);
        while (document.recentOperations_.size() > maxRecordedOperations) {
            document.recentOperations_.pop_front();
        }
    }
    return effect;
}

}
