#pragma once

#include <memory>
#include <string>
#include <vector>

#include "simulation.hpp"

namespace tarragonspar::bench {

/// @brief Returns the names of all policies, baselines first.
[[nodiscard]] const std::vector<std::string>& policy_names();

/// @brief Creates a policy. The name `tarragon` may be followed by a separator character and a
/// variant as for `make_tarragon`.
/// @return null for an unknown name
[[nodiscard]] std::unique_ptr<policy> make_policy(const std::string& name, std::uint64_t seed);

/// @brief Creates the policy that runs the library's own scheduling code.
/// @param variant  options changed for an ablation: empty, or one of `no_affinity`, `full_fan_out`,
/// `no_refusal`, `no_transfer`, `no_reserve`, `subset_2`, `subset_8`
[[nodiscard]] std::unique_ptr<policy> make_tarragon(const std::string& variant, std::uint64_t seed);

/// @brief Creates the upper bound: one global queue with knowledge of the true output lengths and
/// engine states.
[[nodiscard]] std::unique_ptr<policy> make_oracle();

/// @brief Creates a baseline, which keeps no queue of its own.
/// @return null for an unknown name
[[nodiscard]] std::unique_ptr<policy> make_baseline(const std::string& name, std::uint64_t seed);

} // namespace tarragonspar::bench
