#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::admission {

/// @brief Limits on the retries that all instances together may send to one service.
struct retry_limits {
    double ratio{0.2}; ///< retries per first attempt
    double slack{0.0}; ///< additional retries, over all instances
    duration window{std::chrono::seconds{10}};
    std::uint32_t instances{1}; ///< entry instances that share the slack
};

/// @brief One instance's share of the retries to each service.
///
/// Needs no coordination: an instance retries in proportion to its own first attempts, and uses an
/// equal share of the slack. The sum over all instances stays within the limit even while they are
/// partitioned from each other, as long as no more than `instances` of them run.
struct retry_allowance {
    struct service_state {
        std::deque<time_point> first_attempts;
        std::deque<time_point> retries;
    };
    retry_limits limits;
    std::unordered_map<std::string, service_state> services;
};

/// @brief Records a first attempt at a service.
void record_first_attempt(retry_allowance& target, const std::string& service, time_point now);

/// @brief Acquires permission for one retry.
/// @return false if the allowance is used up
[[nodiscard]] bool acquire_retry(retry_allowance& target, const std::string& service,
                                 time_point now);

/// @brief Returns a permission for a retry that was not sent.
/// @param acquired  when it was acquired; the newest one before that is returned
void return_retry(retry_allowance& target, const std::string& service, time_point acquired);

} // namespace tarragonspar::admission
