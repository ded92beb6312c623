#pragma once

/// \file
/// Includes all headers needed to read and check a configuration folder.

#include "bergamotwick/config.h"
#include "bergamotwick/error.h"
#include "bergamotwick/ids.h"
#include "bergamotwick/job.h"
#include "bergamotwick/macros.h"
#include "bergamotwick/resources.h"
#include "bergamotwick/settings_tree.h"
#include "bergamotwick/source.h"
#include "bergamotwick/time.h"
