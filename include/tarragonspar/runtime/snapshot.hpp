#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tarragonspar/concurrency/rcu_cell.hpp"
#include "tarragonspar/config/state.hpp"

namespace tarragonspar::runtime {

/// @brief Data that request handling reads: the configuration in force and what is derived from it.
struct snapshot {
    config::configuration configuration;
    std::vector<std::string> models;   ///< names offered by engines that are not retired
    std::vector<std::string> services; ///< names offered by plain services that are not retired
};

using snapshot_cell = concurrency::rcu_cell<snapshot>;

/// @brief Builds a snapshot of a configuration.
[[nodiscard]] std::shared_ptr<const snapshot> make_snapshot(config::configuration configuration);

/// @brief Finds a profile by name.
/// @return null when there is none of that name
[[nodiscard]] const config::profile* find_profile(const snapshot& source, const std::string& name);

} // namespace tarragonspar::runtime
