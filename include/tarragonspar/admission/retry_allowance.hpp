#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::admission {

/// @brief How many repeats all instances together may send to one service.
struct retry_limits {
    double ratio{0.2}; ///< repeats per first request
    double slack{0.0}; ///< repeats beyond, over all instances
    duration window{std::chrono::seconds{10}};
    std::uint32_t instances{1}; ///< entry instances that share the slack
};

/// @brief One instance's share of the repeats to each service.
///
/// Needs no agreement: an instance repeats in proportion to its own first requests, and takes an
/// equal part of the slack. The sum over all instances keeps the limit even while they are cut off
/// from each other, as long as no more of them run than `instances` says.
struct retry_allowance {
    struct service_state {
        std::deque<time_point> first;
        std::deque<time_point> repeats;
    };
    retry_limits limits;
    std::unordered_map<std::string, service_state> services;
};

/// @brief Notes a first request to a service.
void note_first(retry_allowance& target, const std::string& service, time_point now);

/// @brief Takes one repeat.
/// @return false when there is none left
[[nodiscard]] bool try_repeat(retry_allowance& target, const std::string& service, time_point now);

} // namespace tarragonspar::admission
