#pragma once

#include <memory>

#include "tarragonspar/gateway/dialect.hpp"

namespace tarragonspar::gateway {

/// @brief Runs an entry or control instance according to its settings until it is signalled to
/// stop.
///
/// Command line: `[--check] [FILE]`. Without FILE, the environment variable TARRAGOND_SETTINGS
/// names the settings file.
/// @return the exit code: 0 done, 1 could not start, 2 wrong usage, 3 errors in the settings
int run_daemon(int count, char** values, std::unique_ptr<const dialect> protocol);

} // namespace tarragonspar::gateway
