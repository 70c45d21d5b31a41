#pragma once

#include <memory>

#include "tarragonspar/gateway/dialect.hpp"

namespace tarragonspar::gateway {

/// @brief Runs an entry or control instance as its settings say, until it is asked to leave.
///
/// `[--check] [FILE]`; without FILE, the environment variable TARRAGOND_SETTINGS names the
/// settings.
/// @return the exit code: 0 done, 1 could not start, 2 wrong usage, 3 faults in the settings
int run_daemon(int count, char** values, std::unique_ptr<const dialect> speaks);

} // namespace tarragonspar::gateway
