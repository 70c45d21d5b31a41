#pragma once

#include "tarragonspar/emulator/fake_server.hpp"

namespace tarragonspar::fake {

/// @brief Parses the command line. Prints the help text or the version if requested.
/// @return -1 to continue, otherwise the exit code to end with
int read_options(int argc, char** argv, emulator::fake_options& options);

} // namespace tarragonspar::fake
