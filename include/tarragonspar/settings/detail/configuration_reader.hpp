#pragma once

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/settings/detail/map_reader.hpp"

namespace tarragonspar::settings::detail {

/// @brief Reads `profiles`, `servers` and `limits`.
void read_configuration(map_reader& in, config::configuration& out);

/// @brief Reads a number of milliseconds above 0, if the key is there.
void read_milliseconds(map_reader& in, const std::string& key, std::chrono::milliseconds& out);

} // namespace tarragonspar::settings::detail
