#pragma once

/// \file
/// Version string and helper macro.

#define BERGAMOTWICK_VERSION "0.2.0"

/// Evaluates \p expr and binds its value to \p name; on error returns the error from the enclosing function.
#define BERGAMOTWICK_TRY(name, expr) BOOST_LEAF_AUTO(name, expr)
