#pragma once

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/settings/detail/map_reader.hpp"

namespace tarragonspar::settings::detail {

/// @brief Reads `profiles`, `servers` and `limits`.
void read_configuration(map_reader& in, config::configuration& out);

/// @brief Reads a positive number of milliseconds, if the key is present.
void read_milliseconds(map_reader& in, const std::string& key, std::chrono::milliseconds& out);

} // namespace tarragonspar::settings::detail
