#pragma once

#include <chrono>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::runtime {

/// @brief Returns the current time for decisions, from the steady clock.
[[nodiscard]] inline time_point now() {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

} // namespace tarragonspar::runtime
