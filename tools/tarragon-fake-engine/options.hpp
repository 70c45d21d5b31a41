#pragma once

#include "tarragonspar/emulator/fake_server.hpp"

namespace tarragonspar::fake {

/// @brief Reads the command line.
/// @return the exit code if the program should end at once, else -1
int read_options(int count, char** values, emulator::fake_options& out);

} // namespace tarragonspar::fake
