#pragma once

#include "settings.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace bergamotwick::node {

/// Reads the settings file again on SIGHUP and passes on the settings that a running process can change.
///
/// Thread safety: all methods may be called from any thread.
class SettingsReloader
{
public:
    /// Receives the settings in use after a change. Called from the thread that reloads.
    using Apply = std::function<void(const platform::NodeSettings &settings)>;

    explicit SettingsReloader(platform::NodeSettings settings);

    /// From now on, passes changes of \p fields to \p apply; changes of other fields are logged as needing a restart.
    void setReloadable(std::set<std::string> fields, Apply apply);

    /// Takes over what has changed in \p file and logs each change. If \p file is invalid, nothing changes.
    void reload(const platform::ParsedSettings &file);

    /// Reloads the settings file on each SIGHUP. Never returns. Precondition: blockSignals() was called.
    [[noreturn]] void run();

private:
    std::mutex mutex_;
    platform::NodeSettings settings_; ///< in use
    std::set<std::string> reloadable_;
    Apply apply_;
};

}
