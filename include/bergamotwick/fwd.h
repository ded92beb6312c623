#pragma once

/// \file
/// Forward declarations of the public types.

namespace bergamotwick {

struct Source;
struct Resources;
struct Config;
struct JobSpec;
class SettingsTree;

}
