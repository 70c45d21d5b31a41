#pragma once

#include <chrono>
#include <ctime>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::runtime {

/// @brief Returns the current time for decisions, from the steady clock.
[[nodiscard]] inline time_point now() {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

/// @brief Returns the current time of a clock that goes on while the machine is suspended, as the
/// other machines' clocks do. Its times can't be compared with those of `now`.
[[nodiscard]] inline time_point now_with_suspension() {
    timespec read{};
    if (::clock_gettime(CLOCK_BOOTTIME, &read) != 0) {
        return now();
    }
    return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{read.tv_sec} +
                                                           std::chrono::nanoseconds{read.tv_nsec})};
}

} // namespace tarragonspar::runtime
