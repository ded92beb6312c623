#include "settings_reloader.h"

#include "daemon/log.h"

#include <csignal>

namespace bergamotwick::node {

namespace {

bool isValid(const platform::ParsedSettings &file)
{
    for (const std::string &field : file.missingFields_) {
        logEvent(LogLevel::Error, "setting-missing", {{"field", field}});
    }
    for (const std::string &field : file.invalidFields_) {
        logEvent(LogLevel::Error, "setting-invalid", {{"field", field}});
    }
    return file.missingFields_.empty() && file.invalidFields_.empty();
}

}

SettingsReloader::SettingsReloader(platform::NodeSettings settings)
    : settings_(std::move(settings))
{
}

void SettingsReloader::setReloadable(std::set<std::string> fields, Apply apply)
{
    const std::lock_guard lock(mutex_);
    reloadable_ = std::move(fields);
    apply_ = std::move(apply);
}

void SettingsReloader::reload(const platform::ParsedSettings &file)
{
    const std::lock_guard lock(mutex_);
    if (!isValid(file)) {
        logEvent(LogLevel::Error, "settings-rejected", {});
        return;
    }
    std::size_t applied = 0;
    std::size_t pending = 0;
    for (const platform::FieldChange &change : platform::changedFields(settings_, file.settings_)) {
        const bool reloadable = reloadable_.contains(change.field_);
        ++(reloadable ? applied : pending);
        logEvent(LogLevel::Info,
                 "setting-changed",
                 {{"field", change.field_}, {"before", change.before_}, {"after", change.after_}, {"in_force", reloadable ? "now" : "after-restart"}});
        if (reloadable) {
            platform::copyField(change.field_, file.settings_, settings_);
        }
    }
    if (applied > 0) {
        apply_(settings_);
    }
    logEvent(LogLevel::Info, "settings-reloaded", {{"applied", applied}, {"need_restart", pending}});
}

void SettingsReloader::run()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    for (;;) {
        int signal = 0;
        if (::sigwait(&signals, &signal) == 0) {
            reload(platform::loadSettings());
        }
    }
}

}
