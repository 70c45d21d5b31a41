#pragma once

#include <memory>
#include <string>
#include <vector>

#include "world.hpp"

namespace tarragonspar::bench {

/// @brief Names of all policies, baselines first.
[[nodiscard]] const std::vector<std::string>& policy_names();

/// @brief Builds a policy.
/// @return null for an unknown name
[[nodiscard]] std::unique_ptr<policy> make_policy(const std::string& name, std::uint64_t seed);

/// @brief The project's own decisions, with options changed by name for ablations.
/// @param variant  empty, or one of `no_affinity`, `full_fan_out`, `no_refusal`, `no_transfer`
[[nodiscard]] std::unique_ptr<policy> make_tarragon(const std::string& variant, std::uint64_t seed);

/// @brief One global queue with true lengths and true engine states: the upper limit.
[[nodiscard]] std::unique_ptr<policy> make_oracle();

/// @brief A baseline without a queue of its own.
[[nodiscard]] std::unique_ptr<policy> make_baseline(const std::string& name, std::uint64_t seed);

} // namespace tarragonspar::bench
