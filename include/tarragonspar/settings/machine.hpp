#pragma once

#include <cstdint>

#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::settings {

/// @brief What a process may use.
struct machine {
    std::uint64_t memory_bytes{0};
    std::uint64_t descriptors{0};
};

/// @brief Returns what the operating system says.
[[nodiscard]] machine read_machine();

/// @brief Returns what the settings and the operating system allow.
[[nodiscard]] machine limited_by(const machine& system, const deployment_settings& from);

/// @brief Replaces limits that are 0 by values for a machine.
[[nodiscard]] http_limits with_defaults(http_limits limits, const machine& on);

/// @brief Has the allocator return large blocks to the operating system as soon as they are free.
/// By default its threshold rises with the size of freed blocks, so that bodies stay in the heap.
void configure_allocator();

} // namespace tarragonspar::settings
